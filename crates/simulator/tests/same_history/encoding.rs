//! The canonical encoding of a history: a number for each kind of event, then its fields. The numbers are written out here,
//! so that variants and fields can be renamed and reordered without changing the digest.

use super::digest::Digest;
use milletpath_history_checker::{AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency, Violation};
use milletpath_simulator::SimulationReport;

fn outcome_number(outcome: AttemptOutcome) -> u64 {
    match outcome {
        AttemptOutcome::Succeeded => 1,
        AttemptOutcome::Rejected => 2,
        AttemptOutcome::Failed => 3,
        AttemptOutcome::Unreachable => 4,
        AttemptOutcome::ConnectionLost => 5,
        AttemptOutcome::Unanswered => 6,
        AttemptOutcome::Abandoned => 7,
    }
}

fn idempotency_number(idempotency: Idempotency) -> u64 {
    match idempotency {
        Idempotency::Idempotent => 1,
        Idempotency::IdempotentWithKey => 2,
        Idempotency::NonIdempotent => 3,
    }
}

/// Encodes an optional number: 0 for `None`, otherwise the number plus one.
fn optional(number: Option<usize>) -> u64 {
    number.map_or(0, |number| number as u64 + 1)
}

/// Adds an event to the digest.
pub fn encode_event(record: &HistoryRecord, digest: &mut Digest) {
    digest.float(record.at);
    match record.event {
        HistoryEvent::AttemptSent { call, attempt, gateway, timeout } => {
            numbers(digest, [1, call, u64::from(attempt), gateway as u64]);
            digest.float(timeout);
        }
        HistoryEvent::RequestIssued { call, group, importance, latency_objective, idempotency, fault } => {
            numbers(digest, [2, call, group as u64, idempotency_number(idempotency), optional(fault)]);
            digest.float(importance);
            digest.float(latency_objective);
        }
        HistoryEvent::AttemptEnded { call, attempt, gateway, outcome } => {
            numbers(digest, [3, call, u64::from(attempt), gateway as u64, outcome_number(outcome)]);
        }
        HistoryEvent::AttemptReceived { call, attempt, gateway, worker, work } => {
            numbers(digest, [4, call, u64::from(attempt), gateway as u64, worker as u64]);
            digest.float(work);
        }
        HistoryEvent::AttemptFinished { gateway, worker } => {
            numbers(digest, [5, gateway as u64, worker as u64]);
        }
        HistoryEvent::RequestExecuted { call, worker } => numbers(digest, [6, call, worker as u64]),
        HistoryEvent::LoadRequested { gateway, worker } => {
            numbers(digest, [7, gateway as u64, worker as u64]);
        }
        HistoryEvent::WorkerStarted { worker, capacity, warm } => {
            numbers(digest, [8, worker as u64, u64::from(warm)]);
            digest.float(capacity);
        }
        HistoryEvent::EndpointNotified { gateway, worker, ready } => {
            numbers(digest, [9, gateway as u64, worker as u64, u64::from(ready)]);
        }
        HistoryEvent::GatewayKilled { gateway } => numbers(digest, [10, gateway as u64]),
        HistoryEvent::GatewayRestarted { gateway } => numbers(digest, [11, gateway as u64]),
        HistoryEvent::GatewayPaused { gateway } => numbers(digest, [12, gateway as u64]),
        HistoryEvent::GatewayResumed { gateway } => numbers(digest, [13, gateway as u64]),
        HistoryEvent::DatagramSent { gateway, bytes } => numbers(digest, [14, gateway as u64, bytes as u64]),
        HistoryEvent::IncarnationObserved { gateway, incarnation } => {
            numbers(digest, [15, gateway as u64, incarnation]);
        }
        HistoryEvent::MemberStateReported { gateway, about, incarnation, state } => {
            numbers(digest, [16, gateway as u64, about as u64, incarnation, u64::from(state)]);
        }
        HistoryEvent::LinksHealed => numbers(digest, [17]),
    }
}

fn numbers<const N: usize>(digest: &mut Digest, numbers: [u64; N]) {
    numbers.into_iter().for_each(|number| digest.number(number));
}

/// Adds the values of a report to the digest, without its history.
pub fn encode_report(report: &SimulationReport, digest: &mut Digest) {
    for Violation { rule, at, what } in &report.violations {
        digest.number(u64::from(*rule));
        digest.float(*at);
        what.bytes().for_each(|byte| digest.number(u64::from(byte)));
    }
    let counts = &report.counts;
    numbers(digest, [counts.calls, counts.succeeded, counts.late, counts.rejected, counts.failed]);
    numbers(digest, [counts.unanswered, counts.attempts]);
    digest.float(counts.importance);
    digest.float(counts.earned);
    numbers(digest, [report.fetches, report.rejected_fetches]);
    digest.float(report.warm_fraction);
    numbers(digest, [report.counters.attempts, report.counters.load_requests, report.counters.health_checks]);
    digest.float(report.bytes_per_second);
}
