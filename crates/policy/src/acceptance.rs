//! Whether a worker accepts new work by its own statements. Each statement is dated by when the worker was asked, as
//! it may begin to drain right after it has answered.

use crate::events::Outcome;

/// A worker's latest statements, as times in seconds; minus infinity where there is none.
#[derive(Clone, Copy)]
pub(crate) struct Acceptance {
    /// When the latest request or health check was sent that proved that the worker takes new work.
    pub(crate) accepted_at: f64,
    /// When the latest health check was sent that failed or was not answered.
    pub(crate) declined_at: f64,
    /// Since when the worker is known to be the same process, because it answered on connections that overlapped in
    /// time.
    pub(crate) alive_since: f64,
    /// When the worker last answered.
    alive_until: f64,
}

impl Acceptance {
    /// No statements yet.
    pub(crate) const UNKNOWN: Self = Self {
        accepted_at: f64::NEG_INFINITY,
        declined_at: f64::NEG_INFINITY,
        alive_since: f64::NEG_INFINITY,
        alive_until: f64::NEG_INFINITY,
    };

    /// Records that a request sent at `sent_at` was served: a draining worker rejects new requests.
    pub(crate) fn request_served(&mut self, sent_at: f64) {
        self.accepted_at = self.accepted_at.max(sent_at);
    }

    /// Records the result of a health check sent at `sent_at`. One that was never sent proves nothing.
    pub(crate) fn health_check_ended(&mut self, sent_at: f64, outcome: Outcome) {
        match outcome {
            Outcome::Succeeded => self.accepted_at = self.accepted_at.max(sent_at),
            Outcome::NotSent => {}
            _ => self.declined_at = self.declined_at.max(sent_at),
        }
    }

    /// Whether the latest statement is that the worker takes new work.
    pub(crate) fn accepts_work(&self) -> bool {
        self.accepted_at > self.declined_at
    }

    /// Records an answer on a connection that was made at `connected_at`. If that connection is newer than the
    /// previous answer, another process may have taken over the address.
    pub(crate) fn answered(&mut self, now: f64, connected_at: f64) {
        let same_process = connected_at <= self.alive_until;
        self.alive_since = if same_process { self.alive_since.min(connected_at) } else { connected_at };
        self.alive_until = now;
    }
}
