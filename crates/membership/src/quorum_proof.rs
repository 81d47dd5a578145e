//! The proof behind the count. Every gateway says now and then whom it *backs* and whom it *lists*:
//!
//! - who is backed by a majority of the most gateways that there may be, by words at most `lease` seconds old, has
//!   *standing*, and may use added than the floor of what is shared;
//! - a gateway backs only whom it has listed for longer than `lease`, and keeps on its list for as long whom it backed:
//!   so whoever is not on its list has no use of its backing now, nor for another `lease`;
//! - so whoever is on none of the lists of a majority, as said at most `lease` ago, has no standing. All others
//!   together are the max_with_quorum count that may be true.
//!
//! Words carry their age: a sender adds what it kept them for, and an answer can't be older than its question. Clocks
//! may run apart by [`DRIFT`]. A process that has just begun has listed nobody for longer than itself: when it first
//! backs another, what its former self promised has ended.
//!
//! A set is told as one sum of marks, whatever its size. The receiver finds out how it differs from its own, by two
//! members at most; one that differs by added says nothing until both have heard the same.

use crate::member::{Member, MemberState};
use crate::membership::Membership;
use crate::view::MembershipEvent;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part by which clocks may run faster or slower than true time: several times what is seen of quartz.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// What a wait of one's own is longer by, so that it outlasts the same wait on a slower clock.
const CLOCK_MARGIN: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;

/// How another's set differs from one's own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct SetDifference {
    added: [Option<u64>; 2],
    removed: [Option<u64>; 2],
}

/// Sets by their sums: one's own, all lives that are known by their marks, and how others differed when last looked at.
struct SetComparisons<'m> {
    members_by_hash: &'m BTreeMap<u64, u64>,
    own: u64,
    known: BTreeMap<u64, Option<SetDifference>>,
}

impl<'m> SetComparisons<'m> {
    fn new(members_by_hash: &'m BTreeMap<u64, u64>, own: u64) -> Self {
        Self { members_by_hash, own, known: BTreeMap::new() }
    }

    /// How a set of that sum differs from one's own; none where that can't be told.
    fn difference(&mut self, other: u64) -> Option<SetDifference> {
        let (members_by_hash, own) = (self.members_by_hash, self.own);
        *self.known.entry(other).or_insert_with(|| difference(members_by_hash, own, other))
    }
}

fn difference(members_by_hash: &BTreeMap<u64, u64>, own: u64, other: u64) -> Option<SetDifference> {
    let (up, down) = (other.wrapping_sub(own), own.wrapping_sub(other));
    let one = |sum: u64| members_by_hash.get(&sum).copied();
    // Two that make up a sum; or one that does once another is taken from it.
    let two = |sum: u64| {
        members_by_hash.iter().find_map(|(member_hash, instance_id)| {
            let other = one(sum.wrapping_sub(*member_hash)).filter(|other| other != instance_id)?;
            Some([Some(*instance_id), Some(other)])
        })
    };
    let swapped = || {
        members_by_hash.iter().find_map(|(member_hash, removed)| {
            let added = one(up.wrapping_add(*member_hash)).filter(|added| added != removed)?;
            Some(SetDifference { added: [Some(added), None], removed: [Some(*removed), None] })
        })
    };
    if up == 0 {
        return Some(SetDifference::default());
    }
    let added = |added| SetDifference { added, ..SetDifference::default() };
    let removed = |removed| SetDifference { removed, ..SetDifference::default() };
    (one(up).map(|instance_id| added([Some(instance_id), None])))
        .or_else(|| one(down).map(|instance_id| removed([Some(instance_id), None])))
        .or_else(swapped)
        .or_else(|| two(up).map(added))
        .or_else(|| two(down).map(removed))
}

/// One's own sets as they stand.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnSets {
    /// All lives that are known, by their marks.
    members_by_hash: BTreeMap<u64, u64>,
    pub endorsed: u64,
    pub listed: u64,
    listed_ids: BTreeSet<u64>,
    endorses_self: bool,
}

/// What is proven at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuorumProof {
    /// Until when a majority backs this gateway.
    pub quorum_until: f64,
    /// The most gateways that may have standing, and until when that is proven.
    pub max_with_quorum: usize,
    pub bound_until: f64,
}

impl Membership {
    /// The most gateways that there may be: the largest figure that any known one's charter gives, or as many as are
    /// there where that is added.
    pub(crate) fn max_gateways(&self) -> usize {
        let present = || self.members.values().filter(|m| m.state.is_present());
        let stated = present().map(|m| m.max_gateways).fold(self.identity.max_gateways, u32::max);
        (stated as usize).max(self.present_names())
    }

    /// Names under which a gateway is believed to be there, one's own among them.
    pub(crate) fn present_names(&self) -> usize {
        let present = self.members.values().filter(|m| m.state.is_present());
        let mut names: BTreeSet<&str> = present.map(|m| m.name.as_str()).collect();
        names.insert(&self.identity.name);
        names.len()
    }

    /// Seconds for which a promise is kept here.
    fn promise_seconds(&self) -> f64 {
        if self.breaks_promises { 0.0 } else { self.config.lease * CLOCK_MARGIN }
    }

    /// Keeps no promise from here on: a fault for tests to find.
    #[doc(hidden)]
    pub fn break_promises(&mut self) {
        self.breaks_promises = true;
    }

    /// Whether it backs nobody: about to go, or not alone under its name.
    fn abstains(&self) -> bool {
        self.departing || self.now < self.name_conflict_at + self.promise_seconds()
    }

    /// Brings the lists up to the present; called whenever time passed or a word came, and does something where that
    /// changes them.
    pub(crate) fn review_endorsements(&mut self) {
        /// Seconds between two looks at names that are used twice.
        const REVIEW_SECONDS: f64 = 0.5;
        if !std::mem::take(&mut self.needs_review) && self.now < self.next_review_at {
            return;
        }
        let duplicates = self.duplicate_names();
        self.report_duplicate_names(&duplicates);
        let (now, wait, abstains) = (self.now, self.promise_seconds(), self.abstains());
        let mut due = now + REVIEW_SECONDS;
        let mut later = |time: f64| due = if time > now { due.min(time) } else { due };
        later(self.name_conflict_at + wait);
        for m in self.members.values_mut() {
            let present = m.state.is_present();
            let backs = present && !abstains && now >= m.listed_since + wait && !duplicates.contains(&m.name);
            if m.endorsed && !backs {
                m.last_endorsed_at = now;
            }
            m.endorsed = backs;
            // Who left uses nothing added, by its own word.
            let listed = present || m.state == MemberState::Dead && now < m.last_endorsed_at + wait;
            m.listed_since = if listed { m.listed_since.min(now) } else { f64::INFINITY };
            [m.listed_since, m.last_endorsed_at].into_iter().for_each(|start| later(start + wait));
        }
        self.next_review_at = due;
        self.own_sets = self.summarize_sets();
    }

    /// Names under which two processes are heard at present: the former one still speaks after the next had begun.
    pub(crate) fn duplicate_names(&self) -> BTreeSet<String> {
        let heard_lately =
            |m: &&Member| m.state.is_present() && self.now - m.last_assertion_at() < self.config.lease;
        let mut first: BTreeMap<&str, (f64, f64)> =
            BTreeMap::from([(self.identity.name.as_str(), (self.started_at, self.now))]);
        let mut duplicates = BTreeSet::new();
        for m in self.members.values().filter(heard_lately) {
            let new = (m.first_known_at, m.last_assertion_at());
            if let Some(old) = first.insert(&m.name, new) {
                let ((_, last_assertion), (started, _)) = if old.0 < new.0 { (old, new) } else { (new, old) };
                if last_assertion > started {
                    duplicates.insert(m.name.clone());
                }
                first.insert(&m.name, if old.0 < new.0 { new } else { old });
            }
        }
        duplicates
    }

    /// Tells of names that are used twice, again and again while they are.
    fn report_duplicate_names(&mut self, duplicates: &BTreeSet<String>) {
        /// Seconds between two lines in the log.
        const REPEAT_SECONDS: f64 = 30.0;
        if duplicates.contains(&self.identity.name) {
            self.name_conflict_at = self.now;
        }
        self.reported_name_conflicts.retain(|name, _| duplicates.contains(name));
        for name in duplicates {
            let due = self
                .reported_name_conflicts
                .get(name)
                .is_none_or(|reported| self.now - reported >= REPEAT_SECONDS);
            if due {
                self.reported_name_conflicts.insert(name.clone(), self.now);
                self.record_event(MembershipEvent::DuplicateName { name: name.clone() });
            }
        }
    }

    fn summarize_sets(&self) -> OwnSets {
        // Gateways that go by other figures don't count each other's words.
        let figures =
            [self.max_gateways() as f64, self.config.lease, self.config.floor].map(f64::to_le_bytes).concat();
        let domain = xxh3_64_with_seed(&figures, 0);
        let member_hash = |instance_id: u64| xxh3_64_with_seed(&instance_id.to_le_bytes(), domain);
        let mut sets = OwnSets { endorses_self: !self.abstains(), ..OwnSets::default() };
        let own = (&self.identity.instance_id, sets.endorses_self, !self.departing);
        let others =
            self.members.iter().map(|(instance_id, m)| (instance_id, m.endorsed, m.listed_since.is_finite()));
        for (instance_id, endorsed, listed) in std::iter::once(own).chain(others) {
            let member_hash = member_hash(*instance_id);
            sets.members_by_hash.insert(member_hash, *instance_id);
            if endorsed {
                sets.endorsed = sets.endorsed.wrapping_add(member_hash);
            }
            if listed {
                sets.listed = sets.listed.wrapping_add(member_hash);
                sets.listed_ids.insert(*instance_id);
            }
        }
        sets
    }

    /// What is proven now.
    pub(crate) fn quorum_proof(&self) -> QuorumProof {
        let (now, lease, max_gateways) = (self.now, self.config.lease, self.max_gateways());
        let (sets, duplicates) = (&self.own_sets, self.duplicate_names());
        let (mut endorsed, mut listed) = (
            SetComparisons::new(&sets.members_by_hash, sets.endorsed),
            SetComparisons::new(&sets.members_by_hash, sets.listed),
        );
        // Of each name when the latest word was said that backs this gateway, and the latest list that can be read.
        let (mut endorsers, mut lists) = (BTreeMap::<&str, f64>::new(), BTreeMap::<&str, f64>::new());
        let mut listed_anywhere = sets.listed_ids.clone();
        for m in self.members.values().filter(|m| !duplicates.contains(&m.name)) {
            let Some(assertion) = m.assertion.filter(|s| now - s.issued_at < lease) else { continue };
            let later = |known: Option<&f64>| {
                known.map_or(assertion.issued_at, |known| known.max(assertion.issued_at))
            };
            let own_id = Some(self.identity.instance_id);
            let backs = |d: SetDifference| {
                d.added.contains(&own_id) || sets.endorses_self && !d.removed.contains(&own_id)
            };
            if endorsed.difference(assertion.endorsed).is_some_and(backs) {
                endorsers.insert(&m.name, later(endorsers.get(m.name.as_str())));
            }
            if let Some(difference) = listed.difference(assertion.listed) {
                listed_anywhere.extend(difference.added.iter().flatten());
                lists.insert(&m.name, later(lists.get(m.name.as_str())));
            }
        }
        // Until when there are words of a majority, one's own among them, which is always fresh.
        let until = |assertion: BTreeMap<&str, f64>| {
            let mut assertion: Vec<f64> = assertion.into_values().collect();
            assertion.sort_by(|a, b| b.total_cmp(a));
            match max_gateways / 2 {
                0 => f64::INFINITY,
                others => assertion.get(others - 1).map_or(f64::NEG_INFINITY, |issued| issued + lease),
            }
        };
        let quorum_until = if sets.endorses_self { until(endorsers) } else { f64::NEG_INFINITY };
        let bound_until = until(lists);
        QuorumProof {
            quorum_until,
            max_with_quorum: if now < bound_until {
                listed_anywhere.len().min(max_gateways)
            } else {
                max_gateways
            },
            bound_until,
        }
    }
}

#[cfg(test)]
mod tests;
