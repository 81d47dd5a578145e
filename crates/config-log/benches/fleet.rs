//! What following costs and how soon a change is in force, by number of followers: in simulated time, with datagrams sealed
//! as in service, seven replicas and 1% of the messages lost. During a burst one of ten zones is isolated: first one without
//! a replica, then that of the leader.
//! `cargo bench -p milletpath-config-log --bench fleet`; `-- quick` for the small sizes alone, `-- --json` for one line of
//! JSON a size.

#[path = "../tests/burst/mod.rs"]
mod burst;
#[path = "../tests/cluster/mod.rs"]
mod cluster;

use burst::{Burst, Cost, NodeCosts, cost_between, cost_so_far};
use cluster::network::regions;
use cluster::{NodeId, SimulatedCluster};
use milletpath_config_log::{Entry, State};

fn value_at(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get((quantile * values.len().saturating_sub(1) as f64).round() as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Estimated size of a state of that many entries of the usual size: its keys twice, its texts, and the nodes of two trees.
fn memory(statements: u64) -> usize {
    /// An entry in both trees with the headers of its three strings, where trees are two thirds full.
    const AROUND: usize = (24 + 8 + 8 + 72) * 3 / 2;
    let mut state = State::default();
    for number in 1..=statements {
        assert!(state.apply(Entry { number, change: burst::usual_change(number) }));
    }
    let keys: usize = state.iter().map(|(_, change)| change.key.len()).sum();
    state.total_bytes() + keys + state.iter().count() * AROUND
}

/// Seconds until in force, and how often that took more than 6 s.
struct Latencies {
    p50: f64,
    p99: f64,
    worst: f64,
    missed: usize,
}

/// A burst while that zone is isolated.
fn latencies(cluster: &mut SimulatedCluster, isolated_zone: usize) -> (Latencies, Burst) {
    cluster.isolated_zones = vec![isolated_zone];
    let mut burst = Burst::run(cluster, 20);
    let [p50, p99] = [0.5, 0.99].map(|quantile| value_at(&mut burst.delays, quantile));
    let there = (0..cluster.followers.len()).filter(|n| NodeId::Follower(*n).zone() != isolated_zone).count();
    let missed = 20 * there - burst.delays.len();
    cluster.isolated_zones.clear();
    cluster.run_until(cluster.now + 10.0);
    (Latencies { p50, p99, worst: burst.worst(), missed }, burst)
}

/// A zone without a replica, and that of the leader.
const ZONES: [usize; 2] = [9, 0];

fn figures(costs: NodeCosts) -> serde_json::Value {
    let NodeCosts { follower, replica } = costs;
    serde_json::json!({
        "follower_cpu": follower.cpu_seconds,
        "follower_bytes_in": follower.bytes_in,
        "follower_bytes_out": follower.bytes_out,
        "replica_cpu": replica.cpu_seconds,
        "replica_bytes_in": replica.bytes_in,
        "replica_bytes_out": replica.bytes_out,
    })
}

fn main() {
    let has_argument = |name: &str| std::env::args().any(|a| a == name);
    let sizes: &[usize] = if has_argument("quick") { &[100] } else { &[100, 300, 600, 1100] };
    if !has_argument("--json") {
        println!("                a gateway, a second              a machine, a second");
        println!("size           cpu ms  bytes in  bytes out      cpu ms  bytes in  bytes out");
    }
    for &size in sizes {
        let mut cluster = SimulatedCluster::new(7, size, size as u64);
        cluster.delivery_rule = regions(0.01);
        cluster.start_all_followers();
        cluster.run_until(4.0);
        cluster.commit(0, cluster::change(1, "first", "lanes = 1", 0));
        cluster.run_until(cluster.now + 2.0);
        cluster.timed = true;
        let (before, from) = (cost_so_far(&cluster), cluster.now);
        cluster.run_until(from + 10.0);
        let rest = cost_between(before, cost_so_far(&cluster), 10.0);
        let (follower_zone_isolated, burst) = latencies(&mut cluster, ZONES[0]);
        assert_eq!(cluster.leaders(), [ZONES[1]]);
        let (leader_zone_isolated, _) = latencies(&mut cluster, ZONES[1]);
        if has_argument("--json") {
            let latencies = |k: &Latencies| serde_json::json!({ "p50": k.p50, "p99": k.p99, "worst": k.worst, "missed": k.missed });
            let mut line = figures(rest);
            line["size"] = size.into();
            line["burst"] = figures(burst.cost);
            line["known"] = latencies(&follower_zone_isolated);
            line["known_leader_gone"] = latencies(&leader_zone_isolated);
            println!("{line}");
            continue;
        }
        for (what, NodeCosts { follower, replica }) in [("at rest", rest), ("20 changes", burst.cost)] {
            let Cost { cpu_seconds, bytes_in, bytes_out } = follower;
            print!("{size:>4} {what:<10} {:>6.3} {bytes_in:>9.0} {bytes_out:>10.0} ", cpu_seconds * 1e3);
            let Cost { cpu_seconds, bytes_in, bytes_out } = replica;
            println!("{:>11.3} {bytes_in:>9.0} {bytes_out:>10.0}", cpu_seconds * 1e3);
        }
        for (what, k) in [("a zone", follower_zone_isolated), ("the leader's zone", leader_zone_isolated)] {
            println!(
                "     in force with {what} isolated_zone: p50 {:.2} s, p99 {:.2} s, worst {:.2} s; not after 6 s: {}",
                k.p50, k.p99, k.worst, k.missed
            );
        }
    }
    if !has_argument("--json") {
        for statements in [1_000, 100_000] {
            println!("state of {statements} statements: {} bytes by estimate", memory(statements));
        }
    }
}
