//! Cost of membership for requests: a gateway in a fleet of 24 and a gateway without membership, otherwise with the
//! same configuration, are loaded in the same rounds. `cargo bench -p milletpath --bench membership` prints the ratio
//! of their p99 latencies with its confidence interval over the rounds, and the CPU time of the membership thread.

mod load;

use load::gateway_process::{config_text, start_with_config, thread_cpus};
use load::instant_workers::start_workers;
use load::request_loops::open_loop;
use load::statistics::{geometric_mean, merge, milliseconds, percentiles};
use milletpath_emulator::gateway_process::GatewayProcess;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;

/// Number of gateways in the fleet.
const GATEWAY_COUNT: usize = 24;

const ROUNDS: usize = 24;

/// Duration of a round, in seconds.
const SECONDS: f64 = 5.0;

/// Time for the gateways to discover each other.
const JOIN_TIME: Duration = Duration::from_secs(8);

/// The 97.5% quantile of Student's t-distribution with 23 degrees of freedom, for 24 rounds.
const STUDENT_T_975: f64 = 2.069;

/// Name of a gateway's membership thread.
const MEMBERSHIP_THREAD: &str = "peers";

fn start_gateway(folder: &Path, name: &str, workers: &[SocketAddr], sections: &str) -> GatewayProcess {
    let path = folder.join(format!("{name}.hcl"));
    let keys = format!("gateways = {GATEWAY_COUNT}\ncores = 1\n");
    std::fs::write(&path, config_text(workers, &keys, sections)).expect("a configuration file");
    start_with_config(env!("CARGO_BIN_EXE_milletpath"), &path)
}

/// Starts the gateways of the fleet.
fn start_fleet(folder: &Path, workers: &[SocketAddr]) -> Vec<GatewayProcess> {
    std::fs::write(folder.join("key"), "a secret of more than thirty-two bytes, for benches").expect("a key");
    let addresses = free_addresses();
    let start = |(n, address): (usize, &SocketAddr)| {
        let seed = addresses[0];
        let section =
            format!("peers {{\n  listen = \"{address}\"\n  seeds = [\"{seed}\"]\n  key = \"key\"\n}}\n");
        start_gateway(folder, &format!("g{n}"), workers, &section)
    };
    addresses.iter().enumerate().map(start).collect()
}

/// Returns free loopback addresses. All ports are bound at the same time, so that they differ.
fn free_addresses() -> Vec<SocketAddr> {
    let sockets: Vec<_> =
        (0..GATEWAY_COUNT).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect()
}

/// Returns the CPU time of the membership thread so far, in seconds.
fn membership_cpu(process: &GatewayProcess) -> f64 {
    let threads = thread_cpus(process);
    threads.iter().find(|thread| thread.name == MEMBERSHIP_THREAD).map_or(f64::NAN, |thread| thread.seconds)
}

/// Loads both gateways, and prints the latencies of each and the ratio of their p99 latencies.
fn compare(member: &GatewayProcess, alone: &GatewayProcess) {
    let (mut member_latencies, mut alone_latencies, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        // The gateway that is loaded first finds the caches as the previous round left them, so each is first in half
        // of the rounds.
        let member_is_first = round % 2 == 0;
        let mut addresses = [member.address, alone.address];
        if !member_is_first {
            addresses.reverse();
        }
        let mut latencies = open_loop(&addresses, SECONDS);
        if !member_is_first {
            latencies.reverse();
        }
        let [with, without] = [0, 1].map(|n| milliseconds(&latencies[n], 0.99));
        println!("round {round:>2}: p99 with membership {with:.3} ms, without {without:.3} ms");
        ratios.push(with / without);
        alone_latencies.extend(latencies.pop());
        member_latencies.extend(latencies.pop());
    }
    println!("with    {}", percentiles(&merge(&member_latencies)));
    println!("without {}", percentiles(&merge(&alone_latencies)));
    let ratio = geometric_mean(&ratios, STUDENT_T_975);
    println!(
        "p99 with / without: {:.3} ({:.3} to {:.3}, 95% of {ROUNDS} rounds)",
        ratio.mean, ratio.low, ratio.high
    );
}

fn main() {
    let folder = std::env::temp_dir().join(format!("milletpath-bench-membership-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let workers = start_workers(4);
    let fleet = start_fleet(&folder, &workers);
    let alone = start_gateway(&folder, "alone", &workers, "");
    std::thread::sleep(JOIN_TIME);
    let member = &fleet[1];
    let before = membership_cpu(member);
    compare(member, &alone);
    let cpu = membership_cpu(member) - before;
    let per_second = 1e3 * cpu / (ROUNDS as f64 * SECONDS);
    println!("the membership thread among {GATEWAY_COUNT}: {per_second:.2} ms of CPU a second");
    let _ = std::fs::remove_dir_all(&folder);
}
