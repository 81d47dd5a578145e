//! Control machines and their disks: what was made durable and not yet told, disks that are old, rewritten or lost. The
//! network of `net` looks at each committed entry; what is told here is what becomes of it.

mod net;

use milletpath_config_log::{Message, Outcome, Record};
use net::place::{apart, calm};
use net::{Dies, Net, Place, change};
use rand::Rng;

fn is_accepted(record: &Record) -> bool {
    matches!(record, Record::Accepted(vote) if vote.change.key == "late")
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
    assert_eq!((net.places(2), number), (vec![2], 3));
    net.begin(0);
    net.play(net.now + 2.0);
    net.agree();
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
    net.agree();
    net.kill(0);
    net.commit(1, change(2, "late", "lanes = 2", 0));
    net.agree();
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
    assert!(!net.machine_view(2).votes);
    assert_eq!(net.heads(), [1, 1], "it learns all the same");
    net.begin(1);
    net.play(net.now + 3.0);
    assert!(net.machine_view(2).votes);
    net.kill(0);
    net.commit(2, change(3, "later", "lanes = 3", 0));
    net.begin(0);
    net.play(net.now + 3.0);
    net.agree();
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
    assert_eq!(net.places(2), [2]);
    net.begin(0);
    net.rule = calm();
    net.play(net.now + 3.0);
    net.agree();
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
        net.agree();
        assert!((0..5).all(|n| net.machine_view(n).votes), "seed {seed}");
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
    assert!((1..3).all(|n| !net.machine_view(n).votes));
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
    net.agree();
    net.kill(0);
    net.commit(2, change(1, "late", "lanes = 1", 0));
    net.begin(0);
    net.play(net.now + 2.0);
    net.agree();
}
