//! Detection of two active processes with the same name, due to a configuration error or because an earlier process
//! has not ended.

use crate::state::Membership;
use crate::state::event::MembershipEvent;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval, in seconds, between two reports of the same name.
const REPORT_INTERVAL: f64 = 30.0;

/// The interval within which a process is known to have been active.
#[derive(Clone, Copy)]
struct Activity {
    first_known_at: f64,
    last_active_at: f64,
}

impl Membership {
    /// Returns the names used by two active processes, which means that the older one made an assertion after the
    /// newer one was discovered.
    pub(crate) fn duplicate_names(&self) -> BTreeSet<String> {
        let own = Activity { first_known_at: self.started_at, last_active_at: self.now };
        let mut newest: BTreeMap<&str, Activity> = BTreeMap::from([(self.identity.name.as_str(), own)]);
        let mut duplicates = BTreeSet::new();
        for member in self.members.values().filter(|member| self.has_fresh_assertion(member)) {
            let activity = Activity {
                first_known_at: member.first_known_at,
                last_active_at: member.last_assertion_at(),
            };
            let Some(other) = newest.insert(&member.name, activity) else { continue };
            let (older, newer) = if other.first_known_at < activity.first_known_at {
                (other, activity)
            } else {
                (activity, other)
            };
            if older.last_active_at > newer.first_known_at {
                duplicates.insert(member.name.clone());
            }
            newest.insert(&member.name, newer);
        }
        duplicates
    }

    /// Reports names used by two processes, and repeats the reports while the conflict lasts.
    pub(crate) fn report_duplicate_names(&mut self, duplicates: &BTreeSet<String>) {
        if duplicates.contains(&self.identity.name) {
            self.name_conflict_at = self.now;
        }
        self.reported_name_conflicts.retain(|name, _| duplicates.contains(name));
        for name in duplicates {
            let reported_at = self.reported_name_conflicts.get(name);
            if reported_at.is_none_or(|at| self.now - at >= REPORT_INTERVAL) {
                self.reported_name_conflicts.insert(name.clone(), self.now);
                self.record_event(MembershipEvent::DuplicateName { name: name.clone() });
            }
        }
    }
}
