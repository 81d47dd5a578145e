//! Replicas and their disks: recovery from stored records after a crash, and disks that are outdated, compacted or lost.
//! The simulated cluster checks each committed entry.

mod cluster;

use cluster::network::{partitioned, reliable};
use cluster::{CrashPoint, NodeId, SimulatedCluster, change};
use milletpath_config_log::{Message, Outcome, Record};
use rand::Rng;

fn is_accepted(record: &Record) -> bool {
    matches!(record, Record::Accepted(vote) if vote.change.key == "late")
}

/// A replica crashes after storing its vote and before sending anything, and the proposer crashes too. The vote must be
/// recovered from the disk, or a change that may have been chosen would be lost.
#[test]
fn a_vote_stored_but_not_sent_is_recovered_after_a_restart() {
    let mut cluster = SimulatedCluster::new(3, 0, 2);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    cluster.stop_replica(2);
    cluster.crash_point = Some((1, CrashPoint::AfterStore(is_accepted)));
    cluster.propose(0, 0, change(2, "late", "lanes = 2", 0));
    cluster.run_until(cluster.now + 1.0);
    assert!(cluster.replicas[1].process.is_none(), "the replica crashed");
    assert_eq!(cluster.log.state.head(), 1, "one vote of three is no quorum");
    cluster.stop_replica(0);
    cluster.start_replica(1);
    cluster.start_replica(2);
    cluster.run_until(cluster.now + 1.0);
    let number = cluster.commit(2, change(3, "later", "lanes = 3", 0));
    assert_eq!((cluster.numbers_of(2), number), (vec![2], 3));
    cluster.start_replica(0);
    cluster.run_until(cluster.now + 2.0);
    cluster.assert_agreement();
}

/// A replica that was down for a long time restarts from an outdated disk, catches up and is needed for the quorum.
#[test]
fn a_replica_with_an_outdated_disk_catches_up_and_votes() {
    let mut cluster = SimulatedCluster::new(3, 0, 6);
    cluster.run_until(1.0);
    cluster.commit(2, change(1, "early", "lanes = 1", 0));
    cluster.run_until(cluster.now + 1.0);
    cluster.stop_replica(2);
    cluster.commit_many(0, "function", 60);
    cluster.start_replica(2);
    cluster.run_until(cluster.now + 3.0);
    cluster.assert_agreement();
    cluster.stop_replica(0);
    cluster.commit(1, change(2, "late", "lanes = 2", 0));
    cluster.assert_agreement();
}

/// A replica that lost its disk learns entries, but does not vote until both others have answered. While one of them is
/// down nothing is committed: the replica that lost its disk may have voted for an entry together with the one that is
/// down, so it and the remaining one could choose another.
#[test]
fn a_replica_that_lost_its_disk_votes_only_after_all_others_answered() {
    let mut cluster = SimulatedCluster::new(3, 0, 7);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    cluster.stop_replica(2);
    cluster.disks[2].clear();
    cluster.stop_replica(1);
    cluster.start_replica(2);
    cluster.propose(0, 0, change(2, "late", "lanes = 2", 0));
    cluster.run_until(cluster.now + 6.0);
    assert_eq!(cluster.outcome(0, 2), Some(Outcome::Unknown));
    assert!(!cluster.replica_view(2).votes);
    assert_eq!(cluster.heads(), [1, 1], "it learns entries nevertheless");
    cluster.start_replica(1);
    cluster.run_until(cluster.now + 3.0);
    assert!(cluster.replica_view(2).votes);
    cluster.stop_replica(0);
    cluster.commit(2, change(3, "later", "lanes = 3", 0));
    cluster.start_replica(0);
    cluster.run_until(cluster.now + 3.0);
    cluster.assert_agreement();
}

/// A replica votes for a change that is chosen, reports the outcome to the author, loses its disk, and crashes again right
/// after its readmission. The votes that it learned at the readmission must be on its disk and bind it, although it has
/// sent nothing since.
#[test]
fn votes_learned_at_readmission_bind_the_replica_after_another_crash() {
    let mut cluster = SimulatedCluster::new(3, 0, 17);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    cluster.run_until(cluster.now + 1.0);
    cluster.stop_replica(2);
    // No message from 1 reaches 0, which leads: only 1 knows that the change is chosen.
    cluster.delivery_rule = Box::new(|_, from, to, _| match (from, to) {
        (NodeId::Replica(1), NodeId::Replica(0)) => vec![],
        _ => vec![0.001],
    });
    cluster.propose(0, 0, change(2, "late", "lanes = 2", 0));
    cluster.propose(0, 1, change(2, "late", "lanes = 2", 0));
    cluster.run_until(cluster.now + 0.5);
    assert_eq!((cluster.outcome(0, 2), cluster.head(0)), (Some(Outcome::Committed(2)), 1));
    cluster.stop_replica(1);
    cluster.disks[1].clear();
    // No message from 0 reaches 2.
    cluster.delivery_rule = Box::new(|_, from, to, _| match (from, to) {
        (NodeId::Replica(0), NodeId::Replica(2)) => vec![],
        _ => vec![0.001],
    });
    cluster.crash_point = Some((1, CrashPoint::AfterStore(|record| *record == Record::Readmitted)));
    cluster.start_replica(2);
    cluster.start_replica(1);
    cluster.run_until(cluster.now + 3.0);
    assert!(cluster.replicas[1].process.is_none(), "the replica crashed");
    cluster.stop_replica(0);
    cluster.start_replica(1);
    cluster.commit(2, change(3, "other", "lanes = 3", 0));
    assert_eq!(cluster.numbers_of(2), [2]);
    cluster.start_replica(0);
    cluster.delivery_rule = reliable();
    cluster.run_until(cluster.now + 3.0);
    cluster.assert_agreement();
}

/// Five replicas crash, lose disks (at most two of them are without votes at a time) and are isolated at random while
/// changes are proposed. Two entries must never be committed at the same number, and in the end all replicas are
/// readmitted and agree.
#[test]
fn disks_lost_one_at_a_time_lose_no_committed_entry() {
    let (mut lost, mut committed) = (0, 0);
    for seed in 0..12 {
        let mut cluster = SimulatedCluster::new(5, 0, seed);
        cluster.run_until(1.0);
        for step in 1..40 {
            let n = cluster.rng.random_range(0..5);
            let has_no_vote = |disk: &Vec<Record>| {
                !disk.iter().any(|r| matches!(r, Record::Initialized | Record::Readmitted))
            };
            let disks_lost =
                (0..5).filter(|other| *other == n || has_no_vote(&cluster.disks[*other])).count();
            if cluster.rng.random_bool(0.6) {
                cluster.stop_replica(n);
                if disks_lost <= 2 && cluster.rng.random_bool(0.5) {
                    cluster.disks[n].clear();
                    lost += 1;
                }
                cluster.start_replica(n);
            }
            let isolated = cluster.rng.random_range(0..8);
            cluster.delivery_rule = partitioned(move |node| usize::from(node == NodeId::Replica(isolated)));
            for id in [2 * step, 2 * step + 1] {
                let replica = cluster.rng.random_range(0..5);
                cluster.propose(0, replica, change(id, &format!("key {id}"), "lanes = 1", 0));
            }
            let seconds = cluster.rng.random_range(0.1..3.0);
            cluster.run_until(cluster.now + seconds);
        }
        cluster.delivery_rule = reliable();
        cluster.run_until(cluster.now + 15.0);
        cluster.assert_agreement();
        assert!((0..5).all(|n| cluster.replica_view(n).votes), "seed {seed}");
        let outcomes = cluster.author_inbox.iter().filter_map(|(_, _, m)| match m {
            Message::ProposalResult { id, outcome: Outcome::Committed(number) } => Some((*id, *number)),
            _ => None,
        });
        for (id, number) in outcomes {
            assert_eq!(cluster.log.entries[&number].change.id, id, "seed {seed}");
        }
        committed += cluster.log.state.head();
    }
    assert!(lost > 60 && committed > 400, "{lost} disks lost, {committed} entries");
}

/// After the loss of a majority of disks, committed entries may be lost, so no replica may be readmitted: the log would
/// silently start over.
#[test]
fn no_replica_is_readmitted_after_a_majority_lost_its_disks() {
    let mut cluster = SimulatedCluster::new(3, 0, 8);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    for n in 1..3 {
        cluster.stop_replica(n);
        cluster.disks[n].clear();
        cluster.start_replica(n);
    }
    cluster.propose(0, 0, change(2, "late", "lanes = 2", 0));
    cluster.run_until(cluster.now + 6.0);
    assert_eq!(cluster.outcome(0, 2), Some(Outcome::Unknown));
    assert!((1..3).all(|n| !cluster.replica_view(n).votes));
}

/// A replica that restarts from compacted records has the same state as before. One that is behind the entries that the
/// others keep fetches a snapshot; if it crashes while storing it, the stored part is ignored.
#[test]
fn a_compacted_disk_restores_the_state_and_a_lagging_replica_installs_a_snapshot() {
    let mut cluster = SimulatedCluster::new(3, 0, 14);
    cluster.run_until(1.0);
    cluster.stop_replica(2);
    cluster.commit_many(0, "function", 80);
    for n in 0..2 {
        cluster.compact(n);
        let before = cluster.replica(n).state().clone();
        cluster.stop_replica(n);
        cluster.start_replica(n);
        assert_eq!(*cluster.replica(n).state(), before);
    }
    cluster.crash_point =
        Some((2, CrashPoint::AfterStore(|record| matches!(record, Record::SnapshotEntry(_)))));
    cluster.start_replica(2);
    cluster.run_until(cluster.now + 3.0);
    assert!(cluster.replicas[2].process.is_none(), "the replica crashed");
    cluster.start_replica(2);
    assert_eq!(cluster.head(2), 0);
    cluster.run_until(cluster.now + 3.0);
    cluster.assert_agreement();
    cluster.stop_replica(0);
    cluster.commit(2, change(1, "late", "lanes = 1", 0));
    cluster.start_replica(0);
    cluster.run_until(cluster.now + 2.0);
    cluster.assert_agreement();
}
