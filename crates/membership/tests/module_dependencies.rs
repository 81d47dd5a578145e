//! Checks that the module dependencies of this package are acyclic. Dependencies are read from the source text: paths
//! that begin with `crate` or `super`, and calls of `Membership` methods that are defined in another module.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns the source text of each module by its path, such as `quorum::proof`.
fn modules() -> BTreeMap<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut modules = BTreeMap::new();
    let mut directories = vec![root.clone()];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(directory).expect("the directory can be read") {
            let path = entry.expect("the entry can be read").path();
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let module = path.strip_prefix(&root).expect("the path is below the root").with_extension("");
            let module = module.to_string_lossy().replace('/', "::");
            // The crate root only re-exports items, and test modules belong to the modules that they test.
            if module != "lib" && !module.ends_with("::tests") {
                modules.insert(module, std::fs::read_to_string(&path).expect("the file can be read"));
            }
        }
    }
    modules
}

/// Removes comments, which may contain paths as links.
fn without_comments(text: &str) -> String {
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// Returns the identifier at the start of `text`.
fn identifier(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(text.len());
    &text[..end]
}

/// Returns the modules that `code` refers to by paths: of each path, the longest prefix that is a module.
fn named_by_path(module: &str, code: &str, modules: &BTreeMap<String, String>) -> BTreeSet<String> {
    let parent = module.rsplit_once("::").map_or("", |(parent, _)| parent);
    let code = code.replace("super::", &format!("crate::{parent}::"));
    let code = code.replace("use super;", &format!("use crate::{parent};"));
    let mut named = BTreeSet::new();
    for path in code.split("crate::").skip(1) {
        let mut longest = None;
        let mut prefix = String::new();
        for segment in path.split("::").map(identifier).take_while(|segment| !segment.is_empty()) {
            prefix = if prefix.is_empty() { segment.into() } else { format!("{prefix}::{segment}") };
            if !modules.contains_key(&prefix) {
                break;
            }
            longest = Some(prefix.clone());
        }
        named.extend(longest);
    }
    named
}

/// Returns the methods of `Membership`, each with the module that defines it.
fn methods(modules: &BTreeMap<String, String>) -> BTreeMap<String, String> {
    let mut methods = BTreeMap::new();
    for (module, text) in modules {
        let Some((_, implementation)) = text.split_once("\nimpl Membership {") else { continue };
        let implementation = implementation.split("\n}").next().unwrap_or_default();
        for signature in implementation.split(" fn ").skip(1) {
            methods.insert(identifier(signature).to_owned(), module.clone());
        }
    }
    methods
}

/// Returns the modules whose `Membership` methods `code` calls.
fn named_by_call(code: &str, methods: &BTreeMap<String, String>) -> BTreeSet<String> {
    let calls = code.split("self.").skip(1).filter_map(|call| {
        let name = identifier(call);
        call[name.len()..].starts_with('(').then(|| methods.get(name).cloned()).flatten()
    });
    calls.collect()
}

fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let modules = modules();
    let methods = methods(&modules);
    let dependencies_of = |module: &String, text: &String| {
        let code = without_comments(text);
        let mut named = named_by_path(module, &code, &modules);
        if code.contains("impl Membership {") {
            named.extend(named_by_call(&code, &methods));
        }
        named.remove(module);
        named
    };
    modules.iter().map(|(module, text)| (module.clone(), dependencies_of(module, text))).collect()
}

#[test]
fn modules_have_no_circular_dependencies() {
    let mut dependencies = dependencies();
    // Verify that both kinds of dependencies are detected.
    assert!(dependencies["quorum::proof"].contains("quorum::set_difference"), "{dependencies:?}");
    assert!(
        dependencies["gossip::member_table"].contains("failure_detection::suspicion"),
        "{dependencies:?}"
    );
    // Remove modules without dependencies until no module is left, or only cycles and what depends on them.
    loop {
        let independent: BTreeSet<_> =
            dependencies.iter().filter(|(_, on)| on.is_empty()).map(|(module, _)| module.clone()).collect();
        if independent.is_empty() {
            break;
        }
        dependencies.retain(|module, _| !independent.contains(module));
        dependencies.values_mut().for_each(|on| on.retain(|other| !independent.contains(other)));
    }
    assert!(dependencies.is_empty(), "circular dependencies: {dependencies:#?}");
}
