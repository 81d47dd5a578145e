//! Replicas under crashes between two actions, partitions, and concurrent authors and proposers. Tests of disks are in
//! `disks.rs`. The simulated cluster checks each committed entry.

mod cluster;

use cluster::network::{partitioned, reliable};
use cluster::{CrashPoint, NodeId, SimulatedCluster, change};
use milletpath_config_log::{Change, MAX_KEY_BYTES, MAX_TEXT_BYTES, Message, Outcome, Record};
use rand::Rng;
use test_case::test_case;

fn is_accepted(record: &Record) -> bool {
    matches!(record, Record::Accepted(vote) if vote.change.key == "late")
}

fn is_accept(message: &Message) -> bool {
    matches!(message, Message::Accept { vote } if vote.change.key == "late")
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(5)]
#[test_case(7)]
fn a_change_is_applied_at_all_replicas(size: usize) {
    let mut cluster = SimulatedCluster::new(size, 0, 1);
    cluster.run_until(1.0);
    assert_eq!(cluster.commit(0, change(1, "function a", "lanes = 2", 0)), 1);
    assert_eq!(cluster.commit(size - 1, change(2, "function a", "lanes = 3", 1)), 2);
    cluster.run_until(cluster.now + 1.0);
    cluster.assert_agreement();
    let (number, current) = cluster.replica(0).state().get("function a").expect("the key has an entry");
    assert_eq!((number, current.text.as_deref()), (2, Some("lanes = 3")));
}

/// The proposer crashes after its first accept request. The next leader must complete the change, and the author, which
/// retries at another replica, must receive the number.
#[test]
fn a_partly_accepted_change_is_completed_by_the_next_leader() {
    let mut cluster = SimulatedCluster::new(5, 0, 3);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    cluster.crash_point = Some((0, CrashPoint::AfterSend(is_accept)));
    let late = change(2, "late", "lanes = 2", 0);
    cluster.propose(0, 0, late.clone());
    cluster.run_until(cluster.now + 0.5);
    assert!(cluster.replicas[0].process.is_none(), "the replica crashed");
    assert_eq!(cluster.outcome(0, 2), None);
    assert_eq!(cluster.commit(3, late), 2);
    cluster.start_replica(0);
    cluster.run_until(cluster.now + 2.0);
    cluster.assert_agreement();
    let current = cluster.log.state.get("late").expect("the key has an entry");
    assert_eq!((current.0, current.1.id), (2, 2));
}

/// The proposer crashes after its first accept request, and the author does not retry. The other replicas must complete
/// the stalled proposal by themselves.
#[test]
fn a_partly_accepted_change_is_completed_without_its_author() {
    let mut cluster = SimulatedCluster::new(3, 0, 3);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    cluster.crash_point = Some((0, CrashPoint::AfterSend(is_accept)));
    cluster.propose(0, 0, change(2, "late", "lanes = 2", 0));
    cluster.run_until(cluster.now + 8.0);
    assert!(cluster.replicas[0].process.is_none(), "the replica crashed");
    assert_eq!((cluster.numbers_of(2), cluster.heads()), (vec![2], vec![2, 2]));
}

/// The proposer crashes before it sends any message. The change is not committed, not even after the restart, because
/// another change was committed at its number.
#[test]
fn a_change_that_no_other_replica_received_is_not_committed() {
    let mut cluster = SimulatedCluster::new(3, 0, 4);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    cluster.crash_point = Some((0, CrashPoint::AfterStore(is_accepted)));
    cluster.propose(0, 0, change(2, "late", "lanes = 2", 0));
    cluster.run_until(cluster.now + 0.5);
    assert!(cluster.replicas[0].process.is_none(), "the replica crashed");
    assert_eq!(cluster.commit(1, change(3, "other", "lanes = 3", 0)), 2);
    cluster.start_replica(0);
    cluster.run_until(cluster.now + 5.0);
    cluster.assert_agreement();
    assert_eq!((cluster.numbers_of(2), cluster.heads()), (vec![], vec![2, 2, 2]));
    // When its author retries, it is committed like a new change.
    assert_eq!(cluster.commit(0, change(2, "late", "lanes = 2", 0)), 3);
}

/// A partition separates the leader and one more of five replicas. They commit nothing and report an unknown outcome; the
/// majority goes on; after the partition all agree.
#[test]
fn a_minority_commits_nothing_and_reports_unknown_outcomes() {
    let mut cluster = SimulatedCluster::new(5, 0, 5);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "early", "lanes = 1", 0));
    assert_eq!(cluster.leaders(), [0]);
    cluster.delivery_rule =
        partitioned(|node| usize::from(matches!(node, NodeId::Replica(0 | 1) | NodeId::Author(0))));
    cluster.propose(0, 0, change(2, "a", "lanes = 2", 0));
    cluster.propose(1, 3, change(3, "a", "lanes = 3", 0));
    cluster.run_until(cluster.now + 6.0);
    assert_eq!(cluster.outcome(0, 2), Some(Outcome::Unknown));
    assert_eq!(cluster.outcome(1, 3), Some(Outcome::Committed(2)));
    assert_eq!(cluster.heads(), [1, 1, 2, 2, 2]);
    assert!(
        cluster.replica_view(0).confirmed_age.is_none_or(|age| age > 5.0),
        "a replica in the minority knows that it may be behind"
    );
    assert!(cluster.replica_view(2).confirmed_age.is_some_and(|age| age < 1.0));
    cluster.delivery_rule = reliable();
    cluster.run_until(cluster.now + 3.0);
    cluster.assert_agreement();
    cluster.propose(0, 0, change(2, "a", "lanes = 2", 0));
    cluster.run_until(cluster.now + 3.0);
    assert_eq!(cluster.outcome(0, 2), Some(Outcome::Superseded(2)), "the author is told of the conflict");
}

#[test]
fn of_two_concurrent_changes_of_one_key_one_is_superseded() {
    let mut cluster = SimulatedCluster::new(3, 0, 9);
    cluster.run_until(1.0);
    let number = cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.propose(1, 1, change(2, "a", "lanes = 2", number));
    cluster.propose(2, 2, change(3, "a", "lanes = 3", number));
    cluster.run_until(cluster.now + 2.0);
    let outcomes = [cluster.outcome(1, 2), cluster.outcome(2, 3)];
    let won = cluster.log.state.get("a").expect("the key has an entry").0;
    assert!(
        outcomes == [Some(Outcome::Committed(won)), Some(Outcome::Superseded(won))]
            || outcomes == [Some(Outcome::Superseded(won)), Some(Outcome::Committed(won))],
        "{outcomes:?}"
    );
    cluster.assert_agreement();
}

#[test]
fn concurrent_changes_of_two_keys_are_both_committed() {
    let mut cluster = SimulatedCluster::new(3, 0, 10);
    cluster.run_until(1.0);
    cluster.propose(1, 1, change(2, "a", "lanes = 2", 0));
    cluster.propose(2, 2, change(3, "b", "lanes = 3", 0));
    cluster.run_until(cluster.now + 4.0);
    let outcomes = [cluster.outcome(1, 2), cluster.outcome(2, 3)];
    assert!(outcomes.iter().all(|o| matches!(o, Some(Outcome::Committed(_)))), "{outcomes:?}");
    cluster.assert_agreement();
}

/// There is no leader yet, and three replicas try to lead at the same time.
#[test]
fn concurrent_proposers_back_off_and_all_changes_are_committed() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::new(3, 0, seed);
        // Proposals arrive before the replicas have received anything from each other.
        cluster.delivery_rule = Box::new(|_, from, to, rng| match (from, to) {
            (NodeId::Replica(_), NodeId::Replica(_)) => vec![rng.random_range(0.03..0.15)],
            _ => vec![0.001],
        });
        for n in 0..3 {
            cluster.propose(n, n, change(n as u64 + 1, &format!("key {n}"), "lanes = 1", 0));
        }
        cluster.run_until(5.0);
        let outcomes: Vec<_> = (0..3).map(|n| cluster.outcome(n, n as u64 + 1)).collect();
        assert!(
            outcomes.iter().all(|o| matches!(o, Some(Outcome::Committed(_)))),
            "seed {seed}: {outcomes:?}"
        );
        let prepares: u64 = (0..3).map(|n| cluster.replica_view(n).counters.prepares).sum();
        assert!(prepares >= 2, "seed {seed}: the attempts were not concurrent");
        cluster.assert_agreement();
    }
}

/// A retry gets the outcome, even after the change was replaced by later ones. If the log no longer reaches back that far,
/// the outcome is unknown.
#[test]
fn a_change_proposed_again_is_not_applied_twice() {
    let mut cluster = SimulatedCluster::new(3, 0, 11);
    cluster.run_until(1.0);
    let first = change(1, "a", "lanes = 1", 0);
    let number = cluster.commit(0, first.clone());
    assert_eq!(cluster.commit(1, first.clone()), number);
    cluster.commit(2, change(2, "a", "lanes = 2", number));
    cluster.commit(2, change(3, "a", "lanes = 3", number + 1));
    cluster.run_until(cluster.now + 1.0);
    assert_eq!(cluster.commit(1, first.clone()), number, "it took effect and was replaced later");
    (0..3).for_each(|n| cluster.compact(n));
    for n in 0..3 {
        cluster.stop_replica(n);
        cluster.start_replica(n);
    }
    cluster.propose(5, 0, first);
    cluster.run_until(cluster.now + 1.0);
    assert_eq!(cluster.outcome(5, 1), Some(Outcome::Unknown));
    assert_eq!(cluster.numbers_of(1), [number]);
}

#[test]
fn an_out_of_bounds_change_is_rejected_with_its_reason() {
    let mut cluster = SimulatedCluster::new(3, 0, 12);
    cluster.run_until(1.0);
    let long = "x".repeat(MAX_TEXT_BYTES + 1);
    cluster.propose(0, 0, change(1, "a", &long, 0));
    cluster.propose(0, 0, change(2, &"k".repeat(MAX_KEY_BYTES + 1), "lanes = 1", 0));
    cluster.propose(0, 0, change(3, "", "lanes = 1", 0));
    cluster.propose(0, 0, change(0, "a", "lanes = 1", 0));
    cluster.run_until(cluster.now + 1.0);
    let outcomes: Vec<_> = (0..4).map(|id| cluster.outcome(0, id)).collect();
    let (large, keyless) = (Some(Outcome::TooLarge), Some(Outcome::EmptyKey));
    assert_eq!(outcomes, [keyless, large, large, keyless]);
    cluster.delivery_rule =
        partitioned(|node| usize::from(node != NodeId::Replica(0) && !matches!(node, NodeId::Author(_))));
    (10..400).for_each(|id| cluster.propose(0, 0, change(id, &format!("k {id}"), "lanes = 1", 0)));
    cluster.run_until(cluster.now + 1.0);
    let cpu_seconds = (10..400).filter(|id| cluster.outcome(0, *id) == Some(Outcome::Busy)).count();
    assert_eq!(cpu_seconds, 390 - 256);
}

/// A change of maximum size fits into every message that carries it.
#[test]
fn the_longest_change_is_committed() {
    let mut cluster = SimulatedCluster::new(3, 1, 13);
    cluster.start_all_followers();
    cluster.stop_replica(2);
    cluster.run_until(1.0);
    cluster.commit(0, change(u64::MAX, &"k".repeat(MAX_KEY_BYTES), &"x".repeat(MAX_TEXT_BYTES), 0));
    cluster.start_replica(2);
    cluster.run_until(cluster.now + 2.0);
    cluster.assert_agreement();
    assert_eq!(cluster.follower_head(0), 1);
}

/// Messages are duplicated, delayed by seconds, reordered, and a fifth of them are lost, while replicas restart.
#[test]
fn duplicated_and_late_messages_do_no_harm() {
    for seed in 0..6 {
        let mut cluster = SimulatedCluster::new(3, 3, seed);
        cluster.start_all_followers();
        cluster.delivery_rule = Box::new(|_, _, _, rng| {
            let times = [0, 1, 1, 1, 2][rng.random_range(0..5)];
            let late = |rng: &mut rand_chacha::ChaCha8Rng| match rng.random_bool(0.1) {
                true => rng.random_range(0.0..8.0),
                false => rng.random_range(0.0005..0.05),
            };
            (0..times).map(|_| late(rng)).collect()
        });
        for id in 1..30 {
            let replica = cluster.rng.random_range(0..3);
            cluster.propose(0, replica, change(id, &format!("key {}", id % 4), "lanes = 1", 0));
            if id % 7 == 0 {
                let n = cluster.rng.random_range(0..3);
                cluster.stop_replica(n);
                cluster.start_replica(n);
            }
            cluster.run_until(cluster.now + 0.4);
        }
        cluster.delivery_rule = reliable();
        cluster.run_until(cluster.now + 10.0);
        cluster.assert_agreement();
        assert!(cluster.log.state.head() >= 4, "seed {seed}: {}", cluster.log.state.head());
        assert!((0..3).all(|n| cluster.follower_head(n) == cluster.log.state.head()), "seed {seed}");
    }
}

/// Authentic messages from an address that is no replica's, or under a ballot that another replica owns, have no effect.
#[test]
fn messages_of_non_members_and_forged_ballots_have_no_effect() {
    let mut cluster = SimulatedCluster::new(3, 0, 15);
    cluster.run_until(1.0);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    let before = cluster.replica(1).compact();
    let ballot = milletpath_config_log::Ballot(1 << 20).above(0);
    let vote =
        milletpath_config_log::message::Vote { number: 2, ballot, change: change(9, "a", "lanes = 9", 1) };
    for (from, message) in [
        (NodeId::Author(0), Message::Prepare { ballot, attempt: 1 }),
        (NodeId::Author(0), Message::Accept { vote: vote.clone() }),
        (NodeId::Author(0), Message::Accepted { ballot, number: 2 }),
        (NodeId::Replica(2), Message::Accept { vote }),
        (NodeId::Replica(2), Message::Prepare { ballot, attempt: 1 }),
    ] {
        cluster.send(from, NodeId::Replica(1).address(), message);
    }
    cluster.run_until(cluster.now + 0.1);
    assert_eq!(cluster.replica(1).compact(), before);
    assert_eq!(cluster.replica_view(1).counters.unexpected, 5);
}

/// A `Get` returns the current entry of a key, and the status is readable page by page.
#[test]
fn get_and_status_requests_are_answered() {
    let mut cluster = SimulatedCluster::new(3, 40, 16);
    cluster.start_all_followers();
    cluster.run_until(2.0);
    let number = cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.commit(0, Change { id: 2, key: "a".into(), text: None, replaces: number });
    cluster.run_until(cluster.now + 1.0);
    let to = NodeId::Replica(1).address();
    cluster.send(NodeId::Author(7), to, Message::Get { key: "a".into() });
    cluster.send(NodeId::Author(7), to, Message::Get { key: "b".into() });
    cluster.send(NodeId::Author(7), to, Message::StatusRequest { query_id: 5, page: 0 });
    cluster.run_until(cluster.now + 0.1);
    let got = |key: &str| {
        cluster.author_inbox.iter().find_map(|(_, _, m)| match m {
            Message::GetReply { key: k, number, text, head, .. } if k == key => {
                Some((*number, text.clone(), *head))
            }
            _ => None,
        })
    };
    assert_eq!(got("a"), Some((2, None, 2)));
    assert_eq!(got("b"), Some((0, None, 2)));
    let page_count = cluster.author_inbox.iter().find_map(|(_, _, m)| match m {
        Message::StatusPage { page_count, .. } => Some(*page_count),
        _ => None,
    });
    let page_count = page_count.expect("the first page has arrived");
    assert!(page_count > 1, "{page_count}");
    (1..page_count)
        .for_each(|page| cluster.send(NodeId::Author(7), to, Message::StatusRequest { query_id: 5, page }));
    cluster.run_until(cluster.now + 0.1);
    let mut pages = std::collections::BTreeMap::new();
    for (_, _, message) in &cluster.author_inbox {
        if let Message::StatusPage { query_id: 5, page, bytes, .. } = message {
            pages.insert(*page, bytes.clone());
        }
    }
    let text: Vec<u8> = pages.into_values().flatten().collect();
    let view: milletpath_config_log::ReplicaView =
        serde_json::from_slice(&text).expect("the pages are complete");
    assert_eq!((view.number, view.followers.len(), view.majority), (2, 40, true));
    assert!(view.followers.iter().all(|f| f.number == 2), "{:?}", view.followers);
}
