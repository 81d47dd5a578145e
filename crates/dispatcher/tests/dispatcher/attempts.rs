//! Attempts: when one may still be sent, and what its end implies.

use super::support::*;
use milletpath_dispatcher::dispatcher::Action;
use milletpath_policy::Outcome;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use test_case::test_case;

/// The endpoint list reports a worker as draining or gone while an attempt's connection is being established. The
/// attempt ends as not sent, so nothing has run, and the request moves to another worker.
#[test_case(EndpointStatus::Draining; "draining")]
#[test_case(EndpointStatus::Gone; "gone")]
fn attempt_that_still_connects_is_not_sent_to_a_draining_worker(state: EndpointStatus) {
    let mut dispatcher = dispatcher(Effect::NonIdempotent, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let first = take_attempts(&mut dispatcher)[0];
    dispatcher.update_endpoints(1.01, false, &[entry(first.worker as u16, state)]);
    assert!(!dispatcher.begin_attempt(1.02, request, first.attempt));
    let next = take_attempts(&mut dispatcher);
    assert_eq!((next.len(), next[0].worker), (1, 1 - first.worker));
    assert!(dispatcher.begin_attempt(1.03, request, next[0].attempt));
    assert_eq!(dispatcher.counters().suppressed, 1);
}

/// No byte of an allowed attempt can be written to the worker's socket. The attempt counts as connecting again: it
/// must be allowed again before it is written, and if it times out, it counts as never run.
#[test_case(EndpointStatus::Ready, true; "the worker stays ready")]
#[test_case(EndpointStatus::Draining, false; "the worker drains first")]
fn unwritten_attempt_is_allowed_again_or_moves_to_another_worker(state: EndpointStatus, begins_again: bool) {
    let mut dispatcher = dispatcher(Effect::NonIdempotent, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let SentAttempt { attempt, worker, .. } = take_attempts(&mut dispatcher)[0];
    assert!(dispatcher.begin_attempt(1.01, request, attempt));
    dispatcher.attempt_not_written(1.02, request, attempt);
    dispatcher.update_endpoints(1.03, false, &[entry(worker as u16, state)]);
    assert_eq!(dispatcher.begin_attempt(1.04, request, attempt), begins_again);
    if begins_again {
        dispatcher.attempt_not_written(1.05, request, attempt);
        let actions = actions_until(&mut dispatcher, 1.31);
        assert!(actions.contains(&Action::CancelAttempt { request, attempt }));
        assert_eq!(sent_attempts(&actions)[0].worker, 1 - worker);
    } else {
        assert_eq!(take_attempts(&mut dispatcher)[0].worker, 1 - worker);
    }
}

/// Workers remember the idempotency key for one second after the first attempt was sent. A retry decided on within
/// that second, but connected after it, is not sent.
#[test_case(1.9, true; "within")]
#[test_case(2.1, false; "after")]
fn retry_is_begun_only_while_its_idempotency_key_is_remembered(connected_at: f64, begins: bool) {
    let mut dispatcher = dispatcher(Effect::IdempotentWithKey, 2);
    let request = submit(&mut dispatcher, 1.0, 2.9);
    let first = take_attempts(&mut dispatcher)[0];
    assert!(dispatcher.begin_attempt(1.0, request, first.attempt));
    end_attempt(&mut dispatcher, 1.5, first, Outcome::ConnectionLost);
    let retry = take_attempts(&mut dispatcher)[0];
    assert_eq!(dispatcher.begin_attempt(connected_at, request, retry.attempt), begins);
    // Only some workers know the key, so a request that may have run is not sent to another one; it ends.
    let is_final = |action: &Action| matches!(action, Action::Fail { .. } | Action::Reject { .. });
    assert_eq!(take_actions(&mut dispatcher).iter().any(is_final), !begins);
}

/// A worker with an attempt in flight is listed again in another zone. Only the workers of its previous zone remember
/// the key, so a retry in the new zone could execute the request twice.
#[test]
fn idempotency_key_stays_in_the_zone_of_its_attempt() {
    let zoned = Effect::IdempotentWithKey.setting().replace("memory = 1", "memory = 2\ngroup = \"zone\"");
    let in_zone =
        |number, zone: &str| EndpointEntry { zone: zone.into(), ..entry(number, EndpointStatus::Ready) };
    let endpoints = [in_zone(0, "a"), in_zone(1, "b")];
    let mut dispatcher = dispatcher_with(&gateway_config(&zoned, ATTEMPTS_ONLY), &endpoints);
    let request = submit(&mut dispatcher, 10.0, 2.0);
    let first = take_attempts(&mut dispatcher)[0];
    let other_zone = ["b", "a"][first.worker];
    assert!(dispatcher.begin_attempt(10.0, request, first.attempt));
    dispatcher.update_endpoints(10.1, false, &[in_zone(first.worker as u16, other_zone)]);
    end_attempt(&mut dispatcher, 10.2, first, Outcome::ConnectionLost);
    assert_eq!(take_attempts(&mut dispatcher), []);
}

/// A connection that is not established in time proves that nothing ran, whatever the profile.
#[test]
fn connect_timeout_moves_the_attempt_to_another_worker() {
    let mut dispatcher = dispatcher(Effect::NonIdempotent, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let SentAttempt { attempt, worker, .. } = take_attempts(&mut dispatcher)[0];
    let actions = actions_until(&mut dispatcher, 1.3);
    assert!(actions.contains(&Action::CancelAttempt { request, attempt }));
    assert_eq!(sent_attempts(&actions)[0].worker, 1 - worker);
    // The first connection must not be used even if it is established later.
    assert!(!dispatcher.begin_attempt(1.4, request, attempt));
}

/// The clock jumps, for example because the process was suspended. Overdue requests are answered at once, and a
/// response that was waiting in the socket is too late.
#[test]
fn answer_after_the_deadline_is_discarded() {
    let mut dispatcher = dispatcher(Effect::Idempotent, 1);
    let request = submit(&mut dispatcher, 1.0, 1.0);
    let sent = take_attempts(&mut dispatcher)[0];
    assert!(dispatcher.begin_attempt(1.0, request, sent.attempt));
    assert!(!end_attempt(&mut dispatcher, 5.0, sent, Outcome::Succeeded));
    assert!(take_actions(&mut dispatcher).iter().any(is_reject));
    assert_eq!(dispatcher.open_requests(), 0);
}
