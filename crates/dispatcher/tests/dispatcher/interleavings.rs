//! Tests every order of the events that can occur around one request, each run to completion.

use super::support::*;
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::EndpointStatus;
use std::collections::BTreeMap;
use test_case::test_case;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// An attempt's connection is established, and its first byte is sent.
    Connected,
    /// No byte of the attempt could be written to the socket.
    NotWritten,
    Answer,
    /// A duplicate of the answer, or the answer to another attempt.
    SecondAnswer,
    ConnectionLost,
    ClientGone,
    WorkerDrained,
    Timer,
}

const ALL_EVENTS: [Event; 8] = [
    Event::Connected,
    Event::NotWritten,
    Event::Answer,
    Event::SecondAnswer,
    Event::ConnectionLost,
    Event::ClientGone,
    Event::WorkerDrained,
    Event::Timer,
];

/// An attempt that has not ended.
#[derive(Clone, Copy)]
struct InFlight {
    worker: usize,
    begun: bool,
}

/// A dispatcher with one request, and the caller's view of it, on which the invariants are checked.
struct Run {
    dispatcher: Dispatcher<u32>,
    effect: Effect,
    request: RequestId,
    now: f64,
    in_flight: BTreeMap<usize, InFlight>,
    answers: usize,
    client_gone: bool,
    /// Number of attempts that may have run.
    may_have_run: usize,
    draining_worker: Option<usize>,
}

impl Run {
    fn new(effect: Effect) -> Self {
        let mut dispatcher = dispatcher(effect, 2);
        let now = 1.0;
        let request = submit(&mut dispatcher, now, 2.0);
        let mut run = Self {
            dispatcher,
            effect,
            request,
            now,
            in_flight: BTreeMap::new(),
            answers: 0,
            client_gone: false,
            may_have_run: 0,
            draining_worker: None,
        };
        run.process_actions(Event::Connected);
        run
    }

    fn is_over(&self) -> bool {
        self.answers > 0 || self.client_gone
    }

    /// Whether executing the request again could repeat its effect.
    fn must_not_run_again(&self) -> bool {
        self.effect == Effect::NonIdempotent && self.may_have_run > 0
    }

    fn first_in_flight(&self) -> Option<(usize, InFlight)> {
        self.in_flight.first_key_value().map(|(attempt, in_flight)| (*attempt, *in_flight))
    }

    fn process_actions(&mut self, event: Event) {
        let actions = take_actions(&mut self.dispatcher);
        for SentAttempt { attempt, worker, .. } in sent_attempts(&actions) {
            assert!(!self.is_over(), "an attempt after the request ended, at {event:?}");
            assert_ne!(
                self.draining_worker,
                Some(worker),
                "an attempt sent to a draining worker, at {event:?}"
            );
            assert!(!self.must_not_run_again(), "the effect may be repeated, at {event:?}");
            self.in_flight.insert(attempt, InFlight { worker, begun: false });
        }
        for action in actions {
            match action {
                Action::CancelAttempt { attempt, .. } => {
                    self.in_flight.remove(&attempt);
                }
                Action::Reject { .. } => {
                    assert!(
                        !self.must_not_run_again(),
                        "a request that may have run was rejected, at {event:?}"
                    );
                    self.answers += 1;
                }
                Action::Fail { .. } => self.answers += 1,
                _ => {}
            }
        }
        assert!(self.answers <= 1, "a second response, at {event:?}");
        assert!(
            !self.client_gone || self.answers == 0,
            "a response after the client disconnected, at {event:?}"
        );
    }

    fn apply(&mut self, event: Event) {
        self.now += 0.01;
        match event {
            Event::Connected => self.connect(),
            Event::NotWritten => self.fail_to_write(),
            Event::Answer | Event::SecondAnswer => self.end_first(Outcome::Succeeded),
            Event::ConnectionLost => self.end_first(Outcome::ConnectionLost),
            Event::ClientGone => self.disconnect_client(),
            Event::WorkerDrained => self.drain_worker(),
            Event::Timer => self.advance_to(self.now + 0.3),
        }
        self.process_actions(event);
    }

    fn connect(&mut self) {
        let Some((attempt, InFlight { worker, begun: false })) = self.first_in_flight() else { return };
        let begun = self.dispatcher.begin_attempt(self.now, self.request, attempt);
        if !begun {
            self.in_flight.remove(&attempt);
            return;
        }
        assert!(!self.is_over(), "an attempt begun after the request ended");
        assert_ne!(self.draining_worker, Some(worker), "an attempt begun on a draining worker");
        self.may_have_run += 1;
        self.in_flight.insert(attempt, InFlight { worker, begun });
    }

    fn fail_to_write(&mut self) {
        let Some((attempt, InFlight { worker, begun: true })) = self.first_in_flight() else { return };
        self.dispatcher.attempt_not_written(self.now, self.request, attempt);
        self.in_flight.insert(attempt, InFlight { worker, begun: false });
        self.may_have_run -= 1;
    }

    fn end_first(&mut self, outcome: Outcome) {
        let Some((attempt, InFlight { worker, begun })) = self.first_in_flight() else { return };
        self.in_flight.remove(&attempt);
        let outcome = if begun { outcome } else { Outcome::Unreachable };
        let sent = SentAttempt { request: self.request, attempt, worker };
        if end_attempt(&mut self.dispatcher, self.now, sent, outcome) {
            assert!(!self.is_over(), "a response after the request ended");
            self.answers += 1;
        }
    }

    fn disconnect_client(&mut self) {
        if !self.is_over() {
            self.dispatcher.client_gone(self.now, self.request);
            self.client_gone = true;
        }
    }

    fn drain_worker(&mut self) {
        self.draining_worker = self.first_in_flight().map(|(_, in_flight)| in_flight.worker);
        if let Some(worker) = self.draining_worker {
            let draining = entry(worker as u16, EndpointStatus::Draining);
            self.dispatcher.update_endpoints(self.now, false, &[draining]);
        }
    }

    fn advance_to(&mut self, until: f64) {
        while let Some(at) = self.dispatcher.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at) + 0.0001;
            self.dispatcher.advance(self.now);
            self.process_actions(Event::Timer);
        }
        self.now = self.now.max(until);
    }
}

/// Calls `visit` with every permutation of the events from index `from` on.
fn for_each_permutation(events: &mut [Event], from: usize, visit: &mut impl FnMut(&[Event])) {
    if from == events.len() {
        return visit(events);
    }
    for at in from..events.len() {
        events.swap(from, at);
        for_each_permutation(events, from + 1, visit);
        events.swap(from, at);
    }
}

#[test_case(Effect::Idempotent; "idempotent")]
#[test_case(Effect::IdempotentWithKey; "idempotent with key")]
#[test_case(Effect::NonIdempotent; "non idempotent")]
fn every_event_order_ends_in_exactly_one_answer(effect: Effect) {
    let mut count = 0;
    for_each_permutation(&mut ALL_EVENTS.to_owned(), 0, &mut |events| {
        let mut run = Run::new(effect);
        events.iter().for_each(|event| run.apply(*event));
        run.advance_to(8.0);
        assert!(run.is_over(), "the request never ended in {events:?}");
        assert_eq!(run.dispatcher.open_requests(), 0, "a request is still open after {events:?}");
        assert!(
            run.dispatcher.context(run.request).is_none(),
            "the request's record was not freed after {events:?}"
        );
        count += 1;
    });
    assert_eq!(count, (1..=ALL_EVENTS.len()).product::<usize>());
}
