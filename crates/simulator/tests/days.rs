//! Days in simulated time: the same seed is the same history, and the rules hold in it as they do on sockets.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::play;
use std::path::Path;
use test_case::test_case;

fn village(gateways: usize, faults: &[(FaultKind, f64, f64, f64)]) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/village.hcl");
    let mut scenario = scenario_file::open(&file).expect("a sound day");
    scenario.gateways = gateways;
    let fault = |&(what, at, part, size): &(FaultKind, f64, f64, f64)| ScheduledFault {
        name: format!("{what:?}"),
        kind: what,
        at,
        duration: 2.0,
        fraction: part,
        magnitude: size,
    };
    scenario.faults = faults.iter().map(fault).collect();
    scenario
}

const BAD: [(FaultKind, f64, f64, f64); 5] = [
    (FaultKind::FunctionRelease, 3.0, 0.8, 1.0),
    (FaultKind::RequestFailures, 5.0, 0.3, 0.6),
    (FaultKind::Slowness, 7.0, 0.3, 4.0),
    (FaultKind::RollingReplacement, 8.0, 0.5, 1.0),
    (FaultKind::WorkerCrash, 9.0, 0.2, 1.0),
];

#[test]
fn the_same_seed_is_the_same_history() {
    let scenario = village(4, &BAD);
    let [one, other, another] = [7, 7, 8].map(|seed| play(&scenario, seed, None));
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
