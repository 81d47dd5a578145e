//! Slow start with dozens of routers. Each router knows only its own traffic, yet the total sent to a worker in slow
//! start must stay within the worker's limit, however little each router sends. Simulated with the dispatcher that
//! the router runs.

use milletpath_emulator::scenario_file;
use milletpath_simulator::{SlowStartReport, play, slow_start_report};
use std::path::Path;
use test_case::test_case;

/// Nine out of ten workers are replaced within seven seconds under full load.
#[test_case(24; "two dozen")]
#[test_case(48; "four dozen")]
fn slow_start_bound_holds_with_dozens_of_routers(routers: usize) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    let mut scenario = scenario_file::open(&file).expect("the scenario file is valid");
    (scenario.gateways, scenario.seconds) = (routers, 20.0);
    (scenario.faults[0].fraction, scenario.traffic.rate) = (0.9, 460.0);
    for seed in 1..=2 {
        let SlowStartReport { bound_fraction, attempts, .. } =
            slow_start_report(&scenario, &play(&scenario, seed).records);
        assert!(attempts > 100, "seed {seed}: only {attempts} attempts to workers in slow start");
        assert!(
            bound_fraction <= 1.0,
            "seed {seed}: a worker in slow start got {bound_fraction:.2} times its limit"
        );
    }
}
