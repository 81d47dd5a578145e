//! The dispatcher against the number of workers: CPU per call, memory, health checks, load requests and cold starts.

use crate::dispatcher_simulation::{DispatcherMetrics, simulate};
use crate::fleet_load::{FleetLoad, TARGET_LOAD};
use crate::measure::{Options, RunDescription, cpu_seconds, measurement};
use milletpath_capacity_model::run::Measurement;

/// Measured numbers of workers. They start small, as the CPU per call exceeds its limit with few workers already.
const WORKER_COUNTS: [usize; 7] = [30, 100, 300, 1_000, 3_000, 9_100, 30_000];

/// Numbers of workers with which cold starts are measured.
const COLD_START_WORKER_COUNTS: [usize; 4] = [300, 1_000, 3_000, 9_100];

/// Exponent of a flatter distribution of calls, with which more functions are known at a time.
pub const FLAT_EXPONENT: f64 = 1.1;

/// CPU per call against the number of workers; other descriptions reuse its texts.
pub const CALL_CPU: RunDescription = RunDescription {
    name: "call-workers",
    mechanism: "decision on a call: passes over the function's whole walk and its set (`Router::place`)",
    quantity: "CPU a call, all its events together",
    unit: "us",
    axis: "workers",
    method: "thread clock around the desk; five windows of 5 simulated seconds, from 20 s past the time that an \
             instance is kept on; popularity by Zipf",
    fixed: &[("gateways", 1_100.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.6)],
    group: "desk",
};

/// Memory of the dispatcher against the number of workers; other descriptions reuse its texts.
pub const DISPATCHER_MEMORY: RunDescription = RunDescription {
    name: "memory-workers",
    mechanism: "each function known keeps its walk over all workers (`Function::walk`)",
    quantity: "memory of the desk, steady",
    unit: "MB",
    method: "bytes by a counting allocator around the desk, once it is steady; five looks 5 simulated seconds \
             apart",
    ..CALL_CPU
};

/// Fixed parameters of the runs with the flatter distribution.
const FIXED_PARAMETERS_FLAT: &[(&str, f64)] =
    &[("gateways", 1_100.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.1)];

/// The result of a simulation at one position on an axis.
pub struct SizedMetrics {
    pub size: f64,
    pub metrics: DispatcherMetrics,
}

/// Simulates each size.
pub fn simulate_sizes(
    options: &Options,
    loads: impl IntoIterator<Item = (f64, FleetLoad)>,
) -> Vec<SizedMetrics> {
    let simulate_size = |(size, load)| {
        let start = cpu_seconds();
        let metrics = simulate(load, options.seed);
        eprintln!(
            "{size}: {:.3} succeeded, {} cold starts, {:.0} s of CPU",
            metrics.success_ratio,
            metrics.cold_start_millis.len(),
            cpu_seconds() - start
        );
        SizedMetrics { size, metrics }
    };
    loads.into_iter().map(simulate_size).collect()
}

/// The measurements of one quantity in all simulations.
pub fn measurements(
    results: &[SizedMetrics],
    values: impl Fn(&DispatcherMetrics) -> Vec<f64>,
) -> Vec<Measurement> {
    results.iter().map(|sized| measurement(sized.size, values(&sized.metrics))).collect()
}

/// The quantile of a set of values; 0 if it is empty. A fraction of 0.5 gives the median.
pub fn quantile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (fraction * sorted.len().saturating_sub(1) as f64).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

fn loads_by_workers<const N: usize>(workers: [usize; N], load: FleetLoad) -> [(f64, FleetLoad); N] {
    workers.map(|workers| (workers as f64, FleetLoad { workers, ..load }))
}

pub fn measure_workers(options: &Options) {
    let results = simulate_sizes(options, loads_by_workers(WORKER_COUNTS, TARGET_LOAD));
    CALL_CPU.write(options, measurements(&results, |metrics| metrics.cpu_micros.clone()));
    RunDescription {
        name: "probes-workers",
        mechanism: "probe before a shot where nothing was heard for 1 s (`Router::place`)",
        quantity: "probes a call",
        unit: "probes",
        method: "counted",
        ..CALL_CPU
    }
    .write(options, measurements(&results, |metrics| metrics.health_checks.clone()));
    RunDescription {
        name: "orders-workers",
        mechanism: "orders to load (`Router::order`)",
        quantity: "orders a call",
        unit: "orders",
        method: "counted",
        ..CALL_CPU
    }
    .write(options, measurements(&results, |metrics| metrics.load_requests.clone()));
    DISPATCHER_MEMORY.write(options, measurements(&results, |metrics| metrics.megabytes.clone()));
}

/// Measures CPU per call, memory and known functions with the flatter distribution.
pub fn measure_workers_flat(options: &Options) {
    let flat = FleetLoad { zipf_exponent: FLAT_EXPONENT, ..TARGET_LOAD };
    let results = simulate_sizes(options, loads_by_workers(WORKER_COUNTS, flat));
    let (fixed, group) = (FIXED_PARAMETERS_FLAT, "desk-flat");
    let call = RunDescription { name: "call-workers-flat", fixed, group, ..CALL_CPU };
    call.write(options, measurements(&results, |metrics| metrics.cpu_micros.clone()));
    let memory = RunDescription { name: "memory-workers-flat", fixed, group, ..DISPATCHER_MEMORY };
    memory.write(options, measurements(&results, |metrics| metrics.megabytes.clone()));
    RunDescription {
        name: "functions-known-flat",
        quantity: "functions known at a time",
        unit: "functions",
        method: "counted",
        ..memory
    }
    .write(options, measurements(&results, |metrics| metrics.functions.clone()));
}

/// Measures the gateway's part of a cold start. The flatter distribution yields hundreds of cold starts.
pub fn measure_cold_starts(options: &Options) {
    let flat = FleetLoad { zipf_exponent: FLAT_EXPONENT, ..TARGET_LOAD };
    let results = simulate_sizes(options, loads_by_workers(COLD_START_WORKER_COUNTS, flat));
    let p99 = RunDescription {
        name: "cold-start-p99",
        mechanism: "probe before the first shot, for up to 0.03 of the due time (`Router::place`)",
        quantity: "cold start, the gateway's own part, p99: from arrival to the first shot",
        unit: "ms",
        method: "simulated time, of some 750 calls whose function stands nowhere that the gateway knows \
                 of; workers 1, 30, 80 and 150 ms away, a quarter each; once",
        fixed: FIXED_PARAMETERS_FLAT,
        group: "desk-cold",
        ..CALL_CPU
    };
    p99.write(options, measurements(&results, |metrics| vec![quantile(&metrics.cold_start_millis, 0.99)]));
    RunDescription {
        name: "cold-start-p50",
        quantity: "cold start, the gateway's own part, p50: from arrival to the first shot",
        ..p99
    }
    .write(options, measurements(&results, |metrics| vec![quantile(&metrics.cold_start_millis, 0.5)]));
}
