//! A few dozen routers and cold workers. Each router knows only what it sends itself: what all of them
//! together send a cold worker has to stay under what that can take, however thin the traffic of each is.
//! Played with the desk that the station runs, in simulated time.

use milletpath_emulator::script;
use milletpath_simulator::{Cold, cold, play};
use std::path::Path;
use test_case::test_case;

/// Nine in ten workers are replaced within seven seconds, under a full load.
#[test_case(24; "two dozen")]
#[test_case(48; "four dozen")]
fn cold_workers_under_a_few_dozen_routers(routers: usize) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    let mut day = script::open(&file).expect("a sound day");
    (day.gateways, day.seconds) = (routers, 20.0);
    (day.troubles[0].part, day.traffic.rate) = (0.9, 460.0);
    for seed in 1..=2 {
        let Cold { of_bound, calls, .. } = cold(&day, &play(&day, seed, None).records);
        assert!(calls > 100, "seed {seed}: {calls} calls to cold workers");
        assert!(of_bound <= 1.0, "seed {seed}: {of_bound:.2} of what a cold worker may be sent");
    }
}
