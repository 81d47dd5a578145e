//! A few dozen routers and workers in slow start. Each router knows only what it sends itself: what all of them
//! together send a worker in slow start has to stay under what it can take, however little each of them sends.
//! Simulated with the dispatcher that the router runs.

use milletpath_emulator::scenario_file;
use milletpath_simulator::{SlowStartReport, play, slow_start_report};
use std::path::Path;
use test_case::test_case;

/// Nine in ten workers are replaced within seven seconds, under a full load.
#[test_case(24; "two dozen")]
#[test_case(48; "four dozen")]
fn slow_start_bound_holds_with_dozens_of_routers(routers: usize) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    let mut scenario = scenario_file::open(&file).expect("a sound day");
    (scenario.gateways, scenario.seconds) = (routers, 20.0);
    (scenario.faults[0].fraction, scenario.traffic.rate) = (0.9, 460.0);
    for seed in 1..=2 {
        let SlowStartReport { bound_fraction, attempts, .. } =
            slow_start_report(&scenario, &play(&scenario, seed).records);
        assert!(attempts > 100, "seed {seed}: {attempts} attempts at workers in slow start");
        assert!(
            bound_fraction <= 1.0,
            "seed {seed}: {bound_fraction:.2} of what a worker in slow start may be sent"
        );
    }
}
