//! Cluster membership of gateway processes, with faults of their links, processes and configurations.

use milletpath_emulator::relay::LinkFault;
use milletpath_membership::Reachability;
use milletpath_test_support::fleet_rig::Fleet;
use milletpath_test_support::json_fields::field_paths;
use nix::sys::signal::Signal;
use std::net::UdpSocket;
use std::time::Duration;

fn reachability(fleet: &Fleet, n: usize) -> Option<Reachability> {
    fleet.view(n).map(|view| view.reachability)
}

/// Twenty-four gateways start at once, all configured with the same single seed.
#[test]
fn twenty_four_gateways_join_by_one_seed() {
    let mut fleet = Fleet::new(24);
    (0..24).for_each(|n| fleet.start(n));
    fleet.wait_until("each of the 24 gateways sees the others", Fleet::all_see_all);
    for n in 0..24 {
        assert_eq!(
            fleet.count_log_lines(n, "is declared dead"),
            0,
            "gateway {n} declared others dead while joining"
        );
    }
}

#[test]
fn gateways_join_by_the_second_seed_while_the_first_is_down() {
    let mut fleet = Fleet::new(4);
    fleet.specs.iter_mut().for_each(|s| s.seeds = vec![0, 1]);
    (1..4).for_each(|n| fleet.start(n));
    fleet.wait_until("the three running gateways see each other", |f| {
        (1..4).all(|n| f.sees_alive(n, &[1, 2, 3]))
    });
    fleet.start(0);
    fleet.wait_until("all four see each other", Fleet::all_see_all);
}

/// Two of five gateways are partitioned from the other three: the minority may use only its floor of the budgets, the
/// majority keeps its quorum, and after the partition heals all see each other again.
#[test]
fn a_partitioned_minority_falls_back_to_its_floor_until_the_partition_heals() {
    let fleet = Fleet::converged(5);
    let cut = fleet.relay.inject(LinkFault::Partition(vec![0, 1]));
    fleet.wait_until("each side sees only its own gateways alive", |f| {
        (0..2).all(|n| f.sees_alive(n, &[0, 1])) && (2..5).all(|n| f.sees_alive(n, &[2, 3, 4]))
    });
    fleet.wait_until("the minority is down to its floor", |f| {
        f.view(0).is_some_and(|v| {
            (v.reachability, v.quorum_seconds, v.fraction) == (Reachability::Minority, 0.0, 0.5)
        })
    });
    let majority = fleet.view(4).unwrap();
    assert!(majority.reachability == Reachability::Majority && majority.quorum_seconds > 0.0, "{majority:?}");
    fleet.relay.clear(cut);
    fleet.wait_until("all see each other again", Fleet::all_see_all);
    fleet.wait_until("all have a quorum", |f| {
        (0..5).all(|n| f.view(n).is_some_and(|v| v.quorum_seconds > 0.0))
    });
}

/// A gateway loses all inbound datagrams while the others still receive from it: it loses its quorum, and the others
/// are not affected.
#[test]
fn a_gateway_that_receives_nothing_falls_back_to_its_floor() {
    let fleet = Fleet::converged(5);
    let receives_nothing = fleet.relay.inject(LinkFault::InboundLoss(vec![2]));
    fleet.wait_until("the gateway detects that it receives nothing", |f| {
        reachability(f, 2) == Some(Reachability::Nobody)
    });
    let view = fleet.view(2).unwrap();
    assert_eq!((view.quorum_seconds, view.likely_gateways), (0.0, 5.0));
    fleet.relay.clear(receives_nothing);
    fleet.wait_until("all see each other again", Fleet::all_see_all);
    // The other gateways never declared one another dead.
    for n in [0, 1, 3, 4] {
        for other in [0, 1, 3, 4] {
            assert_eq!(fleet.count_log_lines(n, &format!("is declared dead name=\"gateway-{other}\"")), 0);
        }
    }
}

#[test]
fn a_lone_survivor_detects_its_isolation_and_the_others_rejoin() {
    let mut fleet = Fleet::converged(5);
    (1..5).for_each(|n| fleet.kill(n));
    fleet.wait_until("the survivor sees nobody else alive", |f| f.sees_alive(0, &[0]));
    fleet.wait_until("the survivor reaches nobody and has no quorum", |f| {
        f.view(0).is_some_and(|v| {
            (v.reachability, v.likely_gateways, v.quorum_seconds) == (Reachability::Nobody, 5.0, 0.0)
        })
    });
    (1..5).for_each(|n| fleet.start(n));
    fleet.wait_until("all see each other again", Fleet::all_see_all);
}

/// A gateway that is killed and restarted under the same name is a new instance at once, whatever gossip still claims
/// about its predecessor.
#[test]
fn a_restarted_process_is_distinguished_from_its_predecessor() {
    let mut fleet = Fleet::converged(3);
    let predecessor = fleet.view(1).unwrap().instance_id;
    fleet.kill(1);
    fleet.start(1);
    let successor = fleet.view(1).unwrap().instance_id;
    assert_ne!(successor, predecessor);
    fleet.wait_until("the successor is alive and the predecessor is dead or unknown", |f| {
        let members = f.view(0).map(|v| v.members).unwrap_or_default();
        let state = |instance: &str| {
            members.iter().find(|member| member.instance_id == instance).map(|member| member.state.clone())
        };
        state(&successor).as_deref() == Some("alive") && state(&predecessor).is_none_or(|s| s == "dead")
    });
    fleet.wait_until("all see each other", Fleet::all_see_all);
    assert_eq!(fleet.count_log_lines(0, "two gateways have the same name"), 0);
}

/// A gateway is paused until the others declare it dead. When it resumes, it suspects nobody and rejoins.
#[test]
fn a_paused_gateway_suspects_nobody_when_it_resumes() {
    let fleet = Fleet::converged(5);
    fleet.process(3).signal(Signal::SIGSTOP);
    fleet.wait_until("the others declare the paused gateway dead", |f| {
        [0, 1, 2, 4].iter().all(|n| f.sees_alive(*n, &[0, 1, 2, 4]))
    });
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.count_log_lines(3, "does not answer");
    fleet.process(3).signal(Signal::SIGCONT);
    fleet.wait_until("the resumed gateway has rejoined", Fleet::all_see_all);
    assert_eq!(fleet.count_log_lines(3, "does not answer"), before);
    assert!(fleet.count_log_lines(3, "was paused") >= 1);
    for n in [0, 1, 2, 4] {
        assert_eq!(
            fleet.count_log_lines(n, "is declared dead"),
            1,
            "gateway {n} must declare only the paused gateway dead"
        );
    }
}

#[test]
fn losing_a_fifth_of_all_datagrams_declares_nobody_dead() {
    let fleet = Fleet::converged(6);
    let loss = fleet.relay.inject(LinkFault::Loss { links: fleet.relay.links(), fraction: 0.2 });
    std::thread::sleep(Duration::from_secs(8));
    for n in 0..6 {
        assert_eq!(fleet.count_log_lines(n, "is declared dead"), 0, "{n}");
        assert_eq!(reachability(&fleet, n), Some(Reachability::Majority));
    }
    fleet.relay.clear(loss);
}

/// Two gateways are configured with the same name by mistake: all gateways log it, and both remain members.
#[test]
fn two_gateways_with_one_name_are_reported() {
    let mut fleet = Fleet::new(4);
    fleet.specs[3].name = "gateway-2".into();
    (0..4).for_each(|n| fleet.start(n));
    fleet.wait_until("all gateways log the duplicate name", |f| {
        (0..4).all(|n| f.count_log_lines(n, "two gateways have the same name") > 0)
    });
    let duplicates = |n: usize| {
        let members = fleet.view(n).map(|v| v.members).unwrap_or_default();
        members.iter().filter(|m| m.duplicate_name && m.state == "alive").count()
    };
    fleet.wait_until("the member lists mark the duplicates", |_| {
        duplicates(0) == 2 && duplicates(1) == 2 && duplicates(2) == 1
    });
}

/// The configurations state different numbers of gateways: all gateways log it, and the larger number applies to all.
#[test]
fn configurations_with_different_gateway_counts_are_reported() {
    let mut fleet = Fleet::new(6);
    (0..3).for_each(|n| fleet.specs[n].gateways = 3);
    (0..6).for_each(|n| fleet.start(n));
    fleet.wait_until("all apply six gateways", |f| {
        (0..6).all(|n| {
            f.view(n).is_some_and(|v| v.max_gateways == 6 && v.quorum_seconds > 0.0 && v.members.len() == 5)
        })
    });
    for n in 0..6 {
        assert!(fleet.count_log_lines(n, "states another number of gateways") > 0, "{n}");
        // A gateway configured for three may use a sixth of the budgets, half of the third that it is configured for.
        let fraction = fleet.view(n).unwrap().fraction;
        assert!(fraction <= if n < 3 { 0.5 } else { 1.0 } + 1e-9, "{n}: {fraction}");
    }
}

/// The datagrams of a gateway with another key are rejected, and the reason is logged.
#[test]
fn datagrams_sealed_with_another_key_are_rejected() {
    let mut fleet = Fleet::new(4);
    fleet.specs[3].key = "another secret of more than thirty-two bytes".into();
    (0..4).for_each(|n| fleet.start(n));
    fleet.wait_until("the three running gateways see each other", |f| {
        (0..3).all(|n| f.sees_alive(n, &[0, 1, 2]))
    });
    fleet.wait_until("datagrams under another key are rejected", |f| {
        f.view(0).is_some_and(|v| v.counters.rejected_seal > 3)
    });
    assert!(fleet.count_log_lines(0, "the seal does not match") > 0);
    let alone = fleet.view(3).unwrap();
    assert!(alone.reachability == Reachability::Nobody && alone.members.is_empty());
}

/// A flood of invalid datagrams: random bytes, truncated, corrupted and oversized datagrams, and replayed valid ones.
#[test]
fn garbage_and_replayed_datagrams_change_nothing() {
    let fleet = Fleet::converged(3);
    let corruption = fleet.relay.inject(LinkFault::Corruption { links: fleet.relay.links(), fraction: 0.3 });
    let duplication =
        fleet.relay.inject(LinkFault::Duplication { links: fleet.relay.links(), fraction: 0.5 });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut seed = 1u64;
    for n in 0..20_000usize {
        // A linear congruential generator is enough: the values of the bytes do not matter.
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let bytes: Vec<u8> = (0..n % 2000).map(|k| (seed >> (k % 57)) as u8).collect();
        fleet.send_datagram(&socket, 0, &bytes);
        if n % 200 == 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    let view = fleet.view(0).expect("the gateway still answers");
    let counters = view.counters;
    assert!(counters.rejected_size > 100, "{counters:?}");
    assert!(counters.rejected_seal + counters.rejected_version > 100, "{counters:?}");
    fleet.wait_until("replayed datagrams are rejected", |f| {
        f.view(0).is_some_and(|v| v.counters.replayed > 0)
    });
    fleet.relay.clear(corruption);
    fleet.relay.clear(duplication);
    fleet.wait_until("all still see each other", Fleet::all_see_all);
}

/// Operators' scripts parse the JSON output of `milletpath members`. The fixture is the output of an earlier version.
#[test]
fn members_json_keeps_its_fields() {
    let fixture = include_str!("fixtures/status/peers.json");
    let status: milletpath_gateway::MembershipStatus =
        serde_json::from_str(fixture).expect("the fixture has the current format");
    assert_eq!(serde_json::to_string(&status).unwrap(), fixture);
    let fixture = serde_json::from_str(fixture).unwrap();
    let fleet = Fleet::converged(2);
    let output = fleet.members_json(0).expect("the gateway answers");
    // The gateways of this test rig share no budgets.
    let paths = field_paths(&fixture).into_iter().filter(|path| !path.starts_with(".budgets[]")).collect();
    assert_eq!(field_paths(&output), paths);
}
