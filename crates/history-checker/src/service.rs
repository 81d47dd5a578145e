//! Service: the importance of the calls answered within their latency objective, divided by the importance of all calls. The
//! latency of a call includes its retries. Late answers and calls beyond a group's quota count only in part.

mod latency;

pub use latency::latencies;

use crate::event::{AttemptOutcome, HistoryEvent, HistoryRecord};
use std::collections::BTreeMap;

/// The weights of calls that are answered late or exceed their group's quota.
#[derive(Clone, Debug, Default)]
pub struct ServiceWeights {
    /// The fraction of its importance that a call earns when it is answered after its latency objective.
    pub late: f64,
    /// The calls per second of each client group that count in full; `None` if all of them do.
    pub quotas: Vec<Option<f64>>,
    /// The fraction of its importance with which a call beyond its group's quota counts.
    pub over_quota: f64,
}

/// The calls that clients issued, by their outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCounts {
    /// All calls.
    pub calls: u64,
    /// Calls answered within their latency objective.
    pub succeeded: u64,
    /// Calls answered after their latency objective.
    pub late: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls without an answer: the gateway was killed or unreachable, or the client cancelled.
    pub unanswered: u64,
    /// Attempts of all calls.
    pub attempts: u64,
    /// Total importance of all calls.
    pub importance: f64,
    /// Total importance earned.
    pub earned: f64,
}

impl ServiceCounts {
    /// Importance earned divided by the importance of all calls; 1 if there were no calls.
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

/// The end of a call's last attempt, or of the first one that succeeded.
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

/// A client group's remaining quota: a token bucket that holds the calls of one second, but at least one.
struct QuotaBucket {
    tokens: f64,
    filled_at: f64,
}

impl QuotaBucket {
    /// Takes a token if one is available; returns whether the quota is exceeded.
    fn is_exceeded(&mut self, at: f64, quota: f64) -> bool {
        self.tokens = (self.tokens + (at - self.filled_at) * quota).min(quota.max(1.0));
        self.filled_at = at;
        let exceeded = self.tokens < 1.0;
        self.tokens -= if exceeded { 0.0 } else { 1.0 };
        exceeded
    }
}

/// The service in a history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// All calls.
    pub all: ServiceCounts,
    /// The calls issued during each of the scenario's faults, by the fault's number.
    pub by_fault: BTreeMap<usize, ServiceCounts>,
}

/// Counts all calls of a history, and separately those issued during each fault.
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
