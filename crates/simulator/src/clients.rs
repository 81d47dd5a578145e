//! Clients in simulated time, with the manners of those on sockets: open loop, patient for so long, and with tries of
//! their own where that does no harm.

use crate::town::{Next, Town, WAY};
use milletpath_emulator::traffic::Planned;
use milletpath_history_checker::{Effect, Ended, Saw};
use rand::Rng;

/// One call, and the try that is under way.
pub(crate) struct Call {
    pub planned: Planned,
    attempt: u32,
    ended: bool,
    /// A worker ran it.
    ran: bool,
    receipted: bool,
}

impl Call {
    pub fn new(planned: Planned, receipted: bool) -> Self {
        Self { planned, attempt: 0, ended: true, ran: false, receipted }
    }

    /// Whether a worker that begins it has an effect, and no repeat that it knows.
    pub fn runs(&mut self) -> bool {
        !(std::mem::replace(&mut self.ran, true) && self.receipted)
    }
}

impl Town<'_> {
    /// Seconds that the client waits for a try that begins now.
    pub(crate) fn patience(&self, call: usize, attempt: u32) -> f64 {
        let planned = &self.calls[call].planned;
        let left = self.day.profiles[planned.profile].cut_off - (self.now - planned.at);
        if attempt == 0 { planned.patience } else { planned.patience.min(left) }
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
        const LAG: f64 = 0.05;
        let planned = &self.calls[call].planned;
        let profile = &self.day.profiles[planned.profile];
        let (due, effect, importance) = (profile.due, profile.effect, profile.importance);
        let (group, trouble, leaves) = (planned.group, planned.trouble, planned.leaves);
        if attempt == 0 {
            self.note(Saw::Call { call: call as u64, group, importance, due, effect, trouble });
        }
        let patience = self.patience(call, attempt);
        if patience <= 0.0 {
            return;
        }
        let gateway = self.pick();
        self.note(Saw::Asked { call: call as u64, attempt, gateway, patience });
        (self.calls[call].attempt, self.calls[call].ended) = (attempt, false);
        self.put(self.now + WAY, Next::Arrive(call, attempt, gateway));
        match leaves.filter(|_| attempt == 0) {
            Some(after) => self.put(self.now + after, Next::Leaves(call, attempt, gateway)),
            None => {
                let end = self.now + patience + LAG;
                self.put(end, Next::Answered(call, attempt, gateway, Ended::Unanswered));
            }
        }
    }

    /// A try ended; the first end counts.
    pub(crate) fn answered(&mut self, call: usize, attempt: u32, gateway: usize, how: Ended) {
        let known = &mut self.calls[call];
        if known.attempt != attempt || std::mem::replace(&mut known.ended, true) {
            return;
        }
        let effect = self.day.profiles[known.planned.profile].effect;
        self.note(Saw::Ended { call: call as u64, attempt, gateway, how });
        let again = match (how, effect) {
            (Ended::Handled | Ended::Left, _) => false,
            (Ended::Bounced | Ended::Unreached, _) => true,
            (_, Effect::Pure | Effect::Receipted) => true,
            (_, Effect::Effectful) => false,
        };
        if again && attempt < self.day.traffic.retries {
            self.put(self.now + self.day.traffic.backoff, Next::Try(call, attempt + 1));
        }
    }

    pub(crate) fn leaves(&mut self, call: usize, attempt: u32, gateway: usize) {
        if self.calls[call].ended {
            return;
        }
        let tags = self.desks[gateway].tags(|kept| *kept == (call, attempt));
        for tag in tags {
            self.at_desk(gateway, |desk, now| desk.left(now, tag));
        }
        self.answered(call, attempt, gateway, Ended::Left);
    }
}
