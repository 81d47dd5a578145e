//! Slow start with any number of gateways: in any window, all gateways together send a warming worker at most N + 2 √N + 2
//! requests of mean work, where N is the number that the settings allow at that time. The example `slow_start` computes the
//! distribution over many seeds; `docs/design.md` has it for 200 seeds.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::{SlowStartReport, play, slow_start_report};
use std::path::Path;
use test_case::test_case;

fn cold_fleet() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    scenario_file::open(&file).expect("a valid scenario")
}

/// Asserts for each seed that warming workers receive attempts and that no window exceeds the bound.
fn assert_within_bound(scenario: &Scenario, seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let SlowStartReport { bound_fraction, attempts, .. } =
            slow_start_report(scenario, &play(scenario, seed).records);
        assert!(attempts > 100, "seed {seed}: {attempts} attempts at warming workers");
        assert!(bound_fraction <= 1.0, "seed {seed}: {bound_fraction:.2} of the limit of a warming worker");
    }
}

/// Most workers are replaced at once. Guards against attributing the throughput of all workers, including those that have
/// left, to the few that remain: gateways then overestimated their speed several times, and warming workers received twice
/// their budget.
#[test_case(0.6, 360.0; "60 percent")]
#[test_case(0.9, 460.0; "90 percent at full load")]
fn slow_start_limits_hold_when_most_workers_are_replaced(fraction: f64, rate: f64) {
    let mut scenario = cold_fleet();
    (scenario.faults[0].fraction, scenario.traffic.rate) = (fraction, rate);
    // Long enough for the replacements and for their initial load, when the total is largest.
    scenario.seconds = 20.0;
    assert_within_bound(&scenario, 1..=4);
}

/// The number of seeds: only one with hundreds of routers, because such a run takes long.
fn seeds(routers: usize) -> u64 {
    if routers < 100 { 2 } else { 1 }
}

/// The limits hold for any number of routers and any distribution of the traffic among them.
#[test_case(1, 1.0; "one router")]
#[test_case(3, 1.0; "three routers, even traffic")]
#[test_case(3, 3.0; "three routers, uneven traffic")]
#[test_case(12, 1.0; "twelve routers, even traffic")]
#[test_case(12, 6.0; "twelve routers, uneven traffic")]
#[test_case(24, 1.0; "two dozen routers, even traffic")]
#[test_case(24, 8.0; "two dozen routers, uneven traffic")]
#[test_case(300, 1.0; "three hundred routers, even traffic")]
#[test_case(300, 8.0; "three hundred routers, uneven traffic")]
fn slow_start_limits_hold_for_any_number_of_routers(routers: usize, uneven: f64) {
    let mut scenario = cold_fleet();
    (scenario.gateways, scenario.uneven, scenario.seconds) = (routers, uneven, 20.0);
    (scenario.faults[0].fraction, scenario.traffic.rate) = (0.9, 460.0);
    assert_within_bound(&scenario, 1..=seeds(routers));
}

/// 60 % of the workers crash and restart under the same names, and again while the first to restart are still warming up.
#[test_case(1, 1.0; "one router")]
#[test_case(3, 3.0; "three routers, uneven traffic")]
#[test_case(12, 1.0; "twelve routers")]
#[test_case(24, 8.0; "two dozen routers, uneven traffic")]
#[test_case(300, 8.0; "three hundred routers, uneven traffic")]
fn slow_start_limits_hold_for_workers_that_restart(routers: usize, uneven: f64) {
    let mut scenario = cold_fleet();
    (scenario.gateways, scenario.uneven, scenario.seconds, scenario.traffic.rate) =
        (routers, uneven, 20.0, 400.0);
    let death = |name: &str, at| ScheduledFault {
        name: name.into(),
        kind: FaultKind::WorkerCrash,
        at,
        duration: 1.0,
        fraction: 0.6,
        magnitude: 1.0,
    };
    scenario.faults = vec![death("death", 10.0), death("death-again", 14.0)];
    assert_within_bound(&scenario, 1..=seeds(routers));
}
