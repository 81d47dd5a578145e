//! Load requests: orders to workers to load a function, their rate limit, and the backoff after loads that failed.

use crate::effects::{Budget, Host};
use crate::fleet_budgets::FleetBudgets;
use crate::function_state::Functions;
use crate::random::Random;
use crate::rate_limiter::Ration;
use crate::worker_state::Fleet;

/// An order that a worker hold at least `copies` instances of a function; `ahead` of need as loads under way and memory
/// allow.
#[derive(Clone, Copy)]
pub(crate) struct Order {
    pub(crate) worker: usize,
    pub(crate) function: usize,
    pub(crate) copies: u8,
    pub(crate) ahead: bool,
}

/// How long this router begins no load after the last that failed, and until when.
#[derive(Clone, Copy, Default)]
struct Rest {
    seconds: f64,
    until: f64,
}

pub(crate) struct LoadRequests {
    /// Orders are possible.
    orders: bool,
    /// Seconds after which an order counts as unanswered.
    order_wait: f64,
    ration: Option<Ration>,
    /// Routers that there may be.
    most: f64,
    /// Orders not answered yet.
    loading: f64,
    rest: Rest,
}

impl LoadRequests {
    pub(crate) fn new(orders: bool, order_wait: f64, ration: Option<Ration>, most: f64) -> Self {
        Self { orders, order_wait, ration, most, loading: 0.0, rest: Rest::default() }
    }

    pub(crate) fn possible(&self) -> bool {
        self.orders
    }

    /// A request arrived, which earns a share of an order.
    pub(crate) fn arrived(&mut self, now: f64) {
        self.ration.iter_mut().for_each(|r| r.take(now));
    }

    /// Whether no load is begun now, as the last one failed.
    pub(crate) fn rests(&self, now: f64) -> bool {
        now < self.rest.until
    }

    /// Whether an order is possible now, and the worker has not yet what it asks for.
    pub(crate) fn is_wanted(&self, now: f64, order: Order, fleet: &Fleet, functions: &Functions) -> bool {
        let Some(f) = functions.get(order.function) else { return false };
        let standing = f.standing(now, order.worker);
        let able = self.orders && fleet[order.worker].is_ready() && !self.rests(now);
        able && !standing.coming && standing.copies < f64::from(order.copies)
    }

    /// Whether loads under way and the worker's memory allow an order ahead of need, where this router may have `most` loads
    /// under way.
    pub(crate) fn may_load_ahead(
        &self,
        now: f64,
        order: Order,
        fleet: &Fleet,
        functions: &Functions,
        most: f64,
    ) -> bool {
        /// Part of a worker's memory that they may fill: past it one pushes out another that is loaded again.
        const FILLED: f64 = 0.6;
        let memory = functions.get(order.function).map_or(0.0, |f| f.memory);
        let filled = functions.memory_on(now, order.worker);
        let full = filled + memory * f64::from(order.copies) > FILLED * fleet[order.worker].memory;
        !full && self.loading <= most
    }

    /// Loads ahead of need that this router may have under way, at so many ready workers.
    pub(crate) fn most_ahead(&self, ready: f64, part: f64) -> f64 {
        /// Loads asked for ahead that may be under way for each worker of this router's part.
        const AHEAD: f64 = 0.25;
        ready * AHEAD / self.most * part
    }

    /// Whether the rate limit lets one more order through.
    pub(crate) fn within_limit(&mut self, now: f64, budgets: &mut FleetBudgets) -> bool {
        let own = self.ration.as_ref().map_or(0.0, |r| r.free);
        let free = budgets.allowed(now, Budget::Orders, own);
        let within = self.ration.as_mut().is_none_or(|r| r.may(now, free));
        if !within {
            budgets.lack(Budget::Orders);
        }
        within
    }

    /// The one place where orders to load are given.
    pub(crate) fn give(&mut self, now: f64, order: Order, functions: &mut Functions, host: &mut dyn Host) {
        self.ration.iter_mut().for_each(|r| r.done(now));
        if let Some(f) = functions.get_mut(order.function) {
            f.stand(order.worker).coming = now + self.order_wait;
        }
        self.loading += 1.0;
        host.hold(order.worker, order.function, order.copies);
    }

    /// An order was answered.
    pub(crate) fn answered(&mut self) {
        self.loading -= 1.0;
    }

    /// A load ended. Failed ones, begun again at once by every router, push the store over: each rests, for longer from
    /// failure to failure, out of step.
    pub(crate) fn load_ended(&mut self, now: f64, well: bool, random: &mut Random) {
        /// Seconds.
        const SHORTEST: f64 = 0.1;
        const LONGEST: f64 = 2.0;
        if well {
            self.rest.seconds /= 2.0;
        } else if !self.rests(now) {
            let seconds = (2.0 * self.rest.seconds).clamp(SHORTEST, LONGEST);
            self.rest = Rest { seconds, until: now + seconds * (0.5 + random.luck()) };
        }
    }
}
