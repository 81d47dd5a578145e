//! Clients in simulated time, with the manners of those on sockets: open loop, patient for so long, and with tries of
//! their own where that does no harm.

use crate::simulation::{Event, NETWORK_DELAY, Simulation};
use milletpath_emulator::traffic::PlannedRequest;
use milletpath_history_checker::{AttemptOutcome, HistoryEvent, Idempotency};
use rand::Rng;

/// One call, and the try that is under way.
pub(crate) struct Call {
    pub planned: PlannedRequest,
    attempt: u32,
    ended: bool,
    /// A worker ran it.
    ran: bool,
    receipted: bool,
}

impl Call {
    pub fn new(planned: PlannedRequest, receipted: bool) -> Self {
        Self { planned, attempt: 0, ended: true, ran: false, receipted }
    }

    /// Whether a worker that begins it has an effect, and no repeat that it knows.
    pub fn runs(&mut self) -> bool {
        !(std::mem::replace(&mut self.ran, true) && self.receipted)
    }
}

impl Simulation<'_> {
    /// Seconds that the client waits for a try that begins now.
    pub(crate) fn patience(&self, call: usize, attempt: u32) -> f64 {
        let planned = &self.calls[call].planned;
        let left = self.scenario.profiles[planned.profile].deadline - (self.now - planned.at);
        if attempt == 0 { planned.timeout } else { planned.timeout.min(left) }
    }

    /// A gateway by the front layer's weights.
    fn pick(&mut self) -> usize {
        let mut left = self.chance.random_range(0.0..self.weights.iter().sum::<f64>());
        let found = self.weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    pub(crate) fn ask(&mut self, call: usize, attempt: u32) {
        /// Seconds past its patience after which a client goes.
        const CHECKER_TOLERANCE: f64 = 0.05;
        let planned = &self.calls[call].planned;
        let profile = &self.scenario.profiles[planned.profile];
        let (due, effect, importance) = (profile.latency_objective, profile.idempotency, profile.importance);
        let (group, fault, leaves) = (planned.group, planned.fault, planned.abandoned_after);
        if attempt == 0 {
            self.note(HistoryEvent::RequestIssued {
                call: call as u64,
                group,
                importance,
                due,
                effect,
                fault,
            });
        }
        let patience = self.patience(call, attempt);
        if patience <= 0.0 {
            return;
        }
        let gateway = self.pick();
        self.note(HistoryEvent::AttemptSent { call: call as u64, attempt, gateway, patience });
        (self.calls[call].attempt, self.calls[call].ended) = (attempt, false);
        self.put(self.now + NETWORK_DELAY, Event::Arrive(call, attempt, gateway));
        match leaves.filter(|_| attempt == 0) {
            Some(after) => self.put(self.now + after, Event::Leaves(call, attempt, gateway)),
            None => {
                let end = self.now + patience + CHECKER_TOLERANCE;
                self.put(end, Event::Answered(call, attempt, gateway, AttemptOutcome::Unanswered));
            }
        }
    }

    /// A try ended; the first end counts.
    pub(crate) fn answered(&mut self, call: usize, attempt: u32, gateway: usize, how: AttemptOutcome) {
        let known = &mut self.calls[call];
        if known.attempt != attempt || std::mem::replace(&mut known.ended, true) {
            return;
        }
        let effect = self.scenario.profiles[known.planned.profile].idempotency;
        self.note(HistoryEvent::AttemptEnded { call: call as u64, attempt, gateway, how });
        let again = match (how, effect) {
            (AttemptOutcome::Succeeded | AttemptOutcome::Abandoned, _) => false,
            (AttemptOutcome::Rejected | AttemptOutcome::Unreachable, _) => true,
            (_, Idempotency::Idempotent | Idempotency::IdempotentWithKey) => true,
            (_, Idempotency::NonIdempotent) => false,
        };
        if again && attempt < self.scenario.traffic.retries {
            self.put(self.now + self.scenario.traffic.backoff, Event::Try(call, attempt + 1));
        }
    }

    pub(crate) fn leaves(&mut self, call: usize, attempt: u32, gateway: usize) {
        if self.calls[call].ended {
            return;
        }
        let tags = self.dispatchers[gateway].requests(|kept| *kept == (call, attempt));
        for tag in tags {
            self.at_dispatcher(gateway, |dispatcher, now| dispatcher.client_gone(now, tag));
        }
        self.answered(call, attempt, gateway, AttemptOutcome::Abandoned);
    }
}
