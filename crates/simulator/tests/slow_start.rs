//! Slow start under any number of gateways: what all of them together send a worker that started lately stays under
//! N + 2 x root of N + 2 calls of mean work in any window, N being what the settings allow it then. The distribution over
//! 200 seeds: `docs/design.md`, example `cold`.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::{SlowStartReport, play, slow_start_report};
use std::path::Path;
use test_case::test_case;

fn cold_fleet() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    scenario_file::open(&file).expect("a sound day")
}

/// Plays a day under some seeds: each has calls to cold workers, and none of their windows is over the bound.
fn assert_within_bound(scenario: &Scenario, seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let SlowStartReport { of_bound, calls, .. } =
            slow_start_report(scenario, &play(scenario, seed, None).records);
        assert!(calls > 100, "seed {seed}: {calls} calls to cold workers");
        assert!(of_bound <= 1.0, "seed {seed}: {of_bound:.2} of what a cold worker may be sent");
    }
}

/// Most workers are replaced at once. What the rest and those that left had handled was put down to the few that are
/// left: each gateway took them for several times as quick, and the cold ones got twice their budget and more.
#[test_case(0.6, 360.0; "six in ten")]
#[test_case(0.9, 460.0; "nine in ten at a full load")]
fn a_ramp_holds_for_the_whole_fleet(part: f64, rate: f64) {
    let mut scenario = cold_fleet();
    (scenario.faults[0].fraction, scenario.traffic.rate) = (part, rate);
    // Those that are replaced and what they are sent at first, where the sum is largest.
    scenario.seconds = 20.0;
    assert_within_bound(&scenario, 1..=4);
}

/// Seeds that are played: one where hundreds of routers make a day long.
fn seeds(routers: usize) -> u64 {
    if routers < 100 { 2 } else { 1 }
}

/// However few or many routers there are, and however unevenly the traffic falls on them.
#[test_case(1, 1.0; "one router")]
#[test_case(3, 1.0; "three routers, even traffic")]
#[test_case(3, 3.0; "three routers, uneven traffic")]
#[test_case(12, 1.0; "twelve routers, even traffic")]
#[test_case(12, 6.0; "twelve routers, uneven traffic")]
#[test_case(24, 1.0; "two dozen routers, even traffic")]
#[test_case(24, 8.0; "two dozen routers, uneven traffic")]
#[test_case(300, 1.0; "three hundred routers, even traffic")]
#[test_case(300, 8.0; "three hundred routers, uneven traffic")]
fn slow_start_binds_for_any_number_of_routers(routers: usize, uneven: f64) {
    let mut scenario = cold_fleet();
    (scenario.gateways, scenario.uneven, scenario.seconds) = (routers, uneven, 20.0);
    (scenario.faults[0].fraction, scenario.traffic.rate) = (0.9, 460.0);
    assert_within_bound(&scenario, 1..=seeds(routers));
}

/// Six in ten workers die and begin anew under the same names, with a second death while the first ones are cold.
#[test_case(1, 1.0; "one router")]
#[test_case(3, 3.0; "three routers, uneven traffic")]
#[test_case(12, 1.0; "twelve routers")]
#[test_case(24, 8.0; "two dozen routers, uneven traffic")]
#[test_case(300, 8.0; "three hundred routers, uneven traffic")]
fn slow_start_binds_for_workers_that_begin_anew(routers: usize, uneven: f64) {
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
