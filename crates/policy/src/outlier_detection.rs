//! Outlier detection: distrust of a worker whose attempts fail, or that falls silent. Traffic follows trust.

use crate::decay::Fading;
use crate::events::{Answer, Outcome};
use crate::request_state::Shot;
use crate::worker_state::Worker;

/// Distrust halves in so many seconds, so that a trial shot every few seconds finds out whether a trouble lasts.
const DOUBT_HALF: f64 = 4.0;

/// What one answer, or its absence, says of a worker: its fault from 0 to 1, and the weight of that.
#[derive(Clone, Copy)]
pub(crate) struct Evidence {
    fault: f64,
    weight: f64,
}

impl Evidence {
    const HANDLED: Self = Self { fault: 0.0, weight: 0.2 };
    const FAILED: Self = Self { fault: 1.0, weight: 0.3 };
    const SILENT: Self = Self { fault: 1.0, weight: 0.5 };
    const CUT: Self = Self { fault: 1.0, weight: 0.1 };
    pub(crate) const UNREACHED: Self = Self { fault: 1.0, weight: 0.7 };

    /// What an attempt's end says of its worker; `sound` where the function was ever handled, `latency` the mean of all.
    pub(crate) fn of(answer: &Answer, shot: &Shot, heard: f64, sound: bool, latency: f64) -> Option<Self> {
        /// Silence of this many mean latencies is more than chance explains.
        const PATIENCE: f64 = 4.0;
        match answer.outcome {
            Outcome::Handled => Some(Self::HANDLED),
            // Names that no worker knows fail everywhere: judged by them, all workers would be shunned.
            Outcome::Failed if sound => Some(Self::FAILED),
            // Overdue while it waited for a load tells of the store; among answers, of a long request; and after a short
            // time, of a client that left early.
            Outcome::Overdue | Outcome::Withdrawn
                if shot.warm && heard < shot.sent && answer.latency > PATIENCE * latency =>
            {
                Some(Self::SILENT)
            }
            Outcome::Cut => Some(Self::CUT),
            Outcome::Unreached => Some(Self::UNREACHED),
            Outcome::Failed
            | Outcome::Overdue
            | Outcome::Withdrawn
            | Outcome::Full
            | Outcome::Missed
            | Outcome::Unsent => None,
        }
    }
}

impl Worker {
    /// Distrust now; a single failure in a healthy stream means nothing.
    pub(crate) fn doubt(&self, now: f64) -> f64 {
        /// Distrust that counts for nothing.
        const NOISE: f64 = 0.25;
        let doubt = self.doubt.now(now, DOUBT_HALF);
        if doubt < NOISE { 0.0 } else { doubt }
    }

    /// Moves the distrust towards the fault that evidence shows.
    pub(crate) fn judge(&mut self, now: f64, Evidence { fault, weight }: Evidence) {
        let doubt = self.doubt.now(now, DOUBT_HALF);
        self.doubt = Fading { sum: doubt + weight * (fault - doubt), at: now };
    }
}
