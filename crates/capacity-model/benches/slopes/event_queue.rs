//! A queue of events in simulated time. Events at the same microsecond are returned in the order in which they were
//! added.

use std::collections::BTreeMap;

const TICKS_PER_SECOND: f64 = 1e6;

/// Sort key of an event: its time in ticks, then the order in which events were added.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    tick: u64,
    serial: u64,
}

/// A queue of events, sorted by time.
pub struct EventQueue<E> {
    events: BTreeMap<EventKey, E>,
    next_serial: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        Self { events: BTreeMap::new(), next_serial: 1 }
    }

    /// Adds an event; `time` is in seconds.
    pub fn push(&mut self, time: f64, event: E) {
        let key = EventKey { tick: (time * TICKS_PER_SECOND) as u64, serial: self.next_serial };
        self.next_serial += 1;
        self.events.insert(key, event);
    }

    /// Removes the earliest event and returns it with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        let (key, event) = self.events.pop_first()?;
        Some((key.tick as f64 / TICKS_PER_SECOND, event))
    }
}
