//! How much of the cluster this gateway reaches, by assertions that are fresh.

use crate::state::Membership;
use crate::state::member::Member;
use serde::{Deserialize, Serialize};

/// How many gateways have a fresh assertion, this one among them. The names in JSON are older than these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// More than half of the largest number of gateways that there may be.
    Majority,
    /// Some others, but no majority.
    #[serde(rename = "some")]
    Minority,
    /// No other gateway.
    #[serde(rename = "nothing")]
    Nobody,
}

impl Membership {
    /// Whether a present member made an assertion at most `lease` ago.
    pub(crate) fn has_fresh_assertion(&self, member: &Member) -> bool {
        member.state.is_present() && self.now - member.last_assertion_at() < self.config.lease
    }

    /// Instance ids of the processes with which budgets can be shared: those present with a fresh assertion.
    #[must_use]
    pub fn fresh_instances(&self) -> Vec<u64> {
        let fresh = self.members.iter().filter(|(_, member)| self.has_fresh_assertion(member));
        fresh.map(|(id, _)| *id).collect()
    }

    /// How much of the cluster this gateway reaches.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        // Whatever their state: a member declared dead whose assertion is fresh counts here.
        let reachable = self.count_names(|member| self.now - member.last_assertion_at() < self.config.lease);
        match reachable {
            n if n > self.max_gateways() / 2 => Reachability::Majority,
            1 => Reachability::Nobody,
            _ => Reachability::Minority,
        }
    }

    /// The likely number of gateways. A gateway that reaches nobody can't know, and assumes the largest number.
    #[must_use]
    pub fn likely_gateways(&self) -> f64 {
        match self.reachability() {
            Reachability::Nobody => self.max_gateways() as f64,
            _ => self.present_name_count() as f64,
        }
    }
}
