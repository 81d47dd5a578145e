//! Endorsement, the rule behind the quorum proof. Every gateway asserts now and then which processes it *endorses* and
//! which it *lists*:
//!
//! - A process that a majority of `max_gateways` endorses, by assertions at most `lease` seconds old, *has a quorum*. It
//!   may use more than the floor of the shared budgets.
//! - A gateway endorses only a process that it has listed for longer than `lease`, and lists a process that it endorsed
//!   for `lease` longer. So a process that is not on its list benefits from its endorsement neither now nor within the
//!   next `lease`.
//! - Hence a process that is on none of the lists of a majority, as asserted at most `lease` ago, has no quorum. The
//!   union of those lists bounds the number of gateways that have one.
//!
//! Assertions carry their age: each relay adds the time that it kept them, and an answer is no older than its request.
//! Clocks may drift by [`MAX_CLOCK_DRIFT`](crate::MAX_CLOCK_DRIFT). A process that has just started has listed nobody
//! for longer than it runs: by the time it endorses another, the promises of its predecessor have ended.
//!
//! A set of processes is sent as the sum of its members' hashes, whatever its size (see `set_difference.rs`).

use crate::config::CLOCK_MARGIN;
use crate::state::Membership;
use crate::state::member::MemberState;
use crate::state::own_sets::{OwnSets, OwnSetsEntry};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seconds between two reviews at most, since duplicate names appear and vanish by the mere passing of time.
const REFRESH_INTERVAL: f64 = 0.5;

impl Membership {
    /// Makes this gateway keep no promise from here on: a fault that tests must find.
    #[doc(hidden)]
    pub fn ignore_listing_period(&mut self) {
        self.ignores_listing_period = true;
    }

    /// Seconds on the local clock for which a promise is kept.
    fn listing_period(&self) -> f64 {
        if self.ignores_listing_period { 0.0 } else { self.config.lease * CLOCK_MARGIN }
    }

    /// Whether this gateway endorses nobody, because it departs or shares its name with another process.
    fn abstains(&self) -> bool {
        self.departing || self.now < self.name_conflict_at + self.listing_period()
    }

    /// Brings endorsements and list up to the present. To be called whenever time passed or a datagram came; it returns
    /// at once where nothing can have changed.
    pub(crate) fn refresh_endorsements(&mut self) {
        if !std::mem::take(&mut self.endorsements_outdated) && self.now < self.next_refresh_at {
            return;
        }
        let duplicates = self.duplicate_names();
        self.report_duplicate_names(&duplicates);
        self.next_refresh_at = self.update_endorsements(&duplicates);
        self.own_sets = self.compute_own_sets();
    }

    /// Applies the rules to every member, and returns when they may next have another result.
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
            // A gateway that left uses nothing more, by its own announcement.
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
        // The hashes depend on the settings: gateways with other settings cannot read each other's assertions.
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
