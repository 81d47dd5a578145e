use super::*;
use crate::scenario_file::{ScheduledFault, open};
use std::path::Path;

/// Guards against changes in what a seed means: the late joiners must be the recorded ones.
#[test]
fn late_joiners_are_as_recorded() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let mut scenario = open(&folder.join("cut-day.hcl")).expect("a valid scenario");
    scenario.gateways = 12;
    let starts = [("gateway-join", 0.3), ("gateway-join-at-noon", 0.5), ("gateway-join-at-night", 0.9)];
    let late_start = |(name, fraction): (&str, f64)| ScheduledFault {
        name: name.into(),
        kind: FaultKind::LateGatewayStart,
        at: 0.0,
        duration: 0.0,
        fraction,
        magnitude: 1.0,
    };
    scenario.faults = starts.map(late_start).to_vec();
    let late = LateJoiners::choose(&scenario, 49);
    let chosen: Vec<_> = starts.iter().map(|(name, _)| late.in_fault(name)).collect();
    assert_eq!(chosen, [vec![9, 8, 1, 6], vec![3, 4, 2, 10, 7, 0], vec![11]]);
}
