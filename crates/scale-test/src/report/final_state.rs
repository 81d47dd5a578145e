//! The configuration state at the end of a run.

use super::broken_bound::BrokenBound;
use crate::applied_state::AppliedState;
use std::collections::BTreeMap;

/// How many members of a group are in the most common state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Agreement {
    /// Number of members in that state.
    pub agreeing: usize,
    /// Number of all members.
    pub total: usize,
}

impl Agreement {
    fn is_complete(self) -> bool {
        self.agreeing == self.total
    }
}

/// The configuration state at the end of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FinalState {
    /// Highest committed number.
    pub latest_committed: u64,
    /// Number of the most common state.
    pub number: u64,
    /// Digest of the most common state.
    pub digest: u64,
    /// Agreement among gateways.
    pub gateways: Agreement,
    /// Agreement among control machines.
    pub control_machines: Agreement,
}

impl FinalState {
    /// Computes the final state from the states of gateways and control machines; `None` stands for one that did not
    /// answer.
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

    /// The violated bound, if members are in different states or all lack a committed change.
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

/// The most common state. Among equally common ones, the one with the highest number and digest is chosen.
fn most_common_state(states: &[Option<AppliedState>]) -> AppliedState {
    let mut counts: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for state in states.iter().flatten() {
        *counts.entry((state.number, state.digest)).or_default() += 1;
    }
    let most_common = counts.into_iter().max_by_key(|(_, count)| *count);
    let (number, digest) = most_common.map_or((0, 0), |(state, _)| state);
    AppliedState { number, digest }
}
