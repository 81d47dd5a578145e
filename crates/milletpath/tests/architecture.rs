//! The layers of the workspace hold: packages depend only on packages below them, and no module of a package depends
//! on itself by way of others. Both are read from the manifests and from the `use` paths, so a new package or module is
//! covered without being listed here.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// From the lowest layer to the highest: a package may depend on packages of layers before its own.
const LAYERS: [&[&str]; 7] = [
    &["multicore", "policy", "process-environment", "protocol", "sealed-datagram", "storage"],
    &["config-log", "history-checker", "membership", "platform-settings"],
    &["config", "shared-budgets", "simulator-adapter"],
    &["dispatcher", "platform-protocol"],
    &["gateway", "platform-router"],
    &["emulator"],
    &["capacity-model", "scale-test", "simulator", "test-support"],
];

/// The binary: above all layers.
const BINARY: &str = "milletpath";

/// Packages whose modules still depend on each other in a circle; issue *Readers, the rest* ends that.
const KNOWN_CIRCULAR: [&str; 0] = [];

type Graph = BTreeMap<String, BTreeSet<String>>;

fn crates_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn packages() -> BTreeSet<String> {
    let folders = std::fs::read_dir(crates_folder()).expect("the folder of packages");
    let folders = folders.map(|folder| folder.expect("a folder").path());
    // A checkout of another commit may leave an empty folder behind.
    let packages = folders.filter(|folder| folder.join("Cargo.toml").is_file());
    packages.filter_map(|folder| Some(folder.file_name()?.to_string_lossy().into_owned())).collect()
}

/// The packages of this workspace on which a package depends outside its tests.
fn dependencies(package: &str) -> BTreeSet<String> {
    let manifest = crates_folder().join(package).join("Cargo.toml");
    let manifest = std::fs::read_to_string(manifest).expect("a manifest");
    let section = manifest.split("[dependencies]").nth(1).unwrap_or_default();
    let section = section.split("\n[").next().unwrap_or_default();
    let names = section.lines().filter_map(|line| line.strip_prefix("milletpath-")?.split('.').next());
    names.map(str::to_owned).collect()
}

fn layer_of(package: &str) -> usize {
    let layer = LAYERS.iter().position(|layer| layer.contains(&package));
    layer.unwrap_or_else(|| panic!("{package} has no layer: add it to LAYERS"))
}

#[test]
fn packages_depend_only_on_packages_of_lower_layers() {
    let packages = packages();
    let layered = LAYERS.iter().flat_map(|layer| layer.iter());
    for package in layered {
        assert!(packages.contains(*package), "{package} is in LAYERS, but there is no such package");
    }
    for package in packages.iter().filter(|package| *package != BINARY) {
        for dependency in dependencies(package) {
            assert!(
                layer_of(&dependency) < layer_of(package),
                "{package} depends on {dependency}, which is not below it"
            );
        }
    }
}

/// Modules of a package and those that each names. A module with submodules in a folder counts as one.
fn modules(package: &str) -> Graph {
    let mut texts: BTreeMap<String, String> = BTreeMap::new();
    read_modules(&crates_folder().join(package).join("src"), None, &mut texts);
    let names: Vec<_> = texts.keys().cloned().collect();
    let references_of = |module: &String, text: &String| {
        let others = names.iter().filter(|other| *other != module && references_module(text, other));
        others.cloned().collect()
    };
    texts.iter().map(|(module, text)| (module.clone(), references_of(module, text))).collect()
}

fn read_modules(folder: &Path, module: Option<&str>, texts: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("a file").path();
        let stem = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let own = module.unwrap_or(&stem);
        if path.is_dir() {
            read_modules(&path, Some(own), texts);
        } else if !["lib", "main", "tests"].contains(&stem.as_str()) {
            let text = std::fs::read_to_string(&path).expect("a source");
            texts.entry(own.to_owned()).or_default().push_str(&text);
        }
    }
}

/// Whether a text names `crate::module`, alone or in a list.
fn references_module(text: &str, module: &str) -> bool {
    let is_at_word_end = |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_');
    let code: Vec<_> = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    let code = code.join("\n");
    let alone =
        code.split("crate::").skip(1).any(|rest| rest.strip_prefix(module).is_some_and(is_at_word_end));
    let lists = code.split("use crate::{").skip(1).filter_map(|rest| rest.split(';').next());
    let listed = |list: &str| {
        list.split(['{', ',', '}']).any(|item| item.trim().strip_prefix(module).is_some_and(is_at_word_end))
    };
    alone || lists.into_iter().any(listed)
}

/// What is left of a graph when modules that depend on nothing left are taken away, until none is.
fn circular_modules(mut graph: Graph) -> Graph {
    loop {
        let free: BTreeSet<_> = graph
            .iter()
            .filter(|(_, dependencies)| dependencies.is_empty())
            .map(|(m, _)| m.clone())
            .collect();
        if free.is_empty() {
            return graph;
        }
        graph.retain(|module, _| !free.contains(module));
        graph.values_mut().for_each(|dependencies| dependencies.retain(|other| !free.contains(other)));
    }
}

#[test]
fn no_module_has_a_circular_dependency() {
    let mut cycles = BTreeMap::new();
    for package in packages() {
        let cycle = circular_modules(modules(&package));
        if !cycle.is_empty() {
            cycles.insert(package, cycle);
        }
    }
    let unexpected: Vec<_> = cycles.iter().filter(|(p, _)| !KNOWN_CIRCULAR.contains(&p.as_str())).collect();
    assert!(unexpected.is_empty(), "circles: {unexpected:#?}");
    let resolved: Vec<_> = KNOWN_CIRCULAR.iter().filter(|package| !cycles.contains_key(**package)).collect();
    assert!(resolved.is_empty(), "no circle any more, strike them from CIRCULAR: {resolved:?}");
}

#[test]
fn module_references_are_found_in_paths_and_use_lists() {
    let gateway = modules("gateway");
    assert!(gateway.values().any(|dependencies| !dependencies.is_empty()), "{gateway:?}");
    assert!(
        references_module("use crate::{a::B, c};", "c") && references_module("use crate::{a::B, c};", "a")
    );
    assert!(references_module("crate::a::b()", "a") && !references_module("crate::ab::c()", "a"));
    assert!(!references_module("// crate::a", "a"));
    let cycle = BTreeMap::from([
        ("a".to_owned(), BTreeSet::from(["b".to_owned()])),
        ("b".to_owned(), BTreeSet::from(["a".to_owned()])),
    ]);
    assert_eq!(circular_modules(cycle).len(), 2);
}
