//! The operators' view of a gateway's membership state. Some fields have another name in JSON, for compatibility with
//! earlier versions.

use crate::reachability::Reachability;
use crate::state::Membership;
use crate::state::counters::Counters;
use crate::state::member::Member;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Another gateway process, as this gateway knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the gateway.
    pub name: String,
    /// Address on which it receives datagrams.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Random instance id of the process, in hexadecimal.
    #[serde(rename = "life")]
    pub instance_id: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Seconds since it entered that state.
    #[serde(rename = "since")]
    pub seconds_in_state: f64,
    /// SWIM incarnation number.
    pub incarnation: u32,
    /// Upper bound on the age of its last assertion, in seconds; `None` if there is none.
    #[serde(rename = "age")]
    pub assertion_age: Option<f64>,
    /// Whether two active processes use its name.
    #[serde(rename = "twice")]
    pub duplicate_name: bool,
    /// The `max_gateways` setting of its configuration; 0 while unknown.
    #[serde(rename = "most")]
    pub max_gateways: u32,
}

/// The state of the cluster as one gateway knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Name of this gateway.
    pub name: String,
    /// Random instance id of this process, in hexadecimal.
    #[serde(rename = "life")]
    pub instance_id: String,
    /// SWIM incarnation number of this process.
    pub incarnation: u32,
    /// How much of the cluster this gateway reaches.
    #[serde(rename = "hears")]
    pub reachability: Reachability,
    /// Largest possible number of gateways.
    #[serde(rename = "most")]
    pub max_gateways: usize,
    /// Likely number of gateways.
    #[serde(rename = "likely")]
    pub likely_gateways: f64,
    /// Largest number of gateways that can have a quorum.
    #[serde(rename = "highest")]
    pub max_with_quorum: usize,
    /// Seconds for which the endorsements of a majority remain valid; 0 if there is no quorum.
    #[serde(rename = "stands")]
    pub quorum_seconds: f64,
    /// The fraction of the shared budgets that it may use, as a multiple of the even quota.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// The other processes, ordered by name and instance id.
    pub members: Vec<MemberView>,
    /// Counters since the start of the process.
    #[serde(rename = "tally")]
    pub counters: Counters,
}

impl Membership {
    /// Returns the view at `now`, in seconds on the caller's clock.
    #[must_use]
    pub fn view(&mut self, now: f64) -> MembershipView {
        let quota = self.quota_fraction(now);
        let (proof, duplicates) = (self.quorum_proof(), self.duplicate_names());
        let members = self.members.iter();
        let mut members: Vec<_> =
            members.map(|(id, member)| self.member_view(*id, member, &duplicates)).collect();
        members.sort_by(|a, b| (&a.name, &a.instance_id).cmp(&(&b.name, &b.instance_id)));
        MembershipView {
            name: self.identity.name.clone(),
            instance_id: format!("{:016x}", self.identity.instance_id),
            incarnation: self.identity.incarnation,
            reachability: self.reachability(),
            max_gateways: self.max_gateways(),
            likely_gateways: quota.likely_gateways,
            max_with_quorum: proof.max_with_quorum,
            quorum_seconds: (proof.quorum_until - self.now).clamp(0.0, self.config.lease),
            fraction: quota.fraction,
            members,
            counters: self.counters,
        }
    }

    fn member_view(&self, instance_id: u64, member: &Member, duplicates: &BTreeSet<String>) -> MemberView {
        MemberView {
            name: member.name.clone(),
            address: member.address,
            instance_id: format!("{instance_id:016x}"),
            state: member.state.as_str().into(),
            seconds_in_state: self.now - member.state_since,
            incarnation: member.incarnation,
            assertion_age: member.assertion.map(|assertion| self.now - assertion.issued_at),
            duplicate_name: member.state.is_present() && duplicates.contains(&member.name),
            max_gateways: member.max_gateways,
        }
    }
}
