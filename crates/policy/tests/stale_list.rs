//! What a router sends while the endpoint list is stale: new work goes only to workers with recent proof that they
//! take it.

mod common;

use common::{HostCall, TestRouter, config, endpoint, idempotent};
use milletpath_policy::{EndpointState, Outcome, PolicyConfig, SendRefusal};
use test_case::test_case;

/// Seconds for which the list is valid in these tests.
const LIST_VALID_FOR: f64 = 2.5;
/// Seconds for which a worker's proof is valid.
const ACCEPTANCE_VALID_FOR: f64 = 0.5;
/// Seconds that a health check takes.
const ROUND_TRIP: f64 = 0.001;

fn stale_config() -> PolicyConfig {
    PolicyConfig {
        can_check_health: true,
        list_valid_for: LIST_VALID_FOR,
        acceptance_valid_for: ACCEPTANCE_VALID_FOR,
        ..config(idempotent())
    }
}

/// A router whose list was confirmed at the start and has become stale since.
fn stale_router(config: PolicyConfig, workers: usize) -> TestRouter {
    let mut router = TestRouter::new(config, workers);
    router.router.list_confirmed(0.0);
    // Makes the mean latency known.
    router.serve(0, 0.02);
    router.advance(LIST_VALID_FOR);
    assert!(router.router.list_is_stale(router.host.now));
    router.host.calls.clear();
    router
}

/// The workers whose health was checked, in order.
fn health_checks(router: &TestRouter) -> Vec<usize> {
    let checks = router.host.calls.iter().filter_map(|(_, call)| match call {
        HostCall::CheckHealth { worker } => Some(*worker),
        _ => None,
    });
    checks.collect()
}

/// Answers the pending health check after a round trip; returns its worker.
fn answer_check(router: &mut TestRouter, outcome: Outcome) -> usize {
    let worker = *health_checks(router).last().expect("a health check");
    router.advance(ROUND_TRIP);
    router.router.health_check_ended(router.host.now, worker, outcome, None, &mut router.host);
    worker
}

#[test]
fn a_current_list_needs_no_proof() {
    let mut router = TestRouter::new(stale_config(), 4);
    router.router.list_confirmed(0.0);
    router.advance(LIST_VALID_FOR - 0.01);
    let id = router.arrive(0, 4.0);
    assert_eq!((router.attempts(id).len(), health_checks(&router)), (1, vec![]));
}

#[test]
fn a_list_that_was_never_confirmed_is_stale() {
    let mut router = TestRouter::new(stale_config(), 4);
    let id = router.arrive(0, 4.0);
    assert_eq!((router.attempts(id).len(), health_checks(&router).len()), (0, 1));
}

#[test]
fn a_worker_that_passes_its_health_check_gets_the_request() {
    let mut router = stale_router(stale_config(), 4);
    let id = router.arrive(0, 4.0);
    assert!(router.attempts(id).is_empty());
    let worker = answer_check(&mut router, Outcome::Succeeded);
    assert_eq!(router.attempts(id), [worker]);
    assert_eq!(health_checks(&router).len(), 1);
}

#[test_case(Outcome::Failed; "it drains")]
#[test_case(Outcome::TimedOut; "it does not answer")]
#[test_case(Outcome::Unreachable; "it is unreachable")]
#[test_case(Outcome::ConnectionLost; "it resets the connection")]
fn a_worker_that_fails_its_health_check_gets_nothing_and_another_is_checked(outcome: Outcome) {
    let mut router = stale_router(stale_config(), 4);
    let id = router.arrive(0, 4.0);
    let first = answer_check(&mut router, outcome);
    assert!(router.attempts(id).is_empty());
    let second = answer_check(&mut router, Outcome::Succeeded);
    assert_ne!(first, second);
    assert_eq!(router.attempts(id), [second]);
}

#[test]
fn a_worker_that_declined_is_checked_again_after_the_acceptance_period() {
    let mut router = stale_router(stale_config(), 4);
    let id = router.arrive(0, 4.0);
    let first = answer_check(&mut router, Outcome::Failed);
    answer_check(&mut router, Outcome::Succeeded);
    router.answer(id, 0, Outcome::Succeeded, ROUND_TRIP);
    router.advance(ACCEPTANCE_VALID_FOR);
    let id = router.arrive(0, 4.0);
    assert_eq!(answer_check(&mut router, Outcome::Succeeded), first);
    assert_eq!(router.attempts(id), [first], "it takes work again");
}

#[test]
fn an_unanswered_health_check_delays_a_request_only_briefly() {
    let mut router = stale_router(stale_config(), 4);
    let id = router.arrive(0, 4.0);
    router.advance(0.05);
    assert_eq!(health_checks(&router).len(), 2, "one is pending, another worker is checked");
    let worker = answer_check(&mut router, Outcome::Succeeded);
    assert_eq!(router.attempts(id), [worker]);
}

#[test]
fn served_requests_prove_acceptance() {
    let mut router = stale_router(stale_config(), 4);
    let id = router.arrive(0, 4.0);
    let worker = answer_check(&mut router, Outcome::Succeeded);
    router.advance(0.02);
    router.answer(id, 0, Outcome::Succeeded, 0.02);
    // Each request is sent while the proof of the previous one is valid.
    for _ in 0..20 {
        router.advance(0.4 * ACCEPTANCE_VALID_FOR);
        assert_eq!(router.serve(0, 0.02), worker);
    }
    assert_eq!(health_checks(&router), [worker], "20 requests, one check");
}

#[test]
fn requests_served_while_draining_prove_nothing() {
    let config = PolicyConfig { draining_workers_reject: false, ..stale_config() };
    let mut router = stale_router(config, 1);
    let id = router.arrive(0, 4.0);
    let worker = answer_check(&mut router, Outcome::Succeeded);
    router.advance(ACCEPTANCE_VALID_FOR - 0.1);
    router.answer(id, 0, Outcome::Succeeded, ACCEPTANCE_VALID_FOR - 0.1);
    assert_eq!(router.serve(0, 0.02), worker, "by the health check");
    router.advance(0.1);
    let id = router.arrive(0, 4.0);
    assert_eq!((router.attempts(id).len(), health_checks(&router).len()), (0, 2));
}

#[test]
fn acceptance_ages_from_when_the_health_check_was_sent() {
    let mut router = stale_router(stale_config(), 4);
    let checked_at = router.host.now;
    let id = router.arrive(0, 4.0);
    let worker = *health_checks(&router).last().expect("a health check");
    // It is answered late, and the connection for the attempt comes up even later.
    router.advance(0.02);
    router.router.health_check_ended(router.host.now, worker, Outcome::Succeeded, None, &mut router.host);
    assert_eq!(router.attempts(id), [worker]);
    assert_eq!(router.router.may_send(router.host.now, id, worker), Ok(()));
    assert_eq!(
        router.router.may_send(checked_at + ACCEPTANCE_VALID_FOR, id, worker),
        Err(SendRefusal::Unproven)
    );
}

#[test]
fn a_load_request_requires_proof_as_well() {
    let config = PolicyConfig { reports_missing_functions: true, ..stale_config() };
    let mut router = stale_router(config, 1);
    let id = router.arrive(7, 10.0);
    let worker = answer_check(&mut router, Outcome::Succeeded);
    assert_eq!(router.attempts(id), [worker]);
    // The worker lacks the function and would be asked to load it, but by now it may be draining.
    router.advance(ACCEPTANCE_VALID_FOR);
    router.answer(id, 0, Outcome::NotLoaded, ACCEPTANCE_VALID_FOR);
    assert_eq!(router.load_requests(), []);
    answer_check(&mut router, Outcome::Succeeded);
    let load_workers: Vec<_> = router.load_requests().into_iter().map(|(_, worker)| worker).collect();
    assert_eq!(load_workers, [worker]);
    assert_eq!(router.router.may_request_load(router.host.now, worker), Ok(()));
    let late = router.host.now + ACCEPTANCE_VALID_FOR;
    assert_eq!(router.router.may_request_load(late, worker), Err(SendRefusal::Unproven));
}

#[test]
fn a_worker_whose_health_check_fails_gets_no_load_request() {
    let mut router = stale_router(stale_config(), 1);
    let id = router.arrive(0, 4.0);
    let worker = answer_check(&mut router, Outcome::Succeeded);
    router.advance(0.1);
    // The list is updated and the proof expires; then the request is rejected and the next health check fails.
    let list = vec![endpoint(worker, EndpointState::Ready, None)];
    router.list(list);
    router.advance(ACCEPTANCE_VALID_FOR);
    router.answer(id, 0, Outcome::Rejected, 0.1);
    assert_eq!(answer_check(&mut router, Outcome::Failed), worker);
    assert_eq!(router.router.may_request_load(router.host.now, worker), Err(SendRefusal::Unproven));
}

/// If health checks are not allowed, only workers that continue to serve requests can prove that they take new work.
#[test]
fn without_health_checks_only_served_requests_prove_acceptance() {
    let mut router = TestRouter::new(PolicyConfig { can_check_health: false, ..stale_config() }, 4);
    router.router.list_confirmed(0.0);
    let mut worker = router.serve(0, 0.02);
    while !router.router.list_is_stale(router.host.now) {
        router.advance(0.2);
        worker = router.serve(0, 0.02);
    }
    for _ in 0..10 {
        router.advance(0.2);
        assert_eq!(router.serve(0, 0.02), worker);
    }
    router.advance(ACCEPTANCE_VALID_FOR);
    let id = router.arrive(0, 4.0);
    assert_eq!((router.attempts(id).len(), health_checks(&router)), (0, vec![]));
}

#[test]
fn a_confirmed_list_is_current_at_once() {
    let mut router = stale_router(stale_config(), 4);
    router.router.list_confirmed(router.host.now);
    assert!(!router.router.list_is_stale(router.host.now));
    let id = router.arrive(0, 4.0);
    assert_eq!((router.attempts(id).len(), health_checks(&router)), (1, vec![]));
}

/// Number of requests that a router sends to four workers in 0.2 s, out of 1,000 per second, while its list is stale.
/// With `reconnects`, every connection to the workers is newer than the last confirmation of the list.
fn requests_sent_while_stale(reconnects: bool) -> usize {
    const REQUESTS: usize = 200;
    let config = PolicyConfig { routers: 12, health_checks_report_load: false, ..stale_config() };
    let mut router = TestRouter::new(config, 4);
    for _ in 0..50 {
        router.router.list_confirmed(router.host.now);
        let worker = router.serve(0, 0.02);
        router.router.worker_answered(router.host.now, worker, 0.0);
    }
    router.advance(LIST_VALID_FOR);
    let connected_at = if reconnects { router.host.now } else { 0.0 };
    (0..4).for_each(|worker| router.router.worker_answered(router.host.now, worker, connected_at));
    let mut sent = 0;
    for _ in 0..REQUESTS {
        let id = router.arrive(0, 0.1);
        router.advance(ROUND_TRIP);
        for worker in 0..4 {
            let now = router.host.now;
            router.router.health_check_ended(now, worker, Outcome::Succeeded, None, &mut router.host);
        }
        if !router.attempts(id).is_empty() {
            sent += 1;
            router.answer(id, 0, Outcome::Succeeded, ROUND_TRIP);
        }
    }
    sent
}

/// Every connection to a worker is newer than the last confirmation of the list: the worker may have restarted, and
/// gets the budget of a cold worker while the list is stale.
#[test]
fn a_worker_that_may_have_restarted_is_in_slow_start() {
    let (known, restarted) = (requests_sent_while_stale(false), requests_sent_while_stale(true));
    assert!(known > 190 && restarted < known / 2, "{restarted} sent after reconnects, {known} without");
}

/// A worker that declined once takes new work again while another one serves all requests. It is checked in the
/// background, at most once per validity period of a proof, and used again.
#[test]
fn a_worker_that_takes_work_again_is_found_while_another_serves() {
    let mut router = stale_router(stale_config(), 2);
    let id = router.arrive(0, 4.0);
    let home = answer_check(&mut router, Outcome::Failed);
    answer_check(&mut router, Outcome::Succeeded);
    router.advance(0.02);
    router.answer(id, 0, Outcome::Succeeded, 0.02);
    let (mut checks, mut served_by_home) = (0, 0);
    for _ in 0..100 {
        router.host.calls.clear();
        served_by_home += usize::from(router.serve(0, 0.02) == home);
        for worker in health_checks(&router) {
            checks += usize::from(worker == home);
            router.router.health_check_ended(
                router.host.now,
                worker,
                Outcome::Succeeded,
                None,
                &mut router.host,
            );
        }
    }
    assert!(
        checks >= 1 && f64::from(checks as u32) <= 100.0 * 0.02 / ACCEPTANCE_VALID_FOR + 1.0,
        "{checks} checks in 2 s"
    );
    assert!(served_by_home > 50, "{served_by_home} of 100");
}

/// Until the list is confirmed for the first time and no worker has proved that it takes new work, a request waits for
/// as much of its client's time as it may, and is sent once either happens.
#[test_case(0.15, true; "the list after 150 ms")]
#[test_case(0.5, true; "the list after 500 ms")]
#[test_case(0.15, false; "a worker after 150 ms")]
#[test_case(0.5, false; "a worker after 500 ms")]
fn a_request_waits_for_the_first_confirmation(seconds: f64, by_list: bool) {
    let mut router = TestRouter::new(stale_config(), 4);
    let id = router.arrive(0, 2.5);
    assert_eq!((router.attempts(id).len(), health_checks(&router).len()), (0, 1));
    router.advance(seconds);
    assert!(!router.has_called(&HostCall::Reject { id }));
    if by_list {
        router.router.list_confirmed(router.host.now);
    } else {
        answer_check(&mut router, Outcome::Succeeded);
    }
    router.advance(0.02);
    assert_eq!(router.attempts(id).len(), 1);
}

/// A request for which no confirmation comes is rejected while its client still has time to try elsewhere.
#[test]
fn a_request_without_a_first_confirmation_is_rejected_in_time() {
    let mut router = TestRouter::new(stale_config(), 4);
    let id = router.arrive(0, 2.5);
    router.advance(0.9);
    assert!(!router.has_called(&HostCall::Reject { id }));
    router.advance(0.2);
    assert!(router.has_called(&HostCall::Reject { id }));
    assert!(router.attempts(id).is_empty());
}
