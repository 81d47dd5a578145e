//! Cold workers under many gateways: what all of them send together stays under what a cold worker can take, and what is put
//! down to chance, however few warm ones are left. The distribution over 200 seeds: `docs/design.md`, example `cold`.

use milletpath_emulator::script;
use milletpath_simulator::{Cold, cold, play};
use std::path::Path;
use test_case::test_case;

/// Most workers are replaced at once. What the rest and those that left had handled was put down to the few that are
/// left: each gateway took them for several times as quick, and the cold ones got twice their budget and more.
#[test_case(0.6, 360.0; "six in ten")]
#[test_case(0.9, 460.0; "nine in ten at a full load")]
fn a_ramp_holds_for_the_whole_fleet(part: f64, rate: f64) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    let mut day = script::open(&file).expect("a sound day");
    (day.troubles[0].part, day.traffic.rate) = (part, rate);
    // Those that are replaced and what they are sent at first, where the sum is largest.
    day.seconds = 20.0;
    for seed in 1..=4 {
        let Cold { of_bound, calls, .. } = cold(&day, &play(&day, seed, None).records);
        assert!(calls > 100, "seed {seed}: {calls} calls to cold workers");
        assert!(of_bound <= 1.0, "seed {seed}: {of_bound:.2} of what a cold worker may be sent");
    }
}
