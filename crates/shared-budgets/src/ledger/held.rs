//! The borrower's side of leases: the levels held from each lender, and the requests that may still be answered.

use crate::lease::{GatewayLevel, GrantTerms, sort_by_level};
use crate::process_id::ProcessId;
use crate::step_function::StepFunction;
use std::collections::{BTreeMap, VecDeque};

/// Number of latest requests kept for each lender; a grant that answers an older one is ignored. At the regular
/// interval, fewer requests are sent within the duration of a lease, and an answer after that time is of no use.
const MAX_PENDING_REQUESTS: usize = 12;

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: f64,
    /// Upper bound on what is held from the lender from this request on.
    level: f64,
}

/// The state of one lender.
#[derive(Clone, Debug, Default)]
struct Lender {
    /// Oldest first; at most [`MAX_PENDING_REQUESTS`].
    pending: VecDeque<PendingRequest>,
    /// The levels held, by expiry.
    levels: StepFunction,
    /// How much more the lender reported it could grant.
    spare: f64,
    /// When the request was sent that `spare` answers.
    spare_as_of: f64,
}

/// Leases that a gateway holds, by lender. Their number is bounded by the size of the fleet, as
/// [`remove_expired`](Self::remove_expired) removes idle lenders.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldLeases(BTreeMap<ProcessId, Lender>);

impl HeldLeases {
    /// Records a sent request: from now on at most `level` is held from the lender.
    pub(super) fn record_request(&mut self, now: f64, lender: ProcessId, number: u64, level: f64) {
        let lender = self.0.entry(lender).or_default();
        lender.levels.cap(level);
        if lender.pending.len() == MAX_PENDING_REQUESTS {
            lender.pending.pop_front();
        }
        lender.pending.push_back(PendingRequest { number, sent_at: now, level });
    }

    /// Records a grant that lasts `duration` seconds from when its request was sent. The levels of later requests cap
    /// it. A grant that answers no pending request is ignored.
    pub(super) fn record_grant(
        &mut self,
        now: f64,
        lender: ProcessId,
        number: u64,
        terms: GrantTerms,
        duration: f64,
    ) {
        let Some(lender) = self.0.get_mut(&lender) else { return };
        let Some(index) = lender.pending.iter().position(|request| request.number == number) else { return };
        let sent_at = lender.pending[index].sent_at;
        let requests_since = lender.pending.iter().skip(index);
        let level = requests_since.map(|request| request.level).fold(terms.level, f64::min);
        let end = sent_at + duration;
        if end > now {
            lender.levels.add_held(end, level);
        }
        if sent_at >= lender.spare_as_of {
            lender.spare = terms.spare;
            lender.spare_as_of = sent_at;
        }
    }

    /// The total of the levels held until at least the given time.
    pub(super) fn total(&self, until: f64) -> f64 {
        self.0.values().map(|lender| lender.levels.level_at(until)).sum()
    }

    /// The total held now if these requests were sent.
    pub(super) fn total_after(&self, now: f64, requests: &[GatewayLevel]) -> f64 {
        let cap = |lender: ProcessId| {
            let request = requests.iter().find(|request| request.gateway == lender);
            request.map_or(f64::INFINITY, |request| request.level)
        };
        self.0.iter().map(|(id, lender)| lender.levels.level_at(now).min(cap(*id))).sum()
    }

    /// The lenders from which leases are held, with the levels held, in descending order of level.
    pub(super) fn lenders(&self, now: f64) -> Vec<GatewayLevel> {
        let levels = self.0.iter().map(|(id, lender)| (*id, lender.levels.level_at(now)));
        let mut lenders: Vec<_> = levels.map(|(gateway, level)| GatewayLevel { gateway, level }).collect();
        lenders.retain(|lender| lender.level > 0.0);
        sort_by_level(&mut lenders);
        lenders
    }

    /// How much more a lender reported it could grant, if the request was sent less than `age` seconds ago.
    pub(super) fn reported_spare(&self, now: f64, lender: ProcessId, age: f64) -> Option<f64> {
        self.0.get(&lender).filter(|lender| now - lender.spare_as_of < age).map(|lender| lender.spare)
    }

    /// Removes leases that have ended, and lenders without leases to which no request was sent within the last
    /// `seconds`.
    pub(super) fn remove_expired(&mut self, now: f64, seconds: f64) {
        self.0.values_mut().for_each(|lender| lender.levels.remove_expired(now));
        self.0.retain(|_, lender| {
            let requested_at = lender.pending.back().map(|request| request.sent_at);
            lender.levels.last_end().is_some() || requested_at.is_some_and(|at| now - at < seconds)
        });
    }
}
