//! Evaluation of the assertions of other members: until when this gateway has a quorum, and how many gateways can have
//! one. The rule that makes the proof sound is described in `endorsement.rs`.

use crate::quorum::set_difference::{SetComparisons, SetDifference};
use crate::state::Membership;
use std::collections::{BTreeMap, BTreeSet};

/// The facts proven at one point in time. Times are seconds on the local clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuorumProof {
    /// Time until which a majority endorses this gateway.
    pub quorum_until: f64,
    /// Largest number of gateways that can have a quorum.
    pub max_with_quorum: usize,
    /// Time until which `max_with_quorum` is proven.
    pub bound_until: f64,
}

impl QuorumProof {
    /// Time until which a fraction derived from the proof at `now` is valid. If no bound is proven, `max_with_quorum`
    /// is `max_gateways`, which does not expire.
    pub(crate) fn valid_until(&self, now: f64) -> f64 {
        if now < self.bound_until { self.quorum_until.min(self.bound_until) } else { self.quorum_until }
    }
}

/// The fresh assertions whose sets can be determined, by the name of the gateway that made them.
struct Evidence<'m> {
    /// When each gateway last asserted that it endorses this one.
    endorsed_at: BTreeMap<&'m str, f64>,
    /// When each gateway last asserted a list that can be determined.
    listed_at: BTreeMap<&'m str, f64>,
    /// Instance ids on any of those lists or on this gateway's own list.
    listed_ids: BTreeSet<u64>,
}

impl Membership {
    /// Returns what the current assertions prove.
    pub(crate) fn quorum_proof(&self) -> QuorumProof {
        let max_gateways = self.max_gateways();
        let evidence = self.collect_evidence();
        let quorum_until = if self.own_sets.endorses_self {
            self.majority_until(max_gateways, evidence.endorsed_at)
        } else {
            f64::NEG_INFINITY
        };
        let bound_until = self.majority_until(max_gateways, evidence.listed_at);
        let proven = self.now < bound_until;
        let max_with_quorum = if proven { evidence.listed_ids.len().min(max_gateways) } else { max_gateways };
        QuorumProof { quorum_until, max_with_quorum, bound_until }
    }

    fn collect_evidence(&self) -> Evidence<'_> {
        let (sets, duplicates) = (&self.own_sets, self.duplicate_names());
        let own_id = Some(self.identity.instance_id);
        let mut endorsed_sets = SetComparisons::new(&sets.members_by_hash, sets.endorsed);
        let mut listed_sets = SetComparisons::new(&sets.members_by_hash, sets.listed);
        let mut evidence = Evidence {
            endorsed_at: BTreeMap::new(),
            listed_at: BTreeMap::new(),
            listed_ids: sets.listed_ids.clone(),
        };
        // Processes that share a name are not counted.
        for member in self.members.values().filter(|member| !duplicates.contains(&member.name)) {
            let fresh = member.assertion.filter(|a| self.now - a.issued_at < self.config.lease);
            let Some(assertion) = fresh else { continue };
            let endorses_this_gateway = |difference: SetDifference| {
                difference.added.contains(&own_id)
                    || sets.endorses_self && !difference.removed.contains(&own_id)
            };
            if endorsed_sets.difference(assertion.endorsed).is_some_and(endorses_this_gateway) {
                keep_latest(&mut evidence.endorsed_at, &member.name, assertion.issued_at);
            }
            if let Some(difference) = listed_sets.difference(assertion.listed) {
                evidence.listed_ids.extend(difference.added.iter().flatten());
                keep_latest(&mut evidence.listed_at, &member.name, assertion.issued_at);
            }
        }
        evidence
    }

    /// Time until which the assertions of a majority are fresh. The majority includes this gateway, whose own
    /// assertion is always fresh.
    fn majority_until(&self, max_gateways: usize, asserted_at: BTreeMap<&str, f64>) -> f64 {
        let others_needed = max_gateways / 2;
        if others_needed == 0 {
            return f64::INFINITY;
        }
        let mut newest_first: Vec<f64> = asserted_at.into_values().collect();
        newest_first.sort_by(|a, b| b.total_cmp(a));
        let oldest_needed = newest_first.get(others_needed - 1);
        oldest_needed.map_or(f64::NEG_INFINITY, |issued_at| issued_at + self.config.lease)
    }
}

fn keep_latest<'m>(latest: &mut BTreeMap<&'m str, f64>, name: &'m str, time: f64) {
    let entry = latest.entry(name).or_insert(time);
    *entry = entry.max(time);
}
