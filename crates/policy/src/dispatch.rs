//! Dispatch: the rules that every attempt keeps, and the one place where attempts are sent.

use crate::effects::{Budget, Host};
use crate::request_state::{Activation, Shot};
use crate::retry;
use crate::router_state::RouterState;

impl RouterState {
    /// Whether so many shots of ours may be out at a worker, as far as the bound on all that are goes.
    fn may_hold(&self, now: f64, w: usize, out: usize) -> bool {
        self.hand.is_infinite() || out as f64 <= self.budgets.allowed(now, Budget::Hand(w), self.hand)
    }

    /// Whether rules and sense allow yet another shot, on some worker.
    pub(crate) fn may_go_on(&self, now: f64, id: usize) -> bool {
        self.activations.get(id).is_some_and(|a| {
            let effect = self.profiles[a.profile].effect;
            self.retry.may_go_on(now, a, effect, self.functions.sound(a.function))
        })
    }

    /// Whether its client group's ceiling lets a request through; if not, it learns when to come.
    pub(crate) fn may_pass(&mut self, now: f64, id: usize) -> bool {
        let Some(a) = self.activations.get_mut(id) else { return false };
        self.admission.may_pass(now, a, &mut self.budgets, &mut self.random)
    }

    /// Whether a request may have a further shot as far as the budget of those goes.
    pub(crate) fn may_repeat(&mut self, now: f64, id: usize) -> bool {
        let first = self.activations.get(id).is_none_or(|a| a.shots.is_empty());
        self.retry.may_repeat(now, first, &mut self.budgets)
    }

    /// The rules that every shot keeps: number, time, repeats, list state, and the budget of a cold worker.
    pub(crate) fn may_shoot(&mut self, now: f64, id: usize, w: usize) -> bool {
        let Some(a) = self.activations.get(id) else { return false };
        let effect = self.profiles[a.profile].effect;
        let allowed = self.may_go_on(now, id)
            && self.fleet[w].is_ready()
            && retry::may_meet(a, effect, w, &self.fleet[w])
            && self.slow_start.cold_room(now, w, &mut self.fleet, &mut self.throughput, &mut self.random);
        let held = allowed && !self.may_hold(now, w, self.fleet[w].out + 1);
        if held {
            self.budgets.lack(Budget::Hand(w));
        }
        allowed && !held
    }

    /// Sends a shot.
    pub(crate) fn shoot(&mut self, now: f64, id: usize, w: usize, host: &mut dyn Host) {
        /// So many times its usual time a load may take before another is begun elsewhere.
        const SLOW: f64 = 4.0;
        if !self.may_shoot(now, id, w) {
            return;
        }
        let Some(a) = self.activations.get_mut(id) else { return };
        let Some(f) = self.functions.get_mut(a.function) else { return };
        let warm = f.standing(now, w).copies > 0.0;
        let stand = f.stand(w);
        stand.out += 1.0;
        if !warm {
            stand.coming = stand.coming.max(now + SLOW * self.load);
        }
        self.retry.sent(now, a.shots.is_empty());
        self.admission.sent(now, a);
        let worker = &mut self.fleet[w];
        let (zone, cell) = (worker.zone, worker.cell);
        a.shots.push(Shot { worker: w, zone, cell, sent: now, out: true, never_ran: false, warm });
        worker.out += 1;
        worker.busy += f64::from(u8::from(warm));
        worker.turn.left -= 1.0;
        host.send(id, w, a.until);
    }

    /// Whether a shot that was decided before may begin, by what it is allotted now, by receipts, and at a cold worker by
    /// how long ago that was: what was decided over a longer time would all count in one window.
    pub(crate) fn may_begin(&self, now: f64, id: usize, w: usize) -> bool {
        let refused = |a: &Activation| {
            let old = |s: &Shot| s.out && s.worker == w && now - s.sent > self.slow_start.turn();
            self.admission.lapsed(now, a)
                || retry::forgotten(now, a, self.profiles[a.profile].effect)
                || a.shots.iter().any(old) && self.slow_start.is_cold(now, &self.fleet[w])
        };
        !self.activations.get(id).is_some_and(refused) && self.may_hold(now, w, self.fleet[w].out)
    }
}
