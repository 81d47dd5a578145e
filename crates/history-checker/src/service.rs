//! Service: the importance of calls answered within their latency objective, over the importance of all calls. A client's
//! retries count with its first attempt; late answers and calls beyond a group's quota earn a part.

mod latency;

pub use latency::latencies;

use crate::event::{AttemptOutcome, HistoryEvent, HistoryRecord};
use std::collections::BTreeMap;

/// What calls earn that are late, or beyond their group's quota.
#[derive(Clone, Debug, Default)]
pub struct ServiceWeights {
    /// The part of its importance that a call earns which is answered after its latency objective.
    pub late: f64,
    /// The calls a second of each client group that count in full; none where all do.
    pub quotas: Vec<Option<f64>>,
    /// The part of its importance with which a call beyond its group's quota counts.
    pub over_quota: f64,
}

/// What clients asked for and what came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCounts {
    /// All calls.
    pub calls: u64,
    /// Calls answered within their latency objective.
    pub succeeded: u64,
    /// Calls answered after it.
    pub late: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls without an answer: their gateway was killed or not reached, or their client cancelled.
    pub unanswered: u64,
    /// Attempts of all calls.
    pub attempts: u64,
    /// Importance of all calls.
    pub importance: f64,
    /// Importance earned.
    pub earned: f64,
}

impl ServiceCounts {
    /// Importance earned over the importance of all calls; 1 where there were none.
    pub fn service(&self) -> f64 {
        if self.importance > 0.0 { self.earned / self.importance } else { 1.0 }
    }

    fn add(&mut self, call: &Call, weights: &ServiceWeights) {
        self.calls += 1;
        self.attempts += call.attempts;
        self.importance += call.importance;
        match call.end {
            Some(CallEnd { at, outcome: AttemptOutcome::Succeeded }) => {
                if at - call.began <= call.latency_objective {
                    self.succeeded += 1;
                    self.earned += call.importance;
                } else {
                    self.late += 1;
                    self.earned += call.importance * weights.late;
                }
            }
            Some(CallEnd { outcome: AttemptOutcome::Rejected, .. }) => self.rejected += 1,
            Some(CallEnd { outcome: AttemptOutcome::Failed, .. }) => self.failed += 1,
            _ => self.unanswered += 1,
        }
    }
}

/// How the last attempt of a call ended; the first success counts.
#[derive(Clone, Copy)]
struct CallEnd {
    at: f64,
    outcome: AttemptOutcome,
}

struct Call {
    began: f64,
    latency_objective: f64,
    importance: f64,
    fault: Option<usize>,
    attempts: u64,
    end: Option<CallEnd>,
}

/// What a client group may still call within its quota: a token bucket of one second, and of one call at least.
struct QuotaBucket {
    tokens: f64,
    filled_at: f64,
}

impl QuotaBucket {
    /// Takes a token; gives whether there was none.
    fn is_exceeded(&mut self, at: f64, quota: f64) -> bool {
        self.tokens = (self.tokens + (at - self.filled_at) * quota).min(quota.max(1.0));
        self.filled_at = at;
        let exceeded = self.tokens < 1.0;
        self.tokens -= if exceeded { 0.0 } else { 1.0 };
        exceeded
    }
}

/// Service of a history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// All calls.
    pub all: ServiceCounts,
    /// The calls made during each fault of the scenario, by its number.
    pub by_fault: BTreeMap<usize, ServiceCounts>,
}

/// Counts all calls of a history, and those that were made during each fault.
pub fn count_service(records: &[HistoryRecord], weights: &ServiceWeights) -> Service {
    let mut service = Service::default();
    for call in calls(records, weights).values() {
        service.all.add(call, weights);
        if let Some(fault) = call.fault {
            service.by_fault.entry(fault).or_default().add(call, weights);
        }
    }
    service
}

fn calls(records: &[HistoryRecord], weights: &ServiceWeights) -> BTreeMap<u64, Call> {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut buckets: BTreeMap<usize, QuotaBucket> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::RequestIssued { call, group, importance, latency_objective, fault, .. } => {
                let quota = weights.quotas.get(group).copied().flatten();
                let exceeded = quota.is_some_and(|quota| {
                    let bucket = buckets.entry(group);
                    bucket.or_insert(QuotaBucket { tokens: quota, filled_at: *at }).is_exceeded(*at, quota)
                });
                let importance = importance * if exceeded { weights.over_quota } else { 1.0 };
                let began = *at;
                let state = Call { began, latency_objective, importance, fault, attempts: 0, end: None };
                calls.insert(call, state);
            }
            HistoryEvent::AttemptSent { call, .. } => {
                if let Some(state) = calls.get_mut(&call) {
                    state.attempts += 1;
                }
            }
            HistoryEvent::AttemptEnded { call, outcome, .. } => {
                if let Some(state) = calls.get_mut(&call)
                    && state.end.is_none_or(|end| end.outcome != AttemptOutcome::Succeeded)
                {
                    state.end = Some(CallEnd { at: *at, outcome });
                }
            }
            _ => {}
        }
    }
    calls
}
