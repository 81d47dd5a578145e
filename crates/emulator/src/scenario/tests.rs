use super::*;
use crate::scenario_file::open;

/// Gateways that start late are chosen as they were when these values were taken.
#[test]
fn late_joiners_are_as_recorded() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let mut scenario = open(&folder.join("cut-day.hcl")).expect("a valid scenario");
    scenario.gateways = 12;
    let joins = [("gateway-join", 0.3), ("gateway-join-at-noon", 0.5), ("gateway-join-at-night", 0.9)];
    scenario.faults = joins
        .map(|(name, part)| ScheduledFault {
            name: name.into(),
            kind: FaultKind::LateGatewayStart,
            at: 0.0,
            duration: 0.0,
            fraction: part,
            magnitude: 1.0,
        })
        .to_vec();
    let seed = 49_u64;
    let late = late(&scenario, &mut ChaCha8Rng::seed_from_u64(seed ^ 0x10_7a7e));
    let chosen: Vec<_> = joins.iter().map(|(name, _)| late[*name].clone()).collect();
    assert_eq!(chosen, [vec![9, 8, 1, 6], vec![3, 4, 2, 10, 7, 0], vec![11]]);
}
