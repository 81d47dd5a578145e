//! Keys and values of scenario files have a standard and a former name. Both must give equal scenarios, also when a
//! file with the one extends a file with the other, and both at once must be an error.

use milletpath_config::document::KEY_ALIASES;
use milletpath_emulator::scenario_file::{Scenario, open};
use std::path::{Path, PathBuf};

const ALL_KEYS: &str = include_str!("fixtures/standard_keys/all-keys.hcl");

/// Keys that occur only in configuration files; the tests of the config package read them.
const CONFIG_KEYS: [&str; 3] = ["health_checks", "health_check_timeout", "load_requests"];

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn values(file: &Path) -> String {
    let scenario: Scenario = open(file).unwrap_or_else(|error| panic!("{error}"));
    format!("{scenario:#?}")
}

/// Writes a variant of the file with all keys, beside a base with former keys.
fn write_scenario(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("former_keys").join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::copy(fixture("former_keys/town.hcl"), folder.join("town.hcl")).expect("a copy");
    let file = folder.join("all-keys.hcl");
    let text = text.replace("../../../../../days/town.hcl", "town.hcl");
    std::fs::write(&file, text).expect("a file");
    file
}

/// The first line that states a key, and its number counted from 0.
fn line_of(key: &str) -> (usize, &'static str) {
    let states = |line: &str| line.split_whitespace().next() == Some(key);
    let found = ALL_KEYS.lines().enumerate().find(|(_, line)| states(line));
    found.unwrap_or_else(|| panic!("{key} is not in the file"))
}

fn replace_line(number: usize, replacement: &str) -> String {
    let mut lines: Vec<_> = ALL_KEYS.lines().collect();
    lines[number] = replacement;
    lines.join("\n")
}

#[test]
fn scenarios_with_standard_and_former_keys_are_equal() {
    let base = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/town.hcl");
    assert_eq!(values(&base), values(&fixture("former_keys/town.hcl")));
    assert_eq!(values(&fixture("standard_keys/all-keys.hcl")), values(&fixture("former_keys/all-keys.hcl")));
}

#[test]
fn each_key_reads_the_same_under_both_names_over_a_base_with_former_keys() {
    let expected = values(&write_scenario("standard", ALL_KEYS));
    assert_eq!(expected, values(&fixture("former_keys/all-keys.hcl")));
    for alias in KEY_ALIASES.iter().filter(|alias| !CONFIG_KEYS.contains(&alias.standard)) {
        let (number, line) = line_of(alias.standard);
        let former = replace_line(number, &line.replacen(alias.standard, alias.former, 1));
        let file = write_scenario(&format!("former-{}", alias.former), &former);
        assert_eq!(values(&file), expected, "{}", alias.former);
    }
}

#[test]
fn former_keys_extend_a_base_with_standard_keys() {
    let former = include_str!("fixtures/former_keys/all-keys.hcl");
    let file = write_scenario("former-on-standard", former);
    let base = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/town.hcl");
    std::fs::copy(base, file.with_file_name("town.hcl")).expect("a copy");
    assert_eq!(values(&file), values(&fixture("former_keys/all-keys.hcl")));
}

#[test]
fn each_key_under_both_names_is_one_error() {
    for alias in KEY_ALIASES.iter().filter(|alias| !CONFIG_KEYS.contains(&alias.standard)) {
        let (number, line) = line_of(alias.standard);
        let mut former = line.replacen(alias.standard, alias.former, 1);
        if line.ends_with('{') {
            former.push('}');
        }
        let file = write_scenario(
            &format!("both-{}", alias.former),
            &replace_line(number, &format!("{former}\n{line}")),
        );
        let message = open(&file).expect_err("an invalid scenario").to_string();
        assert_eq!(message.lines().count(), 1, "{message}");
        let column = line.len() - line.trim_start().len() + 1;
        assert!(message.contains(&format!("all-keys.hcl:{}:{column}: ", number + 2)), "{message}");
        let names = format!("has both {} and {}, its former name", alias.standard, alias.former);
        assert!(message.contains(&names), "{message}");
    }
}

#[test]
fn an_unknown_fault_is_reported_with_the_block_name_of_the_file() {
    for block in ["fault", "trouble"] {
        let file = write_scenario(
            &format!("unknown-{block}"),
            &format!("profile \"p\" {{}}\n{block} \"quake\" {{}}\n"),
        );
        let message = open(&file).expect_err("an invalid scenario").to_string();
        assert!(message.contains(&format!("there is no {block} called quake")), "{message}");
    }
}
