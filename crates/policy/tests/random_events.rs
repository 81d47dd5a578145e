//! Invariants for any legal order of events: each request has one final response in time, and nothing is sent after
//! it or to draining endpoints.

mod common;

use common::{HostCall, TestRouter, config, endpoint, idempotent};
use milletpath_policy::{EndpointState, Idempotency, KeyScope, Outcome, PolicyConfig, Profile};
use oorandom::Rand32;
use test_case::test_case;

const WORKERS: usize = 6;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Succeeded,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::ConnectionLost,
    Outcome::Unreachable,
    Outcome::NotLoaded,
    Outcome::Cancelled,
];

/// What has happened to a request so far.
struct Request {
    deadline: f64,
    final_answers: usize,
    /// For each attempt, whether it certainly did not run.
    never_ran: Vec<bool>,
}

struct History {
    random: Rand32,
    idempotency: Idempotency,
    router: TestRouter,
    ready: [bool; WORKERS],
    requests: Vec<Request>,
    /// Attempts in flight, by request and index.
    in_flight: Vec<(usize, usize)>,
    /// Number of calls of the router that were checked.
    checked: usize,
}

impl History {
    fn new(seed: u64, idempotency: Idempotency) -> Self {
        let reports_missing = seed.is_multiple_of(2);
        let settings = PolicyConfig {
            reports_missing_functions: reports_missing,
            ..config(Profile { idempotency, ..idempotent() })
        };
        Self {
            random: Rand32::new(seed),
            idempotency,
            router: TestRouter::new(settings, WORKERS),
            ready: [true; WORKERS],
            requests: Vec::new(),
            in_flight: Vec::new(),
            checked: 0,
        }
    }

    fn event(&mut self) {
        match self.random.rand_range(0..10) {
            0..3 => self.request_arrives(),
            3..7 if !self.in_flight.is_empty() => self.attempt_ends(),
            7 => self.endpoint_changes(),
            8 => {
                let router = &mut self.router;
                router.router.load_request_ended(router.host.now, 1, 3, Outcome::Failed, 0, &mut router.host);
            }
            _ => self.router.advance(0.03),
        }
        self.check_calls();
    }

    fn request_arrives(&mut self) {
        let client_timeout = f64::from(self.random.rand_range(1..2000)) / 1000.0;
        self.router.arrive(self.random.rand_range(0..9) as usize, client_timeout);
        let deadline = self.router.host.now + client_timeout;
        self.requests.push(Request { deadline, final_answers: 0, never_ran: Vec::new() });
    }

    fn attempt_ends(&mut self) {
        let at = self.random.rand_range(0..self.in_flight.len() as u32) as usize;
        let (id, attempt) = self.in_flight.swap_remove(at);
        let outcome = OUTCOMES[self.random.rand_range(0..7) as usize];
        let request = &mut self.requests[id];
        request.final_answers += usize::from(outcome == Outcome::Succeeded && request.final_answers == 0);
        request.never_ran[attempt] = outcome.never_ran();
        self.router.answer(id, attempt, outcome, 0.1);
    }

    fn endpoint_changes(&mut self) {
        let worker = self.random.rand_range(0..WORKERS as u32) as usize;
        self.ready[worker] = !self.ready[worker];
        let state = if self.ready[worker] { EndpointState::Ready } else { EndpointState::Draining };
        self.router.list(vec![endpoint(worker, state, None)]);
    }

    fn check_calls(&mut self) {
        let not_idempotent = self.idempotency == Idempotency::NonIdempotent;
        for (at, call) in &self.router.host.calls[self.checked..] {
            match *call {
                HostCall::Send { id, worker } => {
                    let request = &mut self.requests[id];
                    assert!(request.final_answers == 0 && *at < request.deadline && self.ready[worker]);
                    assert!(!not_idempotent || request.never_ran.iter().all(|&never| never));
                    self.in_flight.push((id, request.never_ran.len()));
                    request.never_ran.push(false);
                }
                HostCall::Reject { id } | HostCall::Fail { id } => {
                    let request = &mut self.requests[id];
                    request.final_answers += 1;
                    let failed = *call == HostCall::Fail { id };
                    assert!(!not_idempotent || failed || request.never_ran.iter().all(|&never| never));
                    assert!(*at <= request.deadline + 1e-9);
                }
                _ => {}
            }
        }
        self.checked = self.router.host.calls.len();
    }

    fn end(mut self) {
        self.router.advance(3.0);
        for (_, call) in &self.router.host.calls[self.checked..] {
            if let HostCall::Reject { id } | HostCall::Fail { id } = call {
                self.requests[*id].final_answers += 1;
            }
        }
        assert!(self.requests.iter().all(|request| request.final_answers == 1));
    }
}

#[test_case(1, Idempotency::Idempotent; "idempotent")]
#[test_case(2, Idempotency::NonIdempotent; "not idempotent")]
#[test_case(3, Idempotency::IdempotentWithKey { scope: KeyScope::Cell, retention: 1.0 }; "with a key that is known in a cell")]
#[test_case(4, Idempotency::IdempotentWithKey { scope: KeyScope::All, retention: 1.0 }; "with a key that is known everywhere")]
fn the_invariants_hold_for_any_order_of_events(seed: u64, idempotency: Idempotency) {
    let mut history = History::new(seed, idempotency);
    (0..4000).for_each(|_| history.event());
    history.end();
}
