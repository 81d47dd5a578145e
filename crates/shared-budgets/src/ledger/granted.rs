//! The lender's side of leases: what was granted to whom, and who requests how much.

use crate::lease::IncomingRequest;
use crate::process_id::ProcessId;
use crate::step_function::StepFunction;
use std::collections::BTreeMap;

/// A borrower that is no process of this fleet: stands for what a predecessor of this process may have granted.
const PREDECESSOR_ID: ProcessId = 0;

/// What is known of one borrower.
#[derive(Clone, Debug, Default)]
struct Borrower {
    /// The latest request: its number, its level, and when it arrived.
    request_number: u64,
    requested: f64,
    requested_at: f64,
    /// What was granted, until when.
    levels: StepFunction,
}

impl Borrower {
    fn requested_within(&self, seconds: f64, now: f64) -> bool {
        now - self.requested_at < seconds
    }
}

/// Leases that a gateway has granted, by borrower. The gateways of the fleet bound their number, together with
/// [`remove_expired`](Self::forget_expired).
#[derive(Clone, Debug, Default)]
pub(super) struct GrantedLeases(BTreeMap<ProcessId, Borrower>);

impl GrantedLeases {
    /// Counts a level as granted until `end`: what a predecessor of this process may have leased.
    pub(super) fn assume_granted_by_predecessor(&mut self, end: f64, level: f64) {
        self.grant(PREDECESSOR_ID, end, level);
    }

    /// Records a request; returns whether it is newer than all before it.
    pub(super) fn record_request(&mut self, now: f64, request: IncomingRequest) -> bool {
        let borrower = self.0.entry(request.borrower).or_default();
        if request.number <= borrower.request_number {
            return false;
        }
        if request.releases {
            borrower.levels.cap(request.level);
        }
        borrower.request_number = request.number;
        borrower.requested = request.level;
        borrower.requested_at = now;
        true
    }

    /// Grants a level until `end`.
    pub(super) fn grant(&mut self, borrower: ProcessId, end: f64, level: f64) {
        self.0.entry(borrower).or_default().levels.add_granted(end, level);
    }

    /// What is granted now in all.
    pub(super) fn total(&self, now: f64) -> f64 {
        self.0.values().map(|borrower| borrower.levels.level_at(now)).sum()
    }

    /// What is granted now to all but one borrower.
    pub(super) fn total_of_others(&self, now: f64, borrower: ProcessId) -> f64 {
        let others = self.0.iter().filter(|(id, _)| **id != borrower);
        others.map(|(_, other)| other.levels.level_at(now)).sum()
    }

    /// What is granted now to one borrower.
    pub(super) fn level_of(&self, now: f64, borrower: ProcessId) -> f64 {
        self.0.get(&borrower).map_or(0.0, |borrower| borrower.levels.level_at(now))
    }

    /// The first borrower, by its id, that has requested something within `seconds`.
    pub(super) fn first_requester(&self, now: f64, seconds: f64) -> Option<ProcessId> {
        let mut requesters =
            self.0.iter().filter(|(_, b)| b.requested_within(seconds, now) && b.requested > 0.0);
        requesters.next().map(|(id, _)| *id)
    }

    /// The max-min fair share of one borrower among those that made a request within `seconds`: each gets what it
    /// requests up to a common level. So whoever requests little gets it, and nobody gets everything. This is the
    /// progressive filling of Bertsekas and Gallager, *Data Networks*, 6.5.2, with one link.
    pub(super) fn max_min_fair_share(
        &self,
        now: f64,
        seconds: f64,
        capacity: f64,
        borrower: ProcessId,
    ) -> f64 {
        let requested_by_borrower = self.0.get(&borrower).map_or(0.0, |borrower| borrower.requested);
        let recent = self.0.values().filter(|borrower| borrower.requested_within(seconds, now));
        let mut requested: Vec<f64> = recent.map(|borrower| borrower.requested).collect();
        requested.sort_by(f64::total_cmp);
        let mut remaining = capacity;
        let mut claimants = requested.len() as f64;
        for requested in requested {
            let common_level = remaining / claimants;
            if requested >= common_level {
                return common_level.min(requested_by_borrower);
            }
            remaining -= requested;
            claimants -= 1.0;
        }
        requested_by_borrower
    }

    /// When the next of the leases ends; none where nothing is granted.
    pub(super) fn next_end(&self) -> Option<f64> {
        self.0.values().filter_map(|borrower| borrower.levels.last_end()).min_by(f64::total_cmp)
    }

    /// Forgets leases that have ended, and borrowers that hold nothing and made no request within `seconds`.
    pub(super) fn remove_expired(&mut self, now: f64, seconds: f64) {
        self.0.values_mut().for_each(|borrower| borrower.levels.remove_expired(now));
        self.0.retain(|_, borrower| {
            borrower.levels.last_end().is_some() || borrower.requested_within(seconds, now)
        });
    }
}
