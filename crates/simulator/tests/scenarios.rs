//! Scenarios in simulated time: the same seed produces the same history, and the rules hold as they do on sockets.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::play;
use std::path::Path;
use test_case::test_case;

fn small_cluster(gateways: usize, faults: Vec<ScheduledFault>) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/village.hcl");
    let mut scenario = scenario_file::open(&file).expect("a valid scenario");
    (scenario.gateways, scenario.faults) = (gateways, faults);
    scenario
}

/// A fault that lasts for two seconds.
fn fault(kind: FaultKind, at: f64, fraction: f64, magnitude: f64) -> ScheduledFault {
    ScheduledFault { name: format!("{kind:?}"), kind, at, duration: 2.0, fraction, magnitude }
}

fn overlapping_faults() -> Vec<ScheduledFault> {
    vec![
        fault(FaultKind::FunctionRelease, 3.0, 0.8, 1.0),
        fault(FaultKind::RequestFailures, 5.0, 0.3, 0.6),
        fault(FaultKind::Slowness, 7.0, 0.3, 4.0),
        fault(FaultKind::RollingReplacement, 8.0, 0.5, 1.0),
        fault(FaultKind::WorkerCrash, 9.0, 0.2, 1.0),
    ]
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let scenario = small_cluster(4, overlapping_faults());
    let [first, repeated, other_seed] = [7, 7, 8].map(|seed| play(&scenario, seed));
    assert_eq!(first.records, repeated.records);
    assert!(first.records.len() > 5_000 && first.records != other_seed.records);
}

#[test_case(1; "one gateway")]
#[test_case(6; "six gateways")]
fn the_rules_hold(gateways: usize) {
    for seed in 1..=4 {
        let report = play(&small_cluster(gateways, overlapping_faults()), seed);
        assert_eq!(report.violations, vec![], "seed {seed}");
        assert!(report.counts.calls > 1_000 && report.counts.service() > 0.9, "{:?}", report.counts);
    }
}

/// Without shared budgets, a larger number of gateways causes more fetches from the store.
#[test]
fn more_gateways_fetch_more_without_shared_budgets() {
    let fetches =
        |gateways| (1..=4).map(|seed| play(&small_cluster(gateways, vec![]), seed).fetches).sum::<u64>();
    assert!(fetches(8) as f64 > 1.2 * fetches(1) as f64, "{} {}", fetches(8), fetches(1));
}
