//! The program as its users run it: processes, signals, exit codes, and scripted days by the witness's word.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use test_case::test_case;

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_milletpath"))
}

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(name)
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

/// Rules and counts only: how well a day goes depends on the machine, whether rules hold does not.
#[test_case("days/short-day.hcl", 1300; "eight troubles, two gateways")]
#[test_case("days/cores-day.hcl", 1300; "cores that stall, panic and break")]
#[test_case("days/cold-worker.hcl", 2000; "four gateways and cold workers")]
#[test_case("days/lists-day.hcl", 2300; "lists late, lost, stalled and emptied")]
#[test_case("days/cut-day.hcl", 1300; "six gateways that know each other, over links that fail")]
fn a_day_keeps_the_rules(day: &str, least: u64) {
    let output = program().arg("day").arg(file(day)).args(["--json", "--lag", "2"]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let report: serde_json::Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {output:?}"));
    assert_eq!(report["broken"], serde_json::json!([]), "{report:#}");
    assert!(output.status.success(), "{report:#}");
    let count = |key: &str| report["whole"][key].as_u64().unwrap();
    let ends = ["handled", "late", "bounced", "terminated", "unanswered"].map(count);
    assert!(count("calls") >= least);
    assert_eq!(ends.iter().sum::<u64>(), count("calls"));
    // Not a day on which nothing worked.
    assert!(count("handled") * 2 > count("calls"), "{report:#}");
}

/// Gateways whose budgets take the likeliest count: cut in the middle, each half spends what there is for all.
#[test]
fn a_budget_that_takes_the_likeliest_count_is_found_out() {
    let day = file("days/cut-day.hcl");
    let mut command = program();
    command.arg("day").arg(day).args(["--json", "--lag", "0.5", "--plant", "likely-count"]);
    let output = command.output().unwrap();
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(report["bounds"]["orders"]["broken"].as_u64().unwrap() > 0, "{report:#}");
    assert_eq!(output.status.code(), Some(1));
}

struct Served(Child, String);

impl Drop for Served {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A gateway without a charter, and the address that its `curl` line names.
fn inside() -> Served {
    let mut child = program().arg("serve").stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.map_while(Result::ok).find(|l| l.starts_with("try: curl")).unwrap();
    let address = line.split("http://").nth(1).and_then(|rest| rest.split('/').next()).unwrap().to_owned();
    Served(child, address)
}

fn call(address: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\n";
    write!(stream, "{head}content-length: {length}\r\n\r\n{body}").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn a_newcomer_s_gateway_answers_and_stops_when_told() {
    let mut served = inside();
    let answer = call(&served.1, "hello");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hello"), "{answer}");
    kill(Pid::from_raw(served.0.id() as i32), Signal::SIGTERM).unwrap();
    assert_eq!(served.0.wait().unwrap().code(), Some(0));
}

#[test]
fn a_charter_s_mistakes_are_told_with_place_and_remedy() {
    let path = std::env::temp_dir().join(format!("milletpath-charter-{}.hcl", std::process::id()));
    std::fs::write(&path, "listn = \"127.0.0.1:1\"\nprofile \"p\" { due = 1 }\n").unwrap();
    let output = run(&["check", path.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(told.contains(":1:1: unknown key listn in the configuration; did you mean listen?"), "{told}");
    assert!(told.contains(":2:1: profile \"p\" has no effect"), "{told}");
}

#[test_case(&["serve", "--charter", "/nowhere/charter.hcl"]; "no such charter")]
#[test_case(&["day", "/nowhere/day.hcl"]; "no such day")]
#[test_case(&["fly"]; "no such command")]
fn wrong_use_exits_with_2(args: &[&str]) {
    assert_eq!(run(args).status.code(), Some(2));
}

/// The example of the operators' page is sound, and its stand-in workers serve it.
#[test]
fn the_example_charter_is_sound() {
    let output = program().arg("check").arg(file("docs/operators/example.hcl")).output().unwrap();
    assert!(output.status.success(), "{output:?}");
}
