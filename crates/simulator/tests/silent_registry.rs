//! The registry falls silent while workers drain and restart: what it would have told counts as told, and gateways have to
//! find out by themselves. In simulated time, over many seeds.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::{SlowStartReport, Variation, play, play_varied, slow_start_report};
use std::path::Path;
use test_case::test_case;

/// The rule on draining workers.
const DRAIN_RULE: u8 = 3;

fn scenario(day: &str, gateways: usize, faults: Vec<ScheduledFault>) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(day);
    let mut scenario = scenario_file::open(&file).expect("a valid scenario");
    (scenario.gateways, scenario.faults) = (gateways, faults);
    scenario
}

fn fault(kind: FaultKind, at: f64, duration: f64, fraction: f64) -> ScheduledFault {
    ScheduledFault { name: format!("{kind:?}"), kind, at, duration, fraction, magnitude: 1.0 }
}

/// Half of the workers are replaced, one after the other, while the registry is silent.
fn drains_in_silence(gateways: usize) -> Scenario {
    let silence = fault(FaultKind::RegistryStall, 4.0, 9.0, 1.0);
    let replacement = fault(FaultKind::RollingReplacement, 4.5, 6.0, 0.5);
    let mut scenario = scenario("village.hcl", gateways, vec![silence, replacement]);
    scenario.seconds = 16.0;
    scenario
}

#[test_case(1, 100; "one gateway")]
#[test_case(3, 100; "three gateways")]
#[test_case(30, 10; "thirty gateways")]
fn draining_workers_get_nothing_new_while_the_registry_is_silent(gateways: usize, seeds: u64) {
    for seed in 1..=seeds {
        let report = play(&drains_in_silence(gateways), seed);
        assert_eq!(report.violations, vec![], "seed {seed}");
        assert!(report.counts.calls > 500 && report.counts.service() > 0.8, "{seed}: {:?}", report.counts);
    }
}

/// The same days with gateways that believe the list for good: the rule that they break is the one that is tested.
#[test]
fn gateways_that_believe_a_silent_registry_break_the_rule() {
    let variation = Variation { believes_silent_registry: true, ..Variation::default() };
    let breaks = |seed| {
        let report = play_varied(&drains_in_silence(3), seed, variation);
        report.violations.iter().filter(|violation| violation.rule == DRAIN_RULE).count()
    };
    assert!((1..=5).all(|seed| breaks(seed) > 0));
}

/// Without drains a silence costs hardly any service.
#[test_case(3; "three gateways")]
#[test_case(30; "thirty gateways")]
fn a_silent_registry_costs_hardly_any_service(gateways: usize) {
    let mut scenario =
        scenario("village.hcl", gateways, vec![fault(FaultKind::RegistryStall, 4.0, 9.0, 1.0)]);
    scenario.seconds = 16.0;
    let served = |variation| -> f64 {
        (1..=10).map(|seed| play_varied(&scenario, seed, variation).counts.service()).sum()
    };
    let before = served(Variation { believes_silent_registry: true, ..Variation::default() });
    let now = served(Variation::default());
    assert!(now >= 0.95 * before, "{now:.3} of 10 where {before:.3} are served on the list alone");
}

/// Six in ten workers restart while the registry is silent, at their addresses: they are cold, and no gateway was told.
#[test_case(1, 1.0; "one gateway")]
#[test_case(3, 3.0; "three gateways, uneven traffic")]
#[test_case(24, 8.0; "two dozen gateways, uneven traffic")]
fn slow_start_binds_for_workers_that_restart_in_silence(gateways: usize, uneven: f64) {
    let faults =
        vec![fault(FaultKind::RegistryStall, 8.0, 12.0, 1.0), fault(FaultKind::WorkerCrash, 10.0, 1.0, 0.6)];
    let mut scenario = scenario("cold-fleet.hcl", gateways, faults);
    (scenario.uneven, scenario.seconds, scenario.traffic.rate) = (uneven, 20.0, 400.0);
    for seed in 1..=3 {
        let variation = Variation { same_address: true, ..Variation::default() };
        let report = play_varied(&scenario, seed, variation);
        let SlowStartReport { bound_fraction, attempts, .. } = slow_start_report(&scenario, &report.records);
        assert!(attempts > 100, "seed {seed}: {attempts} attempts at warming workers");
        assert!(
            bound_fraction <= 1.0,
            "seed {seed}: {bound_fraction:.2} of what a warming worker may be sent"
        );
    }
}
