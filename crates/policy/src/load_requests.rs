//! Requests to workers to load a function, their budget, and the backoff after failed loads.

use crate::effects::{Budget, Effects};
use crate::fleet_budgets::FleetBudgets;
use crate::function_state::Functions;
use crate::random::Random;
use crate::rate_limiter::RateLimiter;
use crate::worker_state::WorkerTable;

/// Asks a worker to load a function until it has `instances` instances. A `preload` is made ahead of need, and only
/// as far as pending loads and memory allow.
#[derive(Clone, Copy)]
pub(crate) struct LoadRequest {
    pub(crate) worker: usize,
    pub(crate) function: usize,
    pub(crate) instances: u8,
    pub(crate) preload: bool,
}

/// How long this router starts no loads after a failed one, and until when.
#[derive(Clone, Copy, Default)]
struct Backoff {
    seconds: f64,
    until: f64,
}

pub(crate) struct LoadRequests {
    /// Workers accept load requests.
    supported: bool,
    /// Seconds after which a load request counts as unanswered.
    timeout: f64,
    limit: Option<RateLimiter>,
    /// Number of routers by the configuration.
    routers: f64,
    /// Load requests that are not answered yet.
    pending: f64,
    backoff: Backoff,
}

impl LoadRequests {
    pub(crate) fn new(supported: bool, timeout: f64, limit: Option<RateLimiter>, routers: f64) -> Self {
        Self { supported, timeout, limit, routers, pending: 0.0, backoff: Backoff::default() }
    }

    pub(crate) fn is_supported(&self) -> bool {
        self.supported
    }

    /// A request arrived, which earns a fraction of a load request.
    pub(crate) fn request_arrived(&mut self, now: f64) {
        self.limit.iter_mut().for_each(|limit| limit.request_arrived(now));
    }

    /// Whether no loads are started now because one failed.
    pub(crate) fn is_backing_off(&self, now: f64) -> bool {
        now < self.backoff.until
    }

    /// Whether a load request is possible now and the worker has fewer instances than it asks for.
    pub(crate) fn is_wanted(
        &self,
        now: f64,
        request: LoadRequest,
        workers: &WorkerTable,
        functions: &Functions,
    ) -> bool {
        let Some(f) = functions.get(request.function) else { return false };
        let instances = f.instances(now, request.worker);
        let is_possible = self.supported && workers[request.worker].is_ready() && !self.is_backing_off(now);
        is_possible && !instances.loading && instances.count < f64::from(request.instances)
    }

    /// Whether pending load requests and the worker's memory allow a preload; this router may have `max_pending` load
    /// requests pending.
    pub(crate) fn may_preload(
        &self,
        now: f64,
        request: LoadRequest,
        workers: &WorkerTable,
        functions: &Functions,
        max_pending: f64,
    ) -> bool {
        /// Fraction of a worker's memory that instances may fill; beyond it they evict each other.
        const MEMORY_SHARE: f64 = 0.6;
        let memory = functions.get(request.function).map_or(0.0, |f| f.memory);
        let filled = functions.memory_on(now, request.worker);
        let full =
            filled + memory * f64::from(request.instances) > MEMORY_SHARE * workers[request.worker].memory;
        !full && self.pending <= max_pending
    }

    /// Preloads that this router may have in progress, for `ready` workers.
    pub(crate) fn max_preloads(&self, ready: f64, quota_fraction: f64) -> f64 {
        /// Preloads in progress per ready worker, over all routers.
        const LOADS_PER_WORKER: f64 = 0.25;
        ready * LOADS_PER_WORKER / self.routers * quota_fraction
    }

    /// Whether the budget allows another load request.
    pub(crate) fn within_limit(&mut self, now: f64, budgets: &mut FleetBudgets) -> bool {
        let own = self.limit.as_ref().map_or(0.0, |limit| limit.free);
        let free = budgets.allowed(now, Budget::LoadRequests, own);
        let within = self.limit.as_mut().is_none_or(|limit| limit.allows(now, free));
        if !within {
            budgets.record_exhausted(Budget::LoadRequests);
        }
        within
    }

    /// Sends a load request. This is the only place that does.
    pub(crate) fn send(
        &mut self,
        now: f64,
        request: LoadRequest,
        functions: &mut Functions,
        host: &mut dyn Effects,
    ) {
        self.limit.iter_mut().for_each(|limit| limit.action_done(now));
        if let Some(placement) = functions.placement(request.function, request.worker) {
            placement.loading_until = now + self.timeout;
        }
        self.pending += 1.0;
        host.request_load(request.worker, request.function, request.instances);
    }

    /// A load request was answered.
    pub(crate) fn load_request_ended(&mut self) {
        self.pending -= 1.0;
    }

    /// A load ended. When every router restarts failed loads at once, they overload the store, so each router backs
    /// off exponentially with jitter.
    pub(crate) fn load_ended(&mut self, now: f64, succeeded: bool, random: &mut Random) {
        /// Limits of the backoff, in seconds.
        const MIN_BACKOFF: f64 = 0.1;
        const MAX_BACKOFF: f64 = 2.0;
        if succeeded {
            self.backoff.seconds /= 2.0;
        } else if !self.is_backing_off(now) {
            let seconds = (2.0 * self.backoff.seconds).clamp(MIN_BACKOFF, MAX_BACKOFF);
            self.backoff = Backoff { seconds, until: now + seconds * (0.5 + random.uniform()) };
        }
    }
}
