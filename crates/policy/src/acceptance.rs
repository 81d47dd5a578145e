//! A worker's own word on whether it takes new work, each with the time at which it was asked: a worker may begin to
//! drain right after it has answered.

use crate::events::Outcome;

/// What a worker itself stated last, in seconds; minus infinity where it did not.
#[derive(Clone, Copy)]
pub(crate) struct Acceptance {
    /// When the last request or health check was sent by which it proved that it takes new work.
    pub(crate) accepted_at: f64,
    /// When the last health check was sent that it did not pass, or did not answer.
    pub(crate) declined_at: f64,
    /// When a connection to it was made while there was no other.
    pub(crate) connected_at: f64,
}

impl Acceptance {
    /// Nothing is known.
    pub(crate) const UNKNOWN: Self = Self {
        accepted_at: f64::NEG_INFINITY,
        declined_at: f64::NEG_INFINITY,
        connected_at: f64::NEG_INFINITY,
    };

    /// A request that was sent then was served: a draining worker rejects what is new.
    pub(crate) fn request_served(&mut self, sent_at: f64) {
        self.accepted_at = self.accepted_at.max(sent_at);
    }

    /// A health check that was sent then has ended. One that was never sent proves nothing.
    pub(crate) fn health_check_ended(&mut self, sent_at: f64, outcome: Outcome) {
        match outcome {
            Outcome::Succeeded => self.accepted_at = self.accepted_at.max(sent_at),
            Outcome::NotSent => {}
            _ => self.declined_at = self.declined_at.max(sent_at),
        }
    }

    /// Whether the last it stated is that it takes new work.
    pub(crate) fn holds(&self) -> bool {
        self.accepted_at > self.declined_at
    }

    /// A connection to it was made while there was no other.
    pub(crate) fn first_connection_made(&mut self, now: f64) {
        self.connected_at = now;
    }
}
