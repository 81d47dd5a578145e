//! One test for each way in which a rule could be broken.

mod common;

use common::{HostCall, TestRouter, config, endpoint, idempotent};
use milletpath_policy::{
    EndpointState, EndpointUpdate, Idempotency, KeyScope, Outcome, PolicyConfig, Profile, RequestBudget,
    SizeMeaning,
};
use test_case::test_case;

const NON_IDEMPOTENT: Idempotency = Idempotency::NonIdempotent;

fn idempotent_with_key(scope: KeyScope) -> Idempotency {
    Idempotency::IdempotentWithKey { scope, retention: 2.0 }
}

fn profile_with(idempotency: Idempotency) -> Profile {
    Profile { idempotency, ..idempotent() }
}

#[test_case(Idempotency::Idempotent, true; "idempotent is rejected")]
#[test_case(idempotent_with_key(KeyScope::All), true; "with a key that is known everywhere is rejected")]
#[test_case(idempotent_with_key(KeyScope::Zone), false; "with a key that is known in a zone fails")]
#[test_case(NON_IDEMPOTENT, false; "not idempotent fails")]
fn an_unanswered_attempt_gets_one_final_answer_in_time(idempotency: Idempotency, rejected: bool) {
    let mut router = TestRouter::new(config(profile_with(idempotency)), 3);
    let id = router.arrive(0, 2.0);
    router.advance(2.0);
    let final_answers: Vec<_> = router
        .host
        .calls
        .iter()
        .filter(|(_, call)| matches!(call, HostCall::Reject { .. } | HostCall::Fail { .. }))
        .collect();
    let expected = if rejected { HostCall::Reject { id } } else { HostCall::Fail { id } };
    assert_eq!(final_answers.len(), 1);
    assert_eq!(final_answers[0].1, expected);
    assert!(final_answers[0].0 < 2.0);
}

/// Guards against a rejection, which says that a repeat is harmless, after the workers have forgotten the key.
#[test_case(1.0, false; "the key is forgotten before the answer")]
#[test_case(2.5, true; "the key outlasts the answer")]
fn a_request_that_may_have_run_is_rejected_only_while_its_key_is_known(retention: f64, rejected: bool) {
    let idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::All, retention };
    let mut router = TestRouter::new(config(profile_with(idempotency)), 3);
    let id = router.arrive(0, 2.0);
    router.advance(2.0);
    assert_eq!(router.has_called(&HostCall::Reject { id }), rejected);
    assert_eq!(router.has_called(&HostCall::Fail { id }), !rejected);
}

#[test_case(0; "no worker at all")]
#[test_case(3; "all draining")]
fn without_a_ready_worker_a_request_is_rejected_early(workers: usize) {
    let mut router = TestRouter::new(config(idempotent()), workers);
    router.list((0..workers).map(|w| endpoint(w, EndpointState::Draining, None)).collect());
    let id = router.arrive(0, 4.0);
    router.advance(1.0);
    assert!(router.attempts(id).is_empty());
    assert!(router.has_called(&HostCall::Reject { id }));
}

#[test_case(Idempotency::Idempotent, Outcome::Failed, true; "idempotent is retried after an error")]
#[test_case(NON_IDEMPOTENT, Outcome::Failed, false; "not idempotent may have run")]
#[test_case(NON_IDEMPOTENT, Outcome::ConnectionLost, false; "not idempotent, connection lost")]
#[test_case(NON_IDEMPOTENT, Outcome::Rejected, true; "not idempotent, never ran")]
#[test_case(NON_IDEMPOTENT, Outcome::Unreachable, true; "not idempotent, never arrived")]
#[test_case(idempotent_with_key(KeyScope::All), Outcome::Failed, true; "with a key that is known everywhere is retried")]
fn a_failed_attempt_is_retried_only_where_that_is_harmless(
    idempotency: Idempotency,
    outcome: Outcome,
    is_retried: bool,
) {
    let mut router = TestRouter::new(config(profile_with(idempotency)), 3);
    let id = router.arrive(0, 4.0);
    router.advance(0.1);
    router.answer(id, 0, outcome, 0.1);
    assert_eq!(router.attempts(id).len(), if is_retried { 2 } else { 1 });
    assert_eq!(
        router.has_called(&HostCall::Fail { id }),
        !is_retried,
        "a request that cannot be retried ends at once"
    );
}

#[test_case(KeyScope::Zone; "zone")]
#[test_case(KeyScope::Cell; "cell")]
fn a_retry_with_an_idempotency_key_stays_where_the_key_is_known(scope: KeyScope) {
    for function in 0..12 {
        let mut router = TestRouter::new(config(profile_with(idempotent_with_key(scope))), 8);
        let id = router.arrive(function, 4.0);
        router.answer(id, 0, Outcome::ConnectionLost, 0.1);
        let at: Vec<_> = router
            .attempts(id)
            .iter()
            .map(|&w| if scope == KeyScope::Zone { w % 2 } else { w / 2 })
            .collect();
        assert_eq!(at.len(), 2);
        assert_eq!(at[0], at[1]);
    }
}

#[test]
fn no_retry_after_the_idempotency_key_has_expired() {
    let mut router = TestRouter::new(config(profile_with(idempotent_with_key(KeyScope::All))), 4);
    let id = router.arrive(0, 9.0);
    router.advance(2.5);
    let before = router.attempts(id).len();
    router.answer(id, 0, Outcome::ConnectionLost, 2.5);
    assert_eq!(router.attempts(id).len(), before);
}

#[test]
fn an_unanswered_attempt_is_not_hedged() {
    let mut router = TestRouter::new(config(idempotent()), 4);
    let ids: Vec<_> = (0..8).map(|_| router.arrive(0, 4.0)).collect();
    router.advance(3.5);
    assert!(ids.iter().all(|&id| router.attempts(id).len() <= 1));
}

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Gone; "removed")]
fn a_draining_worker_gets_neither_attempts_nor_load_requests(state: EndpointState) {
    let mut router = TestRouter::new(config(idempotent()), 3);
    let home = router.serve(0, 0.1);
    router.list(vec![endpoint(home, state, None)]);
    let from = router.host.calls.len();
    for _ in 0..40 {
        router.arrive(0, 4.0);
        router.advance(0.02);
    }
    assert!(router.host.calls.len() > from);
    assert!(router.host.calls[from..].iter().all(|(_, call)| !matches!(call,
        HostCall::Send { worker, .. } | HostCall::RequestLoad { worker, instances: 1.., .. } if *worker == home)));
}

#[test_case(1, 1.0; "one router")]
#[test_case(4, 1.0; "four routers")]
#[test_case(1, 0.25; "a quarter of the rate")]
fn a_worker_in_slow_start_is_not_sent_more_than_its_budget(routers: usize, rate_factor: f64) {
    let settings = PolicyConfig { routers, can_request_loads: false, ..config(idempotent()) };
    let budget =
        settings.overload_multiple * settings.initial_capacity * settings.overload_window / routers as f64;
    let mut router = TestRouter::new(settings, 2);
    for n in 0..200 {
        router.serve(n % 60, 0.05 / rate_factor);
    }
    // A warm worker serves about ten requests per second times the rate factor, and an equal worker starts.
    let rate = 10.0 * rate_factor * routers as f64;
    let start = router.host.now;
    router.list(vec![endpoint(9, EndpointState::Ready, Some(start))]);
    for n in 0..180 {
        router.arrive(n % 60, 4.0);
        router.advance(0.01);
    }
    let sent =
        router.host.calls.iter().filter(|(_, call)| matches!(call, HostCall::Send { worker: 9, .. })).count();
    assert!(sent as f64 <= budget * rate * 1.4, "{sent} attempts for a limit of {}", budget * rate);
}

/// Regression test for workers that were pushed over when they returned: where listed sizes shrink with the load, a worker
/// that has just started looks several times as large as warm ones, and is no larger.
#[test_case(8.0; "a router that has seen the workers idle")]
#[test_case(1.0; "a router that has only seen them busy")]
fn a_worker_in_slow_start_is_not_sent_more_where_sizes_shrink_with_the_load(first_listed_size: f64) {
    /// Requests per second of a warm worker, and of all of them.
    const RATE: f64 = 100.0;
    const WORKERS: usize = 4;
    let settings = PolicyConfig {
        can_request_loads: false,
        warm_up: 1e4,
        overload_window: 1.0,
        size_meaning: SizeMeaning::FreeCapacity,
        ..config(idempotent())
    };
    let allowed = settings.overload_multiple * settings.initial_capacity * settings.overload_window * RATE;
    let listed =
        |worker, size, started| EndpointUpdate { size, ..endpoint(worker, EndpointState::Ready, started) };
    let mut router = TestRouter::new(settings, 0);
    router.list((0..WORKERS).map(|worker| listed(worker, first_listed_size, None)).collect());
    for n in 0..2000 {
        router.serve(n % 60, 1.0 / (RATE * WORKERS as f64));
        if n % 100 == 99 {
            router.list((0..WORKERS).map(|worker| listed(worker, 1.0, None)).collect());
        }
    }
    let started = router.host.now;
    router.list(vec![endpoint(0, EndpointState::Gone, None), listed(9, 8.0, Some(started))]);
    let mut sent = Vec::new();
    for n in 0..1500 {
        let sent_at = router.host.now;
        if router.serve(n % 60, 0.002) == 9 {
            sent.push(sent_at);
        }
    }
    let in_window = |from: &f64| sent.iter().filter(|at| (*from..*from + 1.0).contains(*at)).count();
    let most = sent.iter().map(in_window).max().unwrap_or(0) as f64;
    let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
    assert!(most > 0.0, "the worker gets nothing");
    assert!(most <= limit, "{most} in a window, above the limit of {limit:.1}");
}

/// If connections to a worker in slow start come up late and all at once, attempts that were decided on earlier must
/// not begin together with those that are decided on then.
#[test_case(0.25; "a quarter of the window")]
#[test_case(0.5; "half of the window")]
#[test_case(1.0; "all of the window")]
fn late_connections_do_not_exceed_the_limit_of_a_slow_start(late: f64) {
    let settings =
        PolicyConfig { can_request_loads: false, warm_up: 1e4, overload_window: 1.0, ..config(idempotent()) };
    let window = settings.overload_window;
    let allowed = settings.overload_multiple * settings.initial_capacity * window * LateConnections::RATE;
    let begun = LateConnections::new(settings).run(window, late);
    let in_window = |from: &f64| begun.iter().filter(|at| (*from..*from + window).contains(*at)).count();
    let most = begun.iter().map(in_window).max().unwrap_or(0) as f64;
    let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
    assert!(most > 0.4 * allowed, "{most} of {allowed}");
    assert!(most <= limit, "{most} in a window, above the limit of {limit:.1}");
}

/// A warm worker is replaced by one in slow start whose connections come up late.
struct LateConnections {
    router: TestRouter,
    /// Decision time and request of each attempt whose connection is not up yet.
    waiting: Vec<(f64, usize)>,
    /// When attempts began.
    begun: Vec<f64>,
}

impl LateConnections {
    /// Requests per second of the warm worker.
    const RATE: f64 = 800.0;
    /// Seconds between arrivals at the cold worker.
    const STEP: f64 = 0.0005;
    const FUNCTIONS: usize = 400;
    const COLD_WORKER: usize = 9;

    fn new(settings: PolicyConfig) -> Self {
        let mut router = TestRouter::new(settings, 1);
        for n in 0..4000 {
            router.serve(n % Self::FUNCTIONS, 1.0 / Self::RATE);
        }
        let started = Some(router.host.now);
        router.list(vec![
            endpoint(0, EndpointState::Draining, None),
            endpoint(Self::COLD_WORKER, EndpointState::Ready, started),
        ]);
        Self { router, waiting: Vec::new(), begun: Vec::new() }
    }

    /// Runs for two windows: no connection comes up in the last `late` seconds of the first, and then all are up.
    fn run(mut self, window: f64, late: f64) -> Vec<f64> {
        let up = self.router.host.now + window;
        let mut checked = self.router.host.calls.len();
        while self.router.host.now < up + window {
            self.router.arrive(self.router.host.calls.len() % Self::FUNCTIONS, 0.9);
            self.router.advance(Self::STEP);
            for (decided, call) in &self.router.host.calls[checked..] {
                if let HostCall::Send { id, worker: Self::COLD_WORKER } = call {
                    self.waiting.push((*decided, *id));
                }
            }
            checked = self.router.host.calls.len();
            if self.router.host.now >= up || self.router.host.now < up - late {
                self.connections_are_up(late);
            }
        }
        self.begun
    }

    fn connections_are_up(&mut self, late: f64) {
        let now = self.router.host.now;
        for (decided, id) in std::mem::take(&mut self.waiting) {
            let attempt = self.router.attempts(id).len() - 1;
            if now - decided <= late && self.router.router.may_send(now, id, Self::COLD_WORKER).is_ok() {
                self.begun.push(now);
                self.router.answer(id, attempt, Outcome::Succeeded, 0.01);
            } else {
                self.router.router.close_request(id, None, &mut self.router.host);
                self.router.answer(id, attempt, Outcome::NotSent, 0.01);
            }
        }
    }
}

#[test]
fn load_requests_stay_within_their_budget() {
    let settings = PolicyConfig {
        load_budget: Some(RequestBudget { window: 5.0, free: 2.0, earned_per_request: 0.05 }),
        reports_missing_functions: true,
        ..config(idempotent())
    };
    let mut router = TestRouter::new(settings, 6);
    let mut arrivals = Vec::new();
    for n in 0..300 {
        arrivals.push(router.host.now);
        let id = router.arrive(n % 60, 4.0);
        if !router.attempts(id).is_empty() {
            router.answer(id, 0, Outcome::NotLoaded, 0.0);
        }
        router.advance(0.05);
    }
    let load_requests = router.load_requests();
    assert!(load_requests.len() > 3);
    for &(at, _) in &load_requests {
        // Arrivals exactly at the end of the window do not count, however their times were rounded.
        let load_request_count =
            load_requests.iter().filter(|&&(t, _)| t <= at && at - t < 5.0 + 1e-6).count() as f64;
        let arrival_count = arrivals.iter().filter(|&&t| t <= at && at - t < 5.0 - 1e-6).count() as f64;
        assert!(load_request_count <= 2.0 + 0.05 * arrival_count);
    }
}
