//! The program as users run it: processes, signals, exit codes, and scenarios that the history checker evaluates.

use milletpath_test_support::json_fields::field_paths;
use milletpath_test_support::process::Process;
use milletpath_test_support::program::{program, repository_file, scratch_path};
use milletpath_test_support::serve_rig::{Client, call_request};
use nix::sys::signal::Signal;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};
use test_case::test_case;

/// Held while a scenario runs. Scenarios run in real time: concurrent ones would compete for the processor, and their
/// rules would be checked against the delays of an overloaded machine.
static SCENARIO_LOCK: Mutex<()> = Mutex::new(());

/// Runs a scenario while no other test of this file runs one.
fn run_scenario_alone(command: &mut Command) -> Output {
    // The lock is poisoned when another test panicked, but the scenario of that test has ended.
    let _guard = SCENARIO_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.output().unwrap()
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

/// Checks the rules, the counts and the fields of the report only: the performance in a scenario depends on the
/// machine, the rules do not. The fixture is the report of an earlier version.
#[test_case("days/short-day.hcl", 1300, Some(include_str!("fixtures/reports/day.json")); "eight faults, two gateways")]
#[test_case("days/cores-day.hcl", 1300, None; "cores that stall, panic and break")]
#[test_case("days/cold-worker.hcl", 2000, None; "four gateways and workers without instances")]
#[test_case("days/lists-day.hcl", 2300, None; "endpoint lists that are late, lost, stalled and emptied")]
#[test_case("days/cut-day.hcl", 1300, None; "six gateways with membership, over failing links")]
fn a_scenario_violates_no_rule(scenario: &str, min_calls: u64, earlier_report: Option<&str>) {
    let output = run_scenario_alone(
        program().arg("scenario").arg(repository_file(scenario)).args(["--json", "--lag", "2"]),
    );
    let text = String::from_utf8_lossy(&output.stdout);
    let report: serde_json::Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {output:?}"));
    assert_eq!(report["broken"], serde_json::json!([]), "{report:#}");
    assert!(output.status.success(), "{report:#}");
    if let Some(earlier) = earlier_report {
        assert_eq!(field_paths(&report), field_paths(&serde_json::from_str(earlier).unwrap()));
    }
    let count = |key: &str| report["whole"][key].as_u64().unwrap();
    let outcomes = ["handled", "late", "bounced", "terminated", "unanswered"].map(count);
    assert!(count("calls") >= min_calls);
    assert_eq!(outcomes.iter().sum::<u64>(), count("calls"));
    // Guards against a scenario that violates no rule because nothing succeeded.
    assert!(count("handled") * 2 > count("calls"), "{report:#}");
}

/// The injected fault divides the budgets by the most likely number of gateways. In a partition each side then spends
/// the whole budget, which the report must show as a violation.
#[test]
fn an_injected_fault_in_the_budgets_is_detected() {
    let scenario = repository_file("days/cut-day.hcl");
    let mut command = program();
    command.arg("scenario").arg(scenario).args(["--json", "--lag", "0.5", "--inject-fault", "likely-count"]);
    let output = run_scenario_alone(&mut command);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(report["bounds"]["orders"]["broken"].as_u64().unwrap() > 0, "{report:#}");
    assert_eq!(output.status.code(), Some(1));
}

/// A gateway that runs without a configuration file, on the built-in configuration.
struct BuiltInGateway {
    process: Process,
    /// The address in the `curl` command that the gateway prints.
    address: SocketAddr,
}

impl BuiltInGateway {
    fn start() -> Self {
        let mut child = program().arg("serve").stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let process = Process::new(child);
        let line = lines.map_while(Result::ok).find(|line| line.starts_with("try: curl")).unwrap();
        let address = line.split("http://").nth(1).and_then(|rest| rest.split('/').next()).unwrap();
        Self { process, address: address.parse().unwrap() }
    }
}

#[test]
fn a_gateway_without_a_configuration_file_answers_and_exits_on_sigterm() {
    let mut gateway = BuiltInGateway::start();
    let mut client = Client::connect(gateway.address).unwrap();
    client.write(&call_request("connection: close\r\n", "hello")).unwrap();
    let answer = client.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hello"), "{answer}");
    gateway.process.signal(Signal::SIGTERM);
    assert_eq!(gateway.process.exit_status().and_then(|status| status.code()), Some(0));
}

#[test]
fn errors_in_a_configuration_file_are_reported_with_place_and_remedy() {
    let path = scratch_path("configuration", ".hcl");
    std::fs::write(&path, "listn = \"127.0.0.1:1\"\nprofile \"p\" { due = 1 }\n").unwrap();
    let output = run(&["check", path.to_str().unwrap()]);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        message.contains(":1:1: unknown key listn in the configuration; did you mean listen?"),
        "{message}"
    );
    assert!(message.contains(":2:1: profile \"p\" has no idempotency"), "{message}");
}

#[test_case(&["serve", "--config", "/nowhere/config.hcl"]; "no such configuration file")]
#[test_case(&["scenario", "/nowhere/scenario.hcl"]; "no such scenario")]
#[test_case(&["fly"]; "no such command")]
fn invalid_arguments_exit_with_2(args: &[&str]) {
    assert_eq!(run(args).status.code(), Some(2));
}

/// The example configuration of the operators' documentation is valid.
#[test]
fn the_example_configuration_is_valid() {
    let output = program().arg("check").arg(repository_file("docs/operators/example.hcl")).output().unwrap();
    assert!(output.status.success(), "{output:?}");
}

/// The tables that `milletpath capacity` prints from the stored runs are those of the capacity page, which was written
/// with an earlier version.
#[test]
fn capacity_prints_the_tables_of_the_capacity_page() {
    let runs = repository_file("docs/capacity");
    let output = program().arg("capacity").arg("--runs").arg(runs).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    let tables = String::from_utf8(output.stdout).unwrap();
    let page = std::fs::read_to_string(repository_file("docs/CAPACITY.md")).unwrap();
    assert!(page.contains(tables.trim()), "the page does not contain what is printed:\n{tables}");
}

#[test_case(&["capacity", "--runs", "/nowhere"]; "no such folder of runs")]
#[test_case(&["capacity", "--page", "/nowhere/page.md"]; "no such page")]
fn invalid_capacity_arguments_exit_with_2(args: &[&str]) {
    let output = program().args(args).current_dir(repository_file("")).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}
