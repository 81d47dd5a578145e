//! The committed page matches the tables generated from the committed runs; invalid inputs are reported with a remedy.

mod rig;

use milletpath_capacity_model::number::number;
use milletpath_capacity_model::page::{ASSUMPTIONS_FILE, rewrite, tables};
use milletpath_capacity_model::run;
use rig::{RunFolder, docs_folder};
use test_case::test_case;

#[test]
fn the_page_matches_the_tables_generated_from_the_runs() {
    let page = std::fs::read_to_string(docs_folder().join("CAPACITY.md")).unwrap();
    let generated = rewrite(&page, &tables(&docs_folder().join("capacity")).unwrap()).unwrap();
    assert!(
        page == generated,
        "docs/CAPACITY.md is not up to date; run milletpath capacity --page docs/CAPACITY.md"
    );
}

#[test]
fn a_changed_measurement_changes_the_page() {
    let folder = RunFolder::new("changed");
    let path = folder.0.join("list-join.json");
    let before = tables(&folder.0).unwrap();
    let mut run = run::read(&path).unwrap();
    run.measurements[0].median *= 10.0;
    std::fs::write(&path, serde_json::to_string(&run).unwrap()).unwrap();
    assert_ne!(tables(&folder.0).unwrap(), before);
}

#[test]
fn a_missing_run_is_reported_as_not_run() {
    let folder = RunFolder::new("missing");
    std::fs::remove_file(folder.0.join("peers-age.json")).unwrap();
    let tables = tables(&folder.0).unwrap();
    assert!(tables.contains("not run: peers-age"));
    assert!(tables.contains("Not known, as it was not run"));
}

#[test_case("\"zipf\"", "\"zipff\"", "zipf is missing"; "misspelled parameter")]
#[test_case("\"value\": 1.6", "\"value\": 0", "zipf is not a positive number"; "zero")]
#[test_case("\"gateways\": 1100", "\"gatewais\": 1100", "gatewais"; "unknown field")]
fn an_invalid_assumption_is_reported(from: &str, to: &str, expected: &str) {
    let folder = RunFolder::new(&format!("assumed-{}", expected.len()));
    let path = folder.0.join(ASSUMPTIONS_FILE);
    let text = std::fs::read_to_string(&path).unwrap();
    assert!(text.contains(from));
    std::fs::write(&path, text.replace(from, to)).unwrap();
    let message = tables(&folder.0).unwrap_err().to_string();
    assert!(message.contains(ASSUMPTIONS_FILE) && message.contains(expected), "{message}");
}

#[test]
fn a_page_without_markers_is_rejected() {
    let message = rewrite("# Capacity\n", "tables").unwrap_err().to_string();
    assert!(message.contains("add it where the tables belong"));
}

#[test_case(0.0, "0"; "zero")]
#[test_case(0.001234, "0.00123"; "small")]
#[test_case(12.0, "12"; "integer")]
#[test_case(999.6, "1,000"; "rounded up")]
#[test_case(1234567.0, "1,234,567"; "large")]
#[test_case(-650.0, "-650"; "negative")]
#[test_case(f64::NAN, "-"; "not a number")]
fn a_number_is_formatted_with_three_significant_digits(value: f64, text: &str) {
    assert_eq!(number(value), text);
}
