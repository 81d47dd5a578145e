//! How service and latencies are computed.

mod records;

use milletpath_history_checker::{
    AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency, ServiceWeights, count_service, latencies,
};
use records::{call, ended, record, sent};

/// The first attempt of call 1 is rejected at 0.5 s; the second is sent and succeeds at the given times.
fn retried_call(retried_at: f64, succeeded_at: f64) -> Vec<HistoryRecord> {
    let outcome = AttemptOutcome::Succeeded;
    vec![
        record(0.0, call(1, Idempotency::Idempotent)),
        record(0.0, sent(1, 0)),
        record(0.5, ended(1, AttemptOutcome::Rejected)),
        record(retried_at, sent(1, 1)),
        record(succeeded_at, HistoryEvent::AttemptEnded { call: 1, attempt: 1, gateway: 0, outcome }),
    ]
}

/// The latency of a retried call is measured from its first attempt.
#[test]
fn service_counts_from_the_first_attempt() {
    let weights = ServiceWeights { late: 0.1, quotas: vec![], over_quota: 1.0 };
    let service = |succeeded_at| count_service(&retried_call(0.6, succeeded_at), &weights).all.service();
    assert_eq!((service(0.9), service(1.2)), (1.0, 0.1));
}

#[test]
fn calls_beyond_a_quota_count_less() {
    let history: Vec<_> = (0..10).map(|n| record(0.01, call(n, Idempotency::Idempotent))).collect();
    let weights = ServiceWeights { late: 0.0, quotas: vec![Some(4.0)], over_quota: 0.5 };
    let counts = count_service(&history, &weights).all;
    assert_eq!((counts.importance, counts.unanswered), (4.0 + 6.0 * 0.5, 10));
}

/// For a call with two attempts, the latency is that of the successful attempt, from the time at which it was sent.
#[test]
fn latencies_are_of_attempts_that_succeeded() {
    let mut history = retried_call(1.0, 1.25);
    assert_eq!(latencies(&history, [0.0, 1.0]), Some([0.25, 0.25]));
    history.truncate(3);
    assert_eq!(latencies(&history, [0.5]), None);
}
