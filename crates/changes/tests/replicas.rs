//! Control machines: deaths between two acts, cuts, disks that are old or lost, authors and proposers that meet. In all of
//! it the network of `net` looks at each committed entry; what is told here is what becomes of it.

mod net;

use milletpath_changes::{Change, KEY, Message, Outcome, Record, TEXT};
use net::place::{apart, calm};
use net::{Dies, Net, Place, change};
use rand::Rng;
use test_case::test_case;

/// All machines that are up have the same in force.
fn agree(net: &Net) {
    let up: Vec<_> = net.machines.iter().filter_map(|node| node.core.as_ref()).collect();
    assert!(up.iter().all(|core| core.state() == up[0].state()), "heads {:?}", heads(net));
}

fn heads(net: &Net) -> Vec<u64> {
    net.machines.iter().filter_map(|node| node.core.as_ref()).map(|core| core.state().head()).collect()
}

/// At which numbers a change stands in the log.
fn places(net: &Net, id: u64) -> Vec<u64> {
    net.log.entries.values().filter(|e| e.change.id == id).map(|e| e.number).collect()
}

/// Whether machine `n` votes and leads.
fn view(net: &mut Net, n: usize) -> milletpath_changes::ReplicaView {
    let clock = net.machines[n].clock(net.now);
    net.machines[n].core.as_mut().expect("it is up").view(clock)
}

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
    agree(&net);
    let (number, stated) = net.replica(0).state().get("function a").expect("it stands");
    assert_eq!((number, stated.text.as_deref()), (2, Some("lanes = 3")));
}

/// A machine dies when it has stored what it accepts and before anybody hears of it; who proposed it dies too. What it
/// has on its disk is found by who leads next.
#[test]
fn what_was_stored_and_not_sent_is_found_after_the_restart() {
    let mut net = Net::new(3, 0, 2);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    net.kill(2);
    net.dies = Some((1, Dies::Stored(is_accepted)));
    net.propose(0, 0, change(2, "late", "lanes = 2", 0));
    net.play(net.now + 1.0);
    assert!(net.machines[1].core.is_none(), "it died");
    assert_eq!(net.log.state.head(), 1, "one of three is not enough");
    net.kill(0);
    net.begin(1);
    net.begin(2);
    net.play(net.now + 1.0);
    let number = net.commit(2, change(3, "later", "lanes = 3", 0));
    assert_eq!((places(&net, 2), number), (vec![2], 3));
    net.begin(0);
    net.play(net.now + 2.0);
    agree(&net);
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
    agree(&net);
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
    assert_eq!((places(&net, 2), heads(&net)), (vec![2], vec![2, 2]));
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
    agree(&net);
    assert_eq!((places(&net, 2), heads(&net)), (vec![], vec![2, 2, 2]));
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
    assert_eq!(heads(&net), [1, 1, 2, 2, 2]);
    assert!(view(&mut net, 0).sure_as_of.is_none_or(|age| age > 5.0), "it knows that it may be behind");
    assert!(view(&mut net, 2).sure_as_of.is_some_and(|age| age < 1.0));
    net.rule = calm();
    net.play(net.now + 3.0);
    agree(&net);
    net.propose(0, 0, change(2, "a", "lanes = 2", 0));
    net.play(net.now + 3.0);
    assert_eq!(net.outcome(0, 2), Some(Outcome::Superseded(2)), "its author learns that he was too late");
}

/// A machine that was away for long comes back with what it had.
#[test]
fn an_old_disk_catches_up_and_votes() {
    let mut net = Net::new(3, 0, 6);
    net.play(1.0);
    net.commit(2, change(1, "early", "lanes = 1", 0));
    net.play(net.now + 1.0);
    net.kill(2);
    net.commit_many(0, "function", 60);
    net.begin(2);
    net.play(net.now + 3.0);
    agree(&net);
    net.kill(0);
    net.commit(1, change(2, "late", "lanes = 2", 0));
    agree(&net);
}

/// Without a disk a machine learns and does not vote until both others answered; with one of these away nothing passes, as
/// the two that are left could together forget what the three had chosen.
#[test]
fn a_lost_disk_does_not_vote_until_all_others_answered() {
    let mut net = Net::new(3, 0, 7);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    net.kill(2);
    net.disks[2].clear();
    net.kill(1);
    net.begin(2);
    net.propose(0, 0, change(2, "late", "lanes = 2", 0));
    net.play(net.now + 6.0);
    assert_eq!(net.outcome(0, 2), Some(Outcome::Unknown));
    assert!(!view(&mut net, 2).votes);
    assert_eq!(heads(&net), [1, 1], "it learns all the same");
    net.begin(1);
    net.play(net.now + 3.0);
    assert!(view(&mut net, 2).votes);
    net.kill(0);
    net.commit(2, change(3, "later", "lanes = 3", 0));
    net.begin(0);
    net.play(net.now + 3.0);
    agree(&net);
}

/// One helped to choose a change and told its author, lost its disk, and dies again just when it was taken in: what it was
/// told then binds it, although it has sent nothing since.
#[test]
fn what_it_was_told_when_taken_in_binds_it() {
    let mut net = Net::new(3, 0, 17);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    net.play(net.now + 1.0);
    net.kill(2);
    // Nothing of what 1 says comes to 0, which leads: 1 alone knows that the change is chosen.
    net.rule = Box::new(|_, from, to, _| match (from, to) {
        (Place::Replica(1), Place::Replica(0)) => vec![],
        _ => vec![0.001],
    });
    net.propose(0, 0, change(2, "late", "lanes = 2", 0));
    net.propose(0, 1, change(2, "late", "lanes = 2", 0));
    net.play(net.now + 0.5);
    assert_eq!((net.outcome(0, 2), net.head(0)), (Some(Outcome::Committed(2)), 1));
    net.kill(1);
    net.disks[1].clear();
    // 0 does not reach 2.
    net.rule = Box::new(|_, from, to, _| match (from, to) {
        (Place::Replica(0), Place::Replica(2)) => vec![],
        _ => vec![0.001],
    });
    net.dies = Some((1, Dies::Stored(|record| *record == Record::Joined)));
    net.begin(2);
    net.begin(1);
    net.play(net.now + 3.0);
    assert!(net.machines[1].core.is_none(), "it died");
    net.kill(0);
    net.begin(1);
    net.commit(2, change(3, "other", "lanes = 3", 0));
    assert_eq!(places(&net, 2), [2]);
    net.begin(0);
    net.rule = calm();
    net.play(net.now + 3.0);
    agree(&net);
}

/// Five machines die, lose disks (two may lack one at a time) and are cut off one after the other while changes come: never
/// two entries at a number, as `net` looks at each, and after it all are taken in and agree.
#[test]
fn disks_lost_one_after_the_other_lose_nothing() {
    let (mut lost, mut committed) = (0, 0);
    for seed in 0..12 {
        let mut net = Net::new(5, 0, seed);
        net.play(1.0);
        for step in 1..40 {
            let n = net.chance.random_range(0..5);
            let bare =
                |disk: &Vec<Record>| !disk.iter().any(|r| matches!(r, Record::Founded | Record::Joined));
            let without = (0..5).filter(|o| *o == n || bare(&net.disks[*o])).count();
            if net.chance.random_bool(0.6) {
                net.kill(n);
                if without <= 2 && net.chance.random_bool(0.5) {
                    net.disks[n].clear();
                    lost += 1;
                }
                net.begin(n);
            }
            let cut = net.chance.random_range(0..8);
            net.rule = apart(move |place| usize::from(place == Place::Replica(cut)));
            for id in [2 * step, 2 * step + 1] {
                let machine = net.chance.random_range(0..5);
                net.propose(0, machine, change(id, &format!("key {id}"), "lanes = 1", 0));
            }
            let seconds = net.chance.random_range(0.1..3.0);
            net.play(net.now + seconds);
        }
        net.rule = calm();
        net.play(net.now + 15.0);
        agree(&net);
        assert!((0..5).all(|n| view(&mut net, n).votes), "seed {seed}");
        let told = net.mail.iter().filter_map(|(_, _, m)| match m {
            Message::Proposed { id, outcome: Outcome::Committed(number) } => Some((*id, *number)),
            _ => None,
        });
        for (id, number) in told {
            assert_eq!(net.log.entries[&number].change.id, id, "seed {seed}");
        }
        committed += net.log.state.head();
    }
    assert!(lost > 60 && committed > 400, "{lost} disks lost, {committed} entries");
}

/// With a majority of disks lost nobody is taken in: the log would be a new one.
#[test]
fn most_disks_lost_is_no_log() {
    let mut net = Net::new(3, 0, 8);
    net.play(1.0);
    net.commit(0, change(1, "early", "lanes = 1", 0));
    for n in 1..3 {
        net.kill(n);
        net.disks[n].clear();
        net.begin(n);
    }
    net.propose(0, 0, change(2, "late", "lanes = 2", 0));
    net.play(net.now + 6.0);
    assert_eq!(net.outcome(0, 2), Some(Outcome::Unknown));
    assert!((1..3).all(|n| !view(&mut net, n).votes));
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
    agree(&net);
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
    agree(&net);
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
        let prepared: u64 = (0..3).map(|n| view(&mut net, n).tally.prepared).sum();
        assert!(prepared >= 2, "seed {seed}: they met");
        agree(&net);
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
    assert_eq!(places(&net, 1), [number]);
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
    agree(&net);
    assert_eq!(net.number(0), 1);
}

/// A machine begins from a rewritten disk as it ended; one that is behind what the others keep one by one gathers what is
/// in force, and what it had of that when it died is as nothing.
#[test]
fn a_rewritten_disk_says_all_and_whoever_is_far_behind_gathers() {
    let mut net = Net::new(3, 0, 14);
    net.play(1.0);
    net.kill(2);
    net.commit_many(0, "function", 80);
    for n in 0..2 {
        net.compact(n);
        let before = net.replica(n).state().clone();
        net.kill(n);
        net.begin(n);
        assert_eq!(*net.replica(n).state(), before);
    }
    net.dies = Some((2, Dies::Stored(|record| matches!(record, Record::Held(_)))));
    net.begin(2);
    net.play(net.now + 3.0);
    assert!(net.machines[2].core.is_none(), "it died");
    net.begin(2);
    assert_eq!(net.head(2), 0);
    net.play(net.now + 3.0);
    agree(&net);
    net.kill(0);
    net.commit(2, change(1, "late", "lanes = 1", 0));
    net.begin(0);
    net.play(net.now + 2.0);
    agree(&net);
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
        agree(&net);
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
    let ballot = milletpath_changes::Ballot(1 << 20).above(0);
    let vote =
        milletpath_changes::message::Vote { number: 2, ballot, change: change(9, "a", "lanes = 9", 1) };
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
    assert_eq!(view(&mut net, 1).tally.strange, 5);
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
    let view: milletpath_changes::ReplicaView = serde_json::from_slice(&text).expect("it is whole");
    assert_eq!((view.number, view.followers.len(), view.majority), (2, 40, true));
    assert!(view.followers.iter().all(|f| f.number == 2), "{:?}", view.followers);
}
