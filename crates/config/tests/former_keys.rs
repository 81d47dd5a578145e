//! Keys and values of configuration files under their standard and their former names: both give equal settings, and a key
//! under both names at once is an error.

use milletpath_config::document::{KEY_ALIASES, VALUE_ALIASES};
use milletpath_config::read;
use std::collections::BTreeSet;

const FORMER_EXAMPLE: &str = include_str!("fixtures/former_keys/example.hcl");
const EXAMPLE: &str = include_str!("../../../docs/operators/example.hcl");

/// All keys of configuration files that have a former name, each on a line of its own.
const ALL_KEYS: &str = r#"
seed = 5
cores = 1
profile "check" {
  latency_objective = 1.5
  deadline = 4.5
  idempotency = "idempotent"
}
functions {
  concurrency = 3
}
workers {
  registry = "127.0.0.1:9000"
  rejects_unloaded = true
  idle_timeout = 12
  initial_capacity = 0.3
  overload_multiple = 3
  overload_window = 2
  health_checks = false
  health_check_timeout = 0.5
  load_requests = false
}
limits {
  over_quota = 0.5
  load_rate_limit {
    window = 10
  }
}
"#;

/// Keys with a former name that only scenario files have. The tests of the emulator cover them.
const SCENARIO_KEYS: [&str; 10] = [
    "extends",
    "loads_ahead",
    "abandonment",
    "timeout",
    "idempotency_window",
    "notification_delay",
    "fault",
    "fraction",
    "duration",
    "magnitude",
];

/// The settings of a text in a comparable form. Adds a fixed seed if the text has none, as the default is random.
fn settings(text: &str) -> String {
    let text = if text.contains("seed") { text.to_owned() } else { format!("seed = 5\n{text}") };
    format!("{:#?}", read(&text).unwrap_or_else(|errors| panic!("{errors:#?}\n{text}")))
}

/// The error messages for a text; empty if it is valid.
fn messages(text: &str) -> Vec<String> {
    match read(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

/// The number of the only line of [`ALL_KEYS`] with a key, from 0.
fn line_of(key: &str) -> usize {
    let has_key = |line: &str| line.split_whitespace().next() == Some(key);
    let lines: Vec<_> = ALL_KEYS.lines().enumerate().filter(|(_, line)| has_key(line)).collect();
    assert_eq!(lines.len(), 1, "{key}");
    lines[0].0
}

/// [`ALL_KEYS`] with one line replaced.
fn with_line(number: usize, replacement: &str) -> String {
    let mut lines: Vec<_> = ALL_KEYS.lines().collect();
    lines[number] = replacement;
    lines.join("\n")
}

#[test]
fn the_example_reads_the_same_with_its_former_keys() {
    assert_eq!(settings(EXAMPLE), settings(FORMER_EXAMPLE));
}

#[test]
fn each_key_reads_the_same_under_both_names() {
    for alias in KEY_ALIASES.iter().filter(|alias| !SCENARIO_KEYS.contains(&alias.standard)) {
        let number = line_of(alias.standard);
        let line = ALL_KEYS.lines().nth(number).expect("a line");
        let former = with_line(number, &line.replace(alias.standard, alias.former));
        assert_eq!(settings(&former), settings(ALL_KEYS), "{}", alias.former);
    }
}

#[test]
fn each_key_under_both_names_is_one_error() {
    for alias in KEY_ALIASES.iter().filter(|alias| !SCENARIO_KEYS.contains(&alias.standard)) {
        let number = line_of(alias.standard);
        let line = ALL_KEYS.lines().nth(number).expect("a line");
        let column = line.len() - line.trim_start().len() + 1;
        let added = if line.ends_with('{') {
            format!("{} {{}}", alias.former)
        } else {
            line.replace(alias.standard, alias.former)
        };
        let indented = format!("{}{}", " ".repeat(column - 1), added.trim_start());
        let messages = messages(&with_line(number, &format!("{indented}\n{line}")));
        assert_eq!(messages.len(), 1, "{messages:#?}");
        let position = format!("{}:{column}: ", number + 2);
        let names = format!("has both {} and {}, its former name", alias.standard, alias.former);
        let remedy = format!("; keep {}, and remove {}", alias.standard, alias.former);
        assert!(messages[0].starts_with(&position), "{messages:?} {position}");
        assert!(messages[0].contains(&names) && messages[0].ends_with(&remedy), "{messages:?}");
    }
}

#[test]
fn each_value_reads_the_same_under_both_names() {
    for alias in VALUE_ALIASES {
        let line = line_of(alias.key);
        let memory = if alias.standard == "idempotent_with_key" { "memory = 60" } else { "" };
        let settings_with =
            |value: &str| settings(&with_line(line, &format!("{} = \"{value}\"\n{memory}", alias.key)));
        assert_eq!(settings_with(alias.standard), settings_with(alias.former), "{}", alias.former);
    }
}

#[test]
fn names_in_the_alias_tables_are_unique() {
    let names: Vec<_> = KEY_ALIASES.iter().flat_map(|alias| [alias.standard, alias.former]).collect();
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len());
    let values: Vec<_> = VALUE_ALIASES.iter().flat_map(|alias| [alias.standard, alias.former]).collect();
    assert_eq!(values.iter().collect::<BTreeSet<_>>().len(), values.len());
}

#[test]
fn messages_use_the_name_of_a_key_in_the_file() {
    let profile = |body: &str| {
        let text = format!("profile \"p\" {{\n{body}\n}}\nworkers {{ registry = \"127.0.0.1:9000\" }}\n");
        messages(&text).join("\n")
    };
    let standard = profile("latency_objective = -1\nidempotency = \"often\"");
    assert!(standard.contains("latency_objective of profile \"p\" must be"), "{standard}");
    assert!(standard.contains("write idempotency = \"idempotent\" or \"idempotent_with_key\""), "{standard}");
    let former = profile("due = -1\neffect = \"often\"");
    assert!(former.contains("due of profile \"p\" must be"), "{former}");
    assert!(former.contains("write effect = \"pure\" or \"receipted\" or \"effectful\""), "{former}");
}

#[test]
fn suggestions_include_both_names() {
    for (unknown, suggestion) in [("dedline = 1", "deadline"), ("cutoff = 1", "cut_off")] {
        let text = ALL_KEYS.replace("  deadline = 4.5", &format!("  {unknown}"));
        let messages = messages(&text);
        assert!(messages[0].contains(&format!("did you mean {suggestion}?")), "{messages:?}");
    }
}
