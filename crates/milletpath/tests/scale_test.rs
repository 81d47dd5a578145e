//! `milletpath scale-test` as users run it: its report, its exit codes, and that it leaves no process behind.
//! Performance depends on the machine, so no assertion depends on it.

use milletpath_test_support::json_fields::field_paths;
use milletpath_test_support::process::Process;
use milletpath_test_support::program::{program, repository_file, scratch_path};
use milletpath_test_support::wait::wait_at_most;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use test_case::test_case;

/// Maximum wait for a process to start or exit, far longer than either takes.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two polls of the processes.
const INTERVAL: Duration = Duration::from_millis(20);

/// A plan of eight gateways, one of them a real process, which each test extends.
const TINY_PLAN: &str = r#"name = "tiny"
gateways = 8
real = 1
processes = 2
region "a" { zones = ["a1", "a2"] }
region "b" { zones = ["b1"] }
peers {
  period = 0.3
  lease = 3
}
budgets { quota = 8 }
workers {
  hollow = 20
  real = 1
}
control { runs = ["membership", "budgets", "list"] }
"#;

/// A command that runs `milletpath scale-test` with a plan and prints the report as JSON.
fn scale_test_command(plan: &Path) -> Command {
    let mut command = program();
    command.arg("scale-test").arg(plan).arg("--json");
    command
}

fn write_plan(text: &str) -> PathBuf {
    let path = scratch_path("plan", ".hcl");
    std::fs::write(&path, text).expect("the plan can be written");
    path
}

/// Writes [`TINY_PLAN`] and more text to a file.
fn tiny_plan(more: &str) -> PathBuf {
    write_plan(&format!("{TINY_PLAN}{more}"))
}

/// Parses the output of a run: the JSON report on the last line, and the human-readable table before it.
fn read_report(output: &Output) -> (Value, String) {
    let text = String::from_utf8_lossy(&output.stdout);
    let (table, last) = text.trim_end().rsplit_once('\n').unwrap_or_else(|| panic!("{output:?}"));
    (serde_json::from_str(last).unwrap_or_else(|e| panic!("{e}: {output:?}")), table.to_owned())
}

/// Runs a plan to its end and returns the output, the JSON report and the table.
fn run(plan: &Path) -> (Output, Value, String) {
    let output = scale_test_command(plan).output().expect("the program runs");
    let (report, table) = read_report(&output);
    (output, report, table)
}

/// The median, the 99th percentile and the maximum of a measured distribution. Asserts that they are in ascending
/// order.
fn distribution(report: &Value, path: &str) -> [f64; 3] {
    let at = report.pointer(path).unwrap_or_else(|| panic!("no {path}: {report:#}"));
    let figures = ["p50", "p99", "worst"].map(|f| at[f].as_f64().unwrap_or_else(|| panic!("{path}: {at}")));
    assert!(figures[0] <= figures[1] && figures[1] <= figures[2], "{path}: {figures:?}");
    figures
}

/// Runs the complete small plan with each kind of play. The fixture is the report of an earlier version.
#[test]
fn the_small_plan_keeps_its_bounds_and_reports_all_measurements() {
    let fixture = include_str!("fixtures/reports/scale.json");
    let (output, report, table) = run(&repository_file("plans/size-small.hcl"));
    assert_eq!(
        field_paths(&report),
        field_paths(&serde_json::from_str(fixture).expect("valid JSON")),
        "{table}"
    );
    assert_eq!(report["broken"], serde_json::json!([]), "{table}");
    assert_eq!(output.status.code(), Some(0), "{table}");
    assert_eq!((&report["gateways"], &report["real"], &report["seed"]), (&60.into(), &2.into(), &1.into()));
    for figure in ["cpu", "cpu_desk", "memory_mb", "bytes_in", "bytes_out", "letters_in", "letters_out"] {
        assert!(distribution(&report, &format!("/control/{figure}"))[0] > 0.0, "{figure} is 0: {table}");
    }
    for what in ["death", "join"] {
        distribution(&report, &format!("/known/{what}"));
        assert_eq!(report["known"][what]["never"], 0, "{table}");
    }
    // When the fleet started, each of the 60 gateways learnt of at least the 59 others.
    assert!(report["known"]["join"]["learnt"].as_u64().is_some_and(|n| n >= 60 * 59), "{table}");
    // All changes proposed in the four plays with changes are in force at all running gateways, which have the same
    // state.
    let changes: Vec<_> =
        report["plays"].as_array().expect("plays").iter().filter_map(|p| p.get("changes")).collect();
    let figures =
        |of: &str| changes.iter().map(|play| play[of].as_u64().expect("a number")).collect::<Vec<_>>();
    assert_eq!(
        (figures("proposed"), figures("made")),
        (vec![20, 10, 10, 10], vec![20, 10, 10, 10]),
        "{table}"
    );
    distribution(&report, "/known/change");
    assert_eq!(report["known"]["change"]["never"], 0, "{table}");
    // 50 changes at 60 gateways, except the 10 gateways of the zone that was down during 10 of the changes.
    assert_eq!(report["known"]["change"]["learnt"], 50 * 60 - 10 * 10, "{table}");
    let state = &report["state"];
    assert_eq!((&state["equal"], &state["gateways"]), (&60.into(), &60.into()), "{table}");
    assert_eq!((&state["control_equal"], &state["control"]), (&5.into(), &5.into()), "{table}");
    assert!(state["number"].as_u64().is_some_and(|n| n >= 50), "{state}");
    for figure in ["control_changes/bytes_in", "control_changes/cpu", "control_machines/memory_mb"] {
        assert!(distribution(&report, &format!("/{figure}"))[0] > 0.0, "{figure} is 0: {table}");
    }
    for budget in ["share", "quota all", "orders"] {
        let worst = &report["budgets"][budget];
        let [sum, bound] = ["sum", "bound"].map(|f| worst[f].as_f64().expect("a number"));
        assert!(sum > 0.0 && sum <= bound * 1.000_001, "{budget}: {worst}");
    }
    let played: Vec<_> = report["plays"].as_array().expect("plays").iter().map(|p| &p["does"]).collect();
    let all = ["start", "settled", "changes", "restarts", "rack", "zone", "cut", "list", "control"];
    assert_eq!(played, all);
    let settled = |p: &&Value| p["settled"]["after"].as_f64().is_some();
    assert_eq!(report["plays"].as_array().expect("plays").iter().filter(settled).count(), 5, "{table}");
    assert_eq!(report["not_played"], serde_json::json!([]), "{report:#}");
    assert_eq!(report["runs"], serde_json::json!(["membership", "budgets", "list", "changes"]));
    assert!(report["calls"]["handled"].as_u64().is_some_and(|n| n > 0), "{table}");
    assert!(table.contains("bounds: all kept"), "{table}");
}

/// Writes [`TINY_PLAN`] and more text to a file, with three control machines, and without membership and shared
/// budgets.
fn changes_plan(more: &str) -> PathBuf {
    const RUNS: &str = "runs = [\"membership\", \"budgets\", \"list\"] }";
    assert!(TINY_PLAN.contains(RUNS));
    let text = TINY_PLAN.replace(RUNS, "runs = [\"changes\", \"list\"] }\nchanges { control = 3 }");
    write_plan(&format!("{text}{more}"))
}

/// Without membership, changes still reach all gateways, also restarted ones, and the report has no membership figures.
#[test]
fn changes_run_without_membership() {
    let plays = "links { across = 5 }\nplay \"begin\" {\n  does = \"start\"\n  over = 0\n}\n\
                 play \"burst\" {\n  does = \"changes\"\n  changes = 6\n  settle = 60\n}\n\
                 play \"zone-gone\" {\n  does = \"zone\"\n  zone = \"a1\"\n  away = 30\n  changes = 3\n}\n\
                 play \"leader-gone\" {\n  does = \"control\"\n  changes = 3\n  away = 2\n  settle = 60\n}\n\
                 play \"quiet\" {\n  does = \"settled\"\n  seconds = 3\n}\n";
    let (output, report, table) = run(&changes_plan(plays));
    assert_eq!((&report["broken"], output.status.code()), (&serde_json::json!([]), Some(0)), "{table}");
    assert_eq!(report["runs"], serde_json::json!(["changes", "list"]));
    let known: Vec<_> =
        report["known"].as_object().expect("the report has propagation times").keys().cloned().collect();
    assert_eq!(known, ["catch_up", "change"]);
    // 12 changes at eight gateways, except the three gateways of the zone that was down during three of the changes.
    assert_eq!(report["known"]["change"]["learnt"], 12 * 8 - 3 * 3, "{table}");
    assert_eq!(report["known"]["catch_up"]["learnt"], 3, "{table}");
    assert_eq!((&report["state"]["equal"], &report["state"]["control_equal"]), (&8.into(), &3.into()));
    assert!(report["plays"][3]["killed_control"].as_u64().is_some_and(|n| n < 3), "{report:#}");
    for figure in
        ["control/cpu", "control_changes/cpu", "control_changes/bytes_out", "control_machines/bytes_in"]
    {
        assert!(distribution(&report, &format!("/{figure}"))[0] > 0.0, "{figure} is 0: {table}");
    }
    assert_eq!(report.get("budgets"), None, "{table}");
}

/// The plan grants a change less time than a datagram takes, so each change is late at each gateway.
#[test]
fn late_changes_violate_a_bound() {
    let plays = "grant { change = 0.001 }\nlinks { across = 50 }\n\
                 play \"begin\" {\n  does = \"start\"\n  over = 0\n}\n\
                 play \"burst\" {\n  does = \"changes\"\n  changes = 4\n  settle = 60\n}\n";
    let (output, report, table) = run(&changes_plan(plays));
    let broken = report["broken"][0].as_str().expect("the report lists a violated bound").to_owned();
    assert!(broken.starts_with("known.change in burst: "), "{table}");
    assert!(
        broken.ends_with("where 0.00100 are granted, later at 32 of 32 changes and gateways"),
        "{broken}"
    );
    assert_eq!((report["broken"].as_array().map(Vec::len), output.status.code()), (Some(1), Some(1)));
}

/// Datagrams take longer than authors wait for an answer: no change is made, and the report says so.
#[test]
fn changes_that_are_not_made_violate_a_bound() {
    let plays = "links {\n  within = 9000\n  across = 9000\n}\n\
                 play \"begin\" {\n  does = \"start\"\n  over = 0\n}\n\
                 play \"burst\" {\n  does = \"changes\"\n  changes = 2\n  settle = 5\n}\n";
    let (output, report, table) = run(&changes_plan(plays));
    let broken = report["broken"][0].as_str().expect("the report lists a violated bound").to_owned();
    assert!(broken.starts_with("changes in burst: 0 of 2 are known to be made; change "), "{table}");
    assert!(broken.ends_with(": no control machine answers"), "{broken}");
    assert_eq!((report["broken"].as_array().map(Vec::len), output.status.code()), (Some(1), Some(1)));
    assert_eq!(report.get("known"), None, "{report:#}");
}

/// A bound that no gateway can keep is reported with the figure, the play and the number of gateways.
#[test]
fn a_violated_bound_is_reported_with_figure_and_play() {
    let plays = "grant { bytes = 1 }\nlinks { within = 1 }\n\
                 play \"begin\" {\n  does = \"start\"\n  over = 1\n  settle = 100\n}\n\
                 play \"quiet\" {\n  does = \"settled\"\n  seconds = 3\n}\n";
    let (output, report, table) = run(&tiny_plan(plays));
    let broken: Vec<_> = report["broken"]
        .as_array()
        .expect("the report lists violated bounds")
        .iter()
        .map(Value::to_string)
        .collect();
    assert_eq!(broken.len(), 2, "{table}");
    assert!(broken[0].contains("control.bytes_in in quiet:") && broken[0].contains("over it at 8 of 8"));
    assert!(broken[1].contains("control.bytes_out in quiet:"), "{broken:?}");
    assert_eq!(output.status.code(), Some(1));
    // No gateway died or left, so the report has no figures for deaths.
    assert_eq!(report["known"].get("death"), None);
    assert!(table.contains("not played: rack: not in the plan"), "{table}");
}

/// Datagrams between the regions take longer than the time in which the fleet has to settle.
#[test]
fn a_fleet_that_never_settles_violates_a_bound() {
    let plays =
        "links { across = 9000 }\nplay \"begin\" {\n  does = \"start\"\n  over = 0\n  settle = 2\n}\n";
    let (output, report, table) = run(&tiny_plan(plays));
    let broken = report["broken"][0].as_str().expect("the report lists a violated bound").to_owned();
    assert!(broken.starts_with("never settled in begin: 0 of 8 believed by all after 2"), "{table}");
    assert_eq!((report["broken"].as_array().map(Vec::len), output.status.code()), (Some(1), Some(1)));
    assert!(report["known"]["join"]["never"].as_u64().is_some_and(|n| n > 0), "{report:#}");
    assert_eq!(report.get("control"), None, "nothing was measured");
}

#[test]
fn a_run_that_exceeds_its_time_limit_ends_and_reports_the_remaining_plays() {
    let plays = "limit = 3\nlinks { within = 1 }\nplay \"begin\" {\n  does = \"start\"\n  over = 0\n}\n\
                 play \"quiet\" {\n  does = \"settled\"\n  seconds = 3000\n}\n\
                 play \"roll\" { does = \"restarts\" }\n";
    let (output, report, table) = run(&tiny_plan(plays));
    assert_eq!(
        report["broken"],
        serde_json::json!(["the run was not over after its limit of 3 s"]),
        "{table}"
    );
    let unplayed = report["not_played"].to_string();
    assert!(unplayed.contains("quiet (settled)") && unplayed.contains("roll (restarts)"), "{unplayed}");
    assert_eq!(output.status.code(), Some(1));
}

#[test_case("gatways = 9\n", ":17:1: unknown key gatways in the plan; did you mean gateways?"; "a typo")]
#[test_case("links { within = 1 }\n", ": the plan plays nothing; add play"; "no plays")]
#[test_case("play \"x\" { does = \"fly\" }\n", ":17:12: does of play \"x\" has the invalid value \"fly\""; "no such play")]
fn an_invalid_plan_is_reported_with_place_and_remedy(more: &str, error: &str) {
    let plan = tiny_plan(more);
    let output = scale_test_command(&plan).output().expect("the program runs");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains(error) && message.contains(&format!("{}:", plan.display())), "{message}");
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
}

#[test]
fn a_missing_plan_exits_with_2() {
    let output = scale_test_command(Path::new("/nowhere/plan.hcl")).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}

/// Process ids of the children of a process.
fn children(parent: u32) -> BTreeSet<i32> {
    let processes = std::fs::read_dir("/proc").expect("/proc is readable").flatten();
    let ids = processes.filter_map(|p| p.file_name().to_str()?.parse::<i32>().ok());
    let is_child = |process: &i32| {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let rest = stat.rsplit(") ").next().unwrap_or("");
        rest.split(' ').nth(1) == Some(&parent.to_string())
    };
    ids.filter(is_child).collect()
}

/// A scale test that was started, and its child processes.
struct StartedRun {
    process: Process,
    children: BTreeSet<i32>,
}

impl StartedRun {
    /// Starts a scale test and waits until it has this number of child processes.
    fn start(plan: &Path, processes: usize) -> Self {
        let child = scale_test_command(plan)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let process = Process::new(child);
        let all_started = || Some(children(process.id())).filter(|children| children.len() >= processes);
        let children = wait_at_most(TIMEOUT, INTERVAL, all_started).expect("the child processes start");
        Self { process, children }
    }

    /// Waits until the run exits by itself and returns its exit code.
    fn exit_code(&mut self) -> Option<i32> {
        let status = wait_at_most(TIMEOUT, INTERVAL, || self.process.try_exit_status());
        status.expect("the run ends").code()
    }

    /// Number of its child processes that still exist.
    fn count_remaining(&self) -> usize {
        let exists = |process: &&i32| PathBuf::from(format!("/proc/{process}")).exists();
        self.children.iter().filter(exists).count()
    }
}

/// Child processes of a run of [`TINY_PLAN`]: two that simulate gateways, and one real gateway.
const PROCESSES: usize = 3;

/// The run receives a signal itself, or, as from a terminal, together with all its child processes.
#[test_case(Signal::SIGINT, false, Some(1); "by Ctrl-C alone")]
#[test_case(Signal::SIGINT, true, Some(1); "by Ctrl-C on a terminal")]
#[test_case(Signal::SIGTERM, false, Some(1); "by SIGTERM")]
fn an_interrupted_run_leaves_no_process_behind(signal: Signal, is_sent_to_all: bool, code: Option<i32>) {
    let plays = "links { within = 1 }\nplay \"begin\" {\n  does = \"start\"\n  over = 0\n  settle = 100\n}\n\
                 play \"quiet\" {\n  does = \"settled\"\n  seconds = 100\n}\n";
    let mut run = StartedRun::start(&tiny_plan(plays), PROCESSES);
    if is_sent_to_all {
        run.children
            .iter()
            .for_each(|child| kill(Pid::from_raw(*child), signal).expect("the child process runs"));
    }
    run.process.signal(signal);
    assert_eq!(run.exit_code(), code);
    assert_eq!(run.count_remaining(), 0, "child processes remain of {:?}", run.children);
}

/// Control machines are child processes too and end with the run.
#[test]
fn control_machines_end_with_their_run() {
    const CONTROL_MACHINES: usize = 3;
    let plays = "links { within = 1 }\nplay \"begin\" {\n  does = \"start\"\n  over = 0\n}\n\
                 play \"quiet\" {\n  does = \"settled\"\n  seconds = 100\n}\n";
    let mut run = StartedRun::start(&changes_plan(plays), PROCESSES + CONTROL_MACHINES);
    run.process.signal(Signal::SIGTERM);
    assert_eq!(run.exit_code(), Some(1));
    assert_eq!(run.count_remaining(), 0, "child processes remain of {:?}", run.children);
}
