//! A burst of changes by authors that retry, and when each change was in force at each follower: for the test of a large
//! cluster and for the benchmark.

#![allow(dead_code)]

use crate::cluster::{Node, NodeId, SimulatedCluster, change};
use milletpath_config_log::Outcome;
use rand::Rng;

/// Seconds simulated after the last change.
pub const SECONDS: f64 = 6.0;

/// Seconds after which an author sends its change to the next replica.
const AGAIN: f64 = 0.4;

/// CPU seconds, bytes in and bytes out.
pub type Cost = [f64; 3];

/// What a follower and a replica have used so far, on average over those that are not isolated.
pub fn cost_so_far(cluster: &SimulatedCluster) -> (Cost, Cost) {
    fn sum<'a, T: 'a>(nodes: impl Iterator<Item = &'a Node<T>>) -> Cost {
        let (sum, count) = nodes.fold(([0.0; 3], 0.0), |([cpu, bytes_in, bytes_out], count), n| {
            ([cpu + n.busy, bytes_in + n.bytes_in as f64, bytes_out + n.bytes_out as f64], count + 1.0)
        });
        sum.map(|all| all / count)
    }
    let is_reachable = |network: NodeId| !cluster.isolated_zones.contains(&network.zone());
    let followers = cluster.followers.iter().enumerate().filter(|(n, _)| is_reachable(NodeId::Follower(*n)));
    let replicas = cluster.replicas.iter().enumerate().filter(|(n, _)| is_reachable(NodeId::Replica(*n)));
    (sum(followers.map(|(_, node)| node)), sum(replicas.map(|(_, node)| node)))
}

/// What each used a second between two measurements.
pub fn cost_between(before: (Cost, Cost), after: (Cost, Cost), seconds: f64) -> (Cost, Cost) {
    let each = |a: Cost, b: Cost| std::array::from_fn(|n| (b[n] - a[n]) / seconds);
    (each(before.0, after.0), each(before.1, after.1))
}

pub struct Burst {
    /// Seconds from the proposal until in force, for each change and each follower that is not isolated.
    pub delays: Vec<f64>,
    /// Seconds from the proposal until the author received the outcome.
    pub acknowledgement_delays: Vec<f64>,
    /// What a follower and a replica used during the second of the burst.
    pub cost_so_far: (Cost, Cost),
}

impl Burst {
    /// Proposes that many changes within a second, from authors in reachable zones to random replicas.
    pub fn run(cluster: &mut SimulatedCluster, changes: u64) -> Self {
        let began = cluster.now;
        let base = 1_000_000 + cluster.log.state.head() * 1_000;
        let reachable_zones: Vec<usize> =
            (0..10).filter(|zone| !cluster.isolated_zones.contains(zone)).collect();
        // id, author, when it was proposed first and last, at which machine.
        let mut open: Vec<(u64, usize, f64, f64, usize)> = Vec::new();
        let mut done = Vec::new();
        let until = began + 1.0 + SECONDS;
        let (before, mut after) = (cost_so_far(cluster), None);
        let mut next = 0;
        while cluster.now < until {
            while next < changes && cluster.now >= began + next as f64 / changes as f64 {
                let author = reachable_zones[cluster.rng.random_range(0..reachable_zones.len())];
                let replica = cluster.rng.random_range(0..cluster.replicas.len());
                let id = base + next;
                cluster.propose(author, replica, usual_change(id));
                open.push((id, author, cluster.now, cluster.now, replica));
                next += 1;
            }
            cluster.run_until(cluster.now + 0.01);
            if cluster.now >= began + 1.0 && after.is_none() {
                after = Some(cost_between(before, cost_so_far(cluster), cluster.now - began));
            }
            for (id, author, since, last_proposed_at, replica) in std::mem::take(&mut open) {
                match cluster.outcome(author, id) {
                    Some(Outcome::Committed(number)) => done.push((number, since, cluster.now)),
                    Some(Outcome::Unknown) | None if cluster.now - last_proposed_at >= AGAIN => {
                        let replica = (replica + 1) % cluster.replicas.len();
                        cluster.propose(author, replica, usual_change(id));
                        open.push((id, author, since, cluster.now, replica));
                    }
                    Some(Outcome::Unknown) | None => {
                        open.push((id, author, since, last_proposed_at, replica));
                    }
                    other => panic!("{other:?} of a change under a key of its own"),
                }
            }
        }
        assert!(open.is_empty(), "{} changes have no outcome", open.len());
        let is_reachable = |n: &usize| !cluster.isolated_zones.contains(&NodeId::Follower(*n).zone());
        let followers: Vec<usize> = (0..cluster.followers.len()).filter(is_reachable).collect();
        let delays = done
            .iter()
            .flat_map(|(number, since, _)| {
                followers.iter().filter_map(|n| cluster.delay(*n, *number, *since))
            })
            .collect();
        Self {
            delays,
            acknowledgement_delays: done.iter().map(|(_, since, at)| at - since).collect(),
            cost_so_far: after.unwrap_or_default(),
        }
    }

    pub fn worst(&self) -> f64 {
        self.delays.iter().copied().fold(0.0, f64::max)
    }
}

/// A change of the usual size.
pub fn usual_change(id: u64) -> milletpath_config_log::Change {
    let text =
        "function \"resize-thumbnails\" {\n  lanes = 2\n  memory = 400\n  profile = \"interactive\"\n}\n";
    change(id, &format!("function resize-thumbnails-{id}"), text, 0)
}
