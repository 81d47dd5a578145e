//! Budgets shared by all routers: what one router may use of them, by its quota fraction and its leases.

mod common;

use common::{HostCall, TestRouter, config, endpoint, idempotent};
use milletpath_policy::{Budget, EndpointState, Outcome, PolicyConfig, RequestBudget, SendRefusal};
use std::collections::BTreeMap;
use test_case::test_case;

/// Number of requests rejected during so many seconds of a steady 20 requests per second.
fn rejected(router: &mut TestRouter, seconds: f64) -> usize {
    let ids: Vec<_> = (0..(20.0 * seconds) as usize)
        .map(|_| {
            let id = router.arrive(0, 4.0);
            router.advance(0.05);
            if !router.attempts(id).is_empty() {
                router.answer(id, 0, Outcome::Succeeded, 0.05);
            }
            id
        })
        .collect();
    ids.into_iter().filter(|id| router.has_called(&HostCall::Reject { id: *id })).count()
}

fn router_with_rate_limit(rate_limit: f64, routers: usize) -> TestRouter {
    let settings = PolicyConfig {
        rate_limits: vec![rate_limit],
        max_retry_after: Some(5.0),
        routers,
        ..config(idempotent())
    };
    let mut router = TestRouter::new(settings, 4);
    router.advance(1.0);
    router
}

#[test_case(40.0, 1, 0; "above the offered rate")]
#[test_case(10.0, 1, 95; "half of the offered rate")]
#[test_case(40.0, 4, 95; "one of four routers")]
fn a_client_group_is_limited_to_its_rate(rate_limit: f64, routers: usize, expected: usize) {
    let mut router = router_with_rate_limit(rate_limit, routers);
    let rejected = rejected(&mut router, 10.0);
    assert!(rejected.abs_diff(expected) <= 8, "{rejected}");
    assert_eq!(router.host.exhausted.contains(&Budget::RateLimit(0)), rejected > 0);
    // Retry-After gives the time until a token is available: 0.1 s per request at ten per second, with jitter.
    assert!(
        router.host.retry_after.iter().all(|a| a.is_some_and(|a| a > 0.0 && a <= 0.2)),
        "{:?}",
        router.host.retry_after
    );
}

/// A lease counts until its end and no longer.
#[test]
fn a_lease_expires_by_itself() {
    let mut router = router_with_rate_limit(10.0, 1);
    let end = router.host.now + 5.0;
    router.router.set_lease(Budget::RateLimit(0), [10.0, -8.0], end);
    assert!(rejected(&mut router, 5.0) <= 10);
    let after = rejected(&mut router, 10.0);
    assert!(after >= 175, "{after} of 200 at two per second");
}

/// After any idle time, the burst is half a second of the rate limit.
#[test]
fn an_idle_client_group_accumulates_at_most_half_a_second_of_its_rate() {
    let mut router = router_with_rate_limit(20.0, 1);
    router.advance(60.0);
    let ids: Vec<_> = (0..40).map(|n| router.arrive(n, 4.0)).collect();
    assert_eq!(ids.iter().filter(|id| !router.attempts(**id).is_empty()).count(), 10);
}

/// If the process is suspended between deciding on an attempt and sending it, the rate limit must admit the request
/// again.
#[test]
fn an_attempt_admitted_too_long_ago_is_not_sent() {
    let mut router = router_with_rate_limit(20.0, 1);
    let id = router.arrive(0, 4.0);
    let worker = router.attempts(id)[0];
    assert_eq!(router.router.may_send(router.host.now + 0.3, id, worker), Ok(()));
    assert_eq!(router.router.may_send(router.host.now + 0.6, id, worker), Err(SendRefusal::AdmissionLapsed));
}

#[test_case(None, 3; "unlimited")]
#[test_case(Some(RequestBudget { window: 10.0, free: 1.0, earned_per_request: 0.0 }), 1; "one free")]
#[test_case(Some(RequestBudget { window: 10.0, free: 0.0, earned_per_request: 2.0 }), 2; "two per request")]
#[test_case(Some(RequestBudget { window: 10.0, free: 0.0, earned_per_request: 0.0 }), 0; "none")]
fn retries_stay_within_their_budget(retries: Option<RequestBudget>, expected: usize) {
    let mut router = TestRouter::new(PolicyConfig { retry_budget: retries, ..config(idempotent()) }, 6);
    router.serve(0, 0.01);
    router.advance(10.0);
    let id = router.arrive(0, 4.0);
    for attempt in 0..4 {
        if router.attempts(id).len() > attempt {
            router.advance(0.01);
            router.answer(id, attempt, Outcome::ConnectionLost, 0.01);
        }
    }
    assert_eq!(router.attempts(id).len() - 1, expected);
    assert_eq!(router.router.in_use(router.host.now, Budget::Retries), if expected == 1 { 1.0 } else { 0.0 });
    // Ended at once instead of queued until its deadline.
    assert!(router.has_called(&HostCall::Reject { id }), "{:?}", router.host.calls);
}

/// The limit on attempts in flight at a worker applies to all routers: this one has its share and its lease.
#[test]
fn attempts_in_flight_at_a_worker_are_limited() {
    let settings =
        PolicyConfig { max_in_flight: 8.0, routers: 4, can_request_loads: false, ..config(idempotent()) };
    let mut router = TestRouter::new(settings, 1);
    router.serve(0, 0.1);
    let sent_count = |router: &TestRouter, ids: &[usize]| {
        ids.iter().filter(|id| !router.attempts(**id).is_empty()).count()
    };
    let ids: Vec<_> = (0..6).map(|_| router.arrive(0, 4.0)).collect();
    assert_eq!(sent_count(&router, &ids), 2);
    assert!(router.host.exhausted.contains(&Budget::InFlight(0)));
    assert_eq!(router.router.in_use(router.host.now, Budget::InFlight(0)), 2.0);
    router.router.set_lease(Budget::InFlight(0), [-1.0, -1.0], f64::INFINITY);
    // Sent before the lease reduced the limit: an attempt that has not begun yet may no longer begin.
    assert_eq!(router.router.may_send(router.host.now, ids[0], 0), Err(SendRefusal::InFlightLimit));
    router.answer(ids[0], 0, Outcome::NotSent, 0.0);
    assert_eq!(router.router.may_send(router.host.now, ids[1], 0), Ok(()));
}

/// Budgets that are never exhausted change no decision.
#[test]
fn a_budget_that_is_never_exhausted_changes_no_decision() {
    let calls_with = |settings: PolicyConfig| {
        let mut router = TestRouter::new(settings, 6);
        for round in 0..200 {
            let ids: Vec<_> = (0..3).map(|n| router.arrive((round + n) % 5, 4.0)).collect();
            router.advance(0.03);
            for id in ids {
                for attempt in 0..router.attempts(id).len() {
                    let outcome =
                        if (round + attempt) % 7 == 0 { Outcome::Failed } else { Outcome::Succeeded };
                    router.answer(id, attempt, outcome, 0.03);
                }
            }
        }
        router.host.calls
    };
    let ample = PolicyConfig {
        rate_limits: vec![f64::INFINITY],
        retry_budget: Some(RequestBudget { window: 10.0, free: f64::INFINITY, earned_per_request: 0.0 }),
        max_in_flight: 1e9,
        ..config(idempotent())
    };
    assert_eq!(calls_with(config(idempotent())), calls_with(ample));
}

fn workers_used(router: &mut TestRouter, rate: usize, remote_concurrency: Option<f64>) -> usize {
    for _ in 0..100 {
        let ids: Vec<_> = (0..rate).map(|_| router.arrive(0, 4.0)).collect();
        router.advance(0.1);
        for id in ids {
            (0..router.attempts(id).len())
                .for_each(|attempt| router.answer(id, attempt, Outcome::Succeeded, 0.1));
        }
        for (_, worker) in router.load_requests() {
            router.router.load_request_ended(
                router.host.now,
                worker,
                0,
                Outcome::Succeeded,
                1,
                &mut router.host,
            );
        }
        if let Some(remote_concurrency) = remote_concurrency {
            router
                .router
                .set_remote_concurrency(router.host.now, &BTreeMap::from([(1000, remote_concurrency)]));
        }
    }
    let last = router.host.now - 3.0;
    let used = router.host.calls.iter().filter_map(|(at, call)| match call {
        HostCall::Send { worker, .. } if *at > last => Some(*worker),
        _ => None,
    });
    used.collect::<std::collections::BTreeSet<_>>().len()
}

/// A set is sized by the concurrency that other routers report instead of the local one times the number of routers.
#[test]
fn a_worker_set_is_sized_by_the_concurrency_of_all_routers() {
    let routers = PolicyConfig { routers: 12, ..config(idempotent()) };
    // Without reports, a router multiplies its own load by the number of routers.
    let guessed = workers_used(&mut TestRouter::new(routers.clone(), 12), 1, None);
    let reported = workers_used(&mut TestRouter::new(routers.clone(), 12), 1, Some(0.5));
    let with_remote_load = workers_used(&mut TestRouter::new(routers, 12), 1, Some(11.0));
    assert!(
        reported <= 2 && reported < guessed && with_remote_load >= 4,
        "{reported} {guessed} {with_remote_load}"
    );
}

/// Reports of other routers decay: after some seconds the router's own estimate applies again.
#[test]
fn the_concurrency_that_other_routers_reported_decays() {
    let mut router = TestRouter::new(PolicyConfig { routers: 12, ..config(idempotent()) }, 12);
    let reported = workers_used(&mut router, 1, Some(0.5));
    router.advance(30.0);
    router.list((0..12).map(|w| endpoint(w, EndpointState::Ready, None)).collect());
    let guessed = workers_used(&mut router, 1, None);
    assert!(guessed > reported, "{guessed} {reported}");
}
