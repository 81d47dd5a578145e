//! Outlier detection: a worker whose attempts fail, or that stops answering, gets less traffic. There is no ejection
//! at a threshold: the probability of skipping a worker grows with its outlier score, and the score decays.

use crate::decay::DecayingSum;
use crate::events::{AttemptCompletion, Outcome};
use crate::request_state::Attempt;
use crate::worker_state::Worker;

/// Half life in seconds of the outlier score, so that a trial attempt every few seconds shows whether a fault
/// persists.
const SCORE_HALF_LIFE: f64 = 4.0;

/// What one result says about its worker: a score of 0 to 1, and its weight in the mean.
#[derive(Clone, Copy)]
pub(crate) struct Evidence {
    fault: f64,
    weight: f64,
}

impl Evidence {
    const SUCCESS: Self = Self { fault: 0.0, weight: 0.2 };
    const FAILURE: Self = Self { fault: 1.0, weight: 0.3 };
    const NO_RESPONSE: Self = Self { fault: 1.0, weight: 0.5 };
    const CONNECTION_LOST: Self = Self { fault: 1.0, weight: 0.1 };
    pub(crate) const UNREACHABLE: Self = Self { fault: 1.0, weight: 0.7 };

    /// The evidence from a result, if any. `answered_at` is when the worker last answered, `has_succeeded` whether
    /// any request of the function has succeeded, and `latency` the mean latency in seconds.
    pub(crate) fn from_completion(
        completion: &AttemptCompletion,
        attempt: &Attempt,
        answered_at: f64,
        has_succeeded: bool,
        latency: f64,
    ) -> Option<Self> {
        /// Multiple of the mean latency after which a missing answer is more than a slow request.
        const NO_RESPONSE_MULTIPLE: f64 = 4.0;
        match completion.outcome {
            Outcome::Succeeded => Some(Self::SUCCESS),
            // A function that no worker knows fails on all of them, and its failures would make every worker an
            // outlier.
            Outcome::Failed if has_succeeded => Some(Self::FAILURE),
            // A timeout is not evidence while a load is awaited (it is due to the store), when the worker has
            // answered since (a long request), or after a short time (the client left early).
            Outcome::TimedOut | Outcome::Cancelled
                if attempt.warm
                    && answered_at < attempt.sent_at
                    && completion.latency > NO_RESPONSE_MULTIPLE * latency =>
            {
                Some(Self::NO_RESPONSE)
            }
            Outcome::ConnectionLost => Some(Self::CONNECTION_LOST),
            Outcome::Unreachable => Some(Self::UNREACHABLE),
            Outcome::Failed
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::Rejected
            | Outcome::NotLoaded
            | Outcome::NotSent => None,
        }
    }
}

impl Worker {
    /// The probability of skipping the worker: its outlier score, or 0 if the score is within the noise of single
    /// failures.
    pub(crate) fn ejection_probability(&self, now: f64) -> f64 {
        /// Scores below this count as 0.
        const MIN_SCORE: f64 = 0.25;
        let outlier_score = self.outlier_score.value(now, SCORE_HALF_LIFE);
        if outlier_score < MIN_SCORE { 0.0 } else { outlier_score }
    }

    /// Moves the outlier score, a weighted mean, towards the evidence.
    pub(crate) fn record_evidence(&mut self, now: f64, Evidence { fault, weight }: Evidence) {
        let outlier_score = self.outlier_score.value(now, SCORE_HALF_LIFE);
        self.outlier_score = DecayingSum { sum: outlier_score + weight * (fault - outlier_score), at: now };
    }
}
