//! Builders for the records of client calls at gateway 0.

use milletpath_history_checker::{AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency};

pub fn record(at: f64, event: HistoryEvent) -> HistoryRecord {
    HistoryRecord { at, event }
}

pub fn call(call: u64, idempotency: Idempotency) -> HistoryEvent {
    let (group, importance, latency_objective, fault) = (0, 1.0, 1.0, None);
    HistoryEvent::RequestIssued { call, group, importance, latency_objective, idempotency, fault }
}

pub fn sent(call: u64, attempt: u32) -> HistoryEvent {
    HistoryEvent::AttemptSent { call, attempt, gateway: 0, timeout: 3.0 }
}

pub fn ended(call: u64, outcome: AttemptOutcome) -> HistoryEvent {
    HistoryEvent::AttemptEnded { call, attempt: 0, gateway: 0, outcome }
}
