//! Retries: what may be sent again by its effect and its receipts, to whom, and the budget of retries.

use crate::config::{Effect, Group};
use crate::effects::Budget;
use crate::fleet_budgets::FleetBudgets;
use crate::rate_limiter::Ration;
use crate::request_state::{Attempt, Request};
use crate::worker_state::Worker;

pub(crate) struct RetryPolicy {
    /// Shots that a request may have.
    pub(crate) max_attempts: usize,
    /// The budget of further shots; boundless where there is none.
    pub(crate) budget: Option<Ration>,
}

impl RetryPolicy {
    /// Whether rules and sense allow yet another shot, on some worker; `sound` where the function was ever handled.
    pub(crate) fn may_attempt_again(
        &self,
        now: f64,
        request: &Request,
        effect: Effect,
        has_succeeded: bool,
    ) -> bool {
        /// Workers that may have run a function that none ever handled, before it is taken for unsound.
        const MAX_UNPROVEN: usize = 2;
        let mut may_have_run = request.attempts.iter().filter(|attempt| !attempt.never_ran);
        let repeatable = match effect {
            Effect::Pure => true,
            Effect::Effectful => may_have_run.next().is_none(),
            Effect::Receipted { .. } => !key_expired(now, request, effect),
        };
        let unproven =
            request.attempts.iter().filter(|attempt| !attempt.in_flight && !attempt.never_ran).count()
                >= MAX_UNPROVEN;
        let repeatable = repeatable && (has_succeeded || !unproven);
        // No hedged requests: they crowd the rest more than they save.
        let alone = !request.has_attempt_in_flight();
        request.is_open
            && request.attempts.len() < self.max_attempts
            && now < request.deadline
            && repeatable
            && alone
    }

    /// Whether a request may have a further shot as far as the budget of those goes.
    pub(crate) fn within_retry_budget(&mut self, now: f64, first: bool, budgets: &mut FleetBudgets) -> bool {
        let own = self.budget.as_ref().map_or(0.0, |limit| limit.free);
        let free = budgets.allowed(now, Budget::Retries, own);
        let may = first || self.budget.as_mut().is_none_or(|limit| limit.may(now, free));
        if !may {
            budgets.note_exhausted(Budget::Retries);
        }
        may
    }

    /// A shot is sent.
    pub(crate) fn attempt_sent(&mut self, now: f64, first: bool) {
        if let Some(budget) = self.budget.as_mut().filter(|_| !first) {
            budget.done(now);
        }
    }
}

/// Whether the receipt of a shot that may have run is no longer known.
pub(crate) fn key_expired(now: f64, request: &Request, effect: Effect) -> bool {
    let Effect::Receipted { memory, .. } = effect else { return false };
    request
        .attempts
        .iter()
        .any(|attempt| !attempt.in_flight && !attempt.never_ran && now - attempt.sent_at >= memory)
}

/// Whether a request may have a shot at a worker after those that it had: each that may have run is known there by its
/// receipt, and a worker that may have failed the request is not asked again.
pub(crate) fn may_run_on(request: &Request, effect: Effect, index: usize, worker: &Worker) -> bool {
    let known = |attempt: &Attempt| match effect {
        Effect::Receipted { group: Group::Zone, .. } => attempt.never_ran || attempt.zone == worker.zone,
        Effect::Receipted { group: Group::Cell, .. } => attempt.never_ran || attempt.cell == worker.cell,
        _ => true,
    };
    let fresh = |attempt: &Attempt| attempt.worker != index || attempt.never_ran;
    request.attempts.iter().all(|attempt| known(attempt) && fresh(attempt))
}
