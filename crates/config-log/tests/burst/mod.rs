//! A burst of changes by authors that retry, and the delays until each follower applied them. Used by the fleet test and
//! by the benchmark.

#![allow(dead_code)]

use crate::cluster::{Node, NodeId, SimulatedCluster, change};
use milletpath_config_log::Outcome;
use rand::Rng;

/// Seconds simulated after the last change of a burst.
pub const SETTLING_SECONDS: f64 = 6.0;

/// Seconds after which an author sends its change to the next replica.
const RETRY_DELAY: f64 = 0.4;

/// Resources used by a node, in total or per second.
#[derive(Clone, Copy, Default)]
pub struct Cost {
    pub cpu_seconds: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
}

impl Cost {
    /// The mean over nodes.
    fn mean<'a, T: 'a>(nodes: impl Iterator<Item = &'a Node<T>>) -> Self {
        let (mut sum, mut count) = (Self::default(), 0.0);
        for node in nodes {
            sum.cpu_seconds += node.cpu_seconds;
            sum.bytes_in += node.bytes_in as f64;
            sum.bytes_out += node.bytes_out as f64;
            count += 1.0;
        }
        sum.map(|total| total / count)
    }

    /// The use per second between two measurements.
    fn per_second_between(before: Self, after: Self, seconds: f64) -> Self {
        Self {
            cpu_seconds: after.cpu_seconds - before.cpu_seconds,
            bytes_in: after.bytes_in - before.bytes_in,
            bytes_out: after.bytes_out - before.bytes_out,
        }
        .map(|used| used / seconds)
    }

    fn map(self, change: impl Fn(f64) -> f64) -> Self {
        Self {
            cpu_seconds: change(self.cpu_seconds),
            bytes_in: change(self.bytes_in),
            bytes_out: change(self.bytes_out),
        }
    }
}

/// Average cost of a follower and of a replica.
#[derive(Clone, Copy, Default)]
pub struct NodeCosts {
    pub follower: Cost,
    pub replica: Cost,
}

/// Average cost so far of the followers and of the replicas that are not isolated.
pub fn cost_so_far(cluster: &SimulatedCluster) -> NodeCosts {
    let is_reachable = |node: NodeId| !cluster.isolated_zones.contains(&node.zone());
    let followers = cluster.followers.iter().enumerate().filter(|(n, _)| is_reachable(NodeId::Follower(*n)));
    let replicas = cluster.replicas.iter().enumerate().filter(|(n, _)| is_reachable(NodeId::Replica(*n)));
    NodeCosts {
        follower: Cost::mean(followers.map(|(_, node)| node)),
        replica: Cost::mean(replicas.map(|(_, node)| node)),
    }
}

/// Cost per second between two measurements.
pub fn cost_between(before: NodeCosts, after: NodeCosts, seconds: f64) -> NodeCosts {
    NodeCosts {
        follower: Cost::per_second_between(before.follower, after.follower, seconds),
        replica: Cost::per_second_between(before.replica, after.replica, seconds),
    }
}

/// A change whose author has no final outcome yet.
struct OpenChange {
    id: u64,
    author: usize,
    /// When it was first proposed.
    proposed_at: f64,
    /// When it was last proposed, and to which replica.
    last_proposed_at: f64,
    replica: usize,
}

/// A change whose author was told that it is committed.
struct CommittedChange {
    number: u64,
    proposed_at: f64,
    acknowledged_at: f64,
}

/// Result of a burst.
pub struct Burst {
    /// Seconds from the proposal until the follower applied it, for each change and each follower that is not isolated.
    pub delays: Vec<f64>,
    /// Seconds from the proposal until the author received the outcome.
    pub acknowledgement_delays: Vec<f64>,
    /// Cost per second during the burst.
    pub cost: NodeCosts,
}

impl Burst {
    /// Proposes that many changes within one second, from authors in reachable zones to random replicas.
    pub fn run(cluster: &mut SimulatedCluster, changes: u64) -> Self {
        let started_at = cluster.now;
        let base = 1_000_000 + cluster.log.state.head() * 1_000;
        let reachable_zones: Vec<usize> =
            (0..10).filter(|zone| !cluster.isolated_zones.contains(zone)).collect();
        let mut open: Vec<OpenChange> = Vec::new();
        let mut committed = Vec::new();
        let until = started_at + 1.0 + SETTLING_SECONDS;
        let (before, mut after) = (cost_so_far(cluster), None);
        let mut next = 0;
        while cluster.now < until {
            while next < changes && cluster.now >= started_at + next as f64 / changes as f64 {
                let author = reachable_zones[cluster.rng.random_range(0..reachable_zones.len())];
                let replica = cluster.rng.random_range(0..cluster.replicas.len());
                let id = base + next;
                cluster.propose(author, replica, typical_change(id));
                let now = cluster.now;
                open.push(OpenChange { id, author, proposed_at: now, last_proposed_at: now, replica });
                next += 1;
            }
            cluster.run_until(cluster.now + 0.01);
            if cluster.now >= started_at + 1.0 && after.is_none() {
                after = Some(cost_between(before, cost_so_far(cluster), cluster.now - started_at));
            }
            for mut pending in std::mem::take(&mut open) {
                match cluster.outcome(pending.author, pending.id) {
                    Some(Outcome::Committed(number)) => committed.push(CommittedChange {
                        number,
                        proposed_at: pending.proposed_at,
                        acknowledged_at: cluster.now,
                    }),
                    Some(Outcome::Unknown) | None => {
                        if cluster.now - pending.last_proposed_at >= RETRY_DELAY {
                            pending.replica = (pending.replica + 1) % cluster.replicas.len();
                            pending.last_proposed_at = cluster.now;
                            cluster.propose(pending.author, pending.replica, typical_change(pending.id));
                        }
                        open.push(pending);
                    }
                    other => panic!("unexpected outcome of a change with a unique key: {other:?}"),
                }
            }
        }
        assert!(open.is_empty(), "{} changes have no outcome", open.len());
        let is_reachable = |n: &usize| !cluster.isolated_zones.contains(&NodeId::Follower(*n).zone());
        let followers: Vec<usize> = (0..cluster.followers.len()).filter(is_reachable).collect();
        let delays_of = |change: &CommittedChange| -> Vec<f64> {
            let delay_at = |n: &usize| cluster.propagation_delay(*n, change.number, change.proposed_at);
            followers.iter().filter_map(delay_at).collect()
        };
        let acknowledgement_delay = |change: &CommittedChange| change.acknowledged_at - change.proposed_at;
        Self {
            delays: committed.iter().flat_map(delays_of).collect(),
            acknowledgement_delays: committed.iter().map(acknowledgement_delay).collect(),
            cost: after.unwrap_or_default(),
        }
    }

    pub fn worst(&self) -> f64 {
        self.delays.iter().copied().fold(0.0, f64::max)
    }
}

/// A change of typical size.
pub fn typical_change(id: u64) -> milletpath_config_log::Change {
    let text =
        "function \"resize-thumbnails\" {\n  lanes = 2\n  memory = 400\n  profile = \"interactive\"\n}\n";
    change(id, &format!("function resize-thumbnails-{id}"), text, 0)
}
