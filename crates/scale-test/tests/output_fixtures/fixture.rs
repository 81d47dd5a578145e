//! Comparison of output with fixture files.

use std::path::PathBuf;

/// Checks that a text is equal to the fixture with this name, byte for byte.
pub fn assert_matches_fixture(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, text).expect("the fixture can be written");
    }
    let fixture = std::fs::read_to_string(&path).expect("the fixture can be read");
    assert!(fixture == text, "{name} differs from its fixture, which is\n{fixture}\nand this is\n{text}");
}
