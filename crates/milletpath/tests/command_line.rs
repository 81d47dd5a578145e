//! Compatibility of the command line: the accepted sub-commands and flags, and the exit code of each invocation. The
//! fixtures `*-as-landed.txt` were recorded before the program's sub-commands were split into modules.

use milletpath_test_support::json_fields::field_paths;
use milletpath_test_support::program::{program, repository_file};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Output, Stdio};
use test_case::test_case;

fn fixtures() -> PathBuf {
    repository_file("crates/milletpath/tests/fixtures/command_line")
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).expect("the fixture is readable")
}

/// Runs the program in the fixtures folder, without standard input and without the platform's environment variables.
fn run(arguments: &[&str]) -> Output {
    let mut command = program();
    command.args(arguments).current_dir(fixtures()).stdin(Stdio::null());
    command.env_remove("LB_CONFIG").env_remove("LB_LISTEN").env_remove("LB_NAME");
    command.output().expect("the program runs")
}

/// Runs all invocations concurrently, since some of them wait for control machines that do not answer.
fn run_all(invocations: &[Vec<&str>]) -> Vec<Output> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = invocations.iter().map(|arguments| scope.spawn(|| run(arguments))).collect();
        threads.into_iter().map(|thread| thread.join().expect("the program ran")).collect()
    })
}

/// An invocation of the program, and the exit code that was recorded for it.
struct RecordedInvocation {
    exit_code: i32,
    arguments: Vec<String>,
}

impl RecordedInvocation {
    fn arguments(&self) -> Vec<&str> {
        self.arguments.iter().map(String::as_str).collect()
    }
}

fn recorded_invocations() -> Vec<RecordedInvocation> {
    let parse = |line: &str| {
        let mut words = line.split_whitespace();
        let exit_code =
            words.next().expect("a line has an exit code").parse().expect("the exit code is a number");
        RecordedInvocation { exit_code, arguments: words.map(str::to_owned).collect() }
    };
    fixture("exit-codes-as-landed.txt").lines().map(parse).collect()
}

#[test]
fn each_recorded_invocation_has_the_same_exit_code() {
    let recorded = recorded_invocations();
    let outputs = run_all(&recorded.iter().map(RecordedInvocation::arguments).collect::<Vec<_>>());
    for (RecordedInvocation { exit_code, arguments }, output) in recorded.iter().zip(outputs) {
        assert_eq!(output.status.code(), Some(*exit_code), "{arguments:?}: {output:?}");
    }
}

/// A flag in the recorded help of a sub-command, with an example value if it takes one.
struct RecordedFlag {
    sub_command: String,
    flag: String,
    value: Option<&'static str>,
}

/// The flags in the recorded help, whose sections begin with `### SUB-COMMAND`.
fn recorded_flags() -> Vec<RecordedFlag> {
    let (mut flags, mut sub_command) = (Vec::new(), String::new());
    for line in fixture("help-as-landed.txt").lines() {
        if let Some(name) = line.strip_prefix("###") {
            sub_command = name.trim().to_owned();
        }
        let words: Vec<_> = line.split_whitespace().collect();
        let Some(flag) = words.iter().find(|word| word.starts_with("--")) else { continue };
        if !line.starts_with("  ") || ["--help", "--version"].contains(flag) {
            continue;
        }
        let value = match words.get(1) {
            Some(&"<LOG>") => Some("json"),
            Some(value) if value.starts_with('<') => Some("2"),
            _ => None,
        };
        flags.push(RecordedFlag { sub_command: sub_command.clone(), flag: (*flag).to_owned(), value });
    }
    flags
}

/// Ends each invocation with `--help`, so that the program exits with success unless it rejects an argument before
/// that.
#[test]
fn each_flag_is_still_accepted() {
    let flags = recorded_flags();
    assert_eq!(flags.len(), 38, "number of flags in the fixture");
    for RecordedFlag { sub_command, flag, value } in &flags {
        let sub_command = Some(sub_command.as_str()).filter(|name| !name.is_empty());
        let arguments = sub_command.into_iter().chain([flag.as_str()]).chain(*value).chain(["--help"]);
        let arguments: Vec<_> = arguments.collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}: {output:?}");
    }
    assert_eq!(run(&["serve", "--no-such-flag", "--help"]).status.code(), Some(2));
}

/// Flags and sub-commands for tests and for other programs of the project, which the help does not show. Their former
/// names are accepted and print the same help as the current ones.
#[test]
fn hidden_flags_and_sub_commands_are_still_accepted() {
    for arguments in [
        &["serve", "--stir", "--help"][..],
        &["serve", "--plant", "likely-count", "--help"],
        &["day", "--plant", "likely-count", "--help"],
        &["scale-host", "--help"],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}: {output:?}");
        assert_eq!(output, run(&current_names(arguments)), "{arguments:?}");
    }
}

/// Former names of flags and sub-commands, each with the current name that the help shows.
const FORMER_NAMES: [(&str, &str); 8] = [
    ("--charter", "--config"),
    ("--found", "--initialize"),
    ("--plant", "--inject-fault"),
    ("--stir", "--inject-core-faults"),
    ("day", "scenario"),
    ("peers", "members"),
    ("scale", "scale-test"),
    ("scale-host", "scale-test-host"),
];

/// The arguments with former names replaced by current ones.
fn current_names<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
    let current = |argument: &&'a str| {
        let entry = FORMER_NAMES.iter().find(|(former, _)| former == argument);
        entry.map_or(*argument, |(_, current)| current)
    };
    arguments.iter().map(current).collect()
}

#[test]
fn former_names_behave_like_current_names() {
    let recorded = recorded_invocations();
    let former: Vec<_> = recorded.iter().map(RecordedInvocation::arguments).collect();
    let renamed: Vec<_> =
        former.into_iter().filter(|arguments| *arguments != current_names(arguments)).collect();
    assert_eq!(renamed.len(), 37, "number of recorded invocations with a former name");
    let current: Vec<_> = renamed.iter().map(|arguments| current_names(arguments)).collect();
    for ((former, current), arguments) in run_all(&renamed).iter().zip(run_all(&current)).zip(&renamed) {
        assert_eq!(*former, current, "{arguments:?}");
    }
}

#[test]
fn a_flag_is_not_accepted_under_both_names_at_once() {
    for arguments in [
        &["serve", "--charter", "plain.hcl", "--config", "plain.hcl"][..],
        &["control", "--config", "changes.hcl", "--number", "0", "--found", "--initialize"],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        assert!(
            String::from_utf8_lossy(&output.stderr).contains("cannot be used multiple times"),
            "{output:?}"
        );
    }
}

#[test]
fn help_shows_only_the_current_names() {
    let sub_commands =
        ["", "serve", "control", "change", "changes", "workers", "members", "scale-test", "scenario"];
    let mut help = String::new();
    for sub_command in sub_commands {
        let output =
            run(&[sub_command, "--help"].into_iter().filter(|word| !word.is_empty()).collect::<Vec<_>>());
        help += &String::from_utf8_lossy(&output.stdout);
    }
    let words: Vec<_> = help.split_whitespace().collect();
    for (former, current) in [("--charter", "--config"), ("--found", "--initialize")] {
        assert!(words.contains(&current) && !words.contains(&former), "{help}");
    }
    for (former, current) in [("day", "scenario"), ("peers", "members"), ("scale", "scale-test")] {
        let is_listed = |name: &str| help.lines().any(|line| line.starts_with(&format!("  {name} ")));
        assert!(is_listed(current) && !is_listed(former), "{help}");
    }
}

/// Users depend on the field names of the report. Its values depend on the machine and are not compared.
#[test_case("scenario"; "current name")]
#[test_case("day"; "former name")]
fn the_json_report_of_a_scenario_keeps_its_fields(sub_command: &str) {
    let recorded: Value =
        serde_json::from_str(&fixture("scenario-report-as-landed.json")).expect("the fixture is valid JSON");
    let output = run(&[sub_command, "scenario.hcl", "--json", "--lag", "2"]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output:?}"));
    assert_eq!(field_paths(&report), field_paths(&recorded));
    assert_eq!(output.status.code(), Some(0), "{report:#}");
}
