//! Followers under faults: Byzantine and silent replicas, message loss, pauses, outdated and corrupt saved states, and
//! catching up while the log advances. Whenever a follower's head changes, the simulated cluster checks that its state is
//! one of the log and that it delivered exactly that state to its gateway.

mod cluster;

use cluster::network::{lossy, partitioned, reliable};
use cluster::{NodeId, SimulatedCluster, change};
use milletpath_config_log::{Follower, FollowerConfig, FollowerView, Message, Timing};
use rand::Rng;
use test_case::test_case;

fn view(cluster: &SimulatedCluster, n: usize) -> FollowerView {
    cluster.follower(n).view(cluster.followers[n].clock(cluster.now))
}

/// Whether all followers have the latest committed state.
fn all_at_head(cluster: &SimulatedCluster) -> bool {
    let head = cluster.log.state.head();
    (0..cluster.followers.len())
        .all(|n| cluster.follower_head(n) == head && *cluster.follower(n).state() == cluster.log.state)
}

fn started_cluster(replicas: usize, followers: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(replicas, followers, seed);
    cluster.start_all_followers();
    cluster.run_until(2.0);
    cluster
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(7)]
fn every_follower_applies_a_change_and_confirms_that_it_is_the_latest(replicas: usize) {
    let mut cluster = started_cluster(replicas, 10, 1);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.run_until(cluster.now + 1.0);
    assert!(all_at_head(&cluster));
    cluster.check_all_followers();
    for n in 0..10 {
        let view = view(&cluster, n);
        assert_eq!((view.number, view.known, view.behind, view.conflicts), (1, 1, false, 0));
        assert!(view.confirmed_age.is_some_and(|age| age < 1.5), "{:?}", view.confirmed_age);
    }
}

#[test_case(0.01)]
#[test_case(0.2)]
fn followers_catch_up_despite_message_loss(lost: f64) {
    for seed in 0..5 {
        let mut cluster = started_cluster(5, 20, seed);
        cluster.delivery_rule = lossy(lost);
        // Authors retry, each time at another replica, until they get the outcome.
        for again in 0..12 {
            for id in (1..=20).filter(|id| cluster.outcome(0, *id).is_none()).collect::<Vec<_>>() {
                let key = format!("key {}", id % 9);
                cluster.propose(0, (id as usize + again) % 5, change(id, &key, "lanes = 1", 0));
                cluster.run_until(cluster.now + 0.05);
            }
        }
        cluster.run_until(cluster.now + if lost > 0.1 { 8.0 } else { 3.0 });
        assert!(cluster.log.state.head() >= 9, "seed {seed}");
        assert!(all_at_head(&cluster), "seed {seed}");
        cluster.check_all_followers();
    }
}

fn other_text(message: &mut Message) {
    let replace_text = |logged: &mut milletpath_config_log::LoggedEntry| {
        logged.entry.change.text = Some("lanes = 99".into());
    };
    match message {
        Message::Push { logged } => replace_text(logged),
        Message::PollReply { entries, .. } => entries.iter_mut().for_each(replace_text),
        _ => {}
    }
}

fn other_digest(message: &mut Message) {
    match message {
        Message::Push { logged } => logged.digest ^= 1,
        Message::PollReply { entries, digest, queried_digest, .. } => {
            *digest ^= 1;
            *queried_digest = queried_digest.map(|digest| digest ^ 1);
            entries.iter_mut().for_each(|logged| logged.digest ^= 1);
        }
        Message::SnapshotPage { digest, .. } => *digest ^= 1,
        _ => {}
    }
}

/// Reports uncommitted entries far ahead of the log and claims to be up to date.
fn far_ahead(message: &mut Message) {
    if let Message::PollReply { head, confirmed_age_ms, entries, .. } = message {
        (*head, *confirmed_age_ms) = (*head + 1_000_000, Some(0));
        entries.iter_mut().for_each(|logged| logged.entry.number += 7);
    }
}

/// Reports an old log and claims to be up to date.
fn far_behind(message: &mut Message) {
    match message {
        Message::PollReply { head, digest, confirmed_age_ms, queried_digest, entries, .. } => {
            (*head, *digest, *confirmed_age_ms, *queried_digest) = (0, 0, Some(0), None);
            entries.clear();
        }
        Message::Push { logged } => logged.entry.number = 1,
        _ => {}
    }
}

/// Sends snapshot pages that never end.
fn endless(message: &mut Message) {
    other_digest(message);
    if let Message::SnapshotPage { through, head, .. } = message {
        (*through, *head) = (*through + 1, *head + 1_000);
    }
}

/// One of seven replicas is Byzantine. It must neither mislead nor delay any follower, and it is detected if its messages
/// contradict those of the others.
#[test_case(other_text, true; "another text")]
#[test_case(other_digest, true; "another digest")]
#[test_case(far_ahead, false; "uncommitted entries")]
#[test_case(far_behind, false; "an old log")]
#[test_case(endless, true; "pages that never end")]
fn a_byzantine_replica_neither_misleads_nor_delays_followers(tamper: fn(&mut Message), detectable: bool) {
    for seed in 0..4 {
        let mut cluster = started_cluster(7, 30, seed);
        cluster.commit_many(0, "function", 80);
        cluster.run_until(cluster.now + 1.0);
        cluster.tamper = Some(Box::new(move |from, message| {
            if from == NodeId::Replica(3) {
                tamper(message);
            }
        }));
        for id in 1..=10 {
            let since = cluster.now;
            let number = cluster.commit(id as usize % 3, change(id, &format!("key {id}"), "lanes = 1", 0));
            cluster.run_until(since + 3.0);
            let late = (0..30).filter(|n| cluster.propagation_delay(*n, number, since).is_none()).count();
            assert_eq!(late, 0, "seed {seed}: followers without entry {number} after 3 s");
        }
        assert!(all_at_head(&cluster));
        cluster.check_all_followers();
        let views: Vec<_> = (0..30).map(|n| view(&cluster, n)).collect();
        let head = cluster.log.state.head();
        let is_correct = |v: &FollowerView| !v.behind && v.known == head && v.rebuilds == 0;
        assert!(views.iter().all(is_correct), "seed {seed}: {:?}", views.iter().find(|v| !is_correct(v)));
        // No correct replica is distrusted.
        let distrusted: Vec<_> = views
            .iter()
            .flat_map(|v| v.replicas.iter().filter(|r| r.conflicts > 0).map(|r| r.replica))
            .collect();
        assert!(distrusted.iter().all(|n| *n == 3), "seed {seed}: {distrusted:?}");
        assert!(!detectable || !distrusted.is_empty(), "seed {seed}: no follower detected it");
        // Followers that start without a state and fetch a snapshot are not misled either.
        for n in 0..10 {
            cluster.stop_follower(n);
            cluster.start_follower(n);
        }
        cluster.run_until(cluster.now + 8.0);
        assert!(all_at_head(&cluster), "seed {seed}");
    }
}

/// A follower is paused for a minute while more entries are committed than one poll brings. It must not mistake the pause
/// for silence of the replicas, nor deliver an entry twice.
#[test]
fn a_follower_paused_for_a_minute_catches_up_within_a_second() {
    let mut cluster = started_cluster(3, 2, 3);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.run_until(cluster.now + 1.0);
    cluster.pause_follower(0, 60.0);
    cluster.commit_many(0, "function", 30);
    cluster.run_until(cluster.now.max(3.0) + 60.0);
    cluster.run_until(cluster.now + 1.0);
    assert!(all_at_head(&cluster), "{} of {}", cluster.follower_head(0), cluster.log.state.head());
    cluster.check_all_followers();
    assert_eq!(view(&cluster, 0).conflicts, 0);
}

#[test]
fn a_clock_stepped_back_delays_nothing() {
    let mut cluster = started_cluster(3, 2, 4);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.followers[0].clock_step = -5_000.0;
    cluster.replicas[1].clock_step = -5_000.0;
    cluster.run_until(cluster.now + 2.0);
    for id in 2..6 {
        let since = cluster.now;
        let number = cluster.commit(id as usize % 3, change(id, &format!("key {id}"), "lanes = 1", 0));
        cluster.run_until(since + 2.0);
        assert!((0..2).all(|n| cluster.propagation_delay(n, number, since).is_some()));
    }
    assert!(view(&cluster, 0).confirmed_age.is_some_and(|age| (0.0..1.5).contains(&age)));
}

/// The saved state takes effect at the start, even if no message ever arrives.
#[test]
fn a_saved_state_takes_effect_at_once_without_any_replica() {
    let mut cluster = started_cluster(3, 2, 5);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.commit(0, change(2, "b", "lanes = 2", 0));
    cluster.run_until(cluster.now + 1.0);
    cluster.saved[0] = Some(cluster.follower(0).save());
    cluster.commit(0, change(3, "a", "lanes = 3", 1));
    cluster.stop_follower(0);
    cluster.delivery_rule = Box::new(|_, _, _, _| vec![]);
    cluster.start_follower(0);
    assert_eq!((cluster.follower_head(0), cluster.delivered[0].len()), (2, 2));
    cluster.run_until(cluster.now + 30.0);
    assert_eq!(cluster.follower_head(0), 2);
    assert_eq!(view(&cluster, 0).confirmed_age, None, "the age of a saved state is unknown");
    cluster.delivery_rule = reliable();
    cluster.run_until(cluster.now + 7.0);
    assert!(all_at_head(&cluster));
    cluster.check_all_followers();
}

#[test]
fn a_corrupt_saved_state_is_ignored() {
    let mut cluster = started_cluster(3, 1, 6);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.run_until(cluster.now + 1.0);
    let save = cluster.follower(0).save();
    for at in 0..save.len() {
        let mut broken = save.clone();
        broken[at] ^= 0x10;
        for broken in [broken, save[..at].to_vec()] {
            let (replicas, timing) = (cluster.replica_addresses(), Timing::default());
            let mut follower = Follower::new(
                FollowerConfig { name: "g".into(), replicas, timing, seed: 1 },
                0.0,
                Some(&broken),
            );
            assert_eq!((follower.state().head(), follower.take_updates()), (0, None));
        }
    }
}

/// The saved state is intact, but from another log. It stays in effect until a snapshot of the right log is complete; then
/// the keys that this log does not have are removed.
#[test_case(3; "with the same head")]
#[test_case(2; "with a lower head")]
#[test_case(9; "with a higher head")]
fn a_saved_state_of_another_log_is_replaced_completely(count: u64) {
    let mut other = started_cluster(3, 1, 7);
    other.commit_many(0, "wrong", count);
    other.run_until(other.now + 1.0);
    let mut cluster = started_cluster(3, 1, 8);
    cluster.commit_many(0, "right", 3);
    cluster.stop_follower(0);
    cluster.saved[0] = Some(other.follower(0).save());
    cluster.start_follower(0);
    assert_eq!(cluster.delivered[0].len(), count as usize);
    cluster.run_until(cluster.now + 2.0);
    cluster.commit(0, change(1, "more", "lanes = 2", 0));
    cluster.run_until(cluster.now + 6.0);
    assert!(all_at_head(&cluster), "{:?}", view(&cluster, 0));
    cluster.check_follower(0);
    let wrong = cluster.delivered[0].iter().filter(|(key, _)| key.starts_with("wrong"));
    assert!(wrong.clone().all(|(_, (_, text))| text.is_none()));
    assert_eq!((wrong.count(), view(&cluster, 0).rebuilds), (count as usize, 1));
}

/// Followers catch up without a state, from an old state, and after a restart of all replicas from compacted records,
/// which leaves only snapshots to fetch, all while the log advances.
#[test]
fn catching_up_exposes_only_committed_states() {
    for seed in 0..3 {
        let mut cluster = started_cluster(3, 4, seed);
        (1..4).for_each(|n| cluster.stop_follower(n));
        for id in 1..=300 {
            cluster.propose(0, 0, change(id, &format!("function {id}"), &"x".repeat(200), 0));
            if id % 20 == 0 {
                cluster.run_until(cluster.now + 1.0);
            }
        }
        cluster.saved[2] = Some(cluster.follower(0).save());
        for id in 301..=400 {
            let key = format!("function {}", id - 300);
            let replaces = cluster.log.state.get(&key).expect("the key has an entry").0;
            cluster.propose(0, 0, change(id, &key, &"y".repeat(200), replaces));
            if id % 20 == 0 {
                cluster.run_until(cluster.now + 1.0);
            }
        }
        for n in 0..3 {
            cluster.compact(n);
            cluster.stop_replica(n);
            cluster.start_replica(n);
        }
        cluster.run_until(cluster.now + 1.0);
        (1..4).for_each(|n| cluster.start_follower(n));
        for id in 401..=480 {
            let key = format!("function {}", id - 300);
            let replaces = cluster.log.state.get(&key).expect("the key has an entry").0;
            cluster.propose(0, 0, change(id, &key, "z", replaces));
            cluster.run_until(cluster.now + 0.1);
        }
        cluster.run_until(cluster.now + 10.0);
        assert_eq!(cluster.log.state.head(), 480, "seed {seed}");
        assert!(all_at_head(&cluster), "seed {seed}");
        cluster.check_all_followers();
        let steps = cluster.head_history[1].len();
        assert!(steps > 3, "seed {seed}: the follower advanced in only {steps} steps");
    }
}

/// Followers on the side of two of five replicas keep their state and know since when it may be outdated.
#[test]
fn followers_of_a_minority_know_how_old_their_state_may_be() {
    let mut cluster = started_cluster(5, 8, 9);
    cluster.commit(0, change(1, "a", "lanes = 1", 0));
    cluster.run_until(cluster.now + 2.0);
    let is_in_minority = |node: NodeId| match node {
        NodeId::Replica(n) => n < 2,
        NodeId::Follower(n) => n < 4,
        NodeId::Author(_) => false,
    };
    cluster.delivery_rule = partitioned(move |node| usize::from(is_in_minority(node)));
    cluster.commit(3, change(2, "a", "lanes = 2", 1));
    cluster.run_until(cluster.now + 10.0);
    for n in 0..8 {
        let view = view(&cluster, n);
        let age = view.confirmed_age.expect("the state was confirmed before the partition");
        match n < 4 {
            true => assert!(view.number == 1 && age > 9.0, "{n}: {} as of {age}", view.number),
            false => assert!(view.number == 2 && age < 1.5, "{n}: {} as of {age}", view.number),
        }
    }
    cluster.delivery_rule = reliable();
    cluster.run_until(cluster.now + 7.0);
    assert!(all_at_head(&cluster));
    assert!((0..8).all(|n| view(&cluster, n).confirmed_age.is_some_and(|age| age < 1.5)));
}

/// Two of the three followed replicas crash. The next ones in order of preference replace them until they are back.
#[test]
fn silent_replicas_are_replaced_and_tried_again() {
    let mut cluster = started_cluster(7, 1, 10);
    let follows = view(&cluster, 0).follows;
    cluster.stop_replica(follows[0]);
    cluster.stop_replica(follows[1]);
    let since = cluster.now;
    let number = cluster.commit(follows[2], change(1, "a", "lanes = 1", 0));
    cluster.run_until(since + 3.0);
    assert!(cluster.propagation_delay(0, number, since).is_some());
    assert!(!view(&cluster, 0).follows.contains(&follows[0]));
    cluster.start_replica(follows[0]);
    cluster.start_replica(follows[1]);
    cluster.run_until(cluster.now + 8.0);
    assert_eq!(view(&cluster, 0).follows, follows, "they are tried again");
}

#[test]
fn an_apply_error_is_reported_to_the_replicas() {
    let mut cluster = started_cluster(3, 1, 11);
    let number = cluster.commit(0, change(1, "a", "lanes = -1", 0));
    cluster.run_until(cluster.now + 1.0);
    let reason = "no such figure ".repeat(40);
    cluster.followers[0]
        .process
        .as_mut()
        .expect("the node is running")
        .report_apply_error(number, reason.clone());
    cluster.run_until(cluster.now + 1.0);
    let clock = cluster.replicas[0].clock(cluster.now);
    let followers = cluster.replicas[0].process.as_mut().expect("the node is running").view(clock).followers;
    let apply_error = followers[0].apply_error.clone().expect("the error has been reported");
    assert_eq!((followers[0].name.as_str(), apply_error.number), ("gateway-0", number));
    assert!(reason.starts_with(&apply_error.reason) && apply_error.reason.len() == 200);
    cluster.commit(0, change(2, "a", "lanes = 1", number));
    cluster.run_until(cluster.now + 1.0);
    assert_eq!(view(&cluster, 0).apply_error, None, "the entry has been replaced");
}

/// A faulty replica sends authentic but nonsensical messages: nothing uncommitted may be applied, and nothing may panic.
#[test]
fn authenticated_garbage_does_no_harm() {
    let mut cluster = started_cluster(3, 3, 12);
    cluster.commit_many(0, "function", 3);
    cluster.tamper = Some(Box::new(|from, message| {
        if from == NodeId::Replica(1) {
            match message {
                Message::PollReply { request_id, head, entries, confirmed_age_ms, .. } => {
                    *request_id ^= *head & 1;
                    *confirmed_age_ms = Some(u64::MAX);
                    entries.reverse();
                }
                Message::Push { logged } => logged.entry.number = u64::MAX,
                Message::SnapshotPage { after, through, head, .. } => {
                    (*after, *through, *head) = (*through, *after, u64::MAX);
                }
                _ => {}
            }
        }
    }));
    for id in 1..20 {
        let replica = cluster.rng.random_range(0..3);
        cluster.propose(0, replica, change(id, &format!("key {id}"), "lanes = 1", 0));
        if id % 6 == 0 {
            cluster.stop_follower(0);
            cluster.start_follower(0);
        }
        cluster.run_until(cluster.now + 0.3);
    }
    cluster.tamper = None;
    cluster.run_until(cluster.now + 70.0);
    assert!(all_at_head(&cluster));
    cluster.check_all_followers();
}
