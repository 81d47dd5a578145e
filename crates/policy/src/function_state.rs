//! State of each function: its arrival rate, the latency of its requests, and where its instances are.

use crate::decay::{DecayingSum, RATE_HALF_LIFE};
use crate::effects::Effects;
use crate::events::Arrival;
use crate::hash_ring::RingOrder;
use std::collections::BTreeMap;

/// Half lives in seconds of the arrival counts. The long one is for functions that a single one of many routers
/// rarely receives.
const SHORT_HALF_LIFE: f64 = RATE_HALF_LIFE;
const LONG_HALF_LIFE: f64 = 15.0;

/// Decaying counts of arrivals.
#[derive(Default)]
pub(crate) struct ArrivalCounts {
    short: DecayingSum,
    long: DecayingSum,
}

impl ArrivalCounts {
    fn add(&mut self, now: f64) {
        self.short.add(now, SHORT_HALF_LIFE, 1.0);
        self.long.add(now, LONG_HALF_LIFE, 1.0);
    }

    /// The larger of the two counts' rates; `rate` computes one from a count and its half life.
    pub(crate) fn max_rate(&self, rate: impl Fn(&DecayingSum, f64) -> f64) -> f64 {
        rate(&self.short, SHORT_HALF_LIFE).max(0.0).max(rate(&self.long, LONG_HALF_LIFE))
    }
}

/// A function's state on one worker, as far as this router knows. Times are in seconds.
#[derive(Default)]
pub(crate) struct FunctionPlacement {
    pub(crate) worker: usize,
    /// Number of instances there, and when they expire unless they are used again.
    pub(crate) instances: f64,
    pub(crate) expires_at: f64,
    /// Until when a requested load, or one that an attempt started, may still be in progress.
    pub(crate) loading_until: f64,
    /// Attempts of this router in flight there.
    pub(crate) in_flight: f64,
    /// When the worker last answered that the function is missing.
    pub(crate) missing_at: f64,
}

impl FunctionPlacement {
    /// Whether the function is loaded there now.
    pub(crate) fn is_loaded(&self, now: f64) -> bool {
        self.instances > 0.0 && self.expires_at > now
    }
}

/// Instances on a worker now, whether one is loading, and this router's attempts in flight there.
#[derive(Clone, Copy)]
pub(crate) struct Instances {
    pub(crate) count: f64,
    pub(crate) loading: bool,
    pub(crate) in_flight: f64,
}

#[derive(Default)]
pub(crate) struct Function {
    /// The function's key on the hash ring.
    pub(crate) name: u64,
    /// Requests that one instance runs concurrently.
    pub(crate) instance_concurrency: f64,
    /// Memory of one instance, in MB.
    pub(crate) memory: f64,
    /// Recent arrivals.
    pub(crate) arrivals: ArrivalCounts,
    /// When the function's first request arrived.
    pub(crate) first_arrival_at: f64,
    /// Mean latency of the function's attempts, relative to that of all functions.
    pub(crate) relative_latency: f64,
    /// Decaying sum of the latencies of answers from loaded instances, in seconds; its rate is the concurrency.
    pub(crate) busy_time: DecayingSum,
    /// Concurrency at other routers.
    pub(crate) remote_concurrency: f64,
    /// Number of workers in the function's set, and since when the set could be smaller.
    pub(crate) set_size: usize,
    pub(crate) shrinkable_since: f64,
    /// Whether any request of the function has succeeded; until then failures may be the function's own fault.
    pub(crate) has_succeeded: bool,
    /// Requests that are not released yet.
    pub(crate) open_requests: usize,
    /// Workers in ring order from the function's key on.
    pub(crate) ring_order: RingOrder,
    pub(crate) placements: Vec<FunctionPlacement>,
}

impl Function {
    fn new(now: f64, arrival: &Arrival) -> Self {
        Self {
            name: arrival.name,
            memory: arrival.memory.max(0.0),
            first_arrival_at: now,
            relative_latency: 1.0,
            set_size: 1,
            shrinkable_since: now,
            ..Self::default()
        }
    }

    /// The function's state on a worker, if there is any.
    pub(crate) fn placement(&mut self, worker: usize) -> Option<&mut FunctionPlacement> {
        self.placements.iter_mut().find(|placement| placement.worker == worker)
    }

    /// The function's instances on a worker now.
    pub(crate) fn instances(&self, now: f64, worker: usize) -> Instances {
        let placement = self.placements.iter().find(|placement| placement.worker == worker);
        placement.map_or(Instances { count: 0.0, loading: false, in_flight: 0.0 }, |placement| Instances {
            count: if placement.expires_at > now { placement.instances } else { 0.0 },
            loading: placement.loading_until > now,
            in_flight: placement.in_flight,
        })
    }

    /// Arrivals per second, by the larger of the two counts.
    pub(crate) fn arrival_rate(&self, now: f64) -> f64 {
        self.arrivals.max_rate(|count, half_life| count.rate(now, half_life, now - self.first_arrival_at))
    }

    /// Concurrency at this router.
    pub(crate) fn local_concurrency(&self, now: f64) -> f64 {
        self.busy_time.rate(now, RATE_HALF_LIFE, now - self.first_arrival_at)
    }

    /// Whether the function has no requests and no instances.
    fn is_idle(&self, now: f64) -> bool {
        let expired = |placement: &FunctionPlacement| {
            placement.in_flight == 0.0 && now > placement.expires_at && now > placement.loading_until
        };
        self.open_requests == 0 && self.placements.iter().all(expired)
    }

    /// Whether the function has had hardly any arrivals recently.
    fn is_rarely_called(&self, now: f64) -> bool {
        /// Limit on the long count: a function that is called once is released within 15 s, a busy one after minutes.
        const MIN_ARRIVALS: f64 = 0.5;
        self.arrivals.long.value(now, LONG_HALF_LIFE) < MIN_ARRIVALS
    }
}

/// All functions in use, by the host's index. Bounded by the memory for them, and by the functions that have requests or
/// instances.
#[derive(Default)]
pub(crate) struct Functions {
    functions: Vec<Option<Function>>,
    /// Number of functions.
    count: usize,
    /// Memory for all functions, in bytes.
    memory: usize,
    /// The functions with a placement on each worker, by worker index.
    functions_on_worker: Vec<Vec<usize>>,
    /// Position of the incremental search for unused functions.
    sweep_position: usize,
}

impl Functions {
    /// Creates an empty table whose functions may take this many bytes.
    pub(crate) fn new(memory: usize) -> Self {
        Self { memory, ..Self::default() }
    }

    /// Records a request of a function. A client's retry does not count as demand: it would grow sets onto workers
    /// without instances.
    pub(crate) fn request_arrived(&mut self, now: f64, arrival: &Arrival) {
        self.functions.resize_with(self.functions.len().max(arrival.function + 1), || None);
        let known = &mut self.functions[arrival.function];
        self.count += usize::from(known.is_none());
        let function = known.get_or_insert_with(|| Function::new(now, arrival));
        function.open_requests += 1;
        function.instance_concurrency = if arrival.concurrency >= 1.0 { arrival.concurrency } else { 1.0 };
        if !arrival.is_retry {
            function.arrivals.add(now);
        }
    }

    /// Releases idle functions that are rarely called, and any idle ones while all functions take more than the memory for
    /// them. Each arrival checks a few, so that functions that are called once cannot accumulate. `workers` is the number
    /// of workers in the order of each function.
    pub(crate) fn sweep(&mut self, now: f64, workers: usize, host: &mut dyn Effects) {
        /// More than 1, so that functions are checked faster than arrivals can add them.
        const FUNCTIONS_PER_ARRIVAL: usize = 2;
        /// The same while there are too many, among which some are not idle.
        const FUNCTIONS_PER_ARRIVAL_ABOVE_LIMIT: usize = 16;
        let limit = self.max_functions(workers);
        let checks =
            if self.count > limit { FUNCTIONS_PER_ARRIVAL_ABOVE_LIMIT } else { FUNCTIONS_PER_ARRIVAL };
        for _ in 0..checks.min(self.functions.len()) {
            self.sweep_position = (self.sweep_position + 1) % self.functions.len();
            let is_above_limit = self.count > limit;
            let is_releasable = |function: &Function| {
                function.is_idle(now) && (is_above_limit || function.is_rarely_called(now))
            };
            if self.functions[self.sweep_position].as_ref().is_some_and(is_releasable) {
                self.release(self.sweep_position);
                host.release_function(self.sweep_position);
            }
        }
    }

    /// Number of functions that fit into the memory for them.
    fn max_functions(&self, workers: usize) -> usize {
        /// Bytes for a function beside its order of the workers: its state here and at the host, and its name.
        const FUNCTION_BYTES: usize = 512;
        self.memory / (FUNCTION_BYTES + workers * size_of::<usize>())
    }

    fn release(&mut self, index: usize) {
        self.count -= usize::from(self.functions[index].is_some());
        for placement in self.functions[index].take().into_iter().flat_map(|function| function.placements) {
            self.functions_on_worker[placement.worker].retain(|&other| other != index);
        }
    }

    /// A function's state on a worker; created if there is none. `None` if the function is unknown.
    pub(crate) fn placement(&mut self, function: usize, worker: usize) -> Option<&mut FunctionPlacement> {
        let state = self.functions.get_mut(function)?.as_mut()?;
        if state.placement(worker).is_none() {
            state.placements.push(FunctionPlacement {
                worker,
                missing_at: f64::NEG_INFINITY,
                ..FunctionPlacement::default()
            });
            let workers = self.functions_on_worker.len().max(worker + 1);
            self.functions_on_worker.resize_with(workers, Vec::new);
            self.functions_on_worker[worker].push(function);
        }
        state.placement(worker)
    }

    /// A worker's process was replaced: the new process has no instances.
    pub(crate) fn worker_restarted(&mut self, worker: usize) {
        for &function in self.functions_on_worker.get(worker).into_iter().flatten() {
            let state = self.functions[function].as_mut();
            if let Some(placement) = state.and_then(|function| function.placement(worker)) {
                (placement.instances, placement.loading_until) = (0.0, 0.0);
            }
        }
    }

    pub(crate) fn get(&self, function: usize) -> Option<&Function> {
        self.functions.get(function)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, function: usize) -> Option<&mut Function> {
        self.functions.get_mut(function)?.as_mut()
    }

    /// Takes a function out while its workers are compared; [`put_back`](Self::put_back) returns it.
    pub(crate) fn take(&mut self, function: usize) -> Option<Function> {
        self.functions.get_mut(function)?.take()
    }

    pub(crate) fn put_back(&mut self, index: usize, function: Function) {
        self.functions[index] = Some(function);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Function> {
        self.functions.iter().flatten()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Function> {
        self.functions.iter_mut().flatten()
    }

    /// Whether any request of a function has succeeded; true if the function is unknown.
    pub(crate) fn has_succeeded(&self, function: usize) -> bool {
        self.get(function).is_none_or(|f| f.has_succeeded)
    }

    /// Sets the concurrency of functions at other routers, by name hash; missing functions have zero.
    pub(crate) fn set_remote_concurrency(&mut self, concurrency: &BTreeMap<u64, f64>) {
        self.iter_mut().for_each(|f| f.remote_concurrency = concurrency.get(&f.name).copied().unwrap_or(0.0));
    }

    /// Memory in MB of all instances on a worker.
    pub(crate) fn memory_on(&self, now: f64, worker: usize) -> f64 {
        self.iter().map(|f| f.memory * f.instances(now, worker).count).sum()
    }
}
