//! The modules of this package depend on each other one way only: read from their own `use` lines.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The text of each top-level module by its name: its file and all files of its folder but those of its tests.
fn module_texts() -> BTreeMap<String, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut texts = BTreeMap::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        if name != "lib" {
            append_text(&path, texts.entry(name).or_default());
        }
    }
    texts
}

fn append_text(path: &Path, text: &mut String) {
    if path.is_dir() {
        std::fs::read_dir(path).unwrap().for_each(|entry| append_text(&entry.unwrap().path(), text));
    } else if path.file_name().is_some_and(|name| name != "tests.rs") {
        text.push_str(&std::fs::read_to_string(path).unwrap());
    }
}

fn names_module(text: &str, module: &str) -> bool {
    let is_whole_name = |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_');
    let direct = text.split("crate::").skip(1).any(|s| s.strip_prefix(module).is_some_and(is_whole_name));
    let listed = text.split("use crate::{").skip(1).filter_map(|s| s.split('}').next());
    direct || listed.flat_map(|s| s.split(',')).any(|s| s.trim() == module)
}

/// Each module's name, and the modules that it names.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let texts = module_texts();
    let of = |name: &String, text: &String| {
        texts.keys().filter(|other| *other != name && names_module(text, other)).cloned().collect()
    };
    texts.iter().map(|(name, text)| (name.clone(), of(name, text))).collect()
}

#[test]
fn modules_do_not_depend_on_each_other_in_a_cycle() {
    let mut dependencies = dependencies();
    assert!(
        dependencies["serve"].contains("shell") && dependencies["errands"].contains("follow"),
        "{dependencies:?}"
    );
    // Modules that depend on nothing left are taken away, until none is left or a cycle.
    loop {
        let free: BTreeSet<_> =
            dependencies.iter().filter(|(_, on)| on.is_empty()).map(|(name, _)| name.clone()).collect();
        if free.is_empty() {
            break;
        }
        dependencies.retain(|name, _| !free.contains(name));
        dependencies.values_mut().for_each(|on| on.retain(|other| !free.contains(other)));
    }
    assert!(dependencies.is_empty(), "a cycle: {dependencies:?}");
}

/// A file in a folder is used by its parent and its siblings, and uses nothing of the parent.
#[test]
fn files_of_a_folder_do_not_import_from_their_parent() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for entry in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).filter(|p| p.is_dir())
    {
        let files = std::fs::read_dir(&entry).unwrap().map(|file| file.unwrap().path());
        let siblings: Vec<_> =
            files.map(|file| format!("{}::", file.file_stem().unwrap().to_string_lossy())).collect();
        let mut text = String::new();
        append_text(&entry, &mut text);
        let is_sibling = |rest: &str| siblings.iter().any(|name| rest.starts_with(name.as_str()));
        assert!(text.split("use super::").skip(1).all(is_sibling), "{} uses its parent", entry.display());
    }
}
