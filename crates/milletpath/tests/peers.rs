//! Gateways that know each other, as processes: what befalls their links and themselves, and what they make of it.

mod fleet;
mod json_fields;

use fleet::Fleet;
use json_fields::field_paths;
use milletpath_emulator::relay::LinkFault;
use milletpath_membership::Reachability;
use nix::sys::signal::Signal;
use std::net::UdpSocket;
use std::time::Duration;

fn all(size: usize) -> Vec<usize> {
    (0..size).collect()
}

fn hears(fleet: &Fleet, n: usize) -> Option<Reachability> {
    fleet.view(n).map(|v| v.reachability)
}

/// Twenty-four begin at once and know one seed.
#[test]
fn twenty_four_gateways_join_by_one_seed() {
    let mut fleet = Fleet::new(24);
    (0..24).for_each(|n| fleet.begin(n));
    let all = all(24);
    fleet.wait("each of 24 knows the others", |f| all.iter().all(|n| f.knows(*n, &all)));
    for n in all {
        assert_eq!(fleet.said(n, "is declared dead"), 0, "{n} buried nobody on the way");
    }
}

#[test]
fn gateways_join_by_the_second_seed_while_the_first_is_down() {
    let mut fleet = Fleet::new(4);
    fleet.stated.iter_mut().for_each(|s| s.seeds = vec![0, 1]);
    (1..4).for_each(|n| fleet.begin(n));
    fleet.wait("the three know each other", |f| (1..4).all(|n| f.knows(n, &[1, 2, 3])));
    fleet.begin(0);
    fleet.wait("all four do", |f| (0..4).all(|n| f.knows(n, &all(4))));
}

/// Two of five are cut off from three, and come back: the small side falls to its floor, the large one goes on, and
/// both know each other again.
#[test]
fn a_partition_leaves_the_minority_its_floor_and_heals() {
    let fleet = Fleet::together(5);
    let cut = fleet.relay.inject(LinkFault::Partition(vec![0, 1]));
    fleet.wait("each side takes the other for gone", |f| {
        (0..2).all(|n| f.knows(n, &[0, 1])) && (2..5).all(|n| f.knows(n, &[2, 3, 4]))
    });
    fleet.wait("the small side has its floor", |f| {
        f.view(0).is_some_and(|v| {
            (v.reachability, v.quorum_seconds, v.fraction) == (Reachability::Minority, 0.0, 0.5)
        })
    });
    let large = fleet.view(4).unwrap();
    assert!(large.reachability == Reachability::Majority && large.quorum_seconds > 0.0, "{large:?}");
    fleet.relay.clear(cut);
    fleet.wait("all are together again", |f| (0..5).all(|n| f.knows(n, &all(5))));
    fleet.wait("all have standing", |f| (0..5).all(|n| f.view(n).is_some_and(|v| v.quorum_seconds > 0.0)));
}

/// One hears nothing while all hear it: it shares nothing any more, and drags nobody down.
#[test]
fn a_gateway_that_receives_nothing_falls_to_its_floor() {
    let fleet = Fleet::together(5);
    let deaf = fleet.relay.inject(LinkFault::InboundLoss(vec![2]));
    fleet.wait("it knows that it hears nothing", |f| hears(f, 2) == Some(Reachability::Nobody));
    let view = fleet.view(2).unwrap();
    assert_eq!((view.quorum_seconds, view.likely_gateways), (0.0, 5.0));
    fleet.relay.clear(deaf);
    fleet.wait("it hears them again", |f| (0..5).all(|n| f.knows(n, &all(5))));
    // The others never took one another for gone.
    for n in [0, 1, 3, 4] {
        for other in [0, 1, 3, 4] {
            assert_eq!(fleet.said(n, &format!("is declared dead name=\"gateway-{other}\"")), 0);
        }
    }
}

#[test]
fn a_lone_survivor_knows_that_it_is_alone_and_the_others_rejoin() {
    let mut fleet = Fleet::together(5);
    (1..5).for_each(|n| fleet.kill(n));
    fleet.wait("the last one is alone", |f| f.knows(0, &[0]));
    fleet.wait("and knows that it is", |f| {
        f.view(0).is_some_and(|v| {
            (v.reachability, v.likely_gateways, v.quorum_seconds) == (Reachability::Nobody, 5.0, 0.0)
        })
    });
    (1..5).for_each(|n| fleet.begin(n));
    fleet.wait("all are there again", |f| (0..5).all(|n| f.knows(n, &all(5))));
}

/// A process killed and begun anew under its name is another one at once, whatever is said of the former.
#[test]
fn a_restarted_process_is_distinguished_from_its_predecessor() {
    let mut fleet = Fleet::together(3);
    let former = fleet.view(1).unwrap().instance_id;
    fleet.kill(1);
    fleet.begin(1);
    let life = fleet.view(1).unwrap().instance_id;
    assert_ne!(life, former);
    fleet.wait("the new one is known and the former gone", |f| {
        let members = f.view(0).map(|v| v.members).unwrap_or_default();
        let state = |life: &str| members.iter().find(|m| m.instance_id == life).map(|m| m.state.clone());
        state(&life).as_deref() == Some("alive") && state(&former).is_none_or(|s| s == "dead")
    });
    fleet.wait("and stays", |f| (0..3).all(|n| f.knows(n, &all(3))));
    assert_eq!(fleet.said(0, "two gateways have the same name"), 0);
}

/// Stopped for longer than it takes to be buried: it wakes, accuses nobody, and is taken back.
#[test]
fn a_paused_gateway_accuses_nobody_when_it_resumes() {
    let fleet = Fleet::together(5);
    fleet.signal(3, Signal::SIGSTOP);
    fleet.wait("the others take it for gone", |f| [0, 1, 2, 4].iter().all(|n| f.knows(*n, &[0, 1, 2, 4])));
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.said(3, "does not answer");
    fleet.signal(3, Signal::SIGCONT);
    fleet.wait("it is taken back", |f| (0..5).all(|n| f.knows(n, &all(5))));
    assert_eq!(fleet.said(3, "does not answer"), before);
    assert!(fleet.said(3, "was paused") >= 1);
    for n in [0, 1, 2, 4] {
        assert_eq!(fleet.said(n, "is declared dead"), 1, "{n} buried the one that stood, and nobody else");
    }
}

#[test]
fn losing_a_fifth_of_all_datagrams_declares_nobody_dead() {
    let fleet = Fleet::together(6);
    let lost = fleet.relay.inject(LinkFault::Loss(fleet.relay.links(), 0.2));
    std::thread::sleep(Duration::from_secs(8));
    for n in 0..6 {
        assert_eq!(fleet.said(n, "is declared dead"), 0, "{n}");
        assert_eq!(hears(&fleet, n), Some(Reachability::Majority));
    }
    fleet.relay.clear(lost);
}

/// Two by mistake under one name: told loudly by all, and both are served.
#[test]
fn two_gateways_with_one_name_are_reported() {
    let mut fleet = Fleet::new(4);
    fleet.stated[3].name = "gateway-2".into();
    (0..4).for_each(|n| fleet.begin(n));
    fleet.wait("all say so", |f| (0..4).all(|n| f.said(n, "two gateways have the same name") > 0));
    let twice = |n: usize| {
        let members = fleet.view(n).map(|v| v.members).unwrap_or_default();
        members.iter().filter(|m| m.duplicate_name && m.state == "alive").count()
    };
    fleet.wait("and that both are there", |_| twice(0) == 2 && twice(1) == 2 && twice(2) == 1);
}

/// Charters that state other numbers of gateways: told loudly, and the larger holds for all.
#[test]
fn configurations_with_different_gateway_counts_are_reported() {
    let mut fleet = Fleet::new(6);
    (0..3).for_each(|n| fleet.stated[n].gateways = 3);
    (0..6).for_each(|n| fleet.begin(n));
    fleet.wait("all go by six", |f| {
        (0..6).all(|n| {
            f.view(n).is_some_and(|v| v.max_gateways == 6 && v.quorum_seconds > 0.0 && v.members.len() == 5)
        })
    });
    for n in 0..6 {
        assert!(fleet.said(n, "states another number of gateways") > 0, "{n}");
        // Of three, one has what is a sixth of all.
        let part = fleet.view(n).unwrap().fraction;
        assert!(part <= if n < 3 { 0.5 } else { 1.0 } + 1e-9, "{n}: {part}");
    }
}

/// One with another key: nobody takes its letters, and it is told why.
#[test]
fn datagrams_sealed_with_another_key_are_rejected() {
    let mut fleet = Fleet::new(4);
    fleet.stated[3].key = "another secret of more than thirty-two bytes".into();
    (0..4).for_each(|n| fleet.begin(n));
    fleet.wait("the three know each other", |f| (0..3).all(|n| f.knows(n, &[0, 1, 2])));
    fleet.wait("its letters are refused", |f| f.view(0).is_some_and(|v| v.counters.rejected_seal > 3));
    assert!(fleet.said(0, "the seal does not match") > 0);
    let alone = fleet.view(3).unwrap();
    assert!(alone.reachability == Reachability::Nobody && alone.members.is_empty());
}

/// A flood of what is no letter: random bytes, letters cut off, changed, too large, and true ones played again.
#[test]
fn garbage_and_replayed_datagrams_change_nothing() {
    let fleet = Fleet::together(3);
    let garbage = fleet.relay.inject(LinkFault::Corruption(fleet.relay.links(), 0.3));
    let repeat = fleet.relay.inject(LinkFault::Duplication(fleet.relay.links(), 0.5));
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = fleet.links[0].unwrap();
    let mut seed = 1u64;
    for n in 0..20_000usize {
        // A small generator of its own: what the bytes are does not matter.
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let bytes: Vec<u8> = (0..n % 2000).map(|k| (seed >> (k % 57)) as u8).collect();
        let _ = socket.send_to(&bytes, to);
        if n % 200 == 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    let view = fleet.view(0).expect("it still answers");
    let t = view.counters;
    assert!(t.rejected_size > 100 && t.rejected_seal + t.rejected_version > 100, "{t:?}");
    fleet.wait("what is played again is not taken twice", |f| {
        f.view(0).is_some_and(|v| v.counters.replayed > 0)
    });
    fleet.relay.clear(garbage);
    fleet.relay.clear(repeat);
    fleet.wait("all is as before", |f| (0..3).all(|n| f.knows(n, &all(3))));
}

/// Scripts of operators read it: the fixture is the output of an earlier program.
#[test]
fn peers_json_keeps_its_fields() {
    let fixture = include_str!("fixtures/status/peers.json");
    let status: milletpath_gateway::MembershipStatus =
        serde_json::from_str(fixture).expect("the fixture is read");
    assert_eq!(serde_json::to_string(&status).unwrap(), fixture);
    let fixture = serde_json::from_str(fixture).unwrap();
    let fleet = Fleet::together(2);
    let output = fleet.peers_json(0).expect("the gateway answers");
    // A fleet of these tests shares no budget.
    let paths = field_paths(&fixture).into_iter().filter(|path| !path.starts_with(".budgets[]")).collect();
    assert_eq!(field_paths(&output), paths);
}
