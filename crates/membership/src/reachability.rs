//! Reachability: how many gateways of the cluster this gateway has fresh assertions from.

use crate::state::Membership;
use crate::state::member::Member;
use serde::{Deserialize, Serialize};

/// The share of gateways with a fresh assertion, including this one. Some variants have another name in JSON, for
/// compatibility with earlier versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// More than half of the largest possible number of gateways.
    Majority,
    /// At least one other gateway, but no majority.
    #[serde(rename = "some")]
    Minority,
    /// No other gateway.
    #[serde(rename = "nothing")]
    Nobody,
}

impl Membership {
    /// Whether the member is present and made an assertion within the last `lease` seconds.
    pub(crate) fn has_fresh_assertion(&self, member: &Member) -> bool {
        member.state.is_present() && self.now - member.last_assertion_at() < self.config.lease
    }

    /// Instance ids of the processes with which budgets can be shared: those that are present and have a fresh
    /// assertion.
    #[must_use]
    pub fn fresh_instances(&self) -> Vec<u64> {
        let fresh = self.members.iter().filter(|(_, member)| self.has_fresh_assertion(member));
        fresh.map(|(id, _)| *id).collect()
    }

    /// How much of the cluster this gateway reaches.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        // Regardless of state: a member that was declared dead is counted while its last assertion is fresh.
        let reachable = self.count_names(|member| self.now - member.last_assertion_at() < self.config.lease);
        match reachable {
            n if n > self.max_gateways() / 2 => Reachability::Majority,
            1 => Reachability::Nobody,
            _ => Reachability::Minority,
        }
    }

    /// The likely number of gateways. A gateway that reaches no other one assumes the largest possible number, because
    /// the others may be running but unreachable.
    #[must_use]
    pub fn likely_gateways(&self) -> f64 {
        match self.reachability() {
            Reachability::Nobody => self.max_gateways() as f64,
            _ => self.present_name_count() as f64,
        }
    }
}
