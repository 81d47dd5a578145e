//! Control machines: deaths between two acts, cuts, authors and proposers that meet. Disks are in `disks.rs`. In all of
//! it the network of `net` looks at each committed entry; what is told here is what becomes of it.

mod net;

use milletpath_config_log::{Change, KEY, Message, Outcome, Record, TEXT};
use net::place::{apart, calm};
use net::{Dies, Net, Place, change};
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
fn a_change_is_in_force_at_all_machines(size: usize) {
    let mut net = Net::new(size, 0, 1);
    net.play(1.0);
    assert_eq!(net.commit(0, change(1, "function a", "lanes = 2", 0)), 1);
    assert_eq!(net.commit(size - 1, change(2, "function a", "lanes = 3", 1)), 2);
    net.play(net.now + 1.0);
    net.agree();
    let (number, stated) = net.replica(0).state().get("function a").expect("it stands");
    assert_eq!((number, stated.text.as_deref()), (2, Some("lanes = 3")));
}

/// Who proposes dies after the first of its messages: whoever takes over finds it and ends it, and the author, who asks
/// again elsewhere, is told the number.
#[test]
fn a_change_half_told_is_ended_by_the_next() {
    let mut net = Net::new(5, 0, 3);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    net.dies = Some((0, Dies::Sent(is_accept)));
    let late = change(2, "late", "lanes = 2", 0);
    net.propose(0, 0, late.clone());
    net.play(net.now + 0.5);
    assert!(net.machines[0].core.is_none(), "it died");
    assert_eq!(net.outcome(0, 2), None);
    assert_eq!(net.commit(3, late), 2);
    net.begin(0);
    net.play(net.now + 2.0);
    net.agree();
    let held = net.log.state.get("late").expect("it stands");
    assert_eq!((held.0, held.1.id), (2, 2));
}

/// Nobody asks again: an open number is ended by itself.
#[test]
fn a_change_half_told_is_ended_without_its_author() {
    let mut net = Net::new(3, 0, 3);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    net.dies = Some((0, Dies::Sent(is_accept)));
    net.propose(0, 0, change(2, "late", "lanes = 2", 0));
    net.play(net.now + 8.0);
    assert!(net.machines[0].core.is_none(), "it died");
    assert_eq!((net.places(2), net.heads()), (vec![2], vec![2, 2]));
}

/// Who proposes dies before anybody heard: the change is nowhere, also after its machine came back, as its number went to
/// another one meanwhile.
#[test]
fn a_change_told_to_nobody_is_nowhere() {
    let mut net = Net::new(3, 0, 4);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    net.dies = Some((0, Dies::Stored(is_accepted)));
    net.propose(0, 0, change(2, "late", "lanes = 2", 0));
    net.play(net.now + 0.5);
    assert!(net.machines[0].core.is_none(), "it died");
    assert_eq!(net.commit(1, change(3, "other", "lanes = 3", 0)), 2);
    net.begin(0);
    net.play(net.now + 5.0);
    net.agree();
    assert_eq!((net.places(2), net.heads()), (vec![], vec![2, 2, 2]));
    // Its author learns just that when he asks again: it is as new.
    assert_eq!(net.commit(0, change(2, "late", "lanes = 2", 0)), 3);
}

/// The side with the leader and two of five commits nothing and says so, the other side goes on; after the cut all have
/// the same.
#[test]
fn a_minority_commits_nothing_and_says_so() {
    let mut net = Net::new(5, 0, 5);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    assert_eq!(net.leaders(), [0]);
    net.rule = apart(|place| usize::from(matches!(place, Place::Replica(0 | 1) | Place::Author(0))));
    net.propose(0, 0, change(2, "a", "lanes = 2", 0));
    net.propose(1, 3, change(3, "a", "lanes = 3", 0));
    net.play(net.now + 6.0);
    assert_eq!(net.outcome(0, 2), Some(Outcome::Unknown));
    assert_eq!(net.outcome(1, 3), Some(Outcome::Committed(2)));
    assert_eq!(net.heads(), [1, 1, 2, 2, 2]);
    assert!(net.machine_view(0).sure_as_of.is_none_or(|age| age > 5.0), "it knows that it may be behind");
    assert!(net.machine_view(2).sure_as_of.is_some_and(|age| age < 1.0));
    net.rule = calm();
    net.play(net.now + 3.0);
    net.agree();
    net.propose(0, 0, change(2, "a", "lanes = 2", 0));
    net.play(net.now + 3.0);
    assert_eq!(net.outcome(0, 2), Some(Outcome::Superseded(2)), "its author learns that he was too late");
}

#[test]
fn of_two_authors_at_once_on_one_key_one_learns_that_he_was_too_late() {
    let mut net = Net::new(3, 0, 9);
    net.play(1.0);
    let number = net.commit(0, change(1, "a", "lanes = 1", 0));
    net.propose(1, 1, change(2, "a", "lanes = 2", number));
    net.propose(2, 2, change(3, "a", "lanes = 3", number));
    net.play(net.now + 2.0);
    let told = [net.outcome(1, 2), net.outcome(2, 3)];
    let won = net.log.state.get("a").expect("it stands").0;
    assert!(
        told == [Some(Outcome::Committed(won)), Some(Outcome::Superseded(won))]
            || told == [Some(Outcome::Superseded(won)), Some(Outcome::Committed(won))],
        "{told:?}"
    );
    net.agree();
}

#[test]
fn two_authors_at_once_on_two_keys_both_pass() {
    let mut net = Net::new(3, 0, 10);
    net.play(1.0);
    net.propose(1, 1, change(2, "a", "lanes = 2", 0));
    net.propose(2, 2, change(3, "b", "lanes = 3", 0));
    net.play(net.now + 4.0);
    let told = [net.outcome(1, 2), net.outcome(2, 3)];
    assert!(told.iter().all(|o| matches!(o, Some(Outcome::Committed(_)))), "{told:?}");
    net.agree();
}

/// Nobody leads yet, and three machines want to at the same moment.
#[test]
fn proposers_at_once_give_way_and_all_changes_pass() {
    for seed in 0..20 {
        let mut net = Net::new(3, 0, seed);
        // Authors are near, and machines have not heard each other yet.
        net.rule = Box::new(|_, from, to, chance| match (from, to) {
            (Place::Replica(_), Place::Replica(_)) => vec![chance.random_range(0.03..0.15)],
            _ => vec![0.001],
        });
        for n in 0..3 {
            net.propose(n, n, change(n as u64 + 1, &format!("key {n}"), "lanes = 1", 0));
        }
        net.play(5.0);
        let told: Vec<_> = (0..3).map(|n| net.outcome(n, n as u64 + 1)).collect();
        assert!(told.iter().all(|o| matches!(o, Some(Outcome::Committed(_)))), "seed {seed}: {told:?}");
        let prepared: u64 = (0..3).map(|n| net.machine_view(n).tally.prepared).sum();
        assert!(prepared >= 2, "seed {seed}: they met");
        net.agree();
    }
}

/// Asked again, also after another change went over it, an author is told what became of his; where the log doesn't reach
/// back so far, that it is not known.
#[test]
fn a_change_asked_for_again_is_not_applied_twice() {
    let mut net = Net::new(3, 0, 11);
    net.play(1.0);
    let first = change(1, "a", "lanes = 1", 0);
    let number = net.commit(0, first.clone());
    assert_eq!(net.commit(1, first.clone()), number);
    net.commit(2, change(2, "a", "lanes = 2", number));
    net.commit(2, change(3, "a", "lanes = 3", number + 1));
    net.play(net.now + 1.0);
    assert_eq!(net.commit(1, first.clone()), number, "it was in force, and is no more");
    (0..3).for_each(|n| net.compact(n));
    for n in 0..3 {
        net.kill(n);
        net.begin(n);
    }
    net.propose(5, 0, first);
    net.play(net.now + 1.0);
    assert_eq!(net.outcome(5, 1), Some(Outcome::Unknown));
    assert_eq!(net.places(1), [number]);
}

#[test]
fn what_breaks_a_bound_is_refused_with_the_reason() {
    let mut net = Net::new(3, 0, 12);
    net.play(1.0);
    let long = "x".repeat(TEXT + 1);
    net.propose(0, 0, change(1, "a", &long, 0));
    net.propose(0, 0, change(2, &"k".repeat(KEY + 1), "lanes = 1", 0));
    net.propose(0, 0, change(3, "", "lanes = 1", 0));
    net.propose(0, 0, change(0, "a", "lanes = 1", 0));
    net.play(net.now + 1.0);
    let told: Vec<_> = (0..4).map(|id| net.outcome(0, id)).collect();
    let (large, keyless) = (Some(Outcome::TooLarge), Some(Outcome::NoKey));
    assert_eq!(told, [keyless, large, large, keyless]);
    net.rule = apart(|place| usize::from(place != Place::Replica(0) && !matches!(place, Place::Author(_))));
    (10..400).for_each(|id| net.propose(0, 0, change(id, &format!("k {id}"), "lanes = 1", 0)));
    net.play(net.now + 1.0);
    let busy = (10..400).filter(|id| net.outcome(0, *id) == Some(Outcome::Busy)).count();
    assert_eq!(busy, 390 - 256);
}

/// The longest change passes, in every message that carries it.
#[test]
fn the_longest_change_passes() {
    let mut net = Net::new(3, 1, 13);
    net.follow_all();
    net.kill(2);
    net.play(1.0);
    net.commit(0, change(u64::MAX, &"k".repeat(KEY), &"x".repeat(TEXT), 0));
    net.begin(2);
    net.play(net.now + 2.0);
    net.agree();
    assert_eq!(net.number(0), 1);
}

/// Messages come twice, late by seconds, and in any order, and a fifth is lost.
#[test]
fn repeated_and_late_messages_do_no_harm() {
    for seed in 0..6 {
        let mut net = Net::new(3, 3, seed);
        net.follow_all();
        net.rule = Box::new(|_, _, _, chance| {
            let times = [0, 1, 1, 1, 2][chance.random_range(0..5)];
            let late = |chance: &mut rand_chacha::ChaCha8Rng| match chance.random_bool(0.1) {
                true => chance.random_range(0.0..8.0),
                false => chance.random_range(0.0005..0.05),
            };
            (0..times).map(|_| late(chance)).collect()
        });
        for id in 1..30 {
            let machine = net.chance.random_range(0..3);
            net.propose(0, machine, change(id, &format!("key {}", id % 4), "lanes = 1", 0));
            if id % 7 == 0 {
                let n = net.chance.random_range(0..3);
                net.kill(n);
                net.begin(n);
            }
            net.play(net.now + 0.4);
        }
        net.rule = calm();
        net.play(net.now + 10.0);
        net.agree();
        assert!(net.log.state.head() >= 4, "seed {seed}: {}", net.log.state.head());
        assert!((0..3).all(|n| net.number(n) == net.log.state.head()), "seed {seed}");
    }
}

/// Sealed rightly but from no machine of the log, or in another's name: nothing follows from it.
#[test]
fn nobody_else_has_a_vote() {
    let mut net = Net::new(3, 0, 15);
    net.play(1.0);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    let before = net.replica(1).compact();
    let ballot = milletpath_config_log::Ballot(1 << 20).above(0);
    let vote =
        milletpath_config_log::message::Vote { number: 2, ballot, change: change(9, "a", "lanes = 9", 1) };
    for (from, message) in [
        (Place::Author(0), Message::Prepare { ballot, attempt: 1 }),
        (Place::Author(0), Message::Accept { vote: vote.clone() }),
        (Place::Author(0), Message::Accepted { ballot, number: 2 }),
        (Place::Replica(2), Message::Accept { vote }),
        (Place::Replica(2), Message::Prepare { ballot, attempt: 1 }),
    ] {
        net.post(from, Place::Replica(1).at(), message);
    }
    net.play(net.now + 0.1);
    assert_eq!(net.replica(1).compact(), before);
    assert_eq!(net.machine_view(1).tally.strange, 5);
}

/// What stands under a key, and the view in pages.
#[test]
fn a_tool_is_answered() {
    let mut net = Net::new(3, 40, 16);
    net.follow_all();
    net.play(2.0);
    let number = net.commit(0, change(1, "a", "lanes = 1", 0));
    net.commit(0, Change { id: 2, key: "a".into(), text: None, replaces: number });
    net.play(net.now + 1.0);
    let to = Place::Replica(1).at();
    net.post(Place::Author(7), to, Message::Get { key: "a".into() });
    net.post(Place::Author(7), to, Message::Get { key: "b".into() });
    net.post(Place::Author(7), to, Message::Status { ask: 5, page: 0 });
    net.play(net.now + 0.1);
    let got = |key: &str| {
        net.mail.iter().find_map(|(_, _, m)| match m {
            Message::Got { key: k, number, text, head, .. } if k == key => {
                Some((*number, text.clone(), *head))
            }
            _ => None,
        })
    };
    assert_eq!(got("a"), Some((2, None, 2)));
    assert_eq!(got("b"), Some((0, None, 2)));
    let of = net.mail.iter().find_map(|(_, _, m)| match m {
        Message::StatusPage { of, .. } => Some(*of),
        _ => None,
    });
    let of = of.expect("the first page");
    assert!(of > 1, "{of}");
    (1..of).for_each(|page| net.post(Place::Author(7), to, Message::Status { ask: 5, page }));
    net.play(net.now + 0.1);
    let mut pages = std::collections::BTreeMap::new();
    for (_, _, message) in &net.mail {
        if let Message::StatusPage { ask: 5, page, bytes, .. } = message {
            pages.insert(*page, bytes.clone());
        }
    }
    let text: Vec<u8> = pages.into_values().flatten().collect();
    let view: milletpath_config_log::ReplicaView = serde_json::from_slice(&text).expect("it is whole");
    assert_eq!((view.number, view.followers.len(), view.majority), (2, 40, true));
    assert!(view.followers.iter().all(|f| f.number == 2), "{:?}", view.followers);
}
