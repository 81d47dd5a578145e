//! Outlier detection: distrust of a worker whose attempts fail, or that falls silent. Traffic follows trust.

use crate::decay::Fading;
use crate::events::{Answer, Outcome};
use crate::request_state::Attempt;
use crate::worker_state::Worker;

/// Distrust halves in so many seconds, so that a trial shot every few seconds finds out whether a trouble lasts.
const SCORE_HALF_LIFE: f64 = 4.0;

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
    pub(crate) fn of(
        answer: &Answer,
        attempt: &Attempt,
        answered_at: f64,
        has_succeeded: bool,
        latency: f64,
    ) -> Option<Self> {
        /// Silence of this many mean latencies is more than chance explains.
        const SILENCE: f64 = 4.0;
        match answer.outcome {
            Outcome::Handled => Some(Self::HANDLED),
            // Names that no worker knows fail everywhere: judged by them, all workers would be shunned.
            Outcome::Failed if has_succeeded => Some(Self::FAILED),
            // Overdue while it waited for a load tells of the store; among answers, of a long request; and after a short
            // time, of a client that left early.
            Outcome::Overdue | Outcome::Withdrawn
                if attempt.warm && answered_at < attempt.sent_at && answer.latency > SILENCE * latency =>
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
    pub(crate) fn ejection_probability(&self, now: f64) -> f64 {
        /// Distrust that counts for nothing.
        const NOISE: f64 = 0.25;
        let outlier_score = self.outlier_score.now(now, SCORE_HALF_LIFE);
        if outlier_score < NOISE { 0.0 } else { outlier_score }
    }

    /// Moves the distrust towards the fault that evidence shows.
    pub(crate) fn record_evidence(&mut self, now: f64, Evidence { fault, weight }: Evidence) {
        let outlier_score = self.outlier_score.now(now, SCORE_HALF_LIFE);
        self.outlier_score = Fading { sum: outlier_score + weight * (fault - outlier_score), at: now };
    }
}
