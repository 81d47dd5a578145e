//! Scaling of the gateway over cores: gateways with 1, 2, 4 and 8 cores and workers that answer immediately, in
//! interleaved measurements.
//!
//! `cargo bench -p milletpath --bench cores` prints for each gateway: requests per second of a closed loop, CPU time
//! per request, and the CPU time of the busiest core relative to the mean; then the latencies at 760 requests per
//! second. The gateways with one and two cores run on the first processors and the load on the last two; those with
//! more cores share all processors with the load. `-- --earlier PROGRAM` adds an earlier build, on the first
//! processor.

mod load;

use load::flag_value;
use load::gateway_process::{process_cpu, start_gateway, start_program, thread_cpus};
use load::instant_workers::start_workers;
use load::request_loops::{closed_loop, open_loop};
use load::statistics::{median, merge, percentiles};
use milletpath_emulator::gateway_process::GatewayProcess;
use nix::sched::{CpuSet, sched_setaffinity};
use nix::unistd::Pid;
use std::net::SocketAddr;

const ROUNDS: usize = 3;

/// Duration of a round, in seconds.
const SECONDS: f64 = 3.0;

/// Duration of the warm-up, in which instances are loaded and connections opened, in seconds.
const WARM_UP_SECONDS: f64 = 1.0;

/// Number of cores of each gateway.
const CORE_COUNTS: [usize; 4] = [1, 2, 4, 8];

/// Number of threads that send requests.
const CLIENT_THREADS: usize = 2;

/// Number of connections of each client thread.
const CONNECTIONS: usize = 32;

/// Minimum number of processors: two for the load, and two for the gateways with one and two cores.
const MIN_PROCESSORS: usize = 4;

/// The measurements of one round.
struct Round {
    /// Answered requests per second.
    rate: f64,
    /// CPU time per request, in microseconds.
    cost: f64,
    /// CPU time of the busiest core relative to the mean of all cores.
    busiest_over_mean: f64,
}

/// A gateway that is measured.
struct Target {
    name: String,
    process: GatewayProcess,
    rounds: Vec<Round>,
}

impl Target {
    fn new(name: String, process: GatewayProcess) -> Self {
        Self { name, process, rounds: Vec::new() }
    }

    fn measure(&mut self) {
        if self.rounds.is_empty() {
            closed_loop(self.process.address, CONNECTIONS, WARM_UP_SECONDS);
        }
        let (cpu_before, cores_before) = (process_cpu(&self.process), core_cpus(&self.process));
        let rate = load_from_threads(self.process.address);
        let cpu = process_cpu(&self.process) - cpu_before;
        let cores_after = core_cpus(&self.process);
        let core_seconds: Vec<f64> =
            cores_after.iter().zip(cores_before).map(|(after, before)| after - before).collect();
        let mean = core_seconds.iter().sum::<f64>() / core_seconds.len() as f64;
        let busiest_over_mean = core_seconds.iter().copied().fold(0.0, f64::max) / mean.max(1e-9);
        self.rounds.push(Round { rate, cost: cpu * 1e6 / (rate * SECONDS), busiest_over_mean });
    }

    fn median(&self, value: impl Fn(&Round) -> f64) -> f64 {
        median(self.rounds.iter().map(value).collect())
    }
}

/// Pins this thread, and the threads and processes that it starts from now on, to some processors.
fn pin_to(processors: impl Iterator<Item = usize>) {
    let mut set = CpuSet::new();
    processors.for_each(|processor| set.set(processor).expect("a processor"));
    sched_setaffinity(Pid::from_raw(0), &set).expect("the thread is pinned");
}

/// Returns the CPU time of each core's thread so far, in seconds.
fn core_cpus(process: &GatewayProcess) -> Vec<f64> {
    let cores = thread_cpus(process).into_iter().filter(|thread| thread.name.starts_with("core-"));
    cores.map(|core| core.seconds).collect()
}

/// Runs the closed loop on all client threads, and returns their total of answered requests per second.
fn load_from_threads(address: SocketAddr) -> f64 {
    let client = || std::thread::spawn(move || closed_loop(address, CONNECTIONS, SECONDS));
    let clients: Vec<_> = (0..CLIENT_THREADS).map(|_| client()).collect();
    clients.into_iter().map(|client| client.join().expect("a client thread")).sum()
}

/// Starts the gateways, each pinned to the processors that it may use.
fn start_targets(workers: &[SocketAddr], processors: usize) -> Vec<Target> {
    let mut targets = Vec::new();
    for cores in CORE_COUNTS {
        pin_to(0..if cores <= 2 { cores } else { processors });
        targets.push(Target::new(format!("{cores} cores"), start_gateway(workers, cores)));
    }
    if let Some(program) = flag_value("--earlier") {
        pin_to(0..1);
        targets.push(Target::new("earlier".into(), start_program(&program, workers, "")));
    }
    targets
}

fn print_rates(targets: &[Target]) {
    let connections = CLIENT_THREADS * CONNECTIONS;
    println!("closed loop of {connections} connections, median of {ROUNDS} rounds of {SECONDS} s");
    let single_core_rate = targets[0].median(|round| round.rate);
    for target in targets {
        let (rate, cost) = (target.median(|round| round.rate), target.median(|round| round.cost));
        let busiest = target.median(|round| round.busiest_over_mean);
        println!(
            "{}: {rate:>7.0} requests/s ({:.2}), {cost:.1} us CPU a request, busiest core {busiest:.2} of the mean",
            target.name,
            rate / single_core_rate
        );
    }
}

/// Prints the latencies of each gateway. The gateways are loaded one at a time at the full rate, in rounds.
fn print_latencies(targets: &[Target]) {
    let mut latencies = vec![Vec::new(); targets.len()];
    for _ in 0..ROUNDS {
        for (target, latencies) in targets.iter().zip(&mut latencies) {
            latencies.extend(open_loop(&[target.process.address], SECONDS));
        }
    }
    for (target, latencies) in targets.iter().zip(&latencies) {
        println!("{} at 760/s: {}", target.name, percentiles(&merge(latencies)));
    }
}

fn main() {
    let processors = std::thread::available_parallelism().expect("a count").get();
    assert!(processors >= MIN_PROCESSORS, "{MIN_PROCESSORS} processors are needed: two for the load");
    pin_to(processors - 2..processors);
    let workers: Vec<_> = start_workers(2).into_iter().chain(start_workers(2)).collect();
    let mut targets = start_targets(&workers, processors);
    pin_to(processors - 2..processors);
    for _ in 0..ROUNDS {
        targets.iter_mut().for_each(Target::measure);
    }
    print_rates(&targets);
    print_latencies(&targets);
}
