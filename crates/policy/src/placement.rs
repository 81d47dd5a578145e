//! Placement: a request goes to the least loaded worker of its function's set. A member without an instance is asked
//! to load one and is used once it is loaded. When all members exceed the fair load, workers past the set in ring
//! order are used.

use crate::admission::QueueReason;
use crate::candidate_search::{Candidate, Comparison, FleetLoad, Query, Scope, Search};
use crate::effects::Effects;
use crate::function_state::Function;
use crate::health_check::HEALTH_CHECK_SHARE;
use crate::load_requests::LoadRequest;
use crate::request_state::Request;
use crate::router_state::RouterState;

/// The result of a stage: an attempt at a worker, the queue, or a final response.
pub(crate) enum Decision {
    Dispatch(usize),
    Queue,
    GiveUp,
}

impl RouterState {
    /// Chooses the worker for a request.
    pub(crate) fn place(&mut self, now: f64, id: usize, host: &mut dyn Effects) -> Decision {
        let Some(query) = self.query(now, id) else { return Decision::GiveUp };
        let Some(function) = self.functions.take(query.function_index) else { return Decision::GiveUp };
        let fleet = self.fleet_load(now, &query, &function);
        let search = self.search_proven_first(now, query, &function, fleet, host);
        self.functions.put_back(query.function_index, function);
        if let Some(worker) =
            search.without_function.filter(|_| search.least_loaded_warm.or(search.past_set_warm).is_none())
        {
            self.request_load(
                now,
                LoadRequest { worker, function: query.function_index, instances: 1, preload: false },
                host,
            );
            return Decision::Queue;
        }
        let choice = self.choose(&fleet, &search);
        if let Some(Candidate { worker, .. }) = choice.load_at {
            self.request_load(
                now,
                LoadRequest { worker, function: query.function_index, instances: 1, preload: true },
                host,
            );
        }
        if let Some(function) = self.functions.get_mut(query.function_index) {
            function.resize_set(now, search.needed);
        }
        let Some(Candidate { worker, .. }) = choice.target else { return Decision::Queue };
        if !self.staleness.allows(now, &self.workers[worker]) {
            self.check_acceptance(now, worker, host);
            return Decision::Queue;
        }
        if self.awaits_health_check(now, &query, worker, host) {
            return Decision::Queue;
        }
        self.request_missing_instances(now, &query, worker, host);
        Decision::Dispatch(worker)
    }

    /// What a request that could not be placed waits for.
    pub(crate) fn queue_reason(&self, now: f64, request: &Request) -> QueueReason {
        if self.staleness.awaits_first_confirmation()
            && !self.workers.iter().any(|worker| worker.acceptance.accepts_work())
        {
            return QueueReason::FirstConfirmation;
        }
        let function = self.functions.get(request.function);
        let is_loaded =
            function.is_some_and(|f| f.placements.iter().any(|placement| placement.is_loaded(now)));
        if is_loaded { QueueReason::Busy } else { QueueReason::Load { latency: self.latency } }
    }

    /// Builds the query for a request and updates its function's ring order.
    fn query(&mut self, now: f64, id: usize) -> Option<Query> {
        let request = self.requests.get(id)?;
        let (function_index, profile, over_quota) = (request.function, request.profile, request.over_quota);
        let (age, time_left) = (now - request.arrived_at, request.deadline - now);
        self.update_ring_order(function_index);
        let remote_weight = self.remote_weight(now);
        let concurrency = self
            .functions
            .get(function_index)
            .map_or(0.0, |f| f.concurrency(now, self.routers, self.latency, remote_weight));
        let latency_objective = self.profiles[profile].latency_objective * if over_quota { 0.5 } else { 1.0 };
        Some(Query {
            id,
            function_index,
            over_quota,
            age,
            time_left,
            latency_objective,
            concurrency,
            remote_weight,
        })
    }

    /// Updates a function's ring order to the current ring.
    fn update_ring_order(&mut self, function_index: usize) {
        if let Some(function) = self.functions.get_mut(function_index) {
            self.ring.update_order(function.name, &mut function.ring_order);
        }
    }

    /// Compares the workers that may get new work. While the list is stale, workers with proof are preferred:
    /// checking another one costs a round trip, and a worker can answer only a limited number of checks from all
    /// routers.
    fn search_proven_first(
        &mut self,
        now: f64,
        query: Query,
        function: &Function,
        fleet: FleetLoad,
        host: &mut dyn Effects,
    ) -> Search {
        let among = |scope| Comparison { query, function, fleet, scope };
        if !self.staleness.is_stale(now) {
            return self.search(now, &among(Scope::Checkable));
        }
        let proven = self.search(now, &among(Scope::Proven));
        if !proven.has_warm_within(&fleet) {
            return self.search(now, &among(Scope::Checkable));
        }
        if self.staleness.may_check_in_background(now) {
            self.check_in_background(now, &among(Scope::Checkable), host);
        }
        proven
    }

    /// Checks the health of the worker that the request would go to if it could wait for proof. Without this, a
    /// worker that takes new work again would stay unused.
    fn check_in_background(&mut self, now: f64, comparison: &Comparison, host: &mut dyn Effects) {
        let search = self.search(now, comparison);
        let target = self.choose(&comparison.fleet, &search).target;
        if let Some(Candidate { worker, .. }) = target
            && !self.staleness.allows(now, &self.workers[worker])
        {
            self.staleness.background_check_sent(now);
            self.check_acceptance(now, worker, host);
        }
    }

    /// Whether the request waits for a health check of its worker. Requests of other routers are known only from load
    /// reports, so a stale report is refreshed before the request joins an unknown queue; the wait is limited.
    fn awaits_health_check(
        &mut self,
        now: f64,
        query: &Query,
        worker: usize,
        host: &mut dyn Effects,
    ) -> bool {
        let waits = self.refreshes_load_reports
            && self.workers[worker].report_is_stale(now)
            && query.age < HEALTH_CHECK_SHARE * query.latency_objective;
        if waits {
            self.workers[worker].check_health(now, worker, host);
        }
        waits
    }

    /// Requests the instances that the worker lacks for the request.
    fn request_missing_instances(&mut self, now: f64, query: &Query, worker: usize, host: &mut dyn Effects) {
        /// Multiple of the mean load time below which the client may leave before a load completes.
        const MIN_LOADS_LEFT: f64 = 2.0;
        /// Maximum number of instances in one load request.
        const MAX_INSTANCES: f64 = 16.0;
        let Some(function) = self.functions.get(query.function_index) else { return };
        let instances = function.instances(now, worker);
        // Where instances are added only on request, further requests would queue for busy ones.
        let needed = ((instances.in_flight + 1.0) / function.instance_concurrency).ceil().min(MAX_INSTANCES);
        if instances.count > 0.0 && needed > instances.count {
            let request = LoadRequest {
                worker,
                function: query.function_index,
                instances: needed as u8,
                preload: true,
            };
            self.request_load(now, request, host);
        } else if instances.count == 0.0 && query.time_left < MIN_LOADS_LEFT * self.load_latency {
            // Workers drop a load that no request waits for. With short client timeouts no load would complete unless
            // it is requested explicitly.
            self.request_load(
                now,
                LoadRequest { worker, function: query.function_index, instances: 1, preload: false },
                host,
            );
        }
    }
}
