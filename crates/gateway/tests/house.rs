//! The pieces of this package lean on each other one way only: read from their own `use` lines.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Each file's name, and those that it names.
fn leans() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let (files, folders): (Vec<_>, Vec<_>) =
        std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).partition(|f| f.is_file());
    // Beside a file only its tests: a piece in a folder would not be looked at.
    let within = folders.iter().flat_map(|f| std::fs::read_dir(f).unwrap()).map(|f| f.unwrap().file_name());
    assert!(within.into_iter().all(|name| name == "tests.rs"), "{folders:?}");
    let files = files.into_iter();
    let names: BTreeMap<_, _> = files
        .map(|f| {
            (f.file_stem().unwrap().to_string_lossy().into_owned(), std::fs::read_to_string(&f).unwrap())
        })
        .filter(|(name, _)| name != "lib")
        .collect();
    let named = |text: &str, other: &str| {
        let whole = |rest: &str| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_');
        let straight = text.split("crate::").skip(1).any(|s| s.strip_prefix(other).is_some_and(whole));
        let listed = text.split("use crate::{").skip(1).filter_map(|s| s.split('}').next());
        straight || listed.flat_map(|s| s.split(',')).any(|s| s.trim() == other)
    };
    let of = |name: &String, text: &String| {
        names.keys().filter(|other| *other != name && named(text, other)).cloned().collect()
    };
    names.iter().map(|(name, text)| (name.clone(), of(name, text))).collect()
}

#[test]
fn no_piece_leans_on_itself_by_way_of_others() {
    let mut leans = leans();
    assert!(
        leans["http_service"].contains("core_context") && leans["message_handler"].contains("endpoint_watch"),
        "{leans:?}"
    );
    // Those that lean on nothing left are taken away, until none is left or a circle.
    loop {
        let free: BTreeSet<_> =
            leans.iter().filter(|(_, on)| on.is_empty()).map(|(n, _)| n.clone()).collect();
        if free.is_empty() {
            break;
        }
        leans.retain(|name, _| !free.contains(name));
        leans.values_mut().for_each(|on| on.retain(|other| !free.contains(other)));
    }
    assert!(leans.is_empty(), "a circle: {leans:?}");
}
