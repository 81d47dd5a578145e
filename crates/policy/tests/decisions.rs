//! One test for each decision, and for each failure found in operation or in benchmarks.

mod common;

use common::{HostCall, TestRouter, config, endpoint, idempotent};
use milletpath_policy::{EndpointState, EndpointUpdate, LoadReport, Outcome, PolicyConfig};
use test_case::test_case;

#[test_case(2; "few routers")]
#[test_case(300; "many routers with one arrival each")]
fn routers_agree_on_the_home_worker_of_a_function(routers: usize) {
    let mut one = TestRouter::new(config(idempotent()), 8);
    let mut other = TestRouter::new(PolicyConfig { seed: 99, routers, ..config(idempotent()) }, 8);
    for function in 0..20 {
        assert_eq!(one.serve(function, 0.1), other.serve(function, 0.1));
    }
}

#[test]
fn the_worker_set_grows_with_the_load_of_a_function() {
    let mut router = TestRouter::new(config(idempotent()), 8);
    for _ in 0..60 {
        let ids: Vec<_> = (0..6).map(|_| router.arrive(0, 4.0)).collect();
        router.advance(0.2);
        for id in ids {
            (0..router.attempts(id).len())
                .for_each(|attempt| router.answer(id, attempt, Outcome::Succeeded, 0.2));
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
    }
    let mut used: Vec<_> = (0..360).flat_map(|id| router.attempts(id)).collect();
    used.sort_unstable();
    used.dedup();
    assert!(used.len() >= 3, "{used:?}");
}

#[test]
fn a_worker_that_rejected_an_attempt_is_avoided_for_a_while() {
    let mut router = TestRouter::new(config(idempotent()), 4);
    let home = router.serve(0, 0.1);
    let id = router.arrive(0, 4.0);
    router.answer(id, 0, Outcome::Rejected, 0.0);
    assert!(router.attempts(id)[1..].iter().all(|&w| w != home));
}

#[test]
fn a_load_that_outlives_its_attempt_is_not_started_on_another_worker() {
    // Loads started by attempts that were then cancelled were forgotten, and each next attempt started one on another
    // worker.
    let mut router = TestRouter::new(config(idempotent()), 8);
    let id = router.arrive(0, 1.5);
    router.advance(1.5);
    router.answer(id, 0, Outcome::Cancelled, 1.5);
    let next = router.arrive(0, 4.0);
    assert_eq!(router.attempts(next)[0], router.attempts(id)[0]);
}

#[test]
fn requests_join_a_load_up_to_its_concurrency_and_queue_beyond_it() {
    let mut router = TestRouter::new(config(idempotent()), 8);
    let ids: Vec<_> = (0..3).map(|_| router.arrive(0, 4.0)).collect();
    assert_eq!(router.attempts(ids[0]), router.attempts(ids[1]));
    assert!(router.attempts(ids[2]).is_empty());
    router.advance(0.5);
    router.answer(ids[0], 0, Outcome::Succeeded, 0.5);
    assert_eq!(router.attempts(ids[2]), router.attempts(ids[0]));
}

#[test_case(false; "memory unknown")]
#[test_case(true; "memory full")]
fn no_instance_is_preloaded_where_memory_is_full(filled: bool) {
    let memory = if filled { vec![120.0] } else { vec![] };
    let mut router = TestRouter::new(PolicyConfig { memory, ..config(idempotent()) }, 4);
    for _ in 0..20 {
        let ids: Vec<_> = (0..8).map(|_| router.arrive(0, 4.0)).collect();
        router.advance(0.3);
        ids.iter().filter(|&&id| !router.attempts(id).is_empty()).for_each(|_| ());
        for id in ids {
            (0..router.attempts(id).len())
                .for_each(|attempt| router.answer(id, attempt, Outcome::Succeeded, 0.3));
        }
    }
    assert_eq!(router.load_requests().is_empty(), filled);
}

#[test]
fn a_worker_that_stops_answering_loses_its_traffic() {
    let mut router = TestRouter::new(config(idempotent()), 6);
    let home = router.serve(0, 0.1);
    (0..30).for_each(|_| _ = router.serve(0, 0.1));
    // Its requests end unanswered, after longer than a slow request takes.
    router.advance(0.1);
    let unanswered: Vec<_> = (0..2).map(|_| router.arrive(0, 1.5)).collect();
    router.advance(1.5);
    unanswered.iter().for_each(|&id| router.answer(id, 0, Outcome::Cancelled, 1.5));
    let next: Vec<_> = (0..10).map(|_| router.arrive(0, 4.0)).collect();
    assert!(next.iter().filter(|&&id| router.attempts(id).contains(&home)).count() <= 1);
}

#[test]
fn a_worker_that_fails_fast_loses_its_traffic_and_recovers_it() {
    let mut router = TestRouter::new(PolicyConfig { can_request_loads: false, ..config(idempotent()) }, 6);
    let home = router.serve(0, 0.1);
    let mut sent_to_failing = 0;
    for _ in 0..40 {
        let id = router.arrive(0, 4.0);
        for attempt in 0..4 {
            let Some(&worker) = router.attempts(id).get(attempt) else { break };
            let fails = worker == home;
            sent_to_failing += usize::from(fails);
            router.advance(0.01);
            router.answer(id, attempt, if fails { Outcome::Failed } else { Outcome::Succeeded }, 0.01);
        }
    }
    assert!(sent_to_failing <= 10, "{sent_to_failing} of 40");
    router.advance(30.0);
    assert!((0..40).any(|_| router.serve(0, 0.01) == home));
}

#[test]
fn an_instance_outside_a_set_that_shrank_is_still_used() {
    // The set shrank and left its only instance outside; all requests were rejected because no member had one.
    let mut router = TestRouter::new(config(idempotent()), 6);
    (0..30).for_each(|_| _ = router.serve(0, 0.01));
    let home = router.attempts(0)[0];
    router.list(vec![endpoint(home, EndpointState::Draining, None)]);
    router.advance(31.0);
    let other = router.serve(0, 0.01);
    router.list(vec![endpoint(home, EndpointState::Ready, None)]);
    assert_eq!(router.serve(0, 0.01), other);
}

#[test]
fn a_missing_function_is_loaded_and_the_attempt_repeated() {
    let mut router =
        TestRouter::new(PolicyConfig { reports_missing_functions: true, ..config(idempotent()) }, 4);
    let id = router.arrive(0, 4.0);
    let home = router.attempts(id)[0];
    router.answer(id, 0, Outcome::NotLoaded, 0.0);
    assert!(router.has_called(&HostCall::RequestLoad { worker: home, function: 0, instances: 1 }));
    assert_eq!(router.attempts(id), [home]);
    router.advance(0.5);
    router.router.load_request_ended(router.host.now, home, 0, Outcome::Succeeded, 1, &mut router.host);
    assert_eq!(router.attempts(id), [home, home]);
}

#[test]
fn requests_over_quota_are_shed_first() {
    let mut router = TestRouter::new(
        PolicyConfig { quotas: vec![2.0], over_quota_weight: 0.1, ..config(idempotent()) },
        1,
    );
    router.serve(0, 0.5);
    (0..12).for_each(|_| _ = router.arrive(0, 4.0));
    router.advance(0.9);
    let rejected = (0..13).filter(|&id| router.has_called(&HostCall::Reject { id })).count();
    assert!(rejected >= 6, "{rejected}");
}

#[test]
fn a_failed_endpoint_watch_is_requested_again() {
    let mut router = TestRouter::new(PolicyConfig { watches_on_request: true, ..config(idempotent()) }, 2);
    router.router.watch_failed(router.host.now, &mut router.host);
    router.advance(3.0);
    assert_eq!(router.host.calls.iter().filter(|(_, call)| *call == HostCall::WatchEndpoints).count(), 2);
}

#[test]
fn a_restarted_worker_has_no_outlier_score_and_no_instances() {
    let mut router = TestRouter::new(config(idempotent()), 6);
    let home = router.serve(0, 0.1);
    router.list(vec![endpoint(home, EndpointState::Ready, Some(router.host.now))]);
    let next = router.serve(0, 0.1);
    assert_ne!(next, home, "the restarted worker has no known capacity yet");
}

#[test]
fn late_and_unknown_results_are_ignored() {
    let mut router = TestRouter::new(config(idempotent()), 2);
    let id = router.arrive(0, 4.0);
    router.answer(id, 0, Outcome::Succeeded, 0.1);
    router.answer(id, 0, Outcome::Succeeded, 0.1);
    router.answer(id + 7, 3, Outcome::ConnectionLost, f64::NAN);
    router.router.close_request(id + 9, None, &mut router.host);
    router.router.load_request_ended(router.host.now, 1, 99, Outcome::TimedOut, 0, &mut router.host);
    assert_eq!(router.host.released_requests, [id]);
}

#[test_case(true; "answered")]
#[test_case(false; "not answered")]
fn one_of_many_routers_checks_a_worker_before_it_joins_an_unknown_queue(answers: bool) {
    let mut router =
        TestRouter::new(PolicyConfig { routers: 100, can_check_health: true, ..config(idempotent()) }, 4);
    let id = router.arrive(0, 4.0);
    assert!(router.attempts(id).is_empty());
    let Some((_, HostCall::CheckHealth { worker })) = router.host.calls.last().cloned() else {
        panic!("no health check")
    };
    if answers {
        let report = Some(LoadReport { in_flight: Some(0.0), ..LoadReport::default() });
        router.router.health_check_ended(0.004, worker, Outcome::Succeeded, report, &mut router.host);
    } else {
        router.advance(0.05);
    }
    assert_eq!(router.attempts(id), [worker]);
}

#[test_case(0.99, false; "busy cores")]
#[test_case(0.3, true; "idle cores")]
fn a_worker_that_reports_overload_gets_nothing_from_one_of_many_routers(utilization: f64, is_used: bool) {
    let mut router = TestRouter::new(PolicyConfig { routers: 100, ..config(idempotent()) }, 4);
    let home = router.serve(0, 0.1);
    let report =
        Some(LoadReport { in_flight: Some(50.0), utilization: Some(utilization), ..LoadReport::default() });
    router.router.health_check_ended(0.1, home, Outcome::Succeeded, report, &mut router.host);
    let id = router.arrive(0, 4.0);
    assert_eq!(router.attempts(id).contains(&home), is_used);
}

/// Two requests are queued on a worker, and one request takes less than the time that may pass there. A worker of one
/// core is overloaded, one of five runs them at once. The large one was also treated as overloaded while its
/// throughput was not known.
#[test_case(1.0, false; "a small worker")]
#[test_case(5.0, true; "a large worker")]
fn a_large_worker_is_not_overloaded_by_two_queued_requests(size: f64, is_used: bool) {
    for seed in 0..20 {
        let mut router = TestRouter::new(PolicyConfig { seed, routers: 100, ..config(idempotent()) }, 4);
        router.list(
            (0..4).map(|w| EndpointUpdate { size, ..endpoint(w, EndpointState::Ready, None) }).collect(),
        );
        for w in 0..4 {
            let report = Some(LoadReport { queued: Some(2.02), ..LoadReport::default() });
            router.router.health_check_ended(0.0, w, Outcome::Succeeded, report, &mut router.host);
        }
        let id = router.arrive(0, 4.0);
        assert_eq!(!router.attempts(id).is_empty(), is_used, "seed {seed}");
    }
}

/// Two requests of a function arrive together at one of 300 routers, as constantly happens at some of them. Taken for
/// hundreds per second, they grew the set over a dozen workers, each of which loaded the function.
#[test]
fn a_few_concurrent_arrivals_do_not_grow_the_worker_set() {
    let mut used = std::collections::BTreeSet::new();
    for seed in 0..60 {
        let mut router = TestRouter::new(PolicyConfig { seed, routers: 300, ..config(idempotent()) }, 40);
        router.serve(0, 0.3);
        router.advance(30.0);
        let ids = [0, 0].map(|function| router.arrive(function, 4.0));
        used.extend(router.attempts(ids[1]));
        used.extend(router.load_requests().into_iter().map(|(_, worker)| worker));
    }
    assert!(used.len() <= 8, "{used:?}");
}

#[test]
fn load_requests_back_off_after_a_failed_load() {
    // The store was overloaded by failed loads that every router restarted at once.
    let mut router =
        TestRouter::new(PolicyConfig { reports_missing_functions: true, ..config(idempotent()) }, 4);
    let report_missing = |router: &mut TestRouter, function| {
        let id = router.arrive(function, 4.0);
        router.answer(id, 0, Outcome::NotLoaded, 0.0);
        (router.attempts(id)[0], router.load_requests().len())
    };
    let (home, load_requests_before) = report_missing(&mut router, 0);
    router.router.load_request_ended(router.host.now, home, 0, Outcome::Failed, 0, &mut router.host);
    assert_eq!(report_missing(&mut router, 1).1, load_requests_before, "none at once");
    router.advance(1.0);
    assert!(router.load_requests().len() > load_requests_before, "one after the backoff");
}

#[test_case(0.5, true; "short timeout")]
#[test_case(4.0, false; "long timeout")]
fn a_load_is_requested_where_its_client_may_not_wait_for_it(client_timeout: f64, requested: bool) {
    let mut router = TestRouter::new(config(idempotent()), 4);
    let id = router.arrive(0, client_timeout);
    let worker = router.attempts(id)[0];
    assert_eq!(router.has_called(&HostCall::RequestLoad { worker, function: 0, instances: 1 }), requested);
}

/// Functions that are called once would accumulate for as long as a router runs.
#[test]
fn unused_functions_are_released_and_used_ones_are_not() {
    let mut router = TestRouter::new(config(idempotent()), 4);
    for one_off in 0..400 {
        router.serve(0, 0.05);
        router.serve(1 + one_off, 0.05);
    }
    let released = &router.host.released_functions;
    // Functions of about the last 15 s, plus the time of a sweep, are still known.
    assert!((150..400).contains(&released.len()), "{} released", released.len());
    assert!(!released.contains(&0));
    // A released function is served as a new one.
    router.serve(1, 0.05);
}

/// Otherwise the answer to a load request could be recorded on another function that reuses the released index.
#[test]
fn a_function_with_a_pending_load_request_is_not_released() {
    let mut router = TestRouter::new(
        PolicyConfig { reports_missing_functions: true, load_request_timeout: 60.0, ..config(idempotent()) },
        2,
    );
    let released_after = |router: &mut TestRouter, seconds: usize| {
        for _ in 0..seconds {
            router.arrive(3, 0.4);
            router.advance(1.0);
        }
        router.host.released_functions.contains(&2)
    };
    let id = router.arrive(2, 0.5);
    (0..4).for_each(|attempt| router.answer(id, attempt, Outcome::NotLoaded, 0.01));
    assert!(!router.load_requests().is_empty());
    assert!(!released_after(&mut router, 50));
    assert!(released_after(&mut router, 50));
}

/// Requests of a client group that waits 0.25 s for an attempt were rejected although the workers answered in half that
/// time. The clients retried at once after each rejection and sent four times as many requests.
#[test_case(4.0; "a client with a long timeout")]
#[test_case(0.3; "a client with a short timeout that answers still meet")]
fn a_worker_that_answers_within_the_client_timeout_gets_the_request(client_timeout: f64) {
    let mut router = TestRouter::new(config(idempotent()), 1);
    for n in 0..120 {
        router.serve(n % 10, 0.05);
    }
    let before: Vec<_> = (0..4).map(|function| router.arrive(function, 4.0)).collect();
    assert!(before.iter().all(|&id| router.attempts(id).len() == 1));
    let id = router.arrive(5, client_timeout);
    assert_eq!(router.attempts(id).len(), 1);
}

/// A request that was queued until its client's timeout, which was shorter than the latency objective, was rejected
/// too late for a retry.
#[test]
fn no_request_is_queued_past_half_of_its_own_time_without_an_attempt() {
    let mut router = TestRouter::new(config(idempotent()), 0);
    let id = router.arrive(0, 0.4);
    router.advance(0.19);
    assert!(router.has_called(&HostCall::Reject { id }));
}

/// Clients called functions that no worker knows: each request failed at four workers, and soon all were outliers.
#[test]
fn a_function_that_fails_everywhere_does_not_make_workers_outliers() {
    let mut router = TestRouter::new(config(idempotent()), 6);
    let home = router.serve(0, 0.1);
    for function in 1..40 {
        let id = router.arrive(function, 4.0);
        while let Some(attempt) =
            router.attempts(id).len().checked_sub(1).filter(|_| !router.has_called(&HostCall::Reject { id }))
        {
            router.answer(id, attempt, Outcome::Failed, 0.001);
        }
        assert_eq!(router.attempts(id).len(), 2);
    }
    assert!((0..20).all(|_| router.serve(0, 0.1) == home));
}

/// With a sixth of the workers in slow start, three routers rejected a third of the requests although queues had
/// capacity. The limit was set for a hundred routers, each of which sees little of what the others send.
#[test]
fn each_of_few_routers_sends_a_worker_more_than_each_of_many() {
    let taken = |routers| {
        let mut router = TestRouter::new(PolicyConfig { routers, ..config(idempotent()) }, 1);
        for n in 0..120 {
            router.serve(n % 30, 0.1);
        }
        let ids: Vec<_> = (0..30).map(|function| router.arrive(function, 4.0)).collect();
        ids.into_iter().filter(|&id| !router.attempts(id).is_empty()).count()
    };
    let (few, many) = (taken(3), taken(100));
    assert!(few > many && many > 0, "{few} and {many}");
}

/// A worker without room rejects a load request. When asked again at once, it rejected thousands of load requests per
/// second for as long as a request waited.
#[test]
fn a_rejected_load_request_is_not_repeated_at_once() {
    let mut router =
        TestRouter::new(PolicyConfig { reports_missing_functions: true, ..config(idempotent()) }, 1);
    let id = router.arrive(0, 4.0);
    router.answer(id, 0, Outcome::NotLoaded, 0.001);
    assert_eq!(router.load_requests().len(), 1);
    for _ in 0..20 {
        router.advance(0.001);
        router.router.load_request_ended(router.host.now, 0, 0, Outcome::Rejected, 0, &mut router.host);
    }
    assert_eq!(router.load_requests().len(), 1, "none within 20 ms");
    router.advance(0.5);
    router.arrive(0, 4.0);
    assert_eq!(router.load_requests().len(), 2, "one more after the pause");
}

/// Regression test: one client that called ever new functions at full speed, in time for nothing, took memory for each of
/// them for a quarter of a minute. Functions with an instance are kept beside them.
#[test]
fn functions_that_are_called_once_take_no_more_than_the_memory_for_them() {
    const CALLS: usize = 5_000;
    const MAX_FUNCTIONS: usize = 100;
    /// Bytes for one function and its order of the workers, at least.
    const FUNCTION_BYTES: usize = 512;
    let settings = PolicyConfig { function_memory: MAX_FUNCTIONS * FUNCTION_BYTES, ..config(idempotent()) };
    let mut router = TestRouter::new(settings, 4);
    router.serve(0, 0.1);
    // No worker takes anything from now on.
    router.list((0..4).map(|worker| endpoint(worker, EndpointState::Draining, None)).collect());
    let (mut assigned, mut reused) = (1, 0);
    for call in 1..=CALLS {
        // As the host does, an index is assigned again after its function was released.
        let function = router.host.released_functions.get(reused).copied().unwrap_or(assigned);
        if function == assigned {
            assigned += 1;
        } else {
            reused += 1;
        }
        let id = router.arrive(function, 1e-4);
        router.router.close_request(id, None, &mut router.host);
        router.advance(1e-4);
        let known = call + 1 - router.host.released_functions.len();
        assert!(known <= MAX_FUNCTIONS + 2, "{known} functions are known after {call} calls");
    }
    assert!(!router.host.released_functions.contains(&0), "a function with an instance is forgotten");
}
