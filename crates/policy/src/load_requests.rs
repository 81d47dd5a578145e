//! Load requests: orders to workers to load a function, their rate limit, and the backoff after loads that failed.

use crate::effects::{Budget, Host};
use crate::fleet_budgets::FleetBudgets;
use crate::function_state::Functions;
use crate::random::Random;
use crate::rate_limiter::Ration;
use crate::worker_state::WorkerTable;

/// An order that a worker hold at least `copies` instances of a function; `ahead` of need as loads under way and memory
/// allow.
#[derive(Clone, Copy)]
pub(crate) struct LoadRequest {
    pub(crate) worker: usize,
    pub(crate) function: usize,
    pub(crate) instances: u8,
    pub(crate) ahead: bool,
}

/// How long this router begins no load after the last that failed, and until when.
#[derive(Clone, Copy, Default)]
struct Backoff {
    seconds: f64,
    until: f64,
}

pub(crate) struct LoadRequests {
    /// Orders are possible.
    supported: bool,
    /// Seconds after which an order counts as unanswered.
    timeout: f64,
    limit: Option<Ration>,
    /// Routers that there may be.
    routers: f64,
    /// Orders not answered yet.
    pending: f64,
    backoff: Backoff,
}

impl LoadRequests {
    pub(crate) fn new(supported: bool, timeout: f64, limit: Option<Ration>, routers: f64) -> Self {
        Self { supported, timeout, limit, routers, pending: 0.0, backoff: Backoff::default() }
    }

    pub(crate) fn is_supported(&self) -> bool {
        self.supported
    }

    /// A request arrived, which earns a share of an order.
    pub(crate) fn arrived(&mut self, now: f64) {
        self.limit.iter_mut().for_each(|limit| limit.take(now));
    }

    /// Whether no load is begun now, as the last one failed.
    pub(crate) fn backs_off(&self, now: f64) -> bool {
        now < self.backoff.until
    }

    /// Whether an order is possible now, and the worker has not yet what it asks for.
    pub(crate) fn is_wanted(
        &self,
        now: f64,
        request: LoadRequest,
        workers: &WorkerTable,
        functions: &Functions,
    ) -> bool {
        let Some(f) = functions.get(request.function) else { return false };
        let instances = f.instances(now, request.worker);
        let able = self.supported && workers[request.worker].is_ready() && !self.backs_off(now);
        able && !instances.loading && instances.count < f64::from(request.instances)
    }

    /// Whether loads under way and the worker's memory allow an order ahead of need, where this router may have `most` loads
    /// under way.
    pub(crate) fn may_load_ahead(
        &self,
        now: f64,
        request: LoadRequest,
        workers: &WorkerTable,
        functions: &Functions,
        most: f64,
    ) -> bool {
        /// Part of a worker's memory that they may fill: past it one pushes out another that is loaded again.
        const MEMORY_SHARE: f64 = 0.6;
        let memory = functions.get(request.function).map_or(0.0, |f| f.memory);
        let filled = functions.memory_on(now, request.worker);
        let full =
            filled + memory * f64::from(request.instances) > MEMORY_SHARE * workers[request.worker].memory;
        !full && self.pending <= most
    }

    /// Loads ahead of need that this router may have under way, at so many ready workers.
    pub(crate) fn most_ahead(&self, ready: f64, quota_fraction: f64) -> f64 {
        /// Loads asked for ahead that may be under way for each worker of this router's part.
        const LOADS_PER_WORKER: f64 = 0.25;
        ready * LOADS_PER_WORKER / self.routers * quota_fraction
    }

    /// Whether the rate limit lets one more order through.
    pub(crate) fn within_limit(&mut self, now: f64, budgets: &mut FleetBudgets) -> bool {
        let own_part = self.limit.as_ref().map_or(0.0, |limit| limit.free);
        let free = budgets.allowed(now, Budget::Orders, own_part);
        let within = self.limit.as_mut().is_none_or(|limit| limit.may(now, free));
        if !within {
            budgets.note_exhausted(Budget::Orders);
        }
        within
    }

    /// The one place where orders to load are given.
    pub(crate) fn send(
        &mut self,
        now: f64,
        request: LoadRequest,
        functions: &mut Functions,
        host: &mut dyn Host,
    ) {
        self.limit.iter_mut().for_each(|limit| limit.done(now));
        if let Some(f) = functions.get_mut(request.function) {
            f.placement(request.worker).loading_until = now + self.timeout;
        }
        self.pending += 1.0;
        host.hold(request.worker, request.function, request.instances);
    }

    /// An order was answered.
    pub(crate) fn ended(&mut self) {
        self.pending -= 1.0;
    }

    /// A load ended. Failed ones, begun again at once by every router, push the store over: each rests, for longer from
    /// failure to failure, out of step.
    pub(crate) fn load_ended(&mut self, now: f64, succeeded: bool, random: &mut Random) {
        /// Seconds.
        const MIN_BACKOFF: f64 = 0.1;
        const MAX_BACKOFF: f64 = 2.0;
        if succeeded {
            self.backoff.seconds /= 2.0;
        } else if !self.backs_off(now) {
            let seconds = (2.0 * self.backoff.seconds).clamp(MIN_BACKOFF, MAX_BACKOFF);
            self.backoff = Backoff { seconds, until: now + seconds * (0.5 + random.uniform()) };
        }
    }
}
