//! What is known of each function: its demand, how long its requests take, and where its instances are believed to be.

use crate::decay::{Fading, RATE_HALF};
use crate::effects::Host;
use crate::events::Arrival;
use std::collections::BTreeMap;

/// Half lives in seconds of the counts behind demand: the long one is for what one of many routers sees too seldom.
pub(crate) const DEMAND_HALVES: [f64; 2] = [RATE_HALF, 15.0];

/// What a router believes of one function on one worker.
#[derive(Default)]
pub(crate) struct FunctionOnWorker {
    pub(crate) worker: usize,
    /// Instances there, until when unless used again.
    pub(crate) instances: f64,
    pub(crate) expires_at: f64,
    /// Until when a load that an order or a shot began may still be under way.
    pub(crate) loading_until: f64,
    /// Own shots there.
    pub(crate) in_flight: f64,
    /// When it was last found to lack the function.
    pub(crate) missing_at: f64,
}

impl FunctionOnWorker {
    /// Whether instances are there now.
    pub(crate) fn is_loaded(&self, now: f64) -> bool {
        self.instances > 0.0 && self.expires_at > now
    }
}

/// Instances believed to be on a worker, whether one is on its way there, and own shots there.
#[derive(Clone, Copy)]
pub(crate) struct Instances {
    pub(crate) count: f64,
    pub(crate) loading: bool,
    pub(crate) in_flight: f64,
}

#[derive(Default)]
pub(crate) struct Function {
    /// What it is called on every router.
    pub(crate) name: u64,
    /// Requests that one instance runs at a time.
    pub(crate) lanes: f64,
    /// Memory of one instance, in MB.
    pub(crate) memory: f64,
    /// Arrivals over a short and a long while, by the half lives of [`DEMAND_HALVES`].
    pub(crate) arrivals: [Fading; 2],
    /// When it first arrived.
    pub(crate) since: f64,
    /// Mean time that its shots are out, over the mean of all functions.
    pub(crate) relative_latency: f64,
    /// Seconds that answers of instances took.
    pub(crate) busy_time: Fading,
    /// What it keeps busy at other routers, in lanes.
    pub(crate) remote_concurrency: f64,
    /// Workers in the set, and since when the set could be smaller.
    pub(crate) set_size: usize,
    pub(crate) shrinkable_since: f64,
    /// Whether a worker ever handled it: until then its failures may be its own.
    pub(crate) has_succeeded: bool,
    /// Requests that are not let go of yet.
    pub(crate) open_requests: usize,
    /// Workers in ring order from the home on, for the ring of that edition.
    pub(crate) ring_order: Vec<usize>,
    pub(crate) revision: u64,
    pub(crate) placements: Vec<FunctionOnWorker>,
}

impl Function {
    fn new(now: f64, arrival: &Arrival) -> Self {
        Self {
            name: arrival.name,
            memory: arrival.memory.max(0.0),
            since: now,
            relative_latency: 1.0,
            set_size: 1,
            shrinkable_since: now,
            ..Self::default()
        }
    }

    /// Its state on a worker, new where nothing is known.
    pub(crate) fn placement(&mut self, worker: usize) -> &mut FunctionOnWorker {
        let at =
            self.placements.iter().position(|placement| placement.worker == worker).unwrap_or_else(|| {
                self.placements.push(FunctionOnWorker {
                    worker,
                    missing_at: f64::NEG_INFINITY,
                    ..FunctionOnWorker::default()
                });
                self.placements.len() - 1
            });
        &mut self.placements[at]
    }

    pub(crate) fn instances(&self, now: f64, worker: usize) -> Instances {
        let placement = self.placements.iter().find(|placement| placement.worker == worker);
        placement.map_or(Instances { count: 0.0, loading: false, in_flight: 0.0 }, |placement| Instances {
            count: if placement.expires_at > now { placement.instances } else { 0.0 },
            loading: placement.loading_until > now,
            in_flight: placement.in_flight,
        })
    }

    /// The process of a worker is another one: it has no instance.
    pub(crate) fn worker_restarted(&mut self, worker: usize) {
        let placements = self.placements.iter_mut().filter(|placement| placement.worker == worker);
        placements.for_each(|placement| (placement.instances, placement.loading_until) = (0.0, 0.0));
    }

    /// Requests a second, by the count that says most.
    pub(crate) fn arrival_rate(&self, now: f64) -> f64 {
        let rate = |(count, half): (&Fading, f64)| count.rate(now, half, now - self.since);
        self.arrivals.iter().zip(DEMAND_HALVES).map(rate).fold(0.0, f64::max)
    }

    /// What it keeps busy at this router, in lanes.
    pub(crate) fn local_concurrency(&self, now: f64) -> f64 {
        self.busy_time.rate(now, RATE_HALF, now - self.since)
    }

    fn count_arrival(&mut self, now: f64) {
        for (count, half) in self.arrivals.iter_mut().zip(DEMAND_HALVES) {
            count.add(now, half, 1.0);
        }
    }

    /// Whether all that was believed of it has run out, and its demand has faded to that of nothing.
    fn is_unused(&self, now: f64) -> bool {
        /// Half an arrival in the long count: one-offs go within 15 s, a busy function after minutes.
        const MIN_ARRIVALS: f64 = 0.5;
        let expired = |placement: &FunctionOnWorker| {
            placement.in_flight == 0.0 && now > placement.expires_at && now > placement.loading_until
        };
        let is_unused = self.arrivals[1].now(now, DEMAND_HALVES[1]) < MIN_ARRIVALS;
        self.open_requests == 0 && is_unused && self.placements.iter().all(expired)
    }
}

/// All functions that are asked for, under the host's index.
#[derive(Default)]
pub(crate) struct Functions {
    functions: Vec<Option<Function>>,
    /// Where the round that looks for functions to forget has come to.
    sweep_position: usize,
}

impl Functions {
    /// One more request of a function arrived. A client's repeat is no new demand: counted, it would stretch sets onto cold
    /// workers.
    pub(crate) fn arrived(&mut self, now: f64, arrival: &Arrival) {
        self.functions.resize_with(self.functions.len().max(arrival.function + 1), || None);
        let function = self.functions[arrival.function].get_or_insert_with(|| Function::new(now, arrival));
        function.open_requests += 1;
        function.lanes = if arrival.lanes >= 1.0 { arrival.lanes } else { 1.0 };
        if !arrival.repeat {
            function.count_arrival(now);
        }
    }

    /// Forgets functions that are not asked for any more. Each arrival looks at a few, so that one-off functions can't pile
    /// up.
    pub(crate) fn sweep(&mut self, now: f64, host: &mut dyn Host) {
        /// Above 1, so that the round comes about faster than arrivals can add to it.
        const FUNCTIONS_EACH: usize = 2;
        for _ in 0..FUNCTIONS_EACH.min(self.functions.len()) {
            self.sweep_position = (self.sweep_position + 1) % self.functions.len();
            if self.functions[self.sweep_position].as_ref().is_some_and(|f| f.is_unused(now)) {
                self.functions[self.sweep_position] = None;
                host.forget_function(self.sweep_position);
            }
        }
    }

    pub(crate) fn get(&self, function: usize) -> Option<&Function> {
        self.functions.get(function)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, function: usize) -> Option<&mut Function> {
        self.functions.get_mut(function)?.as_mut()
    }

    /// Takes a function out while its workers are compared; [`put_back`](Self::put_back) ends that.
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

    /// Whether a function was ever handled; yes where it is not known.
    pub(crate) fn has_succeeded(&self, function: usize) -> bool {
        self.get(function).is_none_or(|f| f.has_succeeded)
    }

    /// Sets what functions keep busy at other routers, in lanes by name; all else is next to nothing.
    pub(crate) fn set_remote_concurrency(&mut self, busy: &BTreeMap<u64, f64>) {
        self.iter_mut().for_each(|f| f.remote_concurrency = busy.get(&f.name).copied().unwrap_or(0.0));
    }

    /// Memory in MB of the instances on a worker.
    pub(crate) fn memory_on(&self, now: f64, worker: usize) -> f64 {
        self.iter().map(|f| f.memory * f.instances(now, worker).count).sum()
    }
}
