//! The dispatcher against functions, calls per second, gateways, instances and updates of the endpoint list. There are
//! fewer workers than at the target size, so that the simulations end within minutes; each run states their number.

use crate::dispatcher::{
    CALL_CPU, DISPATCHER_MEMORY, FLAT_EXPONENT, SizedMetrics, measurements, quantile, simulate_sizes,
};
use crate::dispatcher_simulation::{DispatcherMetrics, simulate};
use crate::fleet_load::{FleetLoad, TARGET_LOAD};
use crate::measure::{Options, RunDescription, measurement};
use milletpath_capacity_model::run::Measurement;

/// The load of one of 1,100 gateways, with fewer workers than at the target size.
const FEWER_WORKERS: FleetLoad = FleetLoad { workers: 1_000, ..TARGET_LOAD };

/// Fixed parameters of the runs against instances and list updates.
const FIXED_PARAMETERS: &[(&str, f64)] = &[
    ("gateways", 1_100.0),
    ("workers", 1_000.0),
    ("functions", 33_000.0),
    ("calls a second", 145.0),
    ("zipf", 1.6),
];

/// A flatter distribution of calls, so that the number of known functions varies with that of all functions.
const MANY_FUNCTIONS: FleetLoad = FleetLoad { workers: 3_000, zipf_exponent: FLAT_EXPONENT, ..TARGET_LOAD };

pub fn measure_functions(options: &Options) {
    let loads = [330usize, 1_000, 3_300, 10_000, 33_000]
        .map(|functions| (functions as f64, FleetLoad { functions, ..MANY_FUNCTIONS }));
    let results = simulate_sizes(options, loads);
    let fixed = &[("gateways", 1_100.0), ("workers", 3_000.0), ("calls a second", 145.0), ("zipf", 1.1)];
    let (axis, group) = ("functions", "desk-functions");
    let call = RunDescription { name: "call-functions", axis, fixed, group, ..CALL_CPU };
    call.write(options, measurements(&results, |metrics| metrics.cpu_micros.clone()));
    let memory = RunDescription { name: "memory-functions", axis, fixed, group, ..DISPATCHER_MEMORY };
    memory.write(options, measurements(&results, |metrics| metrics.megabytes.clone()));
    known_functions(options, &results, memory);
}

/// Measures memory against the numbers of known functions and workers.
fn known_functions(options: &Options, by_functions: &[SizedMetrics], memory: RunDescription) {
    let mut known: Vec<Measurement> =
        by_functions.iter().map(|sized| memory_of_known(&sized.metrics, MANY_FUNCTIONS.workers)).collect();
    for workers in [300, 1_000, 9_100] {
        let load = FleetLoad { workers, functions: 3_300, ..MANY_FUNCTIONS };
        known.push(memory_of_known(&simulate(load, options.seed), workers));
    }
    let fixed = &[("gateways", 1_100.0), ("calls a second", 145.0), ("zipf", 1.1)];
    RunDescription { name: "memory-known", axis: "functions known", fixed, ..memory }
        .write_with_second_axis(options, "workers", known);
}

fn memory_of_known(metrics: &DispatcherMetrics, workers: usize) -> Measurement {
    let known = quantile(&metrics.functions, 0.5);
    Measurement { second_size: Some(workers as f64), ..measurement(known, metrics.megabytes.clone()) }
}

pub fn measure_calls(options: &Options) {
    let loads = [15.0, 45.0, 145.0, 450.0, 1_450.0]
        .map(|calls_per_second| (calls_per_second, FleetLoad { calls_per_second, ..FEWER_WORKERS }));
    let description = RunDescription {
        name: "call-calls",
        axis: "calls a second at the gateway",
        fixed: &[("gateways", 1_100.0), ("workers", 1_000.0), ("functions", 33_000.0), ("zipf", 1.6)],
        group: "desk-calls",
        ..CALL_CPU
    };
    write_call_cost(options, loads, description);
}

pub fn measure_gateways(options: &Options) {
    let loads = [1usize, 10, 100, 400, 1_100]
        .map(|gateways| (gateways as f64, FleetLoad { gateways, ..FEWER_WORKERS }));
    let description = RunDescription {
        name: "call-gateways",
        axis: "gateways",
        fixed: &[("workers", 1_000.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.6)],
        group: "desk-gateways",
        ..CALL_CPU
    };
    write_call_cost(options, loads, description);
}

/// Measures CPU per call against the number of loaded instances, which is varied through the idle timeout.
pub fn measure_instances(options: &Options) {
    let loads = [10.0, 20.0, 40.0, 80.0, 160.0]
        .map(|idle_timeout| (idle_timeout, FleetLoad { idle_timeout, ..FEWER_WORKERS }));
    let by_instances =
        |sized: &SizedMetrics| measurement(sized.metrics.loaded_instances, sized.metrics.cpu_micros.clone());
    let results = simulate_sizes(options, loads);
    RunDescription {
        name: "call-instances",
        mechanism: "instances believed to stand are looked through one by one (`Function::standing`)",
        axis: "instances that the gateway believes to stand",
        fixed: FIXED_PARAMETERS,
        group: "desk-instances",
        ..CALL_CPU
    }
    .write(options, results.iter().map(by_instances).collect());
}

pub fn measure_list_updates(options: &Options) {
    let loads = [0.1, 0.3, 1.0, 3.0, 10.0].map(|list_updates_per_second| {
        (list_updates_per_second, FleetLoad { list_updates_per_second, ..FEWER_WORKERS })
    });
    let description = RunDescription {
        name: "call-changes",
        mechanism: "after a change of the list every function's walk is made anew (`Router::walk`)",
        quantity: "CPU a call, all its events and the changes themselves together",
        axis: "changes of the list a second",
        fixed: FIXED_PARAMETERS,
        group: "desk-changes",
        ..CALL_CPU
    };
    write_call_cost(options, loads, description);
}

fn write_call_cost<const N: usize>(
    options: &Options,
    loads: [(f64, FleetLoad); N],
    description: RunDescription,
) {
    let results = simulate_sizes(options, loads);
    description.write(options, measurements(&results, |metrics| metrics.cpu_micros.clone()));
}
