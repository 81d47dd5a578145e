//! The workers of a fleet as seen by one gateway: in several regions, and shared with other gateways, which load
//! functions there as well.

use crate::fleet_load::FleetLoad;
use milletpath_policy::LoadReport;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;
use std::ops::Range;

/// Round-trip time to a worker, by region.
const ROUND_TRIP_SECONDS: [f64; 4] = [0.001, 0.030, 0.080, 0.150];

/// Calls per second in the whole fleet.
const FLEET_CALLS_PER_SECOND: f64 = 160_000.0;

/// Mean number of calls from other gateways that a worker runs at a time.
const MEAN_IN_FLIGHT_OF_OTHERS: f64 = 1.0;

/// Number of calls at which a worker is fully utilized.
const IN_FLIGHT_AT_FULL_UTILIZATION: f64 = 8.0;

/// Range of the load time of a function.
const LOAD_SECONDS: Range<f64> = 0.2..0.6;

/// Round-trip time to a worker, in seconds.
pub fn round_trip(worker: usize) -> f64 {
    ROUND_TRIP_SECONDS[worker % ROUND_TRIP_SECONDS.len()]
}

/// The state of the workers as seen by one gateway.
pub struct SimulatedWorkers {
    zipf_exponent: f64,
    idle_timeout: f64,
    /// Sum of the weights of all functions, by which they are normalized.
    total_weight: f64,
    /// Time in seconds until which a function is loaded on a worker, by function and worker.
    loaded_until: HashMap<(usize, usize), f64>,
    /// Time in seconds until which a function is loaded on at least one worker, by function.
    loaded_anywhere_until: HashMap<usize, f64>,
    /// Number of the gateway's own calls in flight, by worker.
    in_flight: Vec<f64>,
}

impl SimulatedWorkers {
    pub fn new(load: &FleetLoad) -> Self {
        Self {
            zipf_exponent: load.zipf_exponent,
            idle_timeout: load.idle_timeout,
            total_weight: (1..=load.functions).map(|rank| (rank as f64).powf(-load.zipf_exponent)).sum(),
            loaded_until: HashMap::new(),
            loaded_anywhere_until: HashMap::new(),
            in_flight: vec![0.0; load.workers],
        }
    }

    pub fn begin_call(&mut self, worker: usize) {
        self.in_flight[worker] += 1.0;
    }

    pub fn end_call(&mut self, worker: usize) {
        self.in_flight[worker] -= 1.0;
    }

    /// The load report of a worker, which includes calls from other gateways.
    pub fn report(&self, worker: usize, rng: &mut ChaCha8Rng) -> LoadReport {
        let others =
            Exp::new(1.0 / MEAN_IN_FLIGHT_OF_OTHERS).expect("the mean is positive").sample(rng).round();
        let in_flight = self.in_flight[worker] + others;
        LoadReport {
            in_flight: Some(in_flight),
            utilization: Some((in_flight / IN_FLIGHT_AT_FULL_UTILIZATION).min(1.0)),
            ..LoadReport::default()
        }
    }

    /// Uses a function on a worker, which loads it if necessary. Returns whether it was already loaded, by this
    /// gateway or by others that share the worker.
    pub fn use_function(&mut self, now: f64, function: usize, worker: usize, rng: &mut ChaCha8Rng) -> bool {
        let weight = (function as f64).powf(-self.zipf_exponent);
        let calls_per_second = FLEET_CALLS_PER_SECOND * weight / self.total_weight;
        let by_this_gateway = self.loaded_until.get(&(function, worker)).is_some_and(|until| now < *until);
        let used_by_others = 1.0 - (-calls_per_second * self.idle_timeout).exp();
        let by_others = !by_this_gateway && rng.random::<f64>() < used_by_others;
        let until = now + self.idle_timeout;
        self.loaded_until.insert((function, worker), until);
        self.loaded_anywhere_until.insert(function, until);
        by_this_gateway || by_others
    }

    /// Load time in seconds; 0 if the function is already loaded.
    pub fn load_time(is_loaded: bool, rng: &mut ChaCha8Rng) -> f64 {
        if is_loaded { 0.0 } else { rng.random_range(LOAD_SECONDS) }
    }

    /// Whether the gateway knows of no worker on which the function is loaded.
    pub fn is_loaded_nowhere(&self, now: f64, function: usize) -> bool {
        self.loaded_anywhere_until.get(&function).is_none_or(|until| now >= *until)
    }

    /// Number of instances that the gateway has used and that are still loaded.
    pub fn loaded_instances(&self, now: f64) -> usize {
        self.loaded_until.values().filter(|until| now < **until).count()
    }
}
