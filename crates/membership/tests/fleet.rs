//! Stories of whole fleets in simulated time, each with its seeds.

mod simulated_network;

use milletpath_membership::{MemberState, MembershipConfig, MembershipEvent, Reachability};
use rand::Rng;
use simulated_network::{Node, SimulatedNetwork, lossy, reliable};
use test_case::test_case;

/// Budgets with the shortest window, so that the sum of the parts is looked at as sharply as it can be.
fn strict_config() -> MembershipConfig {
    MembershipConfig { budget_window: 0.0, floor: 0.5, ..MembershipConfig::default() }
}

fn converged_network(size: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(size, 1.max(size / 8), strict_config(), seed);
    network.check_quota_sum = size <= 30;
    network.start_all();
    network.run_until(10.0);
    assert!(network.all_agree(), "{} gateways know each other within 10 s", size);
    network
}

fn total_used(network: &SimulatedNetwork) -> f64 {
    assert!(network.over.0 < 1e-9, "used {} too much at {:.3} s", network.over.0, network.over.1);
    network.used_fraction()
}

#[test_case(3; "three")]
#[test_case(12; "twelve")]
#[test_case(24; "twenty-four")]
fn gateways_discover_each_other_from_seeds(size: usize) {
    let network = converged_network(size, 1);
    for node in &network.nodes {
        assert_eq!(node.membership.as_ref().unwrap().reachability(), Reachability::Majority);
    }
    // Nothing is left unused, and nobody has more than its part.
    assert!((total_used(&network) - 1.0).abs() < 1e-9, "{}", network.used_fraction());
}

#[test_case(1)]
#[test_case(2)]
fn survivors_take_over_the_quota_of_dead_gateways(seed: u64) {
    let mut network = converged_network(12, seed);
    (0..4).for_each(|n| network.kill(n));
    let killed = network.now;
    network.run_until(killed + 6.0);
    assert!(network.all_agree());
    network.run_until(killed + 12.0);
    // Four floors of a twelfth each are kept for them, as nobody can tell a dead one from one that is cut off.
    let floors = 4.0 * network.config.floor / 12.0;
    assert!((total_used(&network) - (1.0 - floors)).abs() < 1e-9, "{}", network.used_fraction());
    (0..4).for_each(|n| network.start(n));
    network.run_until(killed + 30.0);
    assert!(network.all_agree() && (total_used(&network) - 1.0).abs() < 1e-9);
}

/// Cut, each side learns of the other's loss; healed, both know each other again within seconds. At no time do all
/// use more than there is.
#[test_case(12, 5, 10.0; "5 to 7")]
#[test_case(12, 6, 10.0; "in the middle")]
#[test_case(12, 1, 20.0; "one alone")]
#[test_case(24, 10, 10.0; "10 to 14")]
fn a_network_partition_is_tolerated_and_heals(size: usize, apart: usize, lasts: f64) {
    for seed in 1..=3 {
        let mut network = converged_network(size, seed);
        let from = network.now;
        let until = from + lasts;
        network.delivery_rule = Box::new(move |now, a, b, rng| {
            let cut = (a < apart) != (b < apart) && (from..until).contains(&now);
            if cut { vec![] } else { vec![rng.random_range(0.0005..0.002)] }
        });
        network.run_until(until);
        let reachability = |n: usize| network.nodes[n].membership.as_ref().unwrap().reachability();
        let small = if apart == 1 { Reachability::Nobody } else { Reachability::Minority };
        assert_eq!(reachability(0), small);
        assert_eq!(
            reachability(size - 1),
            if 2 * apart < size { Reachability::Majority } else { Reachability::Minority }
        );
        network.run_until(until + 5.0);
        assert!(network.all_agree(), "seed {seed}: healed within 5 s");
        network.run_until(until + 12.0);
        assert!((total_used(&network) - 1.0).abs() < 1e-9);
    }
}

/// A gateway that reachability nothing while all hear it takes its floor, and spreads no rumours about the others, but for the
/// one whose answer was the first that it missed.
#[test]
fn a_gateway_that_receives_nothing_suspects_at_most_one_other() {
    let mut network = converged_network(12, 4);
    let from = network.now;
    network.delivery_rule =
        Box::new(
            move |now, _, b, rng| {
                if b == 0 && now < from + 10.0 { vec![] } else { vec![rng.random_range(0.0005..0.002)] }
            },
        );
    network.run_until(from + 10.0);
    let deaf = network.nodes[0].membership.as_ref().unwrap();
    assert_eq!(deaf.reachability(), Reachability::Nobody);
    assert_eq!(deaf.likely_gateways(), 12.0);
    let quota = network.nodes[0].quota.unwrap();
    assert_eq!(quota.fraction, quota.floor);
    let accused = |other: &usize| {
        let name = format!("gateway-{other}");
        let matches = |e: &MembershipEvent| matches!(e, MembershipEvent::Suspected { name: n } if *n == name);
        network.first_event_times(from, matches).into_keys().any(|n| n != 0)
    };
    assert!((1..12).filter(accused).count() <= 1);
    network.run_until(from + 20.0);
    assert!(network.all_agree() && (total_used(&network) - 1.0).abs() < 1e-9);
}

/// Stopped for five seconds it counts as gone; when it wakes, it knows that it was itself that stood, and all is well.
#[test]
fn a_paused_process_suspects_nobody_when_it_resumes() {
    let mut network = converged_network(12, 5);
    let from = network.now;
    network.pause(3, 5.0);
    network.run_until(from + 5.0);
    let since = network.now;
    network.run_until(from + 12.0);
    assert!(network.all_agree());
    let suspects = network.nodes[3]
        .events
        .iter()
        .filter(|(at, e)| *at >= since && matches!(e, MembershipEvent::Suspected { .. }));
    assert_eq!(suspects.count(), 0);
    assert!((total_used(&network) - 1.0).abs() < 1e-9);
}

/// A process killed and begun anew at once is another: told apart, and not buried with its former self.
#[test]
fn a_restarted_process_is_not_taken_for_its_dead_predecessor() {
    let mut network = converged_network(12, 6);
    let (from, former) = (network.now, network.instance_id(7));
    network.kill(7);
    network.start(7);
    network.run_until(from + 1.0);
    let new = (0..12).filter(|n| *n != 7 && network.state_of(*n, 7) == Some(MemberState::Alive)).count();
    assert_eq!(new, 11);
    network.run_until(from + 10.0);
    assert!(network.all_agree());
    for n in (0..12).filter(|n| *n != 7) {
        assert!(
            !network.nodes[n].membership.as_ref().unwrap().state(former).is_some_and(MemberState::is_present)
        );
    }
    network.run_until(from + 20.0);
    assert!((total_used(&network) - 1.0).abs() < 1e-9);
}

#[test]
fn a_gateway_that_announces_its_departure_is_not_suspected() {
    let mut network = converged_network(12, 7);
    let from = network.now;
    network.depart(2);
    network.run_until(from + 2.0);
    assert!(network.all_agree());
    let suspected = |e: &MembershipEvent| matches!(e, MembershipEvent::Suspected { .. });
    assert!(network.first_event_times(from, suspected).is_empty());
}

/// Two by mistake under one name: all say so, neither is driven out, and neither has a say in who has standing.
#[test]
fn two_processes_under_one_name_are_reported_and_both_stay_alive() {
    let mut network = SimulatedNetwork::new(12, 2, strict_config(), 8);
    network.check_quota_sum = true;
    (0..11).for_each(|n| network.start(n));
    network.start_as(11, "gateway-4", 12);
    network.run_until(15.0);
    for n in 0..12 {
        let reported = network.nodes[n]
            .events
            .iter()
            .any(|(_, e)| matches!(e, MembershipEvent::DuplicateName { name } if name == "gateway-4"));
        assert!(reported, "gateway {n} says that a name is used twice");
        for other in [4, 11].into_iter().filter(|other| *other != n) {
            assert_eq!(network.state_of(n, other), Some(MemberState::Alive));
        }
    }
    total_used(&network);
}

/// The count in half of the charters is half, or twice, of what it should be.
#[test_case(6; "too low")]
#[test_case(24; "too high")]
fn a_mismatched_max_gateways_is_reported_and_never_exceeds_the_quota(wrong: u32) {
    let mut network = SimulatedNetwork::new(12, 2, strict_config(), 9);
    (0..12).for_each(|n| network.start_as(n, &format!("gateway-{n}"), if n < 6 { wrong } else { 12 }));
    network.run_until(15.0);
    let most = f64::from(wrong.max(12));
    let own = |n: usize| if n < 6 { f64::from(wrong) } else { 12.0 };
    let used: f64 = (0..12).map(|n| network.nodes[n].quota.unwrap().fraction / own(n)).sum();
    assert!(used <= 1.0 + 1e-9 && used >= 12.0 / most * network.config.floor, "{used}");
    let matches = |e: &MembershipEvent| matches!(e, MembershipEvent::MaxGatewaysMismatch { .. });
    assert_eq!(network.first_event_times(0.0, matches).len(), 12);
}

/// All but one are killed: the last one knows that it reachability nothing, and goes by what it would do alone.
#[test]
fn the_last_survivor_assumes_the_maximum_number_of_gateways() {
    let mut network = converged_network(12, 10);
    (1..12).for_each(|n| network.kill(n));
    network.run_until(network.now + 30.0);
    let last = network.nodes[0].membership.as_ref().unwrap();
    assert_eq!((last.reachability(), last.likely_gateways()), (Reachability::Nobody, 12.0));
    assert!((1..12).all(|n| network.state_of(0, n) == Some(MemberState::Dead)));
    (1..12).for_each(|n| network.start(n));
    network.run_until(network.now + 10.0);
    assert!(network.all_agree());
}

#[test]
fn discovery_works_while_a_seed_is_down() {
    let mut network = SimulatedNetwork::new(12, 2, strict_config(), 11);
    (1..12).for_each(|n| network.start(n));
    network.run_until(5.0);
    assert!(network.all_agree());
    network.start(0);
    network.run_until(10.0);
    assert!(network.all_agree());
}

/// A clock that is set back by an hour, and one that is set ahead: time goes on as it would have.
#[test]
fn probing_continues_when_the_clock_is_set_back() {
    use milletpath_membership::Membership;
    use milletpath_membership::datagram::Identity;
    let identity = Identity {
        instance_id: 1,
        name: "a".into(),
        address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: 0,
        max_gateways: 3,
    };
    let mut membership = Membership::new(
        identity,
        MembershipConfig::default(),
        vec!["10.0.0.2:7000".parse().unwrap()],
        1,
        10_000.0,
    );
    let mut sent = |from: f64| {
        let mut now = from;
        while now < from + 2.0 {
            membership.tick(now);
            now = membership.next_deadline().max(now + 1e-3);
            assert!(now < from + 3.0, "it goes on at {now}");
        }
        std::iter::from_fn(|| membership.next_outgoing()).count()
    };
    let before = sent(10_000.0);
    let after = sent(6_400.0);
    assert!(before > 5 && after > 5, "{before} {after}");
}

#[test_case(0.05, 0; "a twentieth")]
#[test_case(0.2, 0; "a fifth")]
#[test_case(0.3, 1; "three tenths")]
fn lost_datagrams_cause_no_false_deaths(part: f64, most: usize) {
    for seed in 1..=3 {
        let mut network = converged_network(12, seed);
        network.delivery_rule = lossy(part);
        let from = network.now;
        network.run_until(from + 60.0);
        let died = |node: &Node| {
            node.events.iter().filter(|(_, e)| matches!(e, MembershipEvent::Died { .. })).count()
        };
        let deaths: usize = network.nodes.iter().map(died).sum();
        assert!(deaths <= most * 12, "seed {seed}: {deaths} false deaths in a minute");
        total_used(&network);
    }
}

/// Letters of seconds of delay, overtaking each other: the first answers that late come as a surprise, then the
/// suspicions wait for them.
#[test]
fn delayed_datagrams_lengthen_the_suspicion_timeout() {
    let mut network = converged_network(12, 12);
    let from = network.now;
    network.delivery_rule = Box::new(|_, _, _, rng| vec![rng.random_range(0.2..1.5)]);
    network.run_until(from + 40.0);
    let late = |node: &Node| {
        node.events
            .iter()
            .filter(|(at, e)| *at > from + 15.0 && matches!(e, MembershipEvent::Died { .. }))
            .count()
    };
    assert_eq!(network.nodes.iter().map(late).sum::<usize>(), 0);
    network.delivery_rule = reliable();
    network.run_until(from + 60.0);
    assert!(network.all_agree() && (total_used(&network) - 1.0).abs() < 1e-9);
}

/// Whatever happens, all together never use more than there is: random troubles, by seeds.
#[test]
fn random_faults_never_make_the_quota_fractions_exceed_one() {
    for seed in 1..=40 {
        let size = [3, 4, 5, 7, 12][seed as usize % 5];
        // Shorter than it takes to bury one, and longer.
        let lease = [1.5, 8.0][seed as usize % 2];
        let mut network = SimulatedNetwork::new(size, 1, MembershipConfig { lease, ..strict_config() }, seed);
        network.check_quota_sum = true;
        network.start_all();
        while network.now < 60.0 {
            let n = network.rng.random_range(0..size);
            match network.rng.random_range(0..8) {
                0 => network.kill(n),
                1 | 2 => {
                    if network.nodes[n].membership.is_none() {
                        network.start(n);
                    } else {
                        network.kill(n);
                        network.start(n);
                    }
                }
                3 => {
                    let seconds = network.rng.random_range(0.1..6.0);
                    network.pause(n, seconds);
                }
                4 => network.delivery_rule = reliable(),
                5 => {
                    let part = network.rng.random_range(0.0..0.6);
                    network.delivery_rule = Box::new(move |_, _, _, rng| {
                        let times = usize::from(!rng.random_bool(part)) + usize::from(rng.random_bool(0.2));
                        (0..times).map(|_| rng.random_range(0.0005f64..0.03).powi(1)).collect()
                    });
                }
                6 => {
                    let late = network.rng.random_range(0.01..2.0);
                    network.delivery_rule = Box::new(move |_, _, _, rng| vec![rng.random_range(0.0..late)]);
                }
                _ => {
                    let links: Vec<bool> = (0..size * size).map(|_| network.rng.random_bool(0.6)).collect();
                    network.delivery_rule = Box::new(move |_, a, b, rng| {
                        if links[a * size + b] { vec![rng.random_range(0.0005..0.002)] } else { vec![] }
                    });
                }
            }
            let on = network.rng.random_range(0.1..3.0);
            network.run_until(network.now + on);
        }
        total_used(&network);
        (0..size)
            .filter(|n| network.nodes[*n].membership.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| network.start(n));
        network.delivery_rule = reliable();
        network.run_until(network.now + 40.0);
        assert!(network.all_agree(), "seed {seed}: all is well again in the end");
        assert!((total_used(&network) - 1.0).abs() < 1e-9);
    }
}
