//! Cost of a request through the gateway, through a plain relay on the same HTTP stack that forwards requests to one
//! worker, and sent to the worker directly. Gateway and relay are separate processes, workers answer immediately, and
//! the measurements are interleaved.
//!
//! `cargo bench -p milletpath --bench calls` prints requests per second, CPU time per request, and the latency that
//! the gateway adds at 760 requests per second, with one core and with four. `-- --earlier PROGRAM` adds an earlier
//! build to the comparison of latencies.

mod load;
mod relay;

use load::gateway_process::{process_cpu, start_gateway, start_process, start_program};
use load::instant_workers::start_workers;
use load::request_loops::{closed_loop, open_loop};
use load::statistics::{median, milliseconds, percentiles};
use load::{block_on, flag_value};
use milletpath_emulator::gateway_process::GatewayProcess;
use std::net::SocketAddr;
use std::process::Command;

/// Number of interleaved rounds.
const ROUNDS: usize = 5;

/// Duration of a round, in seconds.
const SECONDS: f64 = 3.0;

/// Number of connections of the closed loop.
const CONNECTIONS: usize = 32;

/// Duration of the open loop for each address, in seconds.
const OPEN_LOOP_SECONDS: f64 = 8.0;

/// The measured costs of a program, with one value per round.
struct ProgramCosts {
    name: &'static str,
    process: GatewayProcess,
    /// Answered requests per second.
    rates: Vec<f64>,
    /// CPU time per request, in microseconds.
    costs: Vec<f64>,
}

impl ProgramCosts {
    fn new(name: &'static str, process: GatewayProcess) -> Self {
        Self { name, process, rates: Vec::new(), costs: Vec::new() }
    }

    fn measure(&mut self, round: usize) {
        let before = process_cpu(&self.process);
        let rate = closed_loop(self.process.address, CONNECTIONS, SECONDS);
        let cost = (process_cpu(&self.process) - before) * 1e6 / (rate * SECONDS);
        println!("round {round} {:<8} {rate:>8.0} requests/s {cost:>7.1} us CPU a request", self.name);
        self.rates.push(rate);
        self.costs.push(cost);
    }
}

fn start_relay(worker: SocketAddr) -> GatewayProcess {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.arg(relay::FLAG).arg(worker.to_string());
    start_process(command)
}

/// Returns the median over all rounds of the ratio of two values.
fn median_ratio(numerators: &[f64], denominators: &[f64]) -> f64 {
    median(numerators.iter().zip(denominators).map(|(a, b)| a / b).collect())
}

fn compare_costs(gateway: &mut ProgramCosts, relay: &mut ProgramCosts) {
    for round in 0..ROUNDS {
        gateway.measure(round);
        relay.measure(round);
    }
    let rates = median_ratio(&gateway.rates, &relay.rates);
    println!("requests/s, gateway / relay: {rates:.2} (median of {ROUNDS})");
    let costs = median_ratio(&gateway.costs, &relay.costs);
    println!("CPU a request, relay / gateway: {:.2} (median of {ROUNDS})", 1.0 / costs);
}

/// Prints the latencies of all targets, and the latency that the gateway adds. The first target must be the worker
/// itself, the second one the gateway.
fn compare_latencies(targets: &[(&str, SocketAddr)]) {
    let addresses: Vec<_> = targets.iter().map(|(_, address)| *address).collect();
    let latencies = open_loop(&addresses, OPEN_LOOP_SECONDS * addresses.len() as f64);
    for ((name, _), latencies) in targets.iter().zip(&latencies) {
        println!("760/s {name:<8} {}", percentiles(latencies));
    }
    let added = |quantile| milliseconds(&latencies[1], quantile) - milliseconds(&latencies[0], quantile);
    println!("added by the gateway: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
}

fn main() {
    if let Some(worker) = flag_value(relay::FLAG) {
        return block_on(relay::run(worker.parse().expect("the worker's address")));
    }
    let workers = start_workers(4);
    // One core, because the relay runs on one thread.
    let mut gateway = ProgramCosts::new("gateway", start_gateway(&workers, 1));
    let mut relay = ProgramCosts::new("relay", start_relay(workers[0]));
    compare_costs(&mut gateway, &mut relay);
    let four_cores = start_gateway(&workers, 4);
    let mut targets = vec![
        ("direct", workers[1]),
        (gateway.name, gateway.process.address),
        (relay.name, relay.process.address),
        ("4 cores", four_cores.address),
    ];
    let earlier = flag_value("--earlier").map(|program| start_program(&program, &workers, ""));
    targets.extend(earlier.as_ref().map(|earlier| ("earlier", earlier.address)));
    compare_latencies(&targets);
}
