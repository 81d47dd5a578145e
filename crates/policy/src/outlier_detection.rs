//! Outlier detection: a worker whose attempts fail, or that stops answering, gets less traffic. There is no
//! ejection at a threshold: the probability that a worker is passed over grows with its outlier score, and
//! the score decays.

use crate::decay::DecayingSum;
use crate::events::{AttemptCompletion, Outcome};
use crate::request_state::Attempt;
use crate::worker_state::Worker;

/// Half life in seconds of an outlier score, so that a trial attempt every few seconds finds out whether a
/// fault lasts.
const SCORE_HALF_LIFE: f64 = 4.0;

/// Evidence of one result: the score that it speaks for, 0 to 1, and its weight in the mean.
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

    /// The evidence of a result, if any. `answered_at` is when the worker last answered, `has_succeeded`
    /// whether any request of the function did, and `latency` the mean of answers, in seconds.
    pub(crate) fn from_completion(
        completion: &AttemptCompletion,
        attempt: &Attempt,
        answered_at: f64,
        has_succeeded: bool,
        latency: f64,
    ) -> Option<Self> {
        /// Mean latencies after which silence is more than a slow request.
        const NO_RESPONSE_MULTIPLE: f64 = 4.0;
        match completion.outcome {
            Outcome::Succeeded => Some(Self::SUCCESS),
            // A function that no worker knows fails on all of them: by its failures all would be outliers.
            Outcome::Failed if has_succeeded => Some(Self::FAILURE),
            // A timeout while a load is awaited is the store's; among answers, that of a long request; and
            // after a short time, that of a client that left early.
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
    /// The outlier score now; 0 where it is within the noise of single failures.
    pub(crate) fn ejection_probability(&self, now: f64) -> f64 {
        /// Scores under it count as none.
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
