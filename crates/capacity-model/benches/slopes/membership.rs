//! Membership of a whole fleet in simulated time: in the first seconds after all gateways started, and settled.

use crate::measure::{
    BYTES_PER_KILOBYTE, MILLISECONDS_PER_SECOND, Options, RunDescription, cpu_seconds, measurement,
};
use crate::membership_proof::{MEMBERSHIP_CONFIG, proof_times};
use milletpath_capacity_model::run::Measurement;
use milletpath_test_support::simulated_network::SimulatedNetwork;

const GATEWAY_COUNTS: [usize; 7] = [24, 50, 100, 150, 200, 300, 400];

/// There is one seed, which starting gateways contact, per this number of gateways.
const GATEWAYS_PER_SEED: usize = 8;

/// CPU time that all sizes together may take. A size that is expected to exceed it is skipped, with a message.
const CPU_SECONDS_BUDGET: f64 = 420.0;

/// Once this fraction of the budget is spent, only the start of a fleet is simulated, which costs most.
const SETTLED_BUDGET_FRACTION: f64 = 0.8;

/// Largest ratio of the costs of successive sizes; the cost grows with the cube of the number of gateways.
const MAX_COST_GROWTH: f64 = 4.0;

/// Simulated time after which a fleet counts as settled, and the duration of a measured window.
const SETTLED_AFTER_SECONDS: f64 = 50.0;
const WINDOW_SECONDS: f64 = 5.0;
const STARTING_WINDOW_COUNT: usize = 2;
const SETTLED_WINDOW_COUNT: usize = 3;

/// Number of gateways whose quorum proof is measured.
const MEASURED_GATEWAYS: usize = 5;

/// Mean cost of a gateway in one window, per second.
struct Window {
    cpu_millis: f64,
    kilobytes: f64,
    datagrams: f64,
}

/// Traffic sent by all gateways since the start of the simulation.
struct Traffic {
    bytes: u64,
    datagrams: u64,
}

fn traffic(network: &SimulatedNetwork) -> Traffic {
    Traffic {
        bytes: network.nodes.iter().map(|node| node.bytes_sent).sum(),
        datagrams: network.nodes.iter().map(|node| node.datagrams_sent).sum(),
    }
}

fn run_window(network: &mut SimulatedNetwork) -> Window {
    let (before, start) = (traffic(network), cpu_seconds());
    network.run_until(network.now + WINDOW_SECONDS);
    let (cpu_seconds, after) = (cpu_seconds() - start, traffic(network));
    let gateway_seconds = WINDOW_SECONDS * network.nodes.len() as f64;
    Window {
        cpu_millis: cpu_seconds * MILLISECONDS_PER_SECOND / gateway_seconds,
        kilobytes: (after.bytes - before.bytes) as f64 / gateway_seconds / BYTES_PER_KILOBYTE,
        datagrams: (after.datagrams - before.datagrams) as f64 / gateway_seconds,
    }
}

fn run_windows(network: &mut SimulatedNetwork, count: usize) -> Vec<Window> {
    (0..count).map(|_| run_window(network)).collect()
}

/// The 99th percentile of the ages of all assertions, in seconds.
fn assertion_age(network: &SimulatedNetwork) -> f64 {
    let mut ages = Vec::new();
    for (index, node) in network.nodes.iter().enumerate() {
        let Some(membership) = &node.membership else { continue };
        let others = (0..network.nodes.len()).filter(|other| *other != index);
        ages.extend(others.filter_map(|other| membership.assertion_age(network.instance_id(other))));
    }
    ages.sort_by(f64::total_cmp);
    ages.get(ages.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// The fraction of gateways that have a quorum.
fn quorum_fraction(network: &SimulatedNetwork) -> f64 {
    let has_quorum = |quota: &milletpath_membership::QuotaFraction| quota.fraction > quota.floor_fraction;
    let with_quorum = network.nodes.iter().filter(|node| node.quota.as_ref().is_some_and(has_quorum));
    with_quorum.count() as f64 / network.nodes.len() as f64
}

/// Measurements of each run, by size. Those of the settled fleet may lack the largest sizes.
#[derive(Default)]
struct Measurements {
    starting_cpu: Vec<Measurement>,
    starting_bytes: Vec<Measurement>,
    settled_cpu: Vec<Measurement>,
    settled_bytes: Vec<Measurement>,
    settled_datagrams: Vec<Measurement>,
    ages: Vec<Measurement>,
    proofs: Vec<Measurement>,
}

fn measured(size: f64, windows: &[Window], value: fn(&Window) -> f64) -> Measurement {
    measurement(size, windows.iter().map(value).collect())
}

impl Measurements {
    /// Measures the first seconds of a fleet and returns the fraction of gateways that have a quorum afterwards.
    fn add_starting(&mut self, network: &mut SimulatedNetwork) -> f64 {
        let size = network.nodes.len() as f64;
        let windows = run_windows(network, STARTING_WINDOW_COUNT);
        self.starting_cpu.push(measured(size, &windows, |window| window.cpu_millis));
        self.starting_bytes.push(measured(size, &windows, |window| window.kilobytes));
        quorum_fraction(network)
    }

    fn add_settled(&mut self, network: &mut SimulatedNetwork) {
        let size = network.nodes.len() as f64;
        network.run_until(SETTLED_AFTER_SECONDS);
        let windows = run_windows(network, SETTLED_WINDOW_COUNT);
        self.settled_cpu.push(measured(size, &windows, |window| window.cpu_millis));
        self.settled_bytes.push(measured(size, &windows, |window| window.kilobytes));
        self.settled_datagrams.push(measured(size, &windows, |window| window.datagrams));
        self.ages.push(measurement(size, vec![assertion_age(network)]));
        let proof = |index: usize| {
            let membership = network.nodes[index].membership.as_ref().expect("all gateways are running");
            proof_times(membership, 1)
        };
        self.proofs.push(measurement(size, (0..MEASURED_GATEWAYS).flat_map(proof).collect()));
    }

    fn write(self, options: &Options) {
        STARTING_CPU.write(options, self.starting_cpu);
        RunDescription {
            name: "peers-bytes-starting",
            quantity: "bytes a second that one gateway sends; it hears as many",
            unit: "kB",
            method: "datagrams sealed as in service",
            ..STARTING_CPU
        }
        .write(options, self.starting_bytes);
        SETTLED_CPU.write(options, self.settled_cpu);
        RunDescription {
            name: "peers-bytes",
            quantity: "bytes a second that one gateway sends; it hears as many",
            unit: "kB",
            method: "datagrams sealed as in service; windows of 5 s, from 50 s on",
            ..SETTLED_CPU
        }
        .write(options, self.settled_bytes);
        RunDescription {
            name: "peers-letters",
            quantity: "letters a second that one gateway sends; it hears as many",
            unit: "letters",
            method: "windows of 5 s, from 50 s on",
            ..SETTLED_CPU
        }
        .write(options, self.settled_datagrams);
        RunDescription {
            name: "peers-age",
            mechanism: "words of all go round with every letter (`peers::probing`)",
            quantity: "age of a word, p99",
            unit: "s",
            method: "all pairs, at one moment after 65 s",
            ..SETTLED_CPU
        }
        .write(options, self.ages);
        RunDescription {
            name: "peers-proof",
            mechanism: "proof by a majority of all (`peers::backing`)",
            quantity: "one look at what is proven, as words stood after 65 s",
            method: "thread clock; one look at each of five gateways",
            ..SETTLED_CPU
        }
        .write(options, self.proofs);
    }
}

const STARTING_CPU: RunDescription = RunDescription {
    name: "peers-cpu-starting",
    mechanism: "a full view and a proof by all, in the first 10 s after all began (`peers`)",
    quantity: "CPU a second of one gateway",
    unit: "ms",
    axis: "gateways",
    method: "thread clock over the whole fleet in simulated time, the simulated network's part \
             included; what is proven is asked for ten times a second; windows of 5 s",
    fixed: &[("period", 0.4), ("lease", 12.0), ("seeds, one in", 8.0)],
    group: "peers",
};

const SETTLED_CPU: RunDescription = RunDescription {
    name: "peers-cpu",
    mechanism: "a full view and a proof by all, settled (`peers`)",
    ..STARTING_CPU
};

pub fn measure(options: &Options) {
    let start = cpu_seconds();
    let mut measurements = Measurements::default();
    let mut last_cost = 0.0;
    for gateways in GATEWAY_COUNTS {
        let (spent, expected) = (cpu_seconds() - start, last_cost * MAX_COST_GROWTH);
        if spent + expected > CPU_SECONDS_BUDGET {
            let left = CPU_SECONDS_BUDGET - spent;
            println!("{gateways} gateways skipped: need about {expected:.0} s of CPU, {left:.0} s left");
            break;
        }
        let settled_before = start + CPU_SECONDS_BUDGET * SETTLED_BUDGET_FRACTION;
        measure_size(gateways, options.seed, settled_before, &mut measurements);
        last_cost = cpu_seconds() - start - spent;
        println!("{gateways} gateways: {last_cost:.0} s of CPU");
    }
    measurements.write(options);
}

/// Simulates one size. The settled fleet is only simulated if the CPU clock is before `settled_before` after the start
/// phase.
fn measure_size(gateways: usize, seed: u64, settled_before: f64, measurements: &mut Measurements) {
    let seeds = 1.max(gateways / GATEWAYS_PER_SEED);
    let mut network = SimulatedNetwork::new(gateways, seeds, MEMBERSHIP_CONFIG, seed);
    network.start_all();
    let starting = measurements.add_starting(&mut network);
    if cpu_seconds() >= settled_before {
        println!("{gateways} gateways: with a quorum {starting:.3} after 10 s; settled fleet not simulated");
        return;
    }
    measurements.add_settled(&mut network);
    println!(
        "{gateways} gateways: with a quorum {starting:.3} after 10 s, {:.3} after {:.0} s",
        quorum_fraction(&network),
        network.now
    );
}
