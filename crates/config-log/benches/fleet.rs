//! Cost of following and propagation delay of changes, by number of followers: seven replicas in simulated time, with real
//! sealing of datagrams and 1% message loss. During a burst of changes one of ten zones is isolated: first one without a
//! replica, then that of the leader.
//!
//! `cargo bench -p milletpath-config-log --bench fleet`; `-- quick` for the smallest size only, `-- --json` for one line
//! of JSON per size.

#[path = "../tests/burst/mod.rs"]
mod burst;
#[path = "../tests/cluster/mod.rs"]
mod cluster;

use burst::{Burst, Cost, NodeCosts, cost_between, cost_so_far};
use cluster::network::regions;
use cluster::{NodeId, SimulatedCluster};
use milletpath_config_log::{Entry, State};

fn quantile_of(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get((quantile * values.len().saturating_sub(1) as f64).round() as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Estimated memory of a state with that many typical entries: the keys twice, the texts, and the nodes of two trees.
fn estimated_state_bytes(entries: u64) -> usize {
    /// Per entry: its slots in both trees, including the headers of its three strings, with tree nodes two thirds full.
    const TREE_OVERHEAD_BYTES: usize = (24 + 8 + 8 + 72) * 3 / 2;
    let mut state = State::default();
    for number in 1..=entries {
        assert!(state.apply(Entry { number, change: burst::typical_change(number) }));
    }
    let keys: usize = state.iter().map(|(_, change)| change.key.len()).sum();
    state.total_bytes() + keys + state.iter().count() * TREE_OVERHEAD_BYTES
}

/// Seconds until a change was applied at a follower, and how often that took more than 6 s.
struct Latencies {
    p50: f64,
    p99: f64,
    worst: f64,
    missed: usize,
}

/// Runs a burst while a zone is isolated.
fn latencies(cluster: &mut SimulatedCluster, isolated_zone: usize) -> (Latencies, Burst) {
    cluster.isolated_zones = vec![isolated_zone];
    let mut burst = Burst::run(cluster, 20);
    let [p50, p99] = [0.5, 0.99].map(|quantile| quantile_of(&mut burst.delays, quantile));
    let reachable =
        (0..cluster.followers.len()).filter(|n| NodeId::Follower(*n).zone() != isolated_zone).count();
    let missed = 20 * reachable - burst.delays.len();
    cluster.isolated_zones.clear();
    cluster.run_until(cluster.now + 10.0);
    (Latencies { p50, p99, worst: burst.worst(), missed }, burst)
}

/// A zone without a replica, and the zone of the leader.
const ISOLATED_ZONES: [usize; 2] = [9, 0];

fn costs_json(costs: NodeCosts) -> serde_json::Value {
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
        println!("                per gateway, per second          per replica, per second");
        println!("size           cpu ms  bytes in  bytes out      cpu ms  bytes in  bytes out");
    }
    for &size in sizes {
        let mut cluster = SimulatedCluster::new(7, size, size as u64);
        cluster.delivery_rule = regions(0.01);
        cluster.start_all_followers();
        cluster.run_until(4.0);
        cluster.commit(0, cluster::change(1, "first", "lanes = 1", 0));
        cluster.run_until(cluster.now + 2.0);
        cluster.measures_cpu = true;
        let (before, from) = (cost_so_far(&cluster), cluster.now);
        cluster.run_until(from + 10.0);
        let idle_costs = cost_between(before, cost_so_far(&cluster), 10.0);
        let (follower_zone_isolated, burst) = latencies(&mut cluster, ISOLATED_ZONES[0]);
        assert_eq!(cluster.leaders(), [ISOLATED_ZONES[1]]);
        let (leader_zone_isolated, _) = latencies(&mut cluster, ISOLATED_ZONES[1]);
        if has_argument("--json") {
            let latencies_json = |l: &Latencies| {
                serde_json::json!({
                    "p50": l.p50, "p99": l.p99, "worst": l.worst, "missed": l.missed
                })
            };
            let mut line = costs_json(idle_costs);
            line["size"] = size.into();
            line["burst"] = costs_json(burst.cost);
            line["known"] = latencies_json(&follower_zone_isolated);
            line["known_leader_gone"] = latencies_json(&leader_zone_isolated);
            println!("{line}");
            continue;
        }
        for (load, NodeCosts { follower, replica }) in [("idle", idle_costs), ("20 changes", burst.cost)] {
            let Cost { cpu_seconds, bytes_in, bytes_out } = follower;
            print!("{size:>4} {load:<10} {:>6.3} {bytes_in:>9.0} {bytes_out:>10.0} ", cpu_seconds * 1e3);
            let Cost { cpu_seconds, bytes_in, bytes_out } = replica;
            println!("{:>11.3} {bytes_in:>9.0} {bytes_out:>10.0}", cpu_seconds * 1e3);
        }
        for (zone, measured) in
            [("a zone", follower_zone_isolated), ("the leader's zone", leader_zone_isolated)]
        {
            println!(
                "     applied with {zone} isolated: p50 {:.2} s, p99 {:.2} s, worst {:.2} s; not within 6 s: {}",
                measured.p50, measured.p99, measured.worst, measured.missed
            );
        }
    }
    if !has_argument("--json") {
        for entries in [1_000, 100_000] {
            println!("state of {entries} entries: about {} bytes", estimated_state_bytes(entries));
        }
    }
}
