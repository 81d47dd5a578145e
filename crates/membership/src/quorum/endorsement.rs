//! The endorsement rule, on which the quorum proof is based. Every gateway regularly asserts which processes it
//! *endorses* and which processes it *lists*:
//!
//! - A process *has a quorum* if a majority of `max_gateways` endorses it, by assertions at most `lease` seconds old.
//!   Only then may it use more than the floor of the shared budgets.
//! - A gateway endorses a process only after it has listed it for longer than `lease` (the listing period), and keeps a
//!   dead process on its list for the listing period after it last endorsed it. Therefore a process that is not on its
//!   list benefits from its endorsement neither now nor within the next `lease` seconds.
//! - It follows that a process has no quorum if it is on none of the lists that a majority has asserted within the
//!   last `lease` seconds. The union of those lists bounds the number of gateways that have a quorum.
//!
//! Assertions carry their age: each gateway that relays an assertion adds the time for which it held it, and an ack is
//! sent after its request. Clocks may drift by [`MAX_CLOCK_DRIFT`](crate::MAX_CLOCK_DRIFT). A process that has just
//! started has listed no other process for longer than it has been running, so by the time it endorses one, the
//! listing periods of the endorsements made by its predecessor have ended.
//!
//! A set of processes is sent as the sum of the hashes of its members, so its encoding does not grow with the set (see
//! `set_difference.rs`).

use crate::config::CLOCK_MARGIN;
use crate::state::Membership;
use crate::state::member::MemberState;
use crate::state::own_sets::{OwnSets, OwnSetsEntry};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum interval, in seconds, between two refreshes of the endorsements. Duplicate names can appear and disappear
/// merely because time passes.
const REFRESH_INTERVAL: f64 = 0.5;

impl Membership {
    /// Makes this gateway violate the endorsement rule by reducing the listing period to zero, a fault that tests
    /// inject to verify that they detect it.
    #[doc(hidden)]
    pub fn ignore_listing_period(&mut self) {
        self.ignores_listing_period = true;
    }

    /// Listing period in seconds on the local clock: the lease, lengthened to allow for clock drift.
    fn listing_period(&self) -> f64 {
        if self.ignores_listing_period { 0.0 } else { self.config.lease * CLOCK_MARGIN }
    }

    /// Whether this gateway endorses no process, because it is departing or shares its name with another process.
    fn abstains(&self) -> bool {
        self.departing || self.now < self.name_conflict_at + self.listing_period()
    }

    /// Recomputes which processes are endorsed and listed. Must be called whenever time has passed or a datagram was
    /// received; returns immediately if nothing can have changed.
    pub(crate) fn refresh_endorsements(&mut self) {
        if !std::mem::take(&mut self.endorsements_outdated) && self.now < self.next_refresh_at {
            return;
        }
        let duplicates = self.duplicate_names();
        self.report_duplicate_names(&duplicates);
        self.next_refresh_at = self.update_endorsements(&duplicates);
        self.own_sets = self.compute_own_sets();
    }

    /// Applies the endorsement rule to every member, and returns the earliest time at which the result may change.
    fn update_endorsements(&mut self, duplicates: &BTreeSet<String>) -> f64 {
        let (now, listing_period, abstains) = (self.now, self.listing_period(), self.abstains());
        let mut next_refresh_at = now + REFRESH_INTERVAL;
        let mut refresh_at = |time: f64| {
            if time > now {
                next_refresh_at = next_refresh_at.min(time);
            }
        };
        refresh_at(self.name_conflict_at + listing_period);
        for member in self.members.values_mut() {
            let present = member.state.is_present();
            let endorsed = present
                && !abstains
                && now >= member.listed_since + listing_period
                && !duplicates.contains(&member.name);
            if member.endorsed && !endorsed {
                member.last_endorsed_at = now;
            }
            member.endorsed = endorsed;
            // A gateway that has left announced that it no longer uses the budgets, so it need not stay listed.
            let dead_but_retained =
                member.state == MemberState::Dead && now < member.last_endorsed_at + listing_period;
            let listed = present || dead_but_retained;
            member.listed_since = if listed { member.listed_since.min(now) } else { f64::INFINITY };
            refresh_at(member.listed_since + listing_period);
            refresh_at(member.last_endorsed_at + listing_period);
        }
        next_refresh_at
    }

    fn compute_own_sets(&self) -> OwnSets {
        // The settings are part of the hashes, so gateways with different settings cannot interpret each other's
        // assertions.
        let settings = [self.max_gateways() as f64, self.config.lease, self.config.floor];
        let domain = xxh3_64_with_seed(&settings.map(f64::to_le_bytes).concat(), 0);
        let mut sets = OwnSets { endorses_self: !self.abstains(), ..OwnSets::default() };
        let own = OwnSetsEntry {
            instance_id: self.identity.instance_id,
            endorsed: sets.endorses_self,
            listed: !self.departing,
        };
        let others = self.members.iter().map(|(id, member)| OwnSetsEntry {
            instance_id: *id,
            endorsed: member.endorsed,
            listed: member.listed_since.is_finite(),
        });
        for process in std::iter::once(own).chain(others) {
            let hash = xxh3_64_with_seed(&process.instance_id.to_le_bytes(), domain);
            sets.add(process, hash);
        }
        sets
    }
}
