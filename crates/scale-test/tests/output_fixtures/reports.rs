//! Reports of fixed findings, as JSON and as a table.

use crate::fixture::assert_matches_fixture;
use milletpath_config_log::Outcome;
use milletpath_scale_test::budgets::{CountRange, WorstTotal};
use milletpath_scale_test::change_propagation::{ChangeOutcomes, Uncommitted};
use milletpath_scale_test::distribution::{ConvergenceSamples, Distribution};
use milletpath_scale_test::membership_tracker::ConvergenceTimes;
use milletpath_scale_test::plan::{Plan, Play, read};
use milletpath_scale_test::proposal::ProposalError;
use milletpath_scale_test::report::{
    Agreement, CallCounts, ControlCost, ControlMachineCost, Convergence, EndpointUpdateCost,
    FailureDetection, FinalState, Findings, FollowerCost, MachineUsage, MemberFigures, PlayResult, Report,
    StopReason,
};
use milletpath_scale_test::stop_reason::ProcessFailure;
use std::collections::BTreeMap;
use test_case::test_case;

/// A plan with limits on all resources and a play of each kind but `changes`; `settled` occurs twice.
const LIMITED_PLAN: &str = r#"name = "limited"
seed = 7
gateways = 12
real = 2
limit = 90
memory_gb = 3
region "a" { zones = ["a1", "a2"] }
region "b" { zones = ["b1"] }
links {
  within = 1
  across = 50
}
peers { period = 0.2 }
budgets { quota = 10 }
workers { hollow = 10 }
control { runs = ["membership", "budgets", "list", "changes"] }
changes { control = 5 }
grant {
  cpu = 0.01
  memory_mb = 150.5
  bytes = 2000
  change = 0.75
}
play "begin" { does = "start" }
play "quiet" { does = "settled" }
play "at-work" {
  does = "settled"
  changes = 15
}
play "roll" { does = "restarts" }
play "rack-gone" { does = "rack" }
play "zone-gone" {
  does = "zone"
  zone = "a2"
}
play "apart" {
  does = "cut"
  regions = ["a", "b"]
}
play "workers-back" {
  does = "list"
  zone = "b1"
}
play "leader-gone" { does = "control" }
"#;

fn limited_plan() -> Plan {
    read(LIMITED_PLAN, None).unwrap_or_else(|errors| panic!("{errors:?}"))
}

fn times(seconds: &[f32], never: usize) -> ConvergenceSamples {
    ConvergenceSamples { seconds: seconds.to_vec(), never }
}

/// One value for each gateway, starting with gateway 0.
fn of_gateways(figures: &[f64]) -> MemberFigures {
    figures.iter().copied().enumerate().collect()
}

fn result_of(play: &Play, started_at: f64, seconds: f64) -> PlayResult {
    PlayResult { seconds, ..PlayResult::new(play, started_at) }
}

/// Control-plane cost of three gateways and two control machines, scaled by `factor`.
fn cost(factor: f64) -> ControlCost {
    let figures = |values: [f64; 3]| of_gateways(&values.map(|value| factor * value));
    ControlCost {
        seconds: 14.75,
        converged: factor < 2.0,
        utilization: Some(0.46 * factor),
        unread_gateways: 1,
        cpu: figures([0.004, 0.0062, 0.005_123_4]),
        dispatcher_cpu: figures([0.001, 0.002, 0.0015]),
        memory_mb: figures([100.25, 99.0, 151.75]),
        bytes_in: figures([1_234.5, 1_500.0, 1_100.25]),
        bytes_out: figures([1_834.5, 1_700.0, 0.25]),
        datagrams_in: figures([12.5, 11.0, 3.0]),
        datagrams_out: figures([7.5, 8.0, 9.25]),
        follower: FollowerCost {
            cpu: figures([0.0001, 0.0002, 0.0004]),
            bytes_in: figures([100.0, 120.0, 90.0]),
            bytes_out: figures([50.0, 60.5, 45.0]),
            state_bytes: figures([2_000.0, 2_000.0, 1_024.0]),
        },
        control_machines: ControlMachineCost {
            cpu: of_gateways(&[0.02 * factor, 0.05]),
            memory_mb: of_gateways(&[12.0, 14.5]),
            bytes_in: of_gateways(&[3_000.0, 20_000.0]),
            bytes_out: of_gateways(&[90_000.0, 400.0]),
        },
    }
}

fn worst(sum: f64, bound: f64, broken_seconds: u64, first_broken_in: Option<&str>) -> WorstTotal {
    let gateways = CountRange { fewest: 3, most: 12 };
    let first_broken_in = first_broken_in.map(str::to_owned);
    WorstTotal { sum, bound, seconds: 77, gateways, broken_seconds, first_broken_in }
}

/// Results of all plays of the limited plan, in which every optional value is set at least once.
fn results_with_everything(plan: &Plan) -> Vec<PlayResult> {
    let mut results: Vec<PlayResult> = (plan.plays.iter().enumerate())
        .map(|(n, play)| result_of(play, 10.125 * n as f64, 10.0 + n as f64 / 8.0))
        .collect();
    results[0].convergence =
        Some(Convergence { after: Some(4.25), waited: 4.25, known_to_all: 12, total: 12 });
    results[0].membership_times.join = times(&[0.5, 1.25, 3.0, 2.75], 0);
    results[1].control_cost = Some(cost(1.0));
    results[2].control_cost = Some(cost(2.0));
    results[2].changes = Some(ChangeOutcomes {
        proposed: 15,
        committed_count: 13,
        uncommitted: vec![
            Uncommitted::Change { change: 3, error: ProposalError::Superseded { by: 9 } },
            Uncommitted::Change { change: 4, error: ProposalError::NotCommitted(Outcome::Unknown) },
        ],
        commit_times: times(&[0.25, 0.5], 2),
        propagation_times: times(&[0.5, 0.625, 1.5, 0.875], 3),
        gateways_missing_changes: 2,
        catch_up_times: times(&[], 0),
    });
    results[3].convergence = Some(Convergence { after: None, waited: 30.5, known_to_all: 11, total: 12 });
    results[3].changes =
        Some(ChangeOutcomes { catch_up_times: times(&[0.125, 2.5], 1), ..ChangeOutcomes::default() });
    results[4].failure_detection = Some(FailureDetection { detected_by: 9, total: 10 });
    results[4].membership_times = ConvergenceTimes {
        death: times(&[4.5, 3.25], 2),
        join: times(&[1.0], 0),
        healing: ConvergenceSamples::default(),
        false_deaths: 0,
    };
    results[6].membership_times =
        ConvergenceTimes { healing: times(&[], 4), false_deaths: 3, ..ConvergenceTimes::default() };
    results[7].endpoint_updates = Some(EndpointUpdateCost {
        workers: 333,
        revisions: 20,
        seconds: 4.0625,
        slowest_removal: 0.012_345,
        slowest_addition: 0.001_25,
        dispatcher_cpu: Some(Distribution { p50: 0.01, p99: 0.02, worst: 0.031_25 }),
    });
    results[8].killed_control_machine = Some(2);
    results[8].changes = Some(ChangeOutcomes {
        proposed: 20,
        committed_count: 20,
        commit_times: times(&[0.25, 7.5], 0),
        propagation_times: times(&[0.125], 0),
        ..ChangeOutcomes::default()
    });
    results
}

/// A state that all five control machines and `agreeing_gateways` of twelve gateways have reached.
fn final_state(latest_committed: u64, number: u64, digest: u64, agreeing_gateways: usize) -> FinalState {
    FinalState {
        latest_committed,
        number,
        digest,
        gateways: Agreement { agreeing: agreeing_gateways, total: 12 },
        control_machines: Agreement { agreeing: 5, total: 5 },
    }
}

fn findings_with_everything(plan: &Plan) -> Findings {
    let budgets = [
        ("quota all".to_owned(), worst(12.5, 10.0, 4, Some("apart"))),
        ("ration".to_owned(), worst(240.0, 240.0, 0, None)),
        ("share".to_owned(), worst(12.000_5, 12.0, 1, None)),
    ];
    Findings {
        plays: results_with_everything(plan),
        budgets: BTreeMap::from(budgets),
        machine: MachineUsage {
            cores: 8,
            utilization: Some(0.625),
            utilization_while_measuring: None,
            peak_utilization: Some(0.97),
            own_utilization: 0.5,
            memory_gb: 1.75,
            dropped_datagrams: 3,
            overflowed_datagrams: 4,
            lost_datagrams: 1_234,
        },
        calls: Some(CallCounts { sent: 400, succeeded: 399 }),
        state: Some(final_state(33, 33, 0xdead_beef, 11)),
    }
}

/// Findings of a run that measured nothing, with results of the first plays only.
fn bare_findings(plan: &Plan, plays: usize) -> Findings {
    let results = plan.plays.iter().take(plays).map(|play| result_of(play, 0.5, 2.0)).collect();
    let machine = MachineUsage { cores: 4, ..MachineUsage::default() };
    Findings { plays: results, budgets: BTreeMap::new(), machine, calls: None, state: None }
}

fn assert_report_matches(name: &str, report: &Report) {
    assert_matches_fixture(&format!("{name}.txt"), &report.to_string());
    let json = report.json();
    assert_matches_fixture(&format!("{name}.json"), &format!("{json}\n{json:#}\n"));
}

#[test]
fn a_report_with_every_figure_and_every_broken_bound() {
    let plan = limited_plan();
    let report = Report::new(&plan, findings_with_everything(&plan), None, 101.5);
    assert_report_matches("report-everything", &report);
}

#[test]
fn a_report_of_a_run_that_kept_all_bounds() {
    let mut plan = limited_plan();
    plan.plays.truncate(2);
    plan.limits.cpu_cores = Some(0.5);
    let mut findings = bare_findings(&plan, 2);
    findings.plays[1].control_cost = Some(ControlCost {
        follower: FollowerCost::default(),
        control_machines: ControlMachineCost::default(),
        ..cost(0.5)
    });
    findings.state = Some(final_state(5, 5, 77, 12));
    findings.machine.utilization = Some(0.25);
    let report = Report::new(&plan, findings, None, 20.0);
    assert!(report.broken.is_empty(), "{:?}", report.broken);
    assert_report_matches("report-kept", &report);
}

#[test]
fn a_report_of_a_state_that_lags_behind() {
    let plan = limited_plan();
    let mut findings = bare_findings(&plan, plan.plays.len());
    findings.state = Some(final_state(6, 5, 77, 12));
    assert_report_matches("report-lagging", &Report::new(&plan, findings, None, 20.0));
}

fn control_thread_ended() -> ProcessFailure {
    ProcessFailure::HollowGateway { gateway: 3, reason: "its control thread ended by itself".into() }
}

#[test_case("report-stopped", StopReason::Stopped, 1)]
#[test_case("report-limit", StopReason::TimeLimit, 4)]
#[test_case("report-memory", StopReason::MemoryLimit { gigabytes: 3.25 }, 0)]
#[test_case("report-failed", StopReason::Failed(control_thread_ended()), 2)]
fn a_report_of_a_run_that_ended_early(name: &str, reason: StopReason, plays: usize) {
    let plan = limited_plan();
    assert_report_matches(name, &Report::new(&plan, bare_findings(&plan, plays), Some(reason), 12.5));
}
