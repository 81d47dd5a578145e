//! Results of scale tests appear in the tables, add or remove shortfalls, and yield derived runs.

mod rig;

use milletpath_capacity_model::derived_runs::derive_runs;
use milletpath_capacity_model::fitted_runs::FittedRuns;
use milletpath_capacity_model::page::tables;
use milletpath_capacity_model::roles::projections;
use milletpath_capacity_model::run;
use milletpath_capacity_model::scale;
use milletpath_capacity_model::shortfalls::{rank, shortfalls};
use rig::{RunFolder, committed_inputs, docs_folder};
use test_case::test_case;

const SCALE_RUN: &str = r#"{"gateways": 1100, "seed": 3, "broken": [], "runs": ["peers", "changes"],
 "control": {"cpu": {"p50": 0.004, "p99": 0.02, "worst": 0.05}, "bytes_in": {"p50": 7000, "p99": 9000, "worst": 11000}},
 "known": {"change": {"p50": 0.2, "p99": 0.9, "worst": WORST, "never": NEVER}},
 "not_played": ["changes: none"], "machine": {"saturated": true}}"#;

/// A result in which changes reached gateways within `worst` seconds, except that a gateway missed one `never` times.
fn scale_run(worst: &str, never: u32) -> String {
    SCALE_RUN.replace('\n', "").replace("WORST", worst).replace("NEVER", &never.to_string())
}

/// A result in which changes reach all gateways in time removes the shortfall. It appears in both tables, where values
/// that are absent from it are shown as not measured.
#[test_case("1.4", 0, true; "in time")]
#[test_case("3.2", 0, false; "too late")]
#[test_case("1.4", 2, false; "never reached")]
fn a_scale_run_appears_in_the_tables(worst: &str, never: u32, holds: bool) {
    let folder = RunFolder::new(&format!("scale-{worst}-{never}"));
    assert!(tables(&folder.0).unwrap().contains("Not run: no `scale-*.json`"));
    let after = scale_run(worst, never);
    let before = after.replace("\"changes\"", "\"shares\"").replace("\"change\"", "\"death\"");
    std::fs::write(folder.0.join("scale-after.json"), format!("{{\"progress\": 0.5}}\n{after}\n")).unwrap();
    std::fs::write(folder.0.join("scale-before.json"), format!("{before}\n")).unwrap();
    let tables = tables(&folder.0).unwrap();
    assert!(tables.contains("| 0.4, 2, 5 **MISSES** | not measured | 7, 9, 11 |"), "{tables}");
    assert!(tables.contains("| changes: none | saturated: contention is part of the values |"), "{tables}");
    assert!(tables.contains("| before | never |"));
    let late = if never > 0 { format!("{worst}; never: {never}") } else { worst.to_owned() };
    let row = format!("| after | 0.2, 0.9, {late} | {}", if holds { "holds" } else { "**MISSES**" });
    assert!(tables.contains(&row), "{row}");
    assert_eq!(tables.contains("| a configuration change"), !holds);
    let scale_runs = scale::read_all(&folder.0).unwrap();
    assert!(
        scale_runs.iter().any(|run| run.enabled("changes"))
            && scale_runs.iter().any(|run| !run.enabled("changes"))
    );
}

/// The committed derived runs are up to date: the committed scale tests yield these six and no others.
#[test]
fn committed_derived_runs_match_the_scale_tests() {
    let folder = docs_folder().join("capacity");
    let scale_runs = scale::read_all(&folder).unwrap();
    let derived = derive_runs(&scale_runs);
    assert_eq!(derived.len(), 6);
    for run in derived {
        let committed = run::read(&folder.join(format!("{}.json", run.name))).unwrap();
        assert!(committed == run, "{} is not up to date; run milletpath capacity --derive", run.name);
    }
    assert_eq!(derive_runs(&scale_runs[..3]), [], "fewer than four sizes are not enough for a run");
}

/// Of the fleets that exceeded the CPU limit, and of those whose membership did not converge, the smallest is a
/// shortfall.
#[test]
fn the_smallest_failing_fleet_is_a_shortfall() {
    let folder = RunFolder::new("scale-smallest");
    let converged = scale_run("0.9", 0);
    let write = |gateways: &str, cpu: &str, broken: &str| {
        let broken = format!("\"broken\": [{broken}]");
        let line = converged.replace("1100", gateways).replace("\"p50\": 0.004", &format!("\"p50\": {cpu}"));
        let path = folder.0.join(format!("scale-{gateways}.json"));
        std::fs::write(path, line.replace("\"broken\": []", &broken)).unwrap();
    };
    write("55", "0.012", "\"control.bytes_in in quiet\"");
    write("110", "0.0121", "\"other\", \"never settled in roll: 93 of 110\"");
    write("220", "0.04", "\"never settled in begin: 0 of 220\"");
    let (assumptions, runs) = committed_inputs();
    let scale_runs = scale::read_all(&folder.0).unwrap();
    let ranked =
        rank(&projections(&assumptions, &FittedRuns::new(runs)), &shortfalls(&assumptions, &scale_runs));
    let find = |text: &str| ranked.iter().find(|s| s.description.contains(text)).unwrap().clone();
    let cpu = find("CPU for control in the scale test");
    assert!((cpu.breaking_point - 0.1).abs() < 1e-9 && cpu.reason.contains("1.21 % (p50) among 110"));
    let convergence = find("membership converges");
    assert!((convergence.breaking_point - 0.1).abs() < 1e-9);
    assert!(convergence.reason.starts_with("never settled in roll"));
}

/// A fleet in which the mechanism was enabled but no change was measured is not shown as one without the mechanism.
#[test]
fn a_fleet_without_measured_changes_is_shown_as_after() {
    let folder = RunFolder::new("scale-none");
    let line = scale_run("0.9", 0);
    std::fs::write(folder.0.join("scale-after.json"), &line).unwrap();
    let none = line.replace("\"change\"", "\"death\"");
    std::fs::write(folder.0.join("scale-none.json"), none).unwrap();
    let tables = tables(&folder.0).unwrap();
    assert!(tables.contains("| after | never | **MISSES**, on a saturated machine |"), "{tables}");
    assert!(!tables.contains("| before |"), "{tables}");
}

#[test]
fn a_change_tested_only_in_a_small_fleet_remains_a_shortfall() {
    let folder = RunFolder::new("scale-small");
    let line = scale_run("0.9", 0).replace("1100", "60");
    std::fs::write(folder.0.join("scale-small.json"), line).unwrap();
    let tables = tables(&folder.0).unwrap();
    assert!(tables.contains("not shown among more than 60 gateways"), "{tables}");
}

#[test_case("{\"gateways\": 3}\n", "contains no scale test result"; "no result line")]
#[test_case("gateways\n", ":1:"; "not JSON")]
#[test_case("{\"gateways\": -3, \"seed\": 1, \"control\": {}}\n", ":1:"; "negative count")]
fn an_invalid_scale_run_is_reported_with_file_and_line(text: &str, expected: &str) {
    let folder = RunFolder::new(&format!("invalid-{}", text.len()));
    std::fs::write(folder.0.join("scale-invalid.json"), text).unwrap();
    let message = tables(&folder.0).unwrap_err().to_string();
    assert!(message.contains("scale-invalid.json") && message.contains(expected), "{message}");
}
