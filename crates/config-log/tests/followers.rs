//! Gateways that follow: machines that lie or fall silent, loss, standing still, old and rotten saves, and catching up
//! while the log goes on. After each event of a gateway the network of `net` looks whether what is in force there was
//! ever in force, and whether the gateway was told just that.

mod net;

use milletpath_config_log::{Follower, FollowerView, Message, Terms};
use net::place::{apart, calm, lossy};
use net::{Net, Place, change};
use rand::Rng;
use test_case::test_case;

fn view(net: &Net, n: usize) -> FollowerView {
    net.follower(n).view(net.gateways[n].clock(net.now))
}

/// All gateways have in force what is committed.
fn all_at_head(net: &Net) -> bool {
    let head = net.log.state.head();
    (0..net.gateways.len()).all(|n| net.number(n) == head && *net.follower(n).state() == net.log.state)
}

fn settled(machines: usize, followers: usize, seed: u64) -> Net {
    let mut net = Net::new(machines, followers, seed);
    net.follow_all();
    net.play(2.0);
    net
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(7)]
fn a_change_is_in_force_at_all_gateways_and_they_know_that_it_is_the_latest(machines: usize) {
    let mut net = settled(machines, 10, 1);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    net.play(net.now + 1.0);
    assert!(all_at_head(&net));
    net.check_all();
    for n in 0..10 {
        let view = view(&net, n);
        assert_eq!((view.number, view.known, view.behind, view.conflicts), (1, 1, false, 0));
        assert!(view.sure_as_of.is_some_and(|age| age < 1.5), "{:?}", view.sure_as_of);
    }
}

#[test_case(0.01)]
#[test_case(0.2)]
fn loss_is_made_up_for(lost: f64) {
    for seed in 0..5 {
        let mut net = settled(5, 20, seed);
        net.rule = lossy(lost);
        // Authors ask again, each time another machine, until they are told.
        for again in 0..12 {
            for id in (1..=20).filter(|id| net.outcome(0, *id).is_none()).collect::<Vec<_>>() {
                let key = format!("key {}", id % 9);
                net.propose(0, (id as usize + again) % 5, change(id, &key, "lanes = 1", 0));
                net.play(net.now + 0.05);
            }
        }
        net.play(net.now + if lost > 0.1 { 8.0 } else { 3.0 });
        assert!(net.log.state.head() >= 9, "seed {seed}");
        assert!(all_at_head(&net), "seed {seed}");
        net.check_all();
    }
}

fn other_text(message: &mut Message) {
    let lie =
        |logged: &mut milletpath_config_log::Logged| logged.entry.change.text = Some("lanes = 99".into());
    match message {
        Message::Push { logged } => lie(logged),
        Message::Reply { entries, .. } => entries.iter_mut().for_each(lie),
        _ => {}
    }
}

fn other_digest(message: &mut Message) {
    match message {
        Message::Push { logged } => logged.digest ^= 1,
        Message::Reply { entries, digest, about, .. } => {
            *digest ^= 1;
            *about = about.map(|digest| digest ^ 1);
            entries.iter_mut().for_each(|logged| logged.digest ^= 1);
        }
        Message::Page { digest, .. } => *digest ^= 1,
        _ => {}
    }
}

/// Entries that nobody committed, far ahead, and known to be the latest.
fn far_ahead(message: &mut Message) {
    if let Message::Reply { head, age, entries, .. } = message {
        (*head, *age) = (*head + 1_000_000, Some(0));
        entries.iter_mut().for_each(|logged| logged.entry.number += 7);
    }
}

/// An old log, and known to be the latest.
fn far_behind(message: &mut Message) {
    match message {
        Message::Reply { head, digest, age, about, entries, .. } => {
            (*head, *digest, *age, *about) = (0, 0, Some(0), None);
            entries.clear();
        }
        Message::Push { logged } => logged.entry.number = 1,
        _ => {}
    }
}

/// Pages that never end.
fn endless(message: &mut Message) {
    other_digest(message);
    if let Message::Page { upto, head, .. } = message {
        (*upto, *head) = (*upto + 1, *head + 1_000);
    }
}

/// One machine of seven lies to all that follow it; nobody is misled, nobody is held up, and those that can tell do.
#[test_case(other_text, true; "another text")]
#[test_case(other_digest, true; "another digest")]
#[test_case(far_ahead, false; "entries that nobody committed")]
#[test_case(far_behind, false; "an old log")]
#[test_case(endless, true; "pages that never end")]
fn one_that_lies_misleads_and_holds_up_nobody(lie: fn(&mut Message), told: bool) {
    for seed in 0..4 {
        let mut net = settled(7, 30, seed);
        net.commit_many(0, "function", 80);
        net.play(net.now + 1.0);
        net.lies = Some(Box::new(move |from, message| {
            if from == Place::Replica(3) {
                lie(message);
            }
        }));
        for id in 1..=10 {
            let since = net.now;
            let number = net.commit(id as usize % 3, change(id, &format!("key {id}"), "lanes = 1", 0));
            net.play(since + 3.0);
            let late = (0..30).filter(|n| net.delay(*n, number, since).is_none()).count();
            assert_eq!(late, 0, "seed {seed}: gateways without {number} after 3 s");
        }
        assert!(all_at_head(&net));
        net.check_all();
        let views: Vec<_> = (0..30).map(|n| view(&net, n)).collect();
        let head = net.log.state.head();
        let well = |v: &FollowerView| !v.behind && v.known == head && v.anew == 0;
        assert!(views.iter().all(well), "seed {seed}: {:?}", views.iter().find(|v| !well(v)));
        // Of the honest ones nobody is doubted.
        let doubted: Vec<_> = views
            .iter()
            .flat_map(|v| v.replicas.iter().filter(|r| r.conflicts > 0).map(|r| r.replica))
            .collect();
        assert!(doubted.iter().all(|n| *n == 3), "seed {seed}: {doubted:?}");
        assert!(!told || !doubted.is_empty(), "seed {seed}: nobody told");
        // Gateways that begin from nothing and gather pages, too.
        for n in 0..10 {
            net.end(n);
            net.follow(n);
        }
        net.play(net.now + 8.0);
        assert!(all_at_head(&net), "seed {seed}");
    }
}

/// It stood still for a minute and more than it polls for was committed: nothing is told twice, and it is there at once.
#[test]
fn a_gateway_that_stood_still_for_a_minute_is_there_at_once() {
    let mut net = settled(3, 2, 3);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    net.play(net.now + 1.0);
    net.stall(0, 60.0);
    net.commit_many(0, "function", 30);
    net.play(net.now.max(3.0) + 60.0);
    net.play(net.now + 1.0);
    assert!(all_at_head(&net), "{} of {}", net.number(0), net.log.state.head());
    net.check_all();
    assert_eq!(view(&net, 0).conflicts, 0);
}

#[test]
fn a_clock_that_goes_back_changes_nothing() {
    let mut net = settled(3, 2, 4);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    net.gateways[0].leap = -5_000.0;
    net.machines[1].leap = -5_000.0;
    net.play(net.now + 2.0);
    for id in 2..6 {
        let since = net.now;
        let number = net.commit(id as usize % 3, change(id, &format!("key {id}"), "lanes = 1", 0));
        net.play(since + 2.0);
        assert!((0..2).all(|n| net.delay(n, number, since).is_some()));
    }
    assert!(view(&net, 0).sure_as_of.is_some_and(|age| (0.0..1.5).contains(&age)));
}

/// What was saved is in force before anything is heard, also where nothing ever is.
#[test]
fn a_saved_state_is_in_force_at_once_and_without_any_machine() {
    let mut net = settled(3, 2, 5);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    net.commit(0, change(2, "b", "lanes = 2", 0));
    net.play(net.now + 1.0);
    net.saved[0] = Some(net.follower(0).save());
    net.commit(0, change(3, "a", "lanes = 3", 1));
    net.end(0);
    net.rule = Box::new(|_, _, _, _| vec![]);
    net.follow(0);
    assert_eq!((net.number(0), net.shown[0].len()), (2, 2));
    net.play(net.now + 30.0);
    assert_eq!(net.number(0), 2);
    assert_eq!(view(&net, 0).sure_as_of, None, "it doesn't know how old that is");
    net.rule = calm();
    net.play(net.now + 7.0);
    assert!(all_at_head(&net));
    net.check_all();
}

#[test]
fn a_broken_save_is_as_none() {
    let mut net = settled(3, 1, 6);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    net.play(net.now + 1.0);
    let save = net.follower(0).save();
    for at in 0..save.len() {
        let mut broken = save.clone();
        broken[at] ^= 0x10;
        for broken in [broken, save[..at].to_vec()] {
            let (replicas, terms) = (net.all_replicas(), Terms::default());
            let mut follower = Follower::new("g".into(), replicas, terms, 1, 0.0, Some(broken));
            assert_eq!((follower.state().head(), follower.news()), (0, None));
        }
    }
}

/// Saved rightly, but from another log: what is in force there never was. It stays until the whole of the right one is
/// there, and then what should never have been there is told to be removed.
#[test_case(3; "as far as the right one")]
#[test_case(2; "not so far")]
#[test_case(9; "further")]
fn a_save_of_another_log_is_replaced_whole(count: u64) {
    let mut other = settled(3, 1, 7);
    other.commit_many(0, "wrong", count);
    other.play(other.now + 1.0);
    let mut net = settled(3, 1, 8);
    net.commit_many(0, "right", 3);
    net.end(0);
    net.saved[0] = Some(other.follower(0).save());
    net.follow(0);
    assert_eq!(net.shown[0].len(), count as usize);
    net.play(net.now + 2.0);
    net.commit(0, change(1, "more", "lanes = 2", 0));
    net.play(net.now + 6.0);
    assert!(all_at_head(&net), "{:?}", view(&net, 0));
    net.check(0);
    let wrong = net.shown[0].iter().filter(|(key, _)| key.starts_with("wrong"));
    assert!(wrong.clone().all(|(_, (_, text))| text.is_none()));
    assert_eq!((wrong.count(), view(&net, 0).anew), (count as usize, 1));
}

/// From nothing, from long ago, and across a restart of all machines which left them no entries one by one; the log goes
/// on meanwhile. Each state that shows was in force: `net` looks at each.
#[test]
fn catching_up_never_shows_a_state_that_never_was() {
    for seed in 0..3 {
        let mut net = settled(3, 4, seed);
        (1..4).for_each(|n| net.end(n));
        for id in 1..=300 {
            net.propose(0, 0, change(id, &format!("function {id}"), &"x".repeat(200), 0));
            if id % 20 == 0 {
                net.play(net.now + 1.0);
            }
        }
        net.saved[2] = Some(net.follower(0).save());
        for id in 301..=400 {
            let key = format!("function {}", id - 300);
            let replaces = net.log.state.get(&key).expect("it stands").0;
            net.propose(0, 0, change(id, &key, &"y".repeat(200), replaces));
            if id % 20 == 0 {
                net.play(net.now + 1.0);
            }
        }
        for n in 0..3 {
            net.compact(n);
            net.kill(n);
            net.begin(n);
        }
        net.play(net.now + 1.0);
        (1..4).for_each(|n| net.follow(n));
        for id in 401..=480 {
            let key = format!("function {}", id - 300);
            let replaces = net.log.state.get(&key).expect("it stands").0;
            net.propose(0, 0, change(id, &key, "z", replaces));
            net.play(net.now + 0.1);
        }
        net.play(net.now + 10.0);
        assert_eq!(net.log.state.head(), 480, "seed {seed}");
        assert!(all_at_head(&net), "seed {seed}");
        net.check_all();
        let steps = net.in_force[1].len();
        assert!(steps > 3, "seed {seed}: it went on in steps, {steps}");
    }
}

/// Cut off with two of five machines: what is in force stays, and a gateway there knows since when it may be behind.
#[test]
fn followers_of_a_minority_know_that_they_may_be_behind() {
    let mut net = settled(5, 8, 9);
    net.commit(0, change(1, "a", "lanes = 1", 0));
    net.play(net.now + 2.0);
    let small = |place: Place| match place {
        Place::Replica(n) => n < 2,
        Place::Follower(n) => n < 4,
        Place::Author(_) => false,
    };
    net.rule = apart(move |place| usize::from(small(place)));
    net.commit(3, change(2, "a", "lanes = 2", 1));
    net.play(net.now + 10.0);
    for n in 0..8 {
        let view = view(&net, n);
        let age = view.sure_as_of.expect("it was sure once");
        match n < 4 {
            true => assert!(view.number == 1 && age > 9.0, "{n}: {} as of {age}", view.number),
            false => assert!(view.number == 2 && age < 1.5, "{n}: {} as of {age}", view.number),
        }
    }
    net.rule = calm();
    net.play(net.now + 7.0);
    assert!(all_at_head(&net));
    assert!((0..8).all(|n| view(&net, n).sure_as_of.is_some_and(|age| age < 1.5)));
}

/// Two of the three that a gateway follows die: the next ones take their place.
#[test]
fn those_that_fall_silent_are_passed_over() {
    let mut net = settled(7, 1, 10);
    let follows = view(&net, 0).follows;
    net.kill(follows[0]);
    net.kill(follows[1]);
    let since = net.now;
    let number = net.commit(follows[2], change(1, "a", "lanes = 1", 0));
    net.play(since + 3.0);
    assert!(net.delay(0, number, since).is_some());
    assert!(!view(&net, 0).follows.contains(&follows[0]));
    net.begin(follows[0]);
    net.begin(follows[1]);
    net.play(net.now + 8.0);
    assert_eq!(view(&net, 0).follows, follows, "they are tried again");
}

#[test]
fn what_a_gateway_could_not_apply_is_told_to_the_machines() {
    let mut net = settled(3, 1, 11);
    let number = net.commit(0, change(1, "a", "lanes = -1", 0));
    net.play(net.now + 1.0);
    let why = "no such figure ".repeat(40);
    net.gateways[0].core.as_mut().expect("it is up").refused(number, why.clone());
    net.play(net.now + 1.0);
    let clock = net.machines[0].clock(net.now);
    let seen = net.machines[0].core.as_mut().expect("it is up").view(clock).followers;
    let refused = seen[0].refused.clone().expect("it was told");
    assert_eq!((seen[0].name.as_str(), refused.0), ("gateway-0", number));
    assert!(why.starts_with(&refused.1) && refused.1.len() == 200);
    net.commit(0, change(2, "a", "lanes = 1", number));
    net.play(net.now + 1.0);
    assert_eq!(view(&net, 0).refused, None, "another one stands there");
}

/// Whatever is said from wherever, in any order: nothing is applied that was not committed, and nothing panics.
#[test]
fn garbage_that_is_sealed_rightly_does_no_harm() {
    let mut net = settled(3, 3, 12);
    net.commit_many(0, "function", 3);
    net.lies = Some(Box::new(|from, message| {
        if from == Place::Replica(1) {
            match message {
                Message::Reply { stamp, head, entries, age, .. } => {
                    *stamp ^= *head & 1;
                    *age = Some(u64::MAX);
                    entries.reverse();
                }
                Message::Push { logged } => logged.entry.number = u64::MAX,
                Message::Page { after, upto, head, .. } => {
                    (*after, *upto, *head) = (*upto, *after, u64::MAX);
                }
                _ => {}
            }
        }
    }));
    for id in 1..20 {
        let machine = net.chance.random_range(0..3);
        net.propose(0, machine, change(id, &format!("key {id}"), "lanes = 1", 0));
        if id % 6 == 0 {
            net.end(0);
            net.follow(0);
        }
        net.play(net.now + 0.3);
    }
    net.lies = None;
    net.play(net.now + 70.0);
    assert!(all_at_head(&net));
    net.check_all();
}
