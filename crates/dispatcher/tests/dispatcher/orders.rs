//! Every order in which what can cross around one call may come, played out whole.

use super::{EFFECTS, PROBELESS, desk, entry, shots};
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::host::Outcome;
use milletpath_protocol::registry::Standing;
use std::collections::BTreeMap;
use test_case::test_case;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The connection of a shot is made, and its first byte goes.
    Made,
    /// The socket took no byte of it after all.
    PutBack,
    Answer,
    /// A second copy of that, or what another shot brings.
    Second,
    Broken,
    Gone,
    Drained,
    Timer,
}

const ALL: [Event; 8] = [
    Event::Made,
    Event::PutBack,
    Event::Answer,
    Event::Second,
    Event::Broken,
    Event::Gone,
    Event::Drained,
    Event::Timer,
];

/// What a shell knows of one call, and what must hold of it.
struct Story {
    desk: Dispatcher<u32>,
    effect: usize,
    tag: RequestId,
    now: f64,
    /// Its shots: the worker, and whether it was begun, out or over.
    shots: BTreeMap<usize, (usize, bool)>,
    answers: usize,
    gone: bool,
    /// Shots that may have run.
    ran: usize,
    drained: Option<usize>,
}

impl Story {
    fn new(effect: usize) -> Self {
        let mut desk = desk(EFFECTS[effect], PROBELESS, 2);
        let come = IncomingRequest {
            function: "f",
            profile: 0,
            client: 9,
            patience: 2.0,
            repeat: false,
            instance: None,
        };
        let tag = desk.arrive(1.0, come, 0).expect("there is room");
        let (shots, now) = (BTreeMap::new(), 1.0);
        let mut story =
            Self { desk, effect, tag, now, shots, answers: 0, gone: false, ran: 0, drained: None };
        story.carry_out(Event::Made);
        story
    }

    fn over(&self) -> bool {
        self.answers > 0 || self.gone
    }

    fn carry_out(&mut self, event: Event) {
        let acts: Vec<_> = std::iter::from_fn(|| self.desk.act()).collect();
        for (_, shot, worker) in shots(&acts) {
            assert!(!self.over(), "a shot after the end, at {event:?}");
            assert_ne!(self.drained, Some(worker), "a shot to a worker that drains, at {event:?}");
            assert!(self.effect != 2 || self.ran == 0, "an effect that may happen twice, at {event:?}");
            self.shots.insert(shot, (worker, false));
        }
        for act in acts {
            match act {
                Action::Drop { shot, .. } => {
                    self.shots.remove(&shot);
                }
                Action::Bounce { .. } => {
                    assert!(self.effect != 2 || self.ran == 0, "a bounce of what may have run, at {event:?}");
                    self.answers += 1;
                }
                Action::Terminate { .. } => self.answers += 1,
                _ => {}
            }
        }
        assert!(self.answers <= 1, "a second answer, at {event:?}");
        assert!(!self.gone || self.answers == 0, "an answer to nobody, at {event:?}");
    }

    fn end(&mut self, outcome: Outcome) {
        let Some((&shot, &(_, begun))) = self.shots.iter().next() else { return };
        self.shots.remove(&shot);
        let outcome = if begun { outcome } else { Outcome::Unreached };
        if self.desk.end(self.now, self.tag, shot, AttemptResult::plain(outcome)) {
            assert!(!self.over(), "an answer after the end");
            self.answers += 1;
        }
    }

    fn play(&mut self, event: Event) {
        self.now += 0.01;
        match event {
            Event::Made => {
                if let Some((&shot, &(worker, false))) = self.shots.iter().next() {
                    let begun = self.desk.begin(self.now, self.tag, shot);
                    assert!(!(begun && self.over()), "a shot begun after the end");
                    assert!(!(begun && self.drained == Some(worker)), "a shot begun to a worker that drains");
                    self.ran += usize::from(begun);
                    if begun {
                        self.shots.insert(shot, (worker, true));
                    } else {
                        self.shots.remove(&shot);
                    }
                }
            }
            Event::PutBack => {
                if let Some((&shot, &(worker, true))) = self.shots.iter().next() {
                    self.desk.put_back(self.now, self.tag, shot);
                    self.shots.insert(shot, (worker, false));
                    self.ran -= 1;
                }
            }
            Event::Answer | Event::Second => self.end(Outcome::Handled),
            Event::Broken => self.end(Outcome::Cut),
            Event::Gone => {
                if !self.over() {
                    self.desk.left(self.now, self.tag);
                    self.gone = true;
                }
            }
            Event::Drained => {
                self.drained = self.shots.values().next().map(|&(worker, _)| worker);
                if let Some(worker) = self.drained {
                    self.desk.list(self.now, false, &[entry(worker as u16, Standing::Draining, None)]);
                }
            }
            Event::Timer => self.pass(self.now + 0.3),
        }
        self.carry_out(event);
    }

    fn pass(&mut self, until: f64) {
        while let Some(at) = self.desk.next().filter(|at| *at <= until) {
            self.now = self.now.max(at) + 0.0001;
            self.desk.turn(self.now);
            self.carry_out(Event::Timer);
        }
        self.now = self.now.max(until);
    }
}

/// Calls `each` with every order of the events.
fn orders(events: &mut [Event], from: usize, each: &mut impl FnMut(&[Event])) {
    if from == events.len() {
        return each(events);
    }
    for at in from..events.len() {
        events.swap(from, at);
        orders(events, from + 1, each);
        events.swap(from, at);
    }
}

#[test_case(0; "pure")]
#[test_case(1; "receipted")]
#[test_case(2; "effectful")]
fn whatever_crosses_there_is_one_end(effect: usize) {
    let mut count = 0;
    orders(&mut ALL.to_owned(), 0, &mut |events| {
        let mut story = Story::new(effect);
        events.iter().for_each(|event| story.play(*event));
        story.pass(8.0);
        assert!(story.over(), "no end in {events:?}");
        assert_eq!(story.desk.open(), 0, "something is left in {events:?}");
        assert!(story.desk.what(story.tag).is_none(), "its place is not free again in {events:?}");
        count += 1;
    });
    assert_eq!(count, (1..=ALL.len()).product::<usize>());
}
