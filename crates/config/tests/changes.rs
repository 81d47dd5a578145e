//! Changes made while gateways run: read, refused with their position, applied and removed.

#[path = "support/expect.rs"]
mod expect;
mod support;

use expect::assert_has_error;
use milletpath_config::{ConfigChange, FunctionConfig, FunctionConfigs, FunctionOverrides, Subject};
use proptest::prelude::*;
use support::config;
use test_case::test_case;

const CHANGES: &str = r#"# Why: more calls than one lane bears.
function "packs-a" {
  lanes   = 4
  profile = "order"
}
  functions { memory = 200 }
function "b" {}
"#;

#[test]
fn a_file_of_changes_is_split_into_blocks() {
    let changes = config().parse_changes(CHANGES).unwrap();
    let parsed: Vec<_> = changes.iter().map(|s| (s.subject.to_string(), s.line, s.column)).collect();
    let expected = [("function packs-a", 2, 1), ("functions", 6, 3), ("function b", 7, 1)];
    assert_eq!(parsed, expected.map(|(key, line, column)| (key.to_owned(), line, column)));
    assert_eq!(changes[1].text, "functions { memory = 200 }");
    // Each text means by itself what it meant in the file.
    for one in &changes {
        let parse_change = config().parse_change(&one.subject.to_string(), Some(&one.text)).unwrap();
        let expected = ConfigChange { subject: one.subject.clone(), overrides: Some(one.overrides) };
        assert_eq!(parse_change, expected);
    }
}

/// One edit of a valid file, and the line, column and text of the error that it makes.
#[test_case("lanes   = 4", "lanes = 0", 3, 3, "from 1 to 10000"; "no concurrent call")]
#[test_case("lanes   = 4", "lines = 4", 3, 3, "did you mean lanes?"; "a misspelt key")]
#[test_case("\"order\"", "\"late\"", 4, 3, "\"check\" or \"order\""; "an unknown profile")]
#[test_case("\"b\"", "\"packs-a\"", 7, 1, "more than once"; "one function twice")]
#[test_case("function \"b\"", "client \"b\"", 7, 1, "can't set client, which must be the same on all gateways"; "a quota")]
#[test_case("function \"b\"", "limits", 7, 1, "can't set limits, which must be the same on all gateways"; "a limit")]
#[test_case("function \"b\" {}", "cores = 3", 7, 1, "belongs to one gateway"; "a setting of one gateway")]
#[test_case("function \"b\"", "fanction \"b\"", 7, 1, "did you mean function?"; "a misspelt block")]
#[test_case("\"b\"", "\"b b\"", 7, 1, "needs one label, which is a name"; "no name")]
#[test_case("\"b\" {}", "\"b\" {", 7, 16, "invalid HCL"; "broken grammar")]
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
fn changes_too_long_or_empty_are_refused() {
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
#[test_case("quota a", "function \"a\" {}"; "a key of a later version")]
#[test_case("function a b", "function \"a\" {}"; "an invalid key")]
fn a_change_must_be_about_its_key(key: &str, text: &str) {
    assert!(config().parse_change(key, Some(text)).is_err());
}

fn resolved(functions: &FunctionConfigs, name: &str) -> FunctionConfig {
    functions.resolve(name)
}

/// A change replaces the file's block entirely; when it is removed, the file's block is in force again.
#[test]
fn a_change_holds_until_it_is_removed() {
    let config = config();
    let mut functions = config.functions.clone();
    let apply = |functions: &mut FunctionConfigs, key: &str, text: Option<&str>| {
        functions.apply(&config.parse_change(key, text).unwrap(), &config.functions);
    };
    apply(&mut functions, "function packs-a", Some("function \"packs-a\" { lanes = 4 }"));
    let is = FunctionConfig { concurrency: 4.0, memory: 400.0, load_time: None, profile: None };
    assert_eq!(resolved(&functions, "packs-a"), is);
    // A setting that it leaves out is that of all functions, also when that changes.
    apply(&mut functions, "functions", Some("functions { memory = 300 }"));
    assert_eq!(resolved(&functions, "packs-a"), FunctionConfig { memory: 300.0, ..is });
    assert_eq!(resolved(&functions, "b"), FunctionConfig { concurrency: 1.0, memory: 300.0, ..is });
    apply(&mut functions, "function b", Some("function \"b\" { load = 2 }"));
    for key in ["function packs-a", "function b", "functions", "function never-stated"] {
        apply(&mut functions, key, None);
    }
    assert_eq!(functions, config.functions);
}

proptest! {
    #[test]
    fn mangled_changes_never_panic(at in 0..CHANGES.len(), replacement in ".{0,8}", cut in 0..40usize) {
        let end = (at + cut).min(CHANGES.len());
        let text = format!("{}{replacement}{}", &CHANGES[..at], &CHANGES[end..]);
        let config = config();
        let _ = config.parse_changes(&text);
        let _ = config.parse_change("functions", Some(&text));
    }

    /// Whatever is changed and removed in whatever order, what holds is the last change of each key.
    #[test]
    fn the_last_change_of_each_key_holds(expected_text in proptest::collection::vec((0..4usize, proptest::option::of(1..9u8)), 0..30)) {
        let config = config();
        let keys = ["functions", "function packs-a", "function b", "function c"];
        let mut functions = config.functions.clone();
        let mut last = [None; 4];
        for (key, concurrency) in expected_text {
            let subject = Subject::from_key(keys[key]).unwrap();
            let overrides = concurrency.map(|n| FunctionOverrides { concurrency: Some(f64::from(n)), ..FunctionOverrides::default() });
            functions.apply(&ConfigChange { subject, overrides }, &config.functions);
            last[key] = overrides;
        }
        prop_assert_eq!(functions.defaults, last[0].unwrap_or(config.functions.defaults));
        for (key, name) in [(1, "packs-a"), (2, "b"), (3, "c")] {
            let specific = last[key].or(config.functions.by_name.get(name).copied());
            prop_assert_eq!(functions.by_name.get(name).copied(), specific);
        }
    }
}
