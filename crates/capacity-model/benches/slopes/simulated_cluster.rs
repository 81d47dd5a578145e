//! Measures what control costs the workers, and the fetches from the store, in the cluster simulator. The fleet is
//! scaled down as a whole, so that each gateway has the same number of calls and workers as at the target size.

use crate::measure::{Options, RunDescription, measurement};
use milletpath_capacity_model::run::Measurement;
use milletpath_emulator::scenario_file::{self, Scenario};
use milletpath_history_checker::HistoryEvent;
use milletpath_simulator::{SimulationReport, play};
use std::collections::BTreeSet;
use std::path::Path;

const SEED_COUNT: u64 = 3;

/// Calls per second, workers and functions per gateway, as at the target size.
const CALLS_PER_GATEWAY: f64 = 145.0;
const WORKERS_PER_GATEWAY: usize = 8;
const FUNCTIONS_PER_GATEWAY: usize = 30;

const SIMULATED_SECONDS: f64 = 30.0;
const ZIPF_EXPONENT: f64 = 1.1;

/// Number of gateways in the scenario file, whose store is scaled up with the fleet.
const SCENARIO_GATEWAYS: f64 = 2.0;

/// Measured numbers of gateways, with a number of calls that grows with them.
const GATEWAY_COUNTS: [usize; 5] = [2, 5, 10, 20, 40];

/// Measured calls per second in a fleet of [`CONSTANT_FLEET_GATEWAYS`].
const FLEET_CALL_RATES: [f64; 5] = [145.0, 290.0, 580.0, 1_160.0, 1_740.0];
const CONSTANT_FLEET_GATEWAYS: usize = 10;

/// The scenario of a fleet with the given number of gateways and calls per second.
fn scenario(gateways: usize, calls_per_second: f64) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/town.hcl");
    let mut scenario = scenario_file::open(&file).unwrap_or_else(|errors| panic!("{errors:?}"));
    scenario.seconds = SIMULATED_SECONDS;
    scenario.gateways = gateways;
    scenario.workers = WORKERS_PER_GATEWAY * gateways;
    scenario.functions = FUNCTIONS_PER_GATEWAY * gateways;
    scenario.zipf = ZIPF_EXPONENT;
    scenario.traffic.rate = calls_per_second;
    scale_store(&mut scenario, gateways as f64 / SCENARIO_GATEWAYS);
    scenario.groups.iter_mut().for_each(|group| group.quota = None);
    scenario.rules.load_rate_limit = None;
    scenario
}

/// Multiplies the capacity of the store by a factor, to match a larger fleet.
fn scale_store(scenario: &mut Scenario, factor: f64) {
    let store = &mut scenario.store_spec;
    store.unslowed_fetches *= factor;
    store.max_fetches = (store.max_fetches as f64 * factor) as usize;
    store.overload_rate = store.overload_rate.map(|rate| rate * factor);
}

/// Results of one simulation.
struct ClusterMetrics {
    health_checks_per_call: f64,
    load_requests_per_call: f64,
    connections_per_worker: f64,
    fetches_per_second: f64,
}

impl ClusterMetrics {
    fn new(scenario: &Scenario, report: &SimulationReport) -> Self {
        let calls = report.counts.calls.max(1) as f64;
        Self {
            health_checks_per_call: report.counters.health_checks as f64 / calls,
            load_requests_per_call: report.counters.load_requests as f64 / calls,
            connections_per_worker: connections_per_worker(report, scenario.workers),
            fetches_per_second: report.fetches as f64 / scenario.seconds,
        }
    }
}

/// The mean number of gateways that sent a call or load request to a worker. The simulation takes as long as an idle
/// connection is kept, so each of them has a connection.
fn connections_per_worker(report: &SimulationReport, workers: usize) -> f64 {
    let events = report.records.iter().map(|record| &record.event);
    let connections: BTreeSet<(usize, usize)> = events
        .filter_map(|event| match event {
            HistoryEvent::AttemptReceived { gateway, worker, .. }
            | HistoryEvent::LoadRequested { gateway, worker } => Some((*gateway, *worker)),
            _ => None,
        })
        .collect();
    connections.len() as f64 / workers as f64
}

/// Simulates one size with several seeds.
fn simulate(options: &Options, gateways: usize, calls_per_second: f64) -> Vec<ClusterMetrics> {
    let simulate_seed = |n| {
        let scenario = scenario(gateways, calls_per_second);
        let report = play(&scenario, options.seed + n);
        eprintln!("{gateways} gateways, {calls_per_second} calls/s: service {:.3}", report.counts.service());
        ClusterMetrics::new(&scenario, &report)
    };
    (0..SEED_COUNT).map(simulate_seed).collect()
}

fn measured(size: f64, results: &[ClusterMetrics], value: fn(&ClusterMetrics) -> f64) -> Measurement {
    measurement(size, results.iter().map(value).collect())
}

pub fn measure(options: &Options) {
    growing_fleet(options);
    constant_fleet(options);
}

const HEALTH_CHECKS: RunDescription = RunDescription {
    name: "worker-probes",
    mechanism: "probe before a shot where nothing was heard for 1 s (`Router::place`)",
    quantity: "probes a call",
    unit: "probes",
    axis: "gateways",
    method: "laboratory, 30 simulated seconds from an empty fleet, three seeds",
    fixed: &[
        ("calls a second for a gateway", CALLS_PER_GATEWAY),
        ("workers for a gateway", 8.0),
        ("functions for a gateway", 30.0),
        ("zipf", ZIPF_EXPONENT),
    ],
    group: "town",
};

const FETCHES: RunDescription = RunDescription {
    name: "store-loads",
    mechanism: "loads that shots and orders begin (`Router::order`, `Router::shoot`)",
    quantity: "fetches from the store a second",
    unit: "fetches",
    axis: "calls a second",
    fixed: &[("gateways", 10.0), ("workers", 80.0), ("functions", 300.0), ("zipf", ZIPF_EXPONENT)],
    ..HEALTH_CHECKS
};

/// Measures fleets whose calls, workers and functions grow with the number of gateways.
fn growing_fleet(options: &Options) {
    let (mut health_checks, mut load_requests) = (Vec::new(), Vec::new());
    let (mut connections, mut fetches) = (Vec::new(), Vec::new());
    for gateways in GATEWAY_COUNTS {
        let size = gateways as f64;
        let calls = CALLS_PER_GATEWAY * size;
        let results = simulate(options, gateways, calls);
        health_checks.push(measured(size, &results, |metrics| metrics.health_checks_per_call));
        load_requests.push(measured(size, &results, |metrics| metrics.load_requests_per_call));
        connections.push(measured(size, &results, |metrics| metrics.connections_per_worker));
        fetches.push(measured(calls, &results, |metrics| metrics.fetches_per_second));
    }
    HEALTH_CHECKS.write(options, health_checks);
    RunDescription {
        name: "worker-orders",
        mechanism: "orders to load (`Router::order`)",
        quantity: "orders a call",
        unit: "orders",
        ..HEALTH_CHECKS
    }
    .write(options, load_requests);
    RunDescription {
        name: "worker-connections",
        mechanism: "a connection of each gateway that sent something in the last 30 s (`gateway::pool`)",
        quantity: "connections at a worker",
        unit: "connections",
        ..HEALTH_CHECKS
    }
    .write(options, connections);
    RunDescription { name: "store-loads-fleet", fixed: HEALTH_CHECKS.fixed, ..FETCHES }
        .write(options, fetches);
}

/// Measures an increasing call rate in a fleet of constant size.
fn constant_fleet(options: &Options) {
    let measure_calls = |calls| {
        let results = simulate(options, CONSTANT_FLEET_GATEWAYS, calls);
        measured(calls, &results, |metrics| metrics.fetches_per_second)
    };
    FETCHES.write(options, FLEET_CALL_RATES.map(measure_calls).to_vec());
}
