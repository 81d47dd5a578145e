//! Retries: which requests may be sent again, to which workers, and the retry budget.

use crate::config::{Idempotency, KeyScope};
use crate::effects::Budget;
use crate::fleet_budgets::FleetBudgets;
use crate::rate_limiter::RateLimiter;
use crate::request_state::{Attempt, Request};
use crate::worker_state::Worker;

/// The limits on attempts.
pub(crate) struct RetryPolicy {
    /// Maximum attempts per request.
    pub(crate) max_attempts: usize,
    /// The retry budget; `None` is unlimited.
    pub(crate) budget: Option<RateLimiter>,
}

impl RetryPolicy {
    /// Whether a request may have another attempt on some worker. `has_succeeded` is whether any request of its
    /// function has succeeded.
    pub(crate) fn may_attempt_again(
        &self,
        now: f64,
        request: &Request,
        idempotency: Idempotency,
        has_succeeded: bool,
    ) -> bool {
        /// Attempts of a request that may have run, if its function has never succeeded: after these the function
        /// itself is considered faulty.
        const MAX_ATTEMPTS_BEFORE_SUCCESS: usize = 2;
        let mut may_have_run = request.attempts.iter().filter(|attempt| !attempt.never_ran);
        let repeatable = match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => may_have_run.next().is_none(),
            Idempotency::IdempotentWithKey { .. } => !key_expired(now, request, idempotency),
        };
        let limit_reached =
            request.attempts.iter().filter(|attempt| !attempt.in_flight && !attempt.never_ran).count()
                >= MAX_ATTEMPTS_BEFORE_SUCCESS;
        let repeatable = repeatable && (has_succeeded || !limit_reached);
        // No hedged requests: they cost other requests more than they save.
        let is_idle = !request.has_attempt_in_flight();
        request.is_open
            && request.attempts.len() < self.max_attempts
            && now < request.deadline
            && repeatable
            && is_idle
    }

    /// Whether the retry budget allows an attempt; the `first` attempt of a request is not a retry.
    pub(crate) fn within_retry_budget(&mut self, now: f64, first: bool, budgets: &mut FleetBudgets) -> bool {
        let own = self.budget.as_ref().map_or(0.0, |limit| limit.free);
        let free = budgets.allowed(now, Budget::Retries, own);
        let within = first || self.budget.as_mut().is_none_or(|limit| limit.allows(now, free));
        if !within {
            budgets.record_exhausted(Budget::Retries);
        }
        within
    }

    /// Records an attempt that is sent; it is a retry unless it is the `first`.
    pub(crate) fn attempt_sent(&mut self, now: f64, first: bool) {
        if let Some(budget) = self.budget.as_mut().filter(|_| !first) {
            budget.action_done(now);
        }
    }
}

/// Whether an ended attempt may have run so long ago that workers no longer know its idempotency key.
pub(crate) fn key_expired(now: f64, request: &Request, idempotency: Idempotency) -> bool {
    let Idempotency::IdempotentWithKey { retention, .. } = idempotency else { return false };
    request
        .attempts
        .iter()
        .any(|attempt| !attempt.in_flight && !attempt.never_ran && now - attempt.sent_at >= retention)
}

/// Whether a client that repeats its request at `repeated_at` does no harm: nothing has run, or running again has no effect,
/// or whichever worker gets the repeat still knows the idempotency key of each attempt that may have run.
pub(crate) fn is_repeat_harmless(repeated_at: f64, request: &Request, idempotency: Idempotency) -> bool {
    let mut may_have_run = request.attempts.iter().filter(|attempt| !attempt.never_ran);
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey { scope: KeyScope::All, retention } => {
            may_have_run.all(|attempt| repeated_at - attempt.sent_at < retention)
        }
        Idempotency::IdempotentWithKey { .. } | Idempotency::NonIdempotent => may_have_run.next().is_none(),
    }
}

/// Whether a request may have an attempt at a worker, given its earlier attempts: for each of them that may have run,
/// the worker must know the idempotency key and must be another worker.
pub(crate) fn may_run_on(request: &Request, idempotency: Idempotency, index: usize, worker: &Worker) -> bool {
    let key_is_known = |attempt: &Attempt| match idempotency {
        Idempotency::IdempotentWithKey { scope: KeyScope::Zone, .. } => {
            attempt.never_ran || attempt.zone == worker.zone
        }
        Idempotency::IdempotentWithKey { scope: KeyScope::Cell, .. } => {
            attempt.never_ran || attempt.cell == worker.cell
        }
        _ => true,
    };
    let did_not_run_here = |attempt: &Attempt| attempt.worker != index || attempt.never_ran;
    request.attempts.iter().all(|attempt| key_is_known(attempt) && did_not_run_here(attempt))
}
