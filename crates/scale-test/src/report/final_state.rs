//! Which configuration changes were applied at the end of a run.

use super::broken_bound::BrokenBound;
use crate::applied_state::AppliedState;
use std::collections::BTreeMap;

/// How many of several have the state that most have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Agreement {
    /// Those that have it.
    pub agreeing: usize,
    /// All.
    pub total: usize,
}

impl Agreement {
    fn is_complete(self) -> bool {
        self.agreeing == self.total
    }
}

/// Which configuration changes were applied at the end of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FinalState {
    /// The highest number that was committed.
    pub latest_committed: u64,
    /// The number up to which changes are applied where most agree.
    pub number: u64,
    /// The digest of the state where most agree.
    pub digest: u64,
    /// How many gateways agree.
    pub gateways: Agreement,
    /// How many control machines agree.
    pub control_machines: Agreement,
}

impl FinalState {
    /// From the state of each gateway and each control machine; none for one that does not answer.
    #[must_use]
    pub fn of(
        gateways: &[Option<AppliedState>],
        control_machines: &[Option<AppliedState>],
        latest_committed: u64,
    ) -> Self {
        let most_common = most_common_state(gateways);
        let agreement = |states: &[Option<AppliedState>]| Agreement {
            agreeing: states.iter().filter(|state| **state == Some(most_common)).count(),
            total: states.len(),
        };
        Self {
            latest_committed,
            number: most_common.number,
            digest: most_common.digest,
            gateways: agreement(gateways),
            control_machines: agreement(control_machines),
        }
    }

    /// What is not as it should be: some have another state, or all lack a change that was committed.
    #[must_use]
    pub fn broken_bound(&self) -> Option<BrokenBound> {
        if !self.gateways.is_complete() || !self.control_machines.is_complete() {
            return Some(BrokenBound::StateDiffers {
                gateways: self.gateways,
                control_machines: self.control_machines,
                number: self.number,
                digest: self.digest,
            });
        }
        let is_behind = self.number < self.latest_committed;
        is_behind
            .then_some(BrokenBound::StateBehind { number: self.number, committed: self.latest_committed })
    }
}

/// The state that most have; of several as common, that with the highest number and digest.
fn most_common_state(states: &[Option<AppliedState>]) -> AppliedState {
    let mut counts: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for state in states.iter().flatten() {
        *counts.entry((state.number, state.digest)).or_default() += 1;
    }
    let most_common = counts.into_iter().max_by_key(|(_, count)| *count);
    let (number, digest) = most_common.map_or((0, 0), |(state, _)| state);
    AppliedState { number, digest }
}
