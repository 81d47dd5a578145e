//! The dispatcher along its other axes: functions, calls a second, gateways, instances, updates of the endpoint list. There
//! are fewer workers than at the target size, so that it ends in minutes; each run states how many.

use crate::dispatcher::{CALL, FLAT_EXPONENT, MEMORY, SizedReport, measurements, quantile, simulate_sizes};
use crate::dispatcher_simulation::{Report, simulate};
use crate::fleet_load::{FleetLoad, TARGET};
use crate::measure::{Options, Slope, measurement};
use milletpath_capacity_model::run::Measurement;

/// One of 1,100 gateways, among fewer workers.
const FEWER_WORKERS: FleetLoad = FleetLoad { workers: 1_000, ..TARGET };

/// Fixed parameters along the last two axes.
const FIXED: &[(&str, f64)] = &[
    ("gateways", 1_100.0),
    ("workers", 1_000.0),
    ("functions", 33_000.0),
    ("calls a second", 145.0),
    ("zipf", 1.6),
];

/// Many functions, so that the number of those known varies.
const MANY_FUNCTIONS: FleetLoad = FleetLoad { workers: 3_000, zipf_exponent: FLAT_EXPONENT, ..TARGET };

pub fn functions(options: &Options) {
    let loads = [330usize, 1_000, 3_300, 10_000, 33_000]
        .map(|functions| (functions as f64, FleetLoad { functions, ..MANY_FUNCTIONS }));
    let reports = simulate_sizes(options, loads);
    let fixed = &[("gateways", 1_100.0), ("workers", 3_000.0), ("calls a second", 145.0), ("zipf", 1.1)];
    let (axis, group) = ("functions", "desk-functions");
    let call = Slope { name: "call-functions", axis, fixed, group, ..CALL };
    call.write(options, measurements(&reports, |report| report.cpu_micros.clone()));
    let memory = Slope { name: "memory-functions", axis, fixed, group, ..MEMORY };
    memory.write(options, measurements(&reports, |report| report.megabytes.clone()));
    known_functions(options, &reports, memory);
}

/// Memory against the number of known functions and that of workers.
fn known_functions(options: &Options, by_functions: &[SizedReport], memory: Slope) {
    let mut known: Vec<Measurement> =
        by_functions.iter().map(|sized| memory_of_known(&sized.report, MANY_FUNCTIONS.workers)).collect();
    for workers in [300, 1_000, 9_100] {
        let load = FleetLoad { workers, functions: 3_300, ..MANY_FUNCTIONS };
        known.push(memory_of_known(&simulate(load, options.seed), workers));
    }
    let fixed = &[("gateways", 1_100.0), ("calls a second", 145.0), ("zipf", 1.1)];
    Slope { name: "memory-known", axis: "functions known", fixed, ..memory }
        .write_two_axes(options, "workers", known);
}

fn memory_of_known(report: &Report, workers: usize) -> Measurement {
    let known = quantile(&report.functions, 0.5);
    Measurement { second_size: Some(workers as f64), ..measurement(known, report.megabytes.clone()) }
}

pub fn calls(options: &Options) {
    let loads = [15.0, 45.0, 145.0, 450.0, 1_450.0]
        .map(|calls_per_second| (calls_per_second, FleetLoad { calls_per_second, ..FEWER_WORKERS }));
    let slope = Slope {
        name: "call-calls",
        axis: "calls a second at the gateway",
        fixed: &[("gateways", 1_100.0), ("workers", 1_000.0), ("functions", 33_000.0), ("zipf", 1.6)],
        group: "desk-calls",
        ..CALL
    };
    write_call_cost(options, loads, slope);
}

pub fn gateways(options: &Options) {
    let loads = [1usize, 10, 100, 400, 1_100]
        .map(|gateways| (gateways as f64, FleetLoad { gateways, ..FEWER_WORKERS }));
    let slope = Slope {
        name: "call-gateways",
        axis: "gateways",
        fixed: &[("workers", 1_000.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.6)],
        group: "desk-gateways",
        ..CALL
    };
    write_call_cost(options, loads, slope);
}

/// By the idle timeout the number of loaded instances varies.
pub fn instances(options: &Options) {
    let loads = [10.0, 20.0, 40.0, 80.0, 160.0]
        .map(|idle_timeout| (idle_timeout, FleetLoad { idle_timeout, ..FEWER_WORKERS }));
    let by_instances =
        |sized: &SizedReport| measurement(sized.report.loaded_instances, sized.report.cpu_micros.clone());
    let reports = simulate_sizes(options, loads);
    Slope {
        name: "call-instances",
        mechanism: "instances believed to stand are looked through one by one (`Function::standing`)",
        axis: "instances that the gateway believes to stand",
        fixed: FIXED,
        group: "desk-instances",
        ..CALL
    }
    .write(options, reports.iter().map(by_instances).collect());
}

pub fn list_updates(options: &Options) {
    let loads = [0.1, 0.3, 1.0, 3.0, 10.0].map(|list_updates_per_second| {
        (list_updates_per_second, FleetLoad { list_updates_per_second, ..FEWER_WORKERS })
    });
    let slope = Slope {
        name: "call-changes",
        mechanism: "after a change of the list every function's walk is made anew (`Router::walk`)",
        quantity: "CPU a call, all its events and the changes themselves together",
        axis: "changes of the list a second",
        fixed: FIXED,
        group: "desk-changes",
        ..CALL
    };
    write_call_cost(options, loads, slope);
}

fn write_call_cost<const N: usize>(options: &Options, loads: [(f64, FleetLoad); N], slope: Slope) {
    let reports = simulate_sizes(options, loads);
    slope.write(options, measurements(&reports, |report| report.cpu_micros.clone()));
}
