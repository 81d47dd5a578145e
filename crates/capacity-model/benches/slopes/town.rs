//! The workers' side of control and the store, in the laboratory: a fleet scaled down as a whole, so that a
//! gateway has as many calls and as many workers to choose among as at the full size in proportion to it.

use crate::measure::{Asked, Slope, size};
use milletpath_emulator::scenario_file::{self, Scenario};
use milletpath_history_checker::HistoryEvent;
use milletpath_simulator::{SimulationReport, play};
use std::collections::BTreeSet;
use std::path::Path;

/// A fleet of so many gateways: 145 calls a second, 8 workers and 30 functions to each, as at the full
/// size.
fn fleet(gateways: usize, calls: f64) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/town.hcl");
    let mut scenario = scenario_file::open(&file).unwrap_or_else(|m| panic!("{m:?}"));
    scenario.seconds = 30.0;
    scenario.gateways = gateways;
    scenario.workers = 8 * gateways;
    scenario.functions = 30 * gateways;
    scenario.zipf = 1.1;
    scenario.traffic.rate = calls;
    // The store and the ration of a fleet so much larger.
    let part = gateways as f64 / 2.0;
    scenario.store_spec.unslowed_fetches *= part;
    scenario.store_spec.max_fetches = (scenario.store_spec.max_fetches as f64 * part) as usize;
    scenario.store_spec.overload_rate = scenario.store_spec.overload_rate.map(|tips| tips * part);
    scenario.groups.iter_mut().for_each(|g| g.quota = None);
    scenario.rules.load_rate_limit = None;
    scenario
}

/// Gateways that sent one worker something in the 30 s for which an idle connection is kept, on average.
fn connections(came: &SimulationReport, workers: usize) -> f64 {
    let pairs: BTreeSet<(usize, usize)> = came
        .records
        .iter()
        .filter_map(|r| match r.event {
            HistoryEvent::AttemptReceived { gateway, worker, .. }
            | HistoryEvent::LoadRequested { gateway, worker } => Some((gateway, worker)),
            _ => None,
        })
        .collect();
    pairs.len() as f64 / workers as f64
}

pub fn measure(asked: &Asked) {
    const SEEDS: u64 = 3;
    const RATE: f64 = 145.0;
    let of = |gateways: usize, calls: f64| -> Vec<(f64, f64, f64, f64)> {
        (0..SEEDS)
            .map(|n| {
                let scenario = fleet(gateways, calls);
                let came = play(&scenario, asked.seed + n);
                let all = came.counts.calls.max(1) as f64;
                eprintln!("{gateways} gateways, {calls} calls/s: service {:.3}", came.counts.service());
                let (probes, orders) =
                    (came.counters.health_checks as f64 / all, came.counters.load_requests as f64 / all);
                (probes, orders, connections(&came, scenario.workers), came.fetches as f64 / scenario.seconds)
            })
            .collect()
    };
    let (mut probes, mut orders, mut open) = (Vec::new(), Vec::new(), Vec::new());
    let mut fetches = Vec::new();
    for gateways in [2usize, 5, 10, 20, 40] {
        let came = of(gateways, RATE * gateways as f64);
        let at = gateways as f64;
        probes.push(size(at, came.iter().map(|c| c.0).collect()));
        orders.push(size(at, came.iter().map(|c| c.1).collect()));
        open.push(size(at, came.iter().map(|c| c.2).collect()));
        fetches.push(size(RATE * at, came.iter().map(|c| c.3).collect()));
    }
    let slope = Slope {
        name: "worker-probes",
        mechanism: "probe before a shot where nothing was heard for 1 s (`Router::place`)",
        figure: "probes a call",
        unit: "probes",
        axis: "gateways",
        method: "laboratory, 30 simulated seconds from an empty fleet, three seeds",
        fixed: &[
            ("calls a second for a gateway", RATE),
            ("workers for a gateway", 8.0),
            ("functions for a gateway", 30.0),
            ("zipf", 1.1),
        ],
        group: "town",
    };
    slope.write(asked, None, probes);
    Slope {
        name: "worker-orders",
        mechanism: "orders to load (`Router::order`)",
        figure: "orders a call",
        unit: "orders",
        ..slope
    }
    .write(asked, None, orders);
    Slope {
        name: "worker-connections",
        mechanism: "a connection of each gateway that sent something in the last 30 s (`gateway::pool`)",
        figure: "connections at a worker",
        unit: "connections",
        ..slope
    }
    .write(asked, None, open);
    let loads = [145.0, 290.0, 580.0, 1_160.0, 1_740.0]
        .map(|calls| size(calls, of(10, calls).iter().map(|c| c.3).collect()));
    let store = Slope {
        name: "store-loads",
        mechanism: "loads that shots and orders begin (`Router::order`, `Router::shoot`)",
        figure: "fetches from the store a second",
        unit: "fetches",
        axis: "calls a second",
        fixed: &[("gateways", 10.0), ("workers", 80.0), ("functions", 300.0), ("zipf", 1.1)],
        ..slope
    };
    store.write(asked, None, loads.to_vec());
    // The fleet grows with its calls.
    Slope { name: "store-loads-fleet", fixed: slope.fixed, ..store }.write(asked, None, fetches);
}
