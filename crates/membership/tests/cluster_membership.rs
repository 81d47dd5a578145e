//! Clusters without network faults in simulated time: discovery, death, restart, departure and misconfiguration.

use milletpath_membership::datagram::Identity;
use milletpath_membership::{MemberState, Membership, MembershipConfig, MembershipEvent, Reachability};
use milletpath_test_support::simulated_network::SimulatedNetwork;
use milletpath_test_support::simulated_network::scenario::{
    assert_converged, assert_quota_respected, assert_used, converged_network, strict_config,
};
use test_case::test_case;

#[test_case(3; "three")]
#[test_case(12; "twelve")]
#[test_case(24; "twenty-four")]
fn gateways_discover_each_other_from_seeds(size: usize) {
    let network = converged_network(size, 1);
    for node in &network.nodes {
        assert_eq!(node.running_membership().reachability(), Reachability::Majority);
    }
    // The quotas of all gateways add up to exactly the budgets.
    assert_used(&network, 1.0);
}

#[test_case(1)]
#[test_case(2)]
fn survivors_take_over_the_quota_of_dead_gateways(seed: u64) {
    let mut network = converged_network(12, seed);
    (0..4).for_each(|n| network.kill(n));
    let killed_at = network.now;
    network.run_until(killed_at + 6.0);
    assert!(network.all_agree());
    network.run_until(killed_at + 12.0);
    // The floors of the four remain reserved, because a dead gateway cannot be distinguished from one that is cut off.
    let reserved = 4.0 * network.config.floor / 12.0;
    assert_used(&network, 1.0 - reserved);
    (0..4).for_each(|n| network.start(n));
    network.run_until(killed_at + 30.0);
    assert_converged(&network);
}

/// A process that is killed and restarted immediately is a new member, and is not declared dead along with its
/// predecessor.
#[test]
fn a_restarted_process_is_not_taken_for_its_dead_predecessor() {
    let mut network = converged_network(12, 6);
    let (from, predecessor) = (network.now, network.instance_id(7));
    network.kill(7);
    network.start(7);
    network.run_until(from + 1.0);
    let others = || (0..12).filter(|n| *n != 7);
    let observers = others().filter(|n| network.state_of(*n, 7) == Some(MemberState::Alive)).count();
    assert_eq!(observers, 11);
    network.run_until(from + 10.0);
    assert!(network.all_agree());
    for n in others() {
        let state = network.nodes[n].running_membership().state(predecessor);
        assert!(!state.is_some_and(MemberState::is_present));
    }
    network.run_until(from + 20.0);
    assert_used(&network, 1.0);
}

#[test]
fn a_gateway_that_announces_its_departure_is_not_suspected() {
    let mut network = converged_network(12, 7);
    let from = network.now;
    network.depart(2);
    network.run_until(from + 2.0);
    assert!(network.all_agree());
    let suspected = |event: &MembershipEvent| matches!(event, MembershipEvent::Suspected { .. });
    assert!(network.first_event_times(from, suspected).is_empty());
}

/// All gateways report the duplicate name, neither process is declared dead, and neither counts toward a quorum, so
/// the quota is not exceeded.
#[test]
fn two_processes_under_one_name_are_reported_and_both_stay_alive() {
    let mut network = SimulatedNetwork::new(12, 2, strict_config(), 8);
    network.check_quota_sum = true;
    (0..11).for_each(|n| network.start(n));
    network.start_as(11, "gateway-4", 12);
    network.run_until(15.0);
    let duplicate = |event: &MembershipEvent| matches!(event, MembershipEvent::DuplicateName { name } if name == "gateway-4");
    for n in 0..12 {
        let reports = network.nodes[n].count_events(0.0, duplicate);
        assert!(reports > 0, "gateway {n} must report the duplicate name");
        for other in [4, 11].into_iter().filter(|other| *other != n) {
            assert_eq!(network.state_of(n, other), Some(MemberState::Alive));
        }
    }
    assert_quota_respected(&network);
}

/// Half of the gateways are configured with half or twice the correct `max_gateways`.
#[test_case(6; "too low")]
#[test_case(24; "too high")]
fn a_mismatched_max_gateways_is_reported_and_never_exceeds_the_quota(wrong: u32) {
    let mut network = SimulatedNetwork::new(12, 2, strict_config(), 9);
    let own_max_gateways = |n: usize| if n < 6 { wrong } else { 12 };
    (0..12).for_each(|n| network.start_as(n, &format!("gateway-{n}"), own_max_gateways(n)));
    network.run_until(15.0);
    let fraction = |n: usize| network.nodes[n].quota.expect("the quota has been read").fraction;
    let used: f64 = (0..12).map(|n| fraction(n) / f64::from(own_max_gateways(n))).sum();
    let largest = f64::from(wrong.max(12));
    assert!(used <= 1.0 + 1e-9 && used >= 12.0 / largest * network.config.floor, "{used}");
    let mismatch = |event: &MembershipEvent| matches!(event, MembershipEvent::MaxGatewaysMismatch { .. });
    assert_eq!(network.first_event_times(0.0, mismatch).len(), 12);
}

#[test]
fn the_last_survivor_assumes_the_maximum_number_of_gateways() {
    let mut network = converged_network(12, 10);
    (1..12).for_each(|n| network.kill(n));
    network.run_until(network.now + 30.0);
    let last = network.nodes[0].running_membership();
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

#[test]
fn probing_continues_when_the_clock_is_set_back() {
    let address = |last: u8| ([10, 0, 0, last], 7000).into();
    let identity =
        Identity { instance_id: 1, name: "a".into(), address: address(1), incarnation: 0, max_gateways: 3 };
    let config = MembershipConfig::default();
    let mut membership = Membership::new(identity, config, vec![address(2)], 1, 10_000.0);
    let mut sent_in_two_seconds = |from: f64| {
        let mut now = from;
        while now < from + 2.0 {
            membership.tick(now);
            now = membership.next_deadline().max(now + 1e-3);
            assert!(now < from + 3.0, "the next tick is due at {now}");
        }
        std::iter::from_fn(|| membership.next_outgoing()).count()
    };
    let before = sent_in_two_seconds(10_000.0);
    let after = sent_in_two_seconds(6_400.0);
    assert!(before > 5 && after > 5, "{before} {after}");
}
