//! Retries: what may be sent again by its effect and its receipts, to whom, and the budget of retries.

use crate::config::{Effect, Group};
use crate::effects::Budget;
use crate::fleet_budgets::FleetBudgets;
use crate::rate_limiter::Ration;
use crate::request_state::{Activation, Shot};
use crate::worker_state::Worker;

pub(crate) struct RetryPolicy {
    /// Shots that a request may have.
    pub(crate) shots: usize,
    /// The budget of further shots; boundless where there is none.
    pub(crate) retries: Option<Ration>,
}

impl RetryPolicy {
    /// Whether rules and sense allow yet another shot, on some worker; `sound` where the function was ever handled.
    pub(crate) fn may_go_on(&self, now: f64, a: &Activation, effect: Effect, sound: bool) -> bool {
        /// Workers that may have run a function that none ever handled, before it is taken for unsound.
        const STRANGE: usize = 2;
        let mut ran = a.shots.iter().filter(|s| !s.never_ran);
        let repeatable = match effect {
            Effect::Pure => true,
            Effect::Effectful => ran.next().is_none(),
            Effect::Receipted { .. } => !forgotten(now, a, effect),
        };
        let strange = a.shots.iter().filter(|s| !s.out && !s.never_ran).count() >= STRANGE;
        let repeatable = repeatable && (sound || !strange);
        // No hedged requests: they crowd the rest more than they save.
        let alone = !a.shot_out();
        a.open && a.shots.len() < self.shots && now < a.until && repeatable && alone
    }

    /// Whether a request may have a further shot as far as the budget of those goes.
    pub(crate) fn may_repeat(&mut self, now: f64, first: bool, budgets: &mut FleetBudgets) -> bool {
        let own = self.retries.as_ref().map_or(0.0, |r| r.free);
        let free = budgets.allowed(now, Budget::Retries, own);
        let may = first || self.retries.as_mut().is_none_or(|r| r.may(now, free));
        if !may {
            budgets.lack(Budget::Retries);
        }
        may
    }

    /// A shot is sent.
    pub(crate) fn sent(&mut self, now: f64, first: bool) {
        if let Some(retries) = self.retries.as_mut().filter(|_| !first) {
            retries.done(now);
        }
    }
}

/// Whether the receipt of a shot that may have run is no longer known.
pub(crate) fn forgotten(now: f64, a: &Activation, effect: Effect) -> bool {
    let Effect::Receipted { memory, .. } = effect else { return false };
    a.shots.iter().any(|s| !s.out && !s.never_ran && now - s.sent >= memory)
}

/// Whether a request may have a shot at a worker after those that it had: each that may have run is known there by its
/// receipt, and a worker that may have failed the request is not asked again.
pub(crate) fn may_meet(a: &Activation, effect: Effect, index: usize, worker: &Worker) -> bool {
    let known = |s: &Shot| match effect {
        Effect::Receipted { group: Group::Zone, .. } => s.never_ran || s.zone == worker.zone,
        Effect::Receipted { group: Group::Cell, .. } => s.never_ran || s.cell == worker.cell,
        _ => true,
    };
    let fresh = |s: &Shot| s.worker != index || s.never_ran;
    a.shots.iter().all(|s| known(s) && fresh(s))
}
