//! Random histories of many requests, checked against a model of the caller's view.

use super::support::*;
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::EndpointStatus;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for late answers in seconds, as timers may fire a millisecond late.
const TOLERANCE: f64 = 0.002;

/// Time in seconds by which the longest history has ended.
const END_OF_HISTORY: f64 = 40.0;

#[derive(Clone, Debug)]
enum Step {
    Submit(f64),
    BeginAttempt(usize),
    NotWritten(usize),
    EndAttempt(usize, Outcome),
    ClientGone(usize),
    UpdateEndpoints(u16, EndpointStatus),
    Advance(f64),
    JumpClock(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use Outcome::*;
    let outcome = proptest::sample::select(vec![
        Succeeded,
        Succeeded,
        Succeeded,
        Failed,
        Rejected,
        Unreachable,
        ConnectionLost,
        NotLoaded,
    ]);
    let state = proptest::sample::select(vec![
        EndpointStatus::Ready,
        EndpointStatus::Ready,
        EndpointStatus::Draining,
        EndpointStatus::Gone,
    ]);
    let step = prop_oneof![
        4 => (0.0..3.5f64).prop_map(Step::Submit),
        4 => (0..64usize).prop_map(Step::BeginAttempt),
        4 => (0..64usize, outcome).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        1 => (0..64usize).prop_map(Step::ClientGone),
        1 => (0..9usize).prop_map(Step::NotWritten),
        1 => (0..4u16, state).prop_map(|(w, s)| Step::UpdateEndpoints(w, s)),
        4 => (0.0..0.2f64).prop_map(Step::Advance),
        1 => (0.0..4.0f64).prop_map(Step::JumpClock),
    ];
    proptest::collection::vec(step, 1..150)
}

#[derive(Clone, Copy)]
struct InFlight {
    sent: SentAttempt,
    begun: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    request: RequestId,
    deadline: f64,
}

/// A dispatcher and the caller's view of it, on which the invariants are checked.
struct Model {
    dispatcher: Dispatcher<u32>,
    effect: Effect,
    now: f64,
    /// Requests whose clients wait for a response, by serial number.
    open: BTreeMap<u64, OpenRequest>,
    /// Attempts in flight, by the request's serial number and the attempt's index.
    in_flight: BTreeMap<(u64, usize), InFlight>,
    may_have_run: BTreeSet<u64>,
    worker_states: BTreeMap<u16, EndpointStatus>,
}

impl Model {
    fn new(effect: Effect) -> Self {
        Self {
            dispatcher: dispatcher(effect, 4),
            effect,
            now: 1.0,
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            worker_states: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit(timeout) => self.submit(timeout),
            Step::BeginAttempt(n) => self.begin_attempt(n),
            Step::NotWritten(n) => self.fail_to_write(n),
            Step::EndAttempt(n, outcome) => self.end_attempt(n, outcome),
            Step::ClientGone(n) => self.disconnect_client(n),
            Step::UpdateEndpoints(worker, state) => {
                self.worker_states.insert(worker, state);
                self.dispatcher.update_endpoints(self.now, false, &[entry(worker, state)]);
            }
            Step::Advance(seconds) => self.advance(seconds),
            Step::JumpClock(seconds) => {
                self.now += seconds;
                self.dispatcher.advance(self.now);
            }
        }
        self.process_actions();
    }

    fn nth_in_flight(&self, n: usize) -> Option<InFlight> {
        self.in_flight.values().nth(n % self.in_flight.len().max(1)).copied()
    }

    fn set_in_flight(&mut self, in_flight: InFlight) {
        let SentAttempt { request, attempt, .. } = in_flight.sent;
        self.in_flight.insert((request.serial, attempt), in_flight);
    }

    fn submit(&mut self, timeout: f64) {
        let request = submit(&mut self.dispatcher, self.now, timeout);
        self.open.insert(request.serial, OpenRequest { request, deadline: self.now + timeout });
    }

    fn begin_attempt(&mut self, n: usize) {
        let Some(InFlight { sent, begun: false }) = self.nth_in_flight(n) else { return };
        if self.dispatcher.begin_attempt(self.now, sent.request, sent.attempt) {
            self.may_have_run.insert(sent.request.serial);
            self.set_in_flight(InFlight { sent, begun: true });
        } else {
            self.in_flight.remove(&(sent.request.serial, sent.attempt));
        }
    }

    fn fail_to_write(&mut self, n: usize) {
        let Some(InFlight { sent, begun: true }) = self.nth_in_flight(n) else { return };
        self.dispatcher.attempt_not_written(self.now, sent.request, sent.attempt);
        self.may_have_run.remove(&sent.request.serial);
        self.set_in_flight(InFlight { sent, begun: false });
    }

    fn end_attempt(&mut self, n: usize, outcome: Outcome) {
        let Some(InFlight { sent, begun }) = self.nth_in_flight(n) else { return };
        // Before the attempt is written, this is the only possible outcome.
        let outcome = if begun { outcome } else { Outcome::Unreachable };
        let serial = sent.request.serial;
        if outcome.never_ran() {
            self.may_have_run.remove(&serial);
        }
        self.in_flight.remove(&(serial, sent.attempt));
        if end_attempt(&mut self.dispatcher, self.now, sent, outcome) {
            assert!(self.now < self.open[&serial].deadline, "a response after the client's deadline");
            self.record_answer(sent.request);
        }
    }

    fn disconnect_client(&mut self, n: usize) {
        let Some(OpenRequest { request, .. }) = self.open.values().nth(n).copied() else { return };
        self.dispatcher.client_gone(self.now, request);
        self.open.remove(&request.serial);
    }

    fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while let Some(at) = self.dispatcher.next_deadline().filter(|at| *at <= until) {
            self.advance_to(at);
            for OpenRequest { request, deadline } in self.open.values() {
                assert!(self.now <= deadline + TOLERANCE, "{request:?} is overdue at {}", self.now);
            }
        }
        self.now = self.now.max(until);
    }

    fn advance_to(&mut self, at: f64) {
        self.now = at.max(self.now) + 0.0001;
        self.dispatcher.advance(self.now);
        self.process_actions();
    }

    /// Lets everything still in flight end or time out.
    fn finish(&mut self) {
        for _ in 0..2000 {
            let Some(at) = self.dispatcher.next_deadline() else { break };
            self.advance_to(at);
            if self.now > END_OF_HISTORY && self.dispatcher.open_requests() == 0 {
                break;
            }
        }
    }

    /// Whether executing the request again could repeat its effect.
    fn must_not_run_again(&self, request: RequestId) -> bool {
        self.effect == Effect::NonIdempotent && self.may_have_run.contains(&request.serial)
    }

    fn process_actions(&mut self) {
        while let Some(action) = self.dispatcher.next_action() {
            match action {
                Action::SendAttempt { request, attempt, worker } => {
                    self.check_attempt(request, worker);
                    self.set_in_flight(InFlight {
                        sent: SentAttempt { request, attempt, worker },
                        begun: false,
                    });
                }
                Action::CancelAttempt { request, attempt } => {
                    self.in_flight.remove(&(request.serial, attempt));
                }
                Action::Reject { request, .. } => {
                    assert!(!self.must_not_run_again(request), "a request that may have run was rejected");
                    self.record_answer(request);
                }
                Action::Fail { request, .. } => self.record_answer(request),
                _ => {}
            }
        }
    }

    fn check_attempt(&self, request: RequestId, worker: usize) {
        assert!(self.open.contains_key(&request.serial), "an attempt for a closed request");
        assert!(!self.must_not_run_again(request), "the effect may be repeated");
        // The index may have been reused for another worker, so the worker is identified by its address.
        let number = self.dispatcher.worker_process(worker).address.port() - FIRST_PORT;
        assert_ne!(self.worker_states.get(&number), Some(&EndpointStatus::Gone));
    }

    fn record_answer(&mut self, request: RequestId) {
        assert!(self.open.remove(&request.serial).is_some(), "a second response for {request:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// For any events in any order: each request gets exactly one final answer within the client's timeout, nothing
    /// is sent after it, no effect is repeated, and nothing is sent to a worker that is gone. At the end no request
    /// is open.
    #[test]
    fn random_histories_keep_the_invariants(steps in steps(), effect in 0..3usize) {
        let mut model = Model::new(Effect::ALL[effect]);
        for step in steps {
            model.apply(step);
        }
        model.finish();
        prop_assert!(model.open.is_empty(), "requests never ended: {:?}", model.open);
        prop_assert_eq!(model.dispatcher.open_requests(), 0);
    }
}
