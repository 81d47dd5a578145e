//! The borrower's side of leases: what is held from whom, and which requests may still be answered.

use crate::lease::{GatewayLevel, GrantTerms, sort_by_level};
use crate::process_id::ProcessId;
use crate::step_function::StepFunction;
use std::collections::{BTreeMap, VecDeque};

/// Requests to one lender whose answer is still of use: no more are under way within the duration of a lease.
const MAX_PENDING_REQUESTS: usize = 12;

/// A request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: f64,
    /// The most that is held of the lender's from this request on.
    level: f64,
}

/// What is known of one lender.
#[derive(Clone, Debug, Default)]
struct Lender {
    /// Oldest first; at most [`MAX_PENDING_REQUESTS`].
    pending: VecDeque<PendingRequest>,
    /// What is held, until when.
    levels: StepFunction,
    /// What the lender stated that it could grant beside, in answer to a request that was sent at `spare_as_of`.
    spare: f64,
    spare_as_of: f64,
}

/// Leases that a gateway holds, by lender. The gateways of the fleet bound their number, together with
/// [`remove_expired`](Self::forget_expired).
#[derive(Clone, Debug, Default)]
pub(super) struct HeldLeases(BTreeMap<ProcessId, Lender>);

impl HeldLeases {
    /// Records a request that is sent: from now on at most `level` of the lender's is held.
    pub(super) fn record_request(&mut self, now: f64, lender: ProcessId, number: u64, level: f64) {
        let lender = self.0.entry(lender).or_default();
        lender.levels.cap(level);
        if lender.pending.len() == MAX_PENDING_REQUESTS {
            lender.pending.pop_front();
        }
        lender.pending.push_back(PendingRequest { number, sent_at: now, level });
    }

    /// Records a grant that holds for `duration` seconds from when it was requested. Later requests cap its level; one in
    /// answer to no known request is ignored.
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
        let since = lender.pending.iter().skip(index);
        let level = since.map(|request| request.level).fold(terms.level, f64::min);
        let end = sent_at + duration;
        if end > now {
            lender.levels.add_held(end, level);
        }
        if sent_at >= lender.spare_as_of {
            lender.spare = terms.spare;
            lender.spare_as_of = sent_at;
        }
    }

    /// What is held until a time at least, in all.
    pub(super) fn total(&self, until: f64) -> f64 {
        self.0.values().map(|lender| lender.levels.level_at(until)).sum()
    }

    /// What is held now, in all, once these requests are sent.
    pub(super) fn total_after(&self, now: f64, requests: &[GatewayLevel]) -> f64 {
        let cap = |lender: ProcessId| {
            let request = requests.iter().find(|request| request.gateway == lender);
            request.map_or(f64::INFINITY, |request| request.level)
        };
        self.0.iter().map(|(id, lender)| lender.levels.level_at(now).min(cap(*id))).sum()
    }

    /// Lenders from which something is held, and how much: most first.
    pub(super) fn lenders(&self, now: f64) -> Vec<GatewayLevel> {
        let levels = self.0.iter().map(|(id, lender)| (*id, lender.levels.level_at(now)));
        let mut lenders: Vec<_> = levels.map(|(gateway, level)| GatewayLevel { gateway, level }).collect();
        lenders.retain(|lender| lender.level > 0.0);
        sort_by_level(&mut lenders);
        lenders
    }

    /// What a lender stated that it could grant beside, if it was asked less than `age` seconds ago.
    pub(super) fn reported_spare(&self, now: f64, lender: ProcessId, age: f64) -> Option<f64> {
        self.0.get(&lender).filter(|lender| now - lender.spare_as_of < age).map(|lender| lender.spare)
    }

    /// Forgets leases that have ended, and lenders of which nothing is held and nothing was requested within `seconds`.
    pub(super) fn remove_expired(&mut self, now: f64, seconds: f64) {
        self.0.values_mut().for_each(|lender| lender.levels.remove_expired(now));
        self.0.retain(|_, lender| {
            let requested_at = lender.pending.back().map(|request| request.sent_at);
            lender.levels.last_end().is_some() || requested_at.is_some_and(|at| now - at < seconds)
        });
    }
}
