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
    /// Since when it is certain that it is one process: it answered on connections that overlapped in time.
    pub(crate) alive_since: f64,
    /// When it last answered.
    alive_until: f64,
}

impl Acceptance {
    /// Nothing is known.
    pub(crate) const UNKNOWN: Self = Self {
        accepted_at: f64::NEG_INFINITY,
        declined_at: f64::NEG_INFINITY,
        alive_since: f64::NEG_INFINITY,
        alive_until: f64::NEG_INFINITY,
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
    pub(crate) fn accepts_work(&self) -> bool {
        self.accepted_at > self.declined_at
    }

    /// It answered on a connection that was made then. A connection that is younger than its last answer before may lead
    /// to another process at its address.
    pub(crate) fn answered(&mut self, now: f64, connected_at: f64) {
        let same_process = connected_at <= self.alive_until;
        self.alive_since = if same_process { self.alive_since.min(connected_at) } else { connected_at };
        self.alive_until = now;
    }
}
