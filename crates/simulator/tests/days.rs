//! Days in simulated time: the same seed is the same history, and the rules hold in it as they do on sockets.

use milletpath_emulator::script::{self, Day, Trouble, What};
use milletpath_simulator::play;
use std::path::Path;
use test_case::test_case;

fn village(gateways: usize, troubles: &[(What, f64, f64, f64)]) -> Day {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/village.hcl");
    let mut day = script::open(&file).expect("a sound day");
    day.gateways = gateways;
    let trouble = |&(what, at, part, size): &(What, f64, f64, f64)| Trouble {
        name: format!("{what:?}"),
        what,
        at,
        lasts: 2.0,
        part,
        size,
    };
    day.troubles = troubles.iter().map(trouble).collect();
    day
}

const BAD: [(What, f64, f64, f64); 5] = [
    (What::Release, 3.0, 0.8, 1.0),
    (What::Failures, 5.0, 0.3, 0.6),
    (What::Slowness, 7.0, 0.3, 4.0),
    (What::Rolling, 8.0, 0.5, 1.0),
    (What::Death, 9.0, 0.2, 1.0),
];

#[test]
fn the_same_seed_is_the_same_history() {
    let day = village(4, &BAD);
    let [one, other, another] = [7, 7, 8].map(|seed| play(&day, seed, None));
    assert_eq!(one.records, other.records);
    assert!(one.records.len() > 5_000 && one.records != another.records);
}

#[test_case(1)]
#[test_case(6)]
fn the_rules_hold(gateways: usize) {
    for seed in 1..=4 {
        let came = play(&village(gateways, &BAD), seed, None);
        assert_eq!(came.broken, vec![], "seed {seed}");
        assert!(came.whole.calls > 1_000 && came.whole.service() > 0.9, "{:?}", came.whole);
    }
}

/// What gateways that share nothing cost: more of them fetch more.
#[test]
fn gateways_that_share_nothing_fetch_more() {
    let fetches =
        |gateways| (1..=4).map(|seed| play(&village(gateways, &[]), seed, None).fetches).sum::<u64>();
    assert!(fetches(8) as f64 > 1.2 * fetches(1) as f64, "{} {}", fetches(8), fetches(1));
}
