//! Checks the architecture of the workspace: packages depend only on packages of lower layers, and the modules of a
//! package have no circular dependencies. Dependencies are read from the manifests and from `crate::` paths in the
//! sources, so new modules are covered automatically and a new package only has to be added to a layer.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The layers, lowest first. A package may depend only on packages of lower layers.
const LAYERS: [&[&str]; 7] = [
    &["multicore", "policy", "process-environment", "protocol", "sealed-datagram", "storage"],
    &["config-log", "history-checker", "membership", "platform-settings"],
    &["config", "shared-budgets", "simulator-adapter"],
    &["dispatcher", "platform-protocol"],
    &["gateway", "platform-router"],
    &["emulator"],
    &["capacity-model", "scale-test", "simulator", "test-support"],
];

/// The package of the binary, which may depend on every layer.
const BINARY: &str = "milletpath";

/// Packages whose modules are still allowed to have circular dependencies. A package without any must not be listed.
const KNOWN_CIRCULAR: [&str; 0] = [];

/// The modules of a package, each with the modules that it references.
type Graph = BTreeMap<String, BTreeSet<String>>;

fn crates_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn packages() -> BTreeSet<String> {
    let folders = std::fs::read_dir(crates_folder()).expect("the crates folder is readable");
    let folders = folders.map(|folder| folder.expect("a readable entry").path());
    // Checking out another commit can leave an empty package folder behind.
    let packages = folders.filter(|folder| folder.join("Cargo.toml").is_file());
    packages.filter_map(|folder| Some(folder.file_name()?.to_string_lossy().into_owned())).collect()
}

/// The workspace packages in the `[dependencies]` section of a package's manifest, without its dev-dependencies.
fn dependencies(package: &str) -> BTreeSet<String> {
    let manifest = crates_folder().join(package).join("Cargo.toml");
    let manifest = std::fs::read_to_string(manifest).expect("the manifest is readable");
    let section = manifest.split("[dependencies]").nth(1).unwrap_or_default();
    let section = section.split("\n[").next().unwrap_or_default();
    let names = section.lines().filter_map(|line| line.strip_prefix("milletpath-")?.split('.').next());
    names.map(str::to_owned).collect()
}

fn layer_of(package: &str) -> usize {
    let layer = LAYERS.iter().position(|layer| layer.contains(&package));
    layer.unwrap_or_else(|| panic!("package {package} is in no layer: add it to LAYERS"))
}

#[test]
fn packages_depend_only_on_packages_of_lower_layers() {
    let packages = packages();
    let layered = LAYERS.iter().flat_map(|layer| layer.iter());
    for package in layered {
        assert!(packages.contains(*package), "LAYERS lists {package}, but there is no such package");
    }
    for package in packages.iter().filter(|package| *package != BINARY) {
        for dependency in dependencies(package) {
            assert!(
                layer_of(&dependency) < layer_of(package),
                "{package} depends on {dependency}, which is not in a lower layer"
            );
        }
    }
}

/// The module graph of a package. A module and its submodules in the folder of the same name count as one module.
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

/// Adds the text of each source file below a folder to the text of its top-level module, without `lib.rs`, `main.rs`
/// and `tests.rs`. `module` is the top-level module that the folder belongs to, if any.
fn read_modules(folder: &Path, module: Option<&str>, texts: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("a readable entry").path();
        let stem = path.file_stem().expect("a file name").to_string_lossy().into_owned();
        let own = module.unwrap_or(&stem);
        if path.is_dir() {
            read_modules(&path, Some(own), texts);
        } else if !["lib", "main", "tests"].contains(&stem.as_str()) {
            let text = std::fs::read_to_string(&path).expect("the source file is readable");
            texts.entry(own.to_owned()).or_default().push_str(&text);
        }
    }
}

/// Whether a source text references `crate::MODULE`, in a path or in a `use crate::{...}` list.
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

/// The modules that are part of a cycle or depend on one: what remains after repeatedly removing the modules without
/// dependencies.
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
    assert!(unexpected.is_empty(), "circular module dependencies: {unexpected:#?}");
    let resolved: Vec<_> = KNOWN_CIRCULAR.iter().filter(|package| !cycles.contains_key(**package)).collect();
    assert!(resolved.is_empty(), "no longer circular, remove from KNOWN_CIRCULAR: {resolved:?}");
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
