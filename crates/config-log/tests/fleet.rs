//! A large cluster: seven replicas in seven zones, a hundred followers in ten zones and four regions, 1% message loss, one
//! zone isolated. Each change must be applied at all reachable followers within 3 s of its proposal, in simulated time.

mod burst;
mod cluster;

use burst::{Burst, SETTLING_SECONDS};
use cluster::network::regions;
use cluster::{NodeId, SimulatedCluster};

/// Runs a burst of 20 changes within a second while a zone is isolated; the followers in that zone are not counted.
fn burst(seed: u64, isolated_zone: Option<usize>, followers: usize) -> (Burst, SimulatedCluster) {
    let mut cluster = SimulatedCluster::new(7, followers, seed);
    cluster.delivery_rule = regions(0.01);
    cluster.start_all_followers();
    cluster.run_until(4.0);
    cluster.commit(0, cluster::change(1, "first", "lanes = 1", 0));
    cluster.isolated_zones.extend(isolated_zone);
    let burst = Burst::run(&mut cluster, 20);
    (burst, cluster)
}

/// Each of the zones 0 to 6 has a replica; the one in zone 0 leads.
#[test]
fn a_change_is_applied_at_all_followers_within_three_seconds() {
    for seed in 0..6 {
        let isolated_zone = [None, Some(0), Some(1), Some(3), Some(6), Some(9)][seed as usize];
        let (burst, cluster) = burst(seed, isolated_zone, 100);
        let reachable = (0..100).filter(|n| Some(NodeId::Follower(*n).zone()) != isolated_zone).count();
        assert_eq!(
            burst.delays.len(),
            20 * reachable,
            "seed {seed}: not applied everywhere after {SETTLING_SECONDS} s"
        );
        let worst = burst.worst();
        assert!(worst <= 3.0, "seed {seed}, zone {isolated_zone:?}: {worst:.3} s");
        cluster.check_all_followers();
    }
}

/// The leader's zone is isolated during a burst. The next leader must complete it, and the followers of that zone must
/// catch up soon after the zone is back.
#[test]
fn losing_the_zone_of_the_leader_during_a_burst_loses_no_committed_change() {
    for seed in 20..24 {
        let mut cluster = SimulatedCluster::new(7, 40, seed);
        cluster.delivery_rule = regions(0.01);
        cluster.start_all_followers();
        cluster.run_until(4.0);
        cluster.commit(0, cluster::change(1, "first", "lanes = 1", 0));
        assert_eq!(cluster.leaders(), [0], "seed {seed}");
        for id in 2..22 {
            if id == 12 {
                cluster.isolated_zones.push(0);
            }
            let replica = 1 + id as usize % 6;
            cluster.propose(1, replica, cluster::change(id, &format!("key {id}"), "lanes = 2", 0));
            cluster.run_until(cluster.now + 0.05);
        }
        cluster.run_until(cluster.now + 8.0);
        // Authors retry, as messages may have been lost.
        for id in 2..22 {
            cluster.propose(1, 1, cluster::change(id, &format!("key {id}"), "lanes = 2", 0));
        }
        cluster.run_until(cluster.now + 8.0);
        assert_eq!(cluster.log.state.iter().count(), 21, "seed {seed}");
        cluster.isolated_zones.clear();
        cluster.run_until(cluster.now + 6.0);
        let head = cluster.log.state.head();
        assert!((0..40).all(|n| cluster.follower_head(n) == head), "seed {seed}");
        assert!((0..7).all(|n| cluster.head(n) == head), "seed {seed}");
        cluster.check_all_followers();
    }
}
