//! Search for a request's worker: compares the workers in ring order by load, instances and what they may be sent,
//! and chooses among the candidates. Placement acts on the result.

use crate::function_state::Function;
use crate::health_check::HEALTH_CHECK_SHARE;
use crate::overload::TimeBounds;
use crate::router_state::RouterState;

/// The request to place. Times are in seconds.
#[derive(Clone, Copy)]
pub(crate) struct Query {
    pub(crate) id: usize,
    pub(crate) function_index: usize,
    pub(crate) over_quota: bool,
    /// Time since the request arrived.
    pub(crate) age: f64,
    /// Time until its client gives up.
    pub(crate) time_left: f64,
    /// Target latency of the request; halved if it is over its quota.
    pub(crate) latency_objective: f64,
    /// Concurrency of its function over all routers.
    pub(crate) concurrency: f64,
    /// Weight of the concurrency that other routers reported, 0 to 1.
    pub(crate) remote_weight: f64,
}

/// Means over all ready workers, and the limits derived from them.
#[derive(Clone, Copy)]
pub(crate) struct FleetLoad {
    /// Mean of other routers' requests per worker; assumed for a worker without a recent report.
    pub(crate) average: f64,
    pub(crate) mean_size: f64,
    /// Fair load of a worker. When all members of the set exceed it, workers past the set are used.
    pub(crate) fair: f64,
    /// Requests that one instance is expected to run concurrently.
    pub(crate) instance_concurrency: f64,
    /// Ready workers with an instance that is loaded or loading.
    pub(crate) workers_with_instance: usize,
}

/// What stays the same while workers are compared.
pub(crate) struct Comparison<'a> {
    pub(crate) query: Query,
    pub(crate) function: &'a Function,
    pub(crate) fleet: FleetLoad,
    pub(crate) scope: Scope,
}

/// Which workers are compared while the endpoint list is stale; both scopes are the same while it is current.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scope {
    /// Workers that have recently proved that they take new work.
    Proven,
    /// Also workers that may be sent a health check to prove it.
    Checkable,
}

#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) load: f64,
    pub(crate) worker: usize,
}

/// What the search has found in ring order so far.
#[derive(Default)]
pub(crate) struct Search {
    /// Concurrent requests that the members found so far can run.
    pub(crate) capacity: f64,
    /// Number of members found so far.
    pub(crate) members: usize,
    /// Number of members that the function's concurrency needs.
    pub(crate) needed: usize,
    /// Number of workers with an instance that is loaded or loading.
    pub(crate) with_instance: usize,
    /// A member was overloaded.
    pub(crate) member_overloaded: bool,
    /// The first worker that lacks the function and loads it only on request.
    pub(crate) without_function: Option<usize>,
    /// The first worker where an instance is loading.
    pub(crate) loading: Option<Candidate>,
    /// The least loaded member, and the least loaded member with an instance.
    pub(crate) least_loaded: Option<Candidate>,
    pub(crate) least_loaded_warm: Option<Candidate>,
    /// The first worker past the set, and the first one there with an instance.
    pub(crate) past_set: Option<Candidate>,
    pub(crate) past_set_warm: Option<Candidate>,
}

impl Search {
    /// Whether a worker with an instance was found whose load does not exceed the fair load.
    pub(crate) fn has_warm_within(&self, fleet: &FleetLoad) -> bool {
        [self.least_loaded_warm, self.past_set_warm].into_iter().flatten().any(|warm| warm.load <= fleet.fair)
    }

    pub(crate) fn is_member(&self, query: &Query, function: &Function) -> bool {
        self.capacity < query.concurrency || self.members < function.set_size
    }

    /// Whether no later worker could be chosen.
    fn is_complete(&self, fleet: &FleetLoad, member: bool) -> bool {
        let fits = self.least_loaded.is_some_and(|any| any.load <= fleet.fair) || self.past_set.is_some();
        !member
            && fits
            && (self.least_loaded_warm.is_some() && self.past_set.is_none()
                || self.with_instance == fleet.workers_with_instance)
    }

    /// Adds a candidate: inside the set the least loaded one is kept, past the set the first.
    fn add_candidate(&mut self, candidate: Candidate, member: bool, warm: bool) {
        let (any, loaded) = if member {
            (&mut self.least_loaded, &mut self.least_loaded_warm)
        } else {
            (&mut self.past_set, &mut self.past_set_warm)
        };
        let better = |best: &Option<Candidate>| best.is_none_or(|b| member && candidate.load < b.load);
        if better(any) {
            *any = Some(candidate);
        }
        if warm && better(loaded) {
            *loaded = Some(candidate);
        }
    }
}

/// The worker for a request, and the worker that should load one more instance.
pub(crate) struct Choice {
    pub(crate) target: Option<Candidate>,
    pub(crate) load_at: Option<Candidate>,
}

impl RouterState {
    /// Computes the means over all workers on the ring.
    pub(crate) fn fleet_load(&mut self, now: f64, query: &Query, function: &Function) -> FleetLoad {
        /// The fair load is this multiple of the mean load, plus `LOAD_SLACK` requests. With a tighter limit the home
        /// worker of several busy functions would be overloaded while others are idle.
        const MEAN_LOAD_MULTIPLE: f64 = 1.25;
        const LOAD_SLACK: f64 = 3.0;
        /// Capacity that an instance reserves for unobserved traffic, in squared standard deviations.
        const VARIANCE_HEADROOM: f64 = 1.0;
        self.slow_start.rate(now, &self.workers, &self.staleness, &mut self.throughput);
        let n = function.ring_order.workers().len().max(1) as f64;
        // A single pass: with thousands of workers this is most of the cost of a request.
        let (mut reports, mut other_routers_load, mut sizes, mut in_flight) = (0, 0.0, 0.0, 0.0);
        for worker in function.ring_order.workers().iter().map(|&worker| &self.workers[worker]) {
            if let Some(reported) = worker.recent_other_routers_load(now) {
                reports += 1;
                other_routers_load += reported;
            }
            sizes += worker.size;
            in_flight += worker.in_flight as f64;
        }
        let average = other_routers_load / reports.max(1) as f64;
        let (mean_size, mean_in_flight) = (sizes / n, in_flight / n);
        let fair = (average + mean_in_flight) * MEAN_LOAD_MULTIPLE + LOAD_SLACK;
        let workers_with_instance =
            function.placements.iter().filter(|s| s.is_loaded(now) || s.loading_until > now);
        let workers_with_instance =
            workers_with_instance.filter(|s| self.workers[s.worker].is_ready()).count();
        // Reserves capacity for the variance of other routers' traffic; otherwise a short burst would start another
        // load. Sets that are sized by the concurrency reported by all routers need no reserve.
        let unobserved_variance =
            VARIANCE_HEADROOM * (1.0 - 1.0 / self.routers) * (1.0 - query.remote_weight);
        let instance_concurrency = function.instance_concurrency + unobserved_variance / 2.0
            - (unobserved_variance * (function.instance_concurrency + unobserved_variance / 4.0)).sqrt();
        FleetLoad { average, mean_size, fair, instance_concurrency, workers_with_instance }
    }

    /// Whether a worker is compared while the list is stale: it has proved that it takes new work, or may be checked.
    fn is_in_scope(&self, now: f64, comparison: &Comparison, worker: usize) -> bool {
        let state = &self.workers[worker];
        self.staleness.allows(now, state)
            || comparison.scope == Scope::Checkable
                && self.can_check_health
                && self.staleness.may_check_health(
                    now,
                    state,
                    HEALTH_CHECK_SHARE * comparison.query.latency_objective,
                )
    }

    /// Compares the workers in ring order until no later one could be chosen.
    pub(crate) fn search(&mut self, now: f64, comparison: &Comparison) -> Search {
        let Comparison { query, function, fleet, .. } = comparison;
        let mut search = Search::default();
        for &worker in function.ring_order.workers() {
            let member = search.is_member(query, function);
            if search.is_complete(fleet, member) {
                break;
            }
            self.evaluate(now, comparison, &mut search, worker, member);
        }
        search
    }

    /// Compares one worker with those found before it.
    fn evaluate(
        &mut self,
        now: f64,
        comparison: &Comparison,
        search: &mut Search,
        worker: usize,
        member: bool,
    ) {
        /// Fraction of the latency objective for which a request may queue for a busy instance before another is
        /// loaded.
        const BUSY_INSTANCE_WAIT: f64 = 0.05;
        /// Seconds for which a worker gets no attempts after it rejected one, tracked separately for attempts that
        /// need a load and for loaded instances.
        const REJECTION_PAUSE: f64 = 0.3;
        let Comparison { query, function, fleet, .. } = comparison;
        if !self.is_in_scope(now, comparison, worker)
            || !self.may_attempt(now, query.id, worker)
            || self.skips_outlier(now, worker)
        {
            return;
        }
        let worker_state = &self.workers[worker];
        let size = worker_state.size / fleet.mean_size;
        let instances = function.instances(now, worker);
        let in_flight_there = worker_state.in_flight as f64
            + worker_state.recent_other_routers_load(now).unwrap_or(fleet.average);
        let load = (in_flight_there + 1.0) / size + 1e-6 * self.random.uniform();
        search.needed += usize::from(search.capacity < query.concurrency);
        search.members += usize::from(member);
        search.capacity += fleet.instance_concurrency * size;
        let warm = instances.count > 0.0;
        search.with_instance += usize::from(warm || instances.loading);
        // A worker whose instances are at their concurrency limit loads another one, at the cost of other functions'
        // memory. An instance that is still loading is shared with other routers, so this router counts only one
        // request on it when their concurrency is known.
        let counts_all_instances = warm || query.remote_weight < 0.5;
        let own_concurrency =
            if counts_all_instances { function.instance_concurrency * instances.count.max(1.0) } else { 1.0 };
        if instances.in_flight >= own_concurrency
            && (!warm || query.age < BUSY_INSTANCE_WAIT * query.latency_objective)
        {
            return;
        }
        // An overloaded worker gets nothing: the search continues past the set, or the request is queued in the
        // router.
        let rejected = now - self.workers[worker].rejected_at.last(warm) < REJECTION_PAUSE;
        let missing =
            function.placements.iter().any(|s| s.worker == worker && now - s.missing_at < self.load_latency);
        let refused = rejected || missing && !instances.loading && self.load_requests.is_backing_off(now);
        let times = TimeBounds {
            latency_objective: query.latency_objective,
            time_left: query.time_left,
            relative_latency: function.relative_latency,
        };
        if refused || self.is_overloaded(now, worker, times, warm || query.over_quota) {
            search.member_overloaded |= member;
            return;
        }
        // Workers that load only on request get no attempts for a function that they lack until an instance is
        // loaded.
        if self.reports_missing_functions && !warm && (instances.loading || missing) {
            search.without_function = search.without_function.or(Some(worker));
            return;
        }
        let candidate = Candidate { load, worker };
        if instances.loading && !warm {
            search.loading = search.loading.or(Some(candidate));
        }
        // Past the set, only workers at or below the fair load are candidates.
        if member || load <= fleet.fair {
            search.add_candidate(candidate, member, warm);
        }
    }

    /// Whether to skip a worker; the probability increases with its outlier score.
    fn skips_outlier(&mut self, now: f64, worker: usize) -> bool {
        let trust_score = 1.0 - self.workers[worker].ejection_probability(now);
        trust_score < 1.0 && self.random.uniform() > trust_score.powi(3)
    }

    /// Chooses the target and the worker to load at from the search result.
    pub(crate) fn choose(&self, fleet: &FleetLoad, search: &Search) -> Choice {
        let &Search { least_loaded: any, past_set: past, member_overloaded, with_instance, loading, .. } =
            search;
        let above = any.map_or(member_overloaded, |any| any.load > fleet.fair);
        let load_candidate = if above { past.or(any) } else { any };
        let warm_past = search.past_set_warm.filter(|_| above);
        let warm = if above { warm_past.or(search.least_loaded_warm) } else { search.least_loaded_warm };
        // A request starts a load only inside the set, and only if no instance is loaded or loading. Otherwise a
        // request that a full home worker rejects would start loads on one worker after another.
        let can_request_loads = self.load_requests.is_supported();
        let target = match warm.or(warm_past) {
            // An instance past the set, left over after the set shrank, is used while the home worker loads one.
            None if with_instance > 0 && can_request_loads => loading.or(search.past_set_warm),
            None => any,
            found if can_request_loads => found,
            found => any.or(found),
        };
        let is_target =
            |load_candidate: &Candidate| target.is_some_and(|target| target.worker == load_candidate.worker);
        Choice {
            target,
            load_at: load_candidate
                .filter(|load_candidate| !is_target(load_candidate) && warm_past.is_none()),
        }
    }
}
