//! State shared by all modules of the simulation: the scenario, the clock, the event queue, the history and the random
//! number generator.

use crate::clocks::SimulationOptions;
use crate::event::Event;
use crate::event_queue::EventQueue;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Seconds that a message takes from one process to another: the latency of loopback on a busy machine.
const NETWORK_DELAY: f64 = 0.0003;

pub(crate) struct Context {
    pub scenario: Scenario,
    pub options: SimulationOptions,
    /// Seconds since the scenario's start.
    pub now: f64,
    pub events: EventQueue,
    pub records: Vec<HistoryRecord>,
    pub rng: ChaCha8Rng,
}

impl Context {
    pub fn new(scenario: &Scenario, seed: u64, options: SimulationOptions) -> Self {
        const RNG_STREAM: u64 = 0x7011;
        Self {
            scenario: scenario.clone(),
            options,
            now: 0.0,
            events: EventQueue::default(),
            records: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM),
        }
    }

    pub fn record(&mut self, event: HistoryEvent) {
        self.records.push(HistoryRecord { at: self.now, event });
    }

    pub fn schedule(&mut self, at: f64, event: Event) {
        self.events.schedule(at, event);
    }

    pub fn schedule_in(&mut self, seconds: f64, event: Event) {
        self.schedule(self.now + seconds, event);
    }

    /// Sends a message from one process to another: schedules the event of its arrival after the network delay.
    pub fn send(&mut self, event: Event) {
        self.schedule_in(NETWORK_DELAY, event);
    }
}
