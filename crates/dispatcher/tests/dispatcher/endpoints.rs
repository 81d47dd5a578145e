//! The endpoint list: workers are replaced, change their address, or disappear all at once.

use super::support::*;
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// Workers are continually replaced by others with new names. The tables must stay as small as the fleet, and nothing
/// known about a worker may carry over to the next one with its index.
#[test]
fn worker_indices_are_reused_when_the_fleet_is_replaced() {
    let mut dispatcher = dispatcher(Effect::Idempotent, 1);
    for number in 1..300_u16 {
        let now = f64::from(number) * 5.0;
        let added = entry(number, EndpointStatus::Ready);
        dispatcher.update_endpoints(now, false, &[entry(number - 1, EndpointStatus::Gone), added.clone()]);
        let request = submit(&mut dispatcher, now, 2.0);
        let attempts = take_attempts(&mut dispatcher);
        let &[sent] = &attempts[..] else { panic!("expected one attempt at {now}: {attempts:?}") };
        assert!(sent.worker < 8, "worker index {} at {now}", sent.worker);
        assert_eq!(dispatcher.worker_process(sent.worker).address, added.address);
        assert!(dispatcher.begin_attempt(now, request, sent.attempt));
        assert!(end_attempt(&mut dispatcher, now + 0.1, sent, Outcome::Succeeded));
        take_actions(&mut dispatcher);
    }
}

/// The same name at another address is a new process, which connections to the old address do not reach.
#[test]
fn worker_at_a_new_address_is_a_new_process() {
    let mut dispatcher = dispatcher(Effect::Idempotent, 1);
    let before = dispatcher.worker_process(0);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9999));
    let moved = EndpointEntry { address, ..entry(0, EndpointStatus::Ready) };
    dispatcher.update_endpoints(2.0, false, std::slice::from_ref(&moved));
    let after = dispatcher.worker_process(0);
    assert_eq!(after.address, address);
    assert!(after.process > before.process);
    // Repeating the entry changes nothing.
    dispatcher.update_endpoints(3.0, false, &[moved]);
    assert_eq!(dispatcher.worker_process(0), after);
}

/// With an empty list nothing is sent, and requests are rejected early enough for a retry to succeed in time.
#[test]
fn empty_endpoint_list_rejects_requests() {
    let mut dispatcher = dispatcher(Effect::Idempotent, 3);
    dispatcher.update_endpoints(1.0, true, &[]);
    let submitted_at = 1.5;
    let request = submit(&mut dispatcher, submitted_at, 3.0);
    let actions = advance_to(&mut dispatcher, 4.6);
    let is_answer =
        |action: &Action| matches!(action, Action::Reject { request: rejected, .. } if *rejected == request);
    let (answered_at, _) = actions.iter().find(|(_, action)| is_answer(action)).expect("an answer");
    assert!(*answered_at < submitted_at + 1.0);
    assert!(actions.iter().all(|(_, action)| !matches!(action, Action::SendAttempt { .. })));
    dispatcher.update_endpoints(5.0, true, &ready_entries(3));
    submit(&mut dispatcher, 5.0, 3.0);
    assert_eq!(take_attempts(&mut dispatcher).len(), 1);
}

/// The list becomes stale while an attempt's connection is being established, and its worker has not proved that it
/// accepts work. The attempt ends as not sent, and a worker gets no attempt before it has passed a health check.
#[test]
fn attempt_is_not_begun_once_the_list_is_stale() {
    const VALID_FOR: f64 = 2.5;
    let mut config = gateway_config(Effect::NonIdempotent.setting(), "orders = false");
    config.policy.list_valid_for = VALID_FOR;
    let mut dispatcher = dispatcher_with(&config, &ready_entries(2));
    dispatcher.endpoint_list_confirmed(0.0, 0.0);
    let request = submit(&mut dispatcher, VALID_FOR - 0.01, 2.0);
    let first = take_attempts(&mut dispatcher)[0];
    assert!(!dispatcher.begin_attempt(VALID_FOR, request, first.attempt));
    let actions = take_actions(&mut dispatcher);
    assert_eq!(sent_attempts(&actions), []);
    let checked = actions.iter().find_map(|action| match *action {
        Action::HealthCheck { worker, serial } => Some((worker, serial)),
        _ => None,
    });
    let (worker, serial) = checked.expect("a health check");
    let answered_at = VALID_FOR + 0.01;
    dispatcher.health_check_ended(answered_at, worker, serial, Outcome::Succeeded, None);
    let next = take_attempts(&mut dispatcher)[0];
    assert_eq!(next.worker, worker);
    assert!(dispatcher.begin_attempt(answered_at, request, next.attempt));
}

/// Unix time at which the process started that takes over.
const SUCCESSOR_STARTED: f64 = 1001.05;

/// Another process takes over the name and the address of a worker.
fn replace_process(dispatcher: &mut Dispatcher<u32>, now: f64, worker: usize) {
    let port = dispatcher.worker_process(worker).address.port();
    let entry = entry(port - FIRST_PORT, EndpointStatus::Ready);
    let successor = EndpointEntry { started: Some(SUCCESSOR_STARTED), ..entry };
    dispatcher.update_endpoints(now, false, &[successor]);
}

/// Regression test: an attempt that was decided on for a process was sent to the one that had taken over its address while
/// the connection came up.
#[test]
fn attempt_is_not_begun_on_the_process_that_replaced_its_worker() {
    let mut dispatcher = dispatcher(Effect::NonIdempotent, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let sent = take_attempts(&mut dispatcher)[0];
    replace_process(&mut dispatcher, 1.1, sent.worker);
    assert!(!dispatcher.begin_attempt(1.15, request, sent.attempt));
    // It is placed again.
    let next = take_attempts(&mut dispatcher)[0];
    assert!(next.worker != sent.worker && dispatcher.begin_attempt(1.2, request, next.attempt));
}

/// Regression test: a function counted as loaded at a process because its predecessor had loaded it.
#[test]
fn what_a_replaced_process_has_loaded_is_not_expected_of_its_successor() {
    let config = gateway_config(
        Effect::Idempotent.setting(),
        "probes = false\nmisses = true\nwarm_up = 0\ntip_window = 0",
    );
    let mut dispatcher = dispatcher_with(&config, &ready_entries(1));
    let (worker, load_request) = request_load(&mut dispatcher);
    assert!(dispatcher.begin_load_request(1.02, load_request));
    replace_process(&mut dispatcher, 1.1, worker);
    dispatcher.load_request_ended(1.2, load_request, Outcome::Succeeded, 1);
    assert_eq!(take_attempts(&mut dispatcher), []);
}

/// A load request that was decided on for a process is not sent to its successor.
#[test]
fn load_request_is_not_begun_on_the_process_that_replaced_its_worker() {
    let config = gateway_config(Effect::Idempotent.setting(), "probes = false\nmisses = true");
    let mut dispatcher = dispatcher_with(&config, &ready_entries(1));
    let (worker, load_request) = request_load(&mut dispatcher);
    replace_process(&mut dispatcher, 1.1, worker);
    assert!(!dispatcher.begin_load_request(1.12, load_request));
}

/// A request that finds its function missing at 1.01 s. Returns the worker and the load request that follows.
fn request_load(dispatcher: &mut Dispatcher<u32>) -> (usize, RequestId) {
    submit(dispatcher, 1.0, 2.0);
    let sent = take_attempts(dispatcher)[0];
    assert!(dispatcher.begin_attempt(1.0, sent.request, sent.attempt));
    end_attempt(dispatcher, 1.01, sent, Outcome::NotLoaded);
    let load_request = take_actions(dispatcher).into_iter().find_map(|action| match action {
        Action::LoadFunction { load_request, .. } => Some(load_request),
        _ => None,
    });
    (sent.worker, load_request.expect("a load request"))
}
