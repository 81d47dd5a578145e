//! Every order in which what can cross around one call may come, played out whole.

use super::{EFFECTS, NO_HEALTH_CHECKS, attempts, dispatcher, entry};
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::host::Outcome;
use milletpath_protocol::registry::Standing;
use std::collections::BTreeMap;
use test_case::test_case;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The connection of a shot is made, and its first byte goes.
    Connected,
    /// The socket took no byte of it after all.
    NotWritten,
    Answer,
    /// A second copy of that, or what another shot brings.
    SecondAnswer,
    ConnectionLost,
    ClientGone,
    WorkerDrained,
    Timer,
}

const ALL: [Event; 8] = [
    Event::Connected,
    Event::NotWritten,
    Event::Answer,
    Event::SecondAnswer,
    Event::ConnectionLost,
    Event::ClientGone,
    Event::WorkerDrained,
    Event::Timer,
];

/// What a shell knows of one call, and what must hold of it.
struct CrossingRun {
    dispatcher: Dispatcher<u32>,
    effect: usize,
    request: RequestId,
    now: f64,
    /// Its shots: the worker, and whether it was begun, out or over.
    attempts: BTreeMap<usize, (usize, bool)>,
    answers: usize,
    client_gone: bool,
    /// Shots that may have run.
    may_have_run: usize,
    draining_worker: Option<usize>,
}

impl CrossingRun {
    fn new(effect: usize) -> Self {
        let mut dispatcher = dispatcher(EFFECTS[effect], NO_HEALTH_CHECKS, 2);
        let incoming = IncomingRequest {
            function: "f",
            profile: 0,
            client: 9,
            timeout: 2.0,
            is_retry: false,
            resources: None,
        };
        let request = dispatcher.submit(1.0, incoming, 0).expect("there is room");
        let (attempts, now) = (BTreeMap::new(), 1.0);
        let mut run = Self {
            dispatcher,
            effect,
            request,
            now,
            attempts,
            answers: 0,
            client_gone: false,
            may_have_run: 0,
            draining_worker: None,
        };
        run.drain_actions(Event::Connected);
        run
    }

    fn is_over(&self) -> bool {
        self.answers > 0 || self.client_gone
    }

    fn drain_actions(&mut self, event: Event) {
        let actions: Vec<_> = std::iter::from_fn(|| self.dispatcher.next_action()).collect();
        for (_, attempt, worker) in attempts(&actions) {
            assert!(!self.is_over(), "a shot after the end, at {event:?}");
            assert_ne!(self.draining_worker, Some(worker), "a shot to a worker that drains, at {event:?}");
            assert!(
                self.effect != 2 || self.may_have_run == 0,
                "an effect that may happen twice, at {event:?}"
            );
            self.attempts.insert(attempt, (worker, false));
        }
        for action in actions {
            match action {
                Action::CancelAttempt { attempt, .. } => {
                    self.attempts.remove(&attempt);
                }
                Action::Reject { .. } => {
                    assert!(
                        self.effect != 2 || self.may_have_run == 0,
                        "a bounce of what may have run, at {event:?}"
                    );
                    self.answers += 1;
                }
                Action::Fail { .. } => self.answers += 1,
                _ => {}
            }
        }
        assert!(self.answers <= 1, "a second answer, at {event:?}");
        assert!(!self.client_gone || self.answers == 0, "an answer to nobody, at {event:?}");
    }

    fn end(&mut self, outcome: Outcome) {
        let Some((&attempt, &(_, sent))) = self.attempts.iter().next() else { return };
        self.attempts.remove(&attempt);
        let outcome = if sent { outcome } else { Outcome::Unreached };
        if self.dispatcher.attempt_ended(
            self.now,
            self.request,
            attempt,
            AttemptResult::from_outcome(outcome),
        ) {
            assert!(!self.is_over(), "an answer after the end");
            self.answers += 1;
        }
    }

    fn apply(&mut self, event: Event) {
        self.now += 0.01;
        match event {
            Event::Connected => {
                if let Some((&attempt, &(worker, false))) = self.attempts.iter().next() {
                    let sent = self.dispatcher.begin_attempt(self.now, self.request, attempt);
                    assert!(!(sent && self.is_over()), "a shot begun after the end");
                    assert!(
                        !(sent && self.draining_worker == Some(worker)),
                        "a shot begun to a worker that drains"
                    );
                    self.may_have_run += usize::from(sent);
                    if sent {
                        self.attempts.insert(attempt, (worker, true));
                    } else {
                        self.attempts.remove(&attempt);
                    }
                }
            }
            Event::NotWritten => {
                if let Some((&attempt, &(worker, true))) = self.attempts.iter().next() {
                    self.dispatcher.attempt_not_written(self.now, self.request, attempt);
                    self.attempts.insert(attempt, (worker, false));
                    self.may_have_run -= 1;
                }
            }
            Event::Answer | Event::SecondAnswer => self.end(Outcome::Handled),
            Event::ConnectionLost => self.end(Outcome::Cut),
            Event::ClientGone => {
                if !self.is_over() {
                    self.dispatcher.client_gone(self.now, self.request);
                    self.client_gone = true;
                }
            }
            Event::WorkerDrained => {
                self.draining_worker = self.attempts.values().next().map(|&(worker, _)| worker);
                if let Some(worker) = self.draining_worker {
                    self.dispatcher.update_endpoints(
                        self.now,
                        false,
                        &[entry(worker as u16, Standing::Draining, None)],
                    );
                }
            }
            Event::Timer => self.advance_to(self.now + 0.3),
        }
        self.drain_actions(event);
    }

    fn advance_to(&mut self, until: f64) {
        while let Some(at) = self.dispatcher.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at) + 0.0001;
            self.dispatcher.advance(self.now);
            self.drain_actions(Event::Timer);
        }
        self.now = self.now.max(until);
    }
}

/// Calls `visit` with every order of the events.
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

#[test_case(0; "pure")]
#[test_case(1; "receipted")]
#[test_case(2; "effectful")]
fn every_event_order_ends_in_exactly_one_answer(effect: usize) {
    let mut count = 0;
    for_each_permutation(&mut ALL.to_owned(), 0, &mut |events| {
        let mut run = CrossingRun::new(effect);
        events.iter().for_each(|event| run.apply(*event));
        run.advance_to(8.0);
        assert!(run.is_over(), "no end in {events:?}");
        assert_eq!(run.dispatcher.open_requests(), 0, "something is left in {events:?}");
        assert!(run.dispatcher.context(run.request).is_none(), "its place is not free again in {events:?}");
        count += 1;
    });
    assert_eq!(count, (1..=ALL.len()).product::<usize>());
}
