//! The lender's side of leases: the levels granted to and requested by each borrower.

use crate::lease::IncomingRequest;
use crate::process_id::ProcessId;
use crate::step_function::StepFunction;
use std::collections::BTreeMap;

/// Pseudo-borrower to which everything that this process's predecessor may have granted is attributed. No process has
/// this id.
const PREDECESSOR_ID: ProcessId = 0;

/// The state of one borrower.
#[derive(Clone, Debug, Default)]
struct Borrower {
    /// Number of the latest request.
    request_number: u64,
    /// Level of the latest request.
    requested: f64,
    /// When the latest request arrived.
    requested_at: f64,
    /// The levels granted, by expiry.
    levels: StepFunction,
}

impl Borrower {
    fn requested_within(&self, seconds: f64, now: f64) -> bool {
        now - self.requested_at < seconds
    }
}

/// Leases that a gateway has granted, by borrower. Their number is bounded by the size of the fleet, as
/// [`remove_expired`](Self::remove_expired) removes idle borrowers.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantedLeases(BTreeMap<ProcessId, Borrower>);

impl GrantedLeases {
    /// Counts a level that this process's predecessor may have leased as granted until `end`.
    pub(super) fn assume_granted_by_predecessor(&mut self, end: f64, level: f64) {
        self.grant(PREDECESSOR_ID, end, level);
    }

    /// Records a request. Returns whether it is newer than all previous requests of the borrower.
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

    /// Records a grant of a level until `end`.
    pub(super) fn grant(&mut self, borrower: ProcessId, end: f64, level: f64) {
        self.0.entry(borrower).or_default().levels.add_granted(end, level);
    }

    /// The total currently granted.
    pub(super) fn total(&self, now: f64) -> f64 {
        self.0.values().map(|borrower| borrower.levels.level_at(now)).sum()
    }

    /// The total currently granted to all borrowers except one.
    pub(super) fn total_of_others(&self, now: f64, borrower: ProcessId) -> f64 {
        let others = self.0.iter().filter(|(id, _)| **id != borrower);
        others.map(|(_, other)| other.levels.level_at(now)).sum()
    }

    /// The level currently granted to one borrower.
    pub(super) fn level_of(&self, now: f64, borrower: ProcessId) -> f64 {
        self.0.get(&borrower).map_or(0.0, |borrower| borrower.levels.level_at(now))
    }

    /// The borrower with the lowest id that has requested a nonzero level within the last `seconds`.
    pub(super) fn first_requester(&self, now: f64, seconds: f64) -> Option<ProcessId> {
        let mut requesters = self
            .0
            .iter()
            .filter(|(_, borrower)| borrower.requested_within(seconds, now) && borrower.requested > 0.0);
        requesters.next().map(|(id, _)| *id)
    }

    /// The max-min fair share of one borrower among those that made a request within the last `seconds`. Each
    /// borrower gets what it requests, up to a common level: small requests are met in full, and no borrower can take
    /// everything from the others. This is progressive filling (Bertsekas and Gallager, *Data Networks*, 6.5.2) with
    /// a single link.
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
        let mut remaining_borrowers = requested.len() as f64;
        for requested in requested {
            let common_level = remaining / remaining_borrowers;
            if requested >= common_level {
                return common_level.min(requested_by_borrower);
            }
            remaining -= requested;
            remaining_borrowers -= 1.0;
        }
        requested_by_borrower
    }

    /// The earliest time at which all leases to some borrower have ended; `None` if nothing is granted.
    pub(super) fn next_end(&self) -> Option<f64> {
        self.0.values().filter_map(|borrower| borrower.levels.last_end()).min_by(f64::total_cmp)
    }

    /// Removes leases that have ended, and borrowers without leases that made no request within the last `seconds`.
    pub(super) fn remove_expired(&mut self, now: f64, seconds: f64) {
        self.0.values_mut().for_each(|borrower| borrower.levels.remove_expired(now));
        self.0.retain(|_, borrower| {
            borrower.levels.last_end().is_some() || borrower.requested_within(seconds, now)
        });
    }
}
