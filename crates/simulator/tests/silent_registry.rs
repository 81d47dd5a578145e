//! The registry stalls while workers drain and restart. The rules deem its notifications delivered all the same, so gateways
//! have to detect the changes on their own. The tests run in simulated time over many seeds.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::{SimulationOptions, SlowStartReport, play, play_with_options, slow_start_report};
use std::path::Path;
use test_case::test_case;

/// The number of the rule on draining workers.
const DRAIN_RULE: u8 = 3;

fn scenario(file_name: &str, gateways: usize, faults: Vec<ScheduledFault>) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(file_name);
    let mut scenario = scenario_file::open(&file).expect("a valid scenario");
    (scenario.gateways, scenario.faults) = (gateways, faults);
    scenario
}

fn fault(kind: FaultKind, at: f64, duration: f64, fraction: f64) -> ScheduledFault {
    ScheduledFault { name: format!("{kind:?}"), kind, at, duration, fraction, magnitude: 1.0 }
}

/// Half of the workers are replaced one by one while the registry is stalled.
fn drains_during_stall(gateways: usize) -> Scenario {
    let stall = fault(FaultKind::RegistryStall, 4.0, 9.0, 1.0);
    let replacement = fault(FaultKind::RollingReplacement, 4.5, 6.0, 0.5);
    let mut scenario = scenario("village.hcl", gateways, vec![stall, replacement]);
    scenario.seconds = 16.0;
    scenario
}

#[test_case(1, 100; "one gateway")]
#[test_case(3, 100; "three gateways")]
#[test_case(30, 10; "thirty gateways")]
fn draining_workers_get_no_new_work_during_a_registry_stall(gateways: usize, seeds: u64) {
    for seed in 1..=seeds {
        let report = play(&drains_during_stall(gateways), seed);
        assert_eq!(report.violations, vec![], "seed {seed}");
        assert!(report.counts.calls > 500 && report.counts.service() > 0.8, "{seed}: {:?}", report.counts);
    }
}

/// Gateways whose endpoint list never expires violate the drain rule in the same scenarios, which shows that the scenarios
/// test the rule.
#[test]
fn gateways_with_a_stale_endpoint_list_violate_the_drain_rule() {
    let options = SimulationOptions { endpoint_list_never_expires: true, ..SimulationOptions::default() };
    let drain_violations = |seed| {
        let report = play_with_options(&drains_during_stall(3), seed, options);
        report.violations.iter().filter(|violation| violation.rule == DRAIN_RULE).count()
    };
    assert!((1..=5).all(|seed| drain_violations(seed) > 0));
}

/// Without drains, a registry stall costs hardly any service.
#[test_case(3; "three gateways")]
#[test_case(30; "thirty gateways")]
fn a_registry_stall_costs_hardly_any_service(gateways: usize) {
    let mut scenario =
        scenario("village.hcl", gateways, vec![fault(FaultKind::RegistryStall, 4.0, 9.0, 1.0)]);
    scenario.seconds = 16.0;
    let total_service = |options| -> f64 {
        (1..=10).map(|seed| play_with_options(&scenario, seed, options).counts.service()).sum()
    };
    let without_expiry = total_service(SimulationOptions {
        endpoint_list_never_expires: true,
        ..SimulationOptions::default()
    });
    let with_expiry = total_service(SimulationOptions::default());
    assert!(
        with_expiry >= 0.95 * without_expiry,
        "total service {with_expiry:.3} of 10, but {without_expiry:.3} when the endpoint list never expires"
    );
}

/// During a registry stall, 60 % of the workers restart at the same addresses: they are warming up, and no gateway has been
/// notified.
#[test_case(1, 1.0; "one gateway")]
#[test_case(3, 3.0; "three gateways, uneven traffic")]
#[test_case(24, 8.0; "24 gateways, uneven traffic")]
fn slow_start_limits_hold_for_workers_that_restart_during_a_registry_stall(gateways: usize, uneven: f64) {
    let faults =
        vec![fault(FaultKind::RegistryStall, 8.0, 12.0, 1.0), fault(FaultKind::WorkerCrash, 10.0, 1.0, 0.6)];
    let mut scenario = scenario("cold-fleet.hcl", gateways, faults);
    (scenario.uneven, scenario.seconds, scenario.traffic.rate) = (uneven, 20.0, 400.0);
    for seed in 1..=3 {
        let options = SimulationOptions { reuse_worker_addresses: true, ..SimulationOptions::default() };
        let report = play_with_options(&scenario, seed, options);
        let SlowStartReport { bound_fraction, attempts, .. } = slow_start_report(&scenario, &report.records);
        assert!(attempts > 100, "seed {seed}: {attempts} attempts at warming workers");
        assert!(bound_fraction <= 1.0, "seed {seed}: {bound_fraction:.2} of the limit of a warming worker");
    }
}
