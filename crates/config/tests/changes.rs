//! Configuration changes at run time: parsing, errors with their positions, application and removal.

#[path = "support/expect.rs"]
mod expect;
mod support;

use expect::assert_has_error;
use milletpath_config::{ConfigChange, FunctionConfig, FunctionConfigs, FunctionOverrides, Subject};
use proptest::prelude::*;
use support::config;
use test_case::test_case;

const CHANGES: &str = r#"# Allows more concurrent calls per instance.
function "packs-a" {
  lanes   = 4
  profile = "order"
}
  functions { memory = 200 }
function "b" {}
"#;

#[test]
fn a_change_file_is_split_into_blocks() {
    let changes = config().parse_changes(CHANGES).unwrap();
    let parsed: Vec<_> = changes.iter().map(|c| (c.subject.to_string(), c.line, c.column)).collect();
    let expected = [("function packs-a", 2, 1), ("functions", 6, 3), ("function b", 7, 1)];
    assert_eq!(parsed, expected.map(|(key, line, column)| (key.to_owned(), line, column)));
    assert_eq!(changes[1].text, "functions { memory = 200 }");
    // Each block has the same settings when it is parsed on its own.
    for change in &changes {
        let parsed = config().parse_change(&change.subject.to_string(), Some(&change.text)).unwrap();
        let expected = ConfigChange { subject: change.subject.clone(), overrides: Some(change.overrides) };
        assert_eq!(parsed, expected);
    }
}

/// Each case is one edit of a valid file, and the line, column and text of the resulting error.
#[test_case("lanes   = 4", "lanes = 0", 3, 3, "from 1 to 10000"; "a concurrency of zero")]
#[test_case("lanes   = 4", "lines = 4", 3, 3, "did you mean lanes?"; "a misspelt key")]
#[test_case("\"order\"", "\"late\"", 4, 3, "\"check\" or \"order\""; "an unknown profile")]
#[test_case("\"b\"", "\"packs-a\"", 7, 1, "more than once"; "a duplicate function")]
#[test_case("function \"b\"", "client \"b\"", 7, 1, "can't set client, which must be the same on all gateways"; "a quota")]
#[test_case("function \"b\"", "limits", 7, 1, "can't set limits, which must be the same on all gateways"; "a limit")]
#[test_case("function \"b\" {}", "cores = 3", 7, 1, "belongs to one gateway"; "a setting specific to one gateway")]
#[test_case("function \"b\"", "fanction \"b\"", 7, 1, "did you mean function?"; "a misspelt block")]
#[test_case("\"b\"", "\"b b\"", 7, 1, "needs one label, which is a name"; "an invalid name")]
#[test_case("\"b\" {}", "\"b\" {", 7, 16, "invalid HCL"; "a syntax error")]
fn an_error_in_a_change_is_reported_at_its_position(
    from: &str,
    to: &str,
    line: usize,
    column: usize,
    expected_text: &str,
) {
    assert!(CHANGES.contains(from));
    let errors = config().parse_changes(&CHANGES.replacen(from, to, 1)).unwrap_err();
    assert_has_error(&errors, line, column, expected_text);
}

#[test]
fn too_long_and_empty_changes_are_rejected() {
    let config = config();
    let name = |n: usize| format!("function \"{}\" {{}}\n", "n".repeat(n));
    assert_eq!(config.parse_changes(&name(87)).unwrap().len(), 1);
    assert!(config.parse_changes(&name(88)).unwrap_err()[0].to_string().contains("up to 87 bytes"));
    let padded = |n: usize| format!("functions {{\n#{}\n}}", "x".repeat(n - 15));
    assert_eq!(config.parse_changes(&padded(800)).unwrap()[0].text.len(), 800);
    assert!(config.parse_changes(&padded(801)).unwrap_err()[0].to_string().contains("801 bytes"));
    assert!(config.parse_changes("# nothing\n").unwrap_err()[0].to_string().contains("holds no change"));
}

#[test_case("function a", "function \"b\" {}"; "another function")]
#[test_case("functions", "function \"a\" {}"; "all functions")]
#[test_case("function a", "function \"a\" {}\nfunction \"b\" {}"; "two blocks")]
#[test_case("quota a", "function \"a\" {}"; "a key that a later version might add")]
#[test_case("function a b", "function \"a\" {}"; "an invalid key")]
fn a_change_must_match_its_key(key: &str, text: &str) {
    assert!(config().parse_change(key, Some(text)).is_err());
}

fn resolved(functions: &FunctionConfigs, name: &str) -> FunctionConfig {
    functions.resolve(name)
}

/// A change replaces the block of the file entirely, also the settings that it omits. When it is removed, the block of the
/// file applies again.
#[test]
fn a_change_applies_until_it_is_removed() {
    let config = config();
    let mut functions = config.functions.clone();
    let apply = |functions: &mut FunctionConfigs, key: &str, text: Option<&str>| {
        functions.apply(&config.parse_change(key, text).unwrap(), &config.functions);
    };
    apply(&mut functions, "function packs-a", Some("function \"packs-a\" { lanes = 4 }"));
    let expected = FunctionConfig { concurrency: 4.0, memory: 400.0, load_time: None, profile: None };
    assert_eq!(resolved(&functions, "packs-a"), expected);
    // A setting that the change omits follows the block for all functions, also when that block changes.
    apply(&mut functions, "functions", Some("functions { memory = 300 }"));
    assert_eq!(resolved(&functions, "packs-a"), FunctionConfig { memory: 300.0, ..expected });
    assert_eq!(resolved(&functions, "b"), FunctionConfig { concurrency: 1.0, memory: 300.0, ..expected });
    apply(&mut functions, "function b", Some("function \"b\" { load = 2 }"));
    for key in ["function packs-a", "function b", "functions", "function unknown"] {
        apply(&mut functions, key, None);
    }
    assert_eq!(functions, config.functions);
}

proptest! {
    #[test]
    fn corrupted_changes_never_panic(at in 0..CHANGES.len(), replacement in ".{0,8}", cut in 0..40usize) {
        let end = (at + cut).min(CHANGES.len());
        let text = format!("{}{replacement}{}", &CHANGES[..at], &CHANGES[end..]);
        let config = config();
        let _ = config.parse_changes(&text);
        let _ = config.parse_change("functions", Some(&text));
    }

    /// After any sequence of changes and removals, the last one of each key applies.
    #[test]
    fn the_last_change_of_each_key_applies(changes in proptest::collection::vec((0..4usize, proptest::option::of(1..9u8)), 0..30)) {
        let config = config();
        let keys = ["functions", "function packs-a", "function b", "function c"];
        let mut functions = config.functions.clone();
        let mut last = [None; 4];
        for (key, concurrency) in changes {
            let subject = Subject::from_key(keys[key]).unwrap();
            let overrides = concurrency.map(|n| FunctionOverrides { concurrency: Some(f64::from(n)), ..FunctionOverrides::default() });
            functions.apply(&ConfigChange { subject, overrides }, &config.functions);
            last[key] = overrides;
        }
        prop_assert_eq!(functions.defaults, last[0].unwrap_or(config.functions.defaults));
        for (key, name) in [(1, "packs-a"), (2, "b"), (3, "c")] {
            let expected = last[key].or(config.functions.by_name.get(name).copied());
            prop_assert_eq!(functions.by_name.get(name).copied(), expected);
        }
    }
}
