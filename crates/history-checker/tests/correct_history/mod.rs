//! A correct history into which tests inject faults, and builders for the events of workers and of the registry.

use crate::records::{call, ended, record, sent};
use milletpath_history_checker::{
    AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency, RuleParameters, WindowLimit,
};

/// The rule parameters that the tests use.
pub const PARAMETERS: RuleParameters = RuleParameters {
    drain_grace: 1.0,
    initial_capacity: 0.2,
    warm_up: 10.0,
    overload_multiple: 2.0,
    overload_window: 1.0,
    load_rate_limit: Some(WindowLimit { window: 10.0, free: 1.0, per_request: 0.5 }),
    tolerance: 0.05,
};

pub fn received(call: u64, worker: usize) -> HistoryEvent {
    HistoryEvent::AttemptReceived { call, attempt: 0, gateway: 0, worker, work: 0.1 }
}

pub fn executed(call: u64, worker: usize) -> HistoryEvent {
    HistoryEvent::RequestExecuted { call, worker }
}

pub fn load_requested(worker: usize) -> HistoryEvent {
    HistoryEvent::LoadRequested { gateway: 0, worker }
}

pub fn endpoint_notified(worker: usize, ready: bool) -> HistoryEvent {
    HistoryEvent::EndpointNotified { gateway: 0, worker, ready }
}

pub fn started(worker: usize, capacity: f64, warm: bool) -> HistoryEvent {
    HistoryEvent::WorkerStarted { worker, capacity, warm }
}

/// Two workers, of which the second starts at 0.5 s and drains at 5 s, and one call of each idempotency without violations.
pub fn correct_history() -> Vec<HistoryRecord> {
    let mut events = vec![
        (0.0, started(0, 2.0, true)),
        (0.0, endpoint_notified(0, true)),
        (0.5, started(1, 2.0, false)),
        (0.6, endpoint_notified(1, true)),
    ];
    let idempotencies = [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent];
    for (number, idempotency) in idempotencies.into_iter().enumerate() {
        let (number, at) = (number as u64, 1.0 + number as f64);
        events.extend([
            (at, call(number, idempotency)),
            (at, sent(number, 0)),
            (at + 0.01, received(number, 1)),
            (at + 0.1, executed(number, 1)),
            (at + 0.2, ended(number, AttemptOutcome::Succeeded)),
        ]);
    }
    events.extend([(4.0, load_requested(1)), (5.0, endpoint_notified(1, false))]);
    events.into_iter().map(|(at, event)| record(at, event)).collect()
}

/// The correct history with additional events, in chronological order.
pub fn correct_history_with(more: Vec<(f64, HistoryEvent)>) -> Vec<HistoryRecord> {
    let mut history = correct_history();
    history.extend(more.into_iter().map(|(at, event)| record(at, event)));
    history.sort_by(|a, b| a.at.total_cmp(&b.at));
    history
}
