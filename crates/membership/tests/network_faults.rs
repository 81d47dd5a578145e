//! Clusters with network faults and paused processes in simulated time. In all cases the gateways together never
//! exceed the shared budgets, and every gateway considers all others alive again after the faults end.

use milletpath_membership::{MembershipConfig, MembershipEvent, Reachability};
use milletpath_test_support::simulated_network::SimulatedNetwork;
use milletpath_test_support::simulated_network::delivery::{
    DeliveryRule, cut_where, delayed, lossy, reliable,
};
use milletpath_test_support::simulated_network::scenario::{
    assert_converged, assert_quota_respected, assert_used, converged_network, strict_config,
};
use rand::Rng;
use test_case::test_case;

fn is_suspicion(event: &MembershipEvent) -> bool {
    matches!(event, MembershipEvent::Suspected { .. })
}

fn is_death(event: &MembershipEvent) -> bool {
    matches!(event, MembershipEvent::Died { .. })
}

/// Each side of a partition detects the loss of the other. After the partition heals, each side considers the other
/// alive within seconds.
#[test_case(12, 5, 10.0; "5 to 7")]
#[test_case(12, 6, 10.0; "in the middle")]
#[test_case(12, 1, 20.0; "one alone")]
#[test_case(24, 10, 10.0; "10 to 14")]
fn a_network_partition_is_tolerated_and_heals(size: usize, minority: usize, seconds: f64) {
    for seed in 1..=3 {
        let mut network = converged_network(size, seed);
        let from = network.now;
        let until = from + seconds;
        network.delivery_rule = cut_where(move |transmission| {
            let crosses = (transmission.from < minority) != (transmission.to < minority);
            crosses && (from..until).contains(&transmission.sent_at)
        });
        network.run_until(until);
        let reachability = |n: usize| network.nodes[n].running_membership().reachability();
        let expected_minority = if minority == 1 { Reachability::Nobody } else { Reachability::Minority };
        assert_eq!(reachability(0), expected_minority);
        let expected_rest = if 2 * minority < size { Reachability::Majority } else { Reachability::Minority };
        assert_eq!(reachability(size - 1), expected_rest);
        network.run_until(until + 5.0);
        assert!(network.all_agree(), "seed {seed}: must heal within 5 s");
        network.run_until(until + 12.0);
        assert_used(&network, 1.0);
    }
}

/// A gateway that receives nothing, while all others receive its datagrams, falls back to its floor. It gossips a
/// suspicion of at most one member: the one whose probe was the first to remain unanswered.
#[test]
fn a_gateway_that_receives_nothing_suspects_at_most_one_other() {
    let mut network = converged_network(12, 4);
    let from = network.now;
    network.delivery_rule =
        cut_where(move |transmission| transmission.to == 0 && transmission.sent_at < from + 10.0);
    network.run_until(from + 10.0);
    let isolated = network.nodes[0].running_membership();
    assert_eq!(isolated.reachability(), Reachability::Nobody);
    assert_eq!(isolated.likely_gateways(), 12.0);
    let quota = network.nodes[0].quota.expect("the quota has been read");
    assert_eq!(quota.fraction, quota.floor_fraction);
    let suspected_by_others = |other: &usize| {
        let suspect = format!("gateway-{other}");
        let matches = |event: &MembershipEvent| matches!(event, MembershipEvent::Suspected { name } if *name == suspect);
        network.first_event_times(from, matches).into_keys().any(|n| n != 0)
    };
    assert!((1..12).filter(suspected_by_others).count() <= 1);
    network.run_until(from + 20.0);
    assert_converged(&network);
}

/// A process that is paused for five seconds is declared dead by the others. When it resumes it must not suspect them.
#[test]
fn a_paused_process_suspects_nobody_when_it_resumes() {
    let mut network = converged_network(12, 5);
    let from = network.now;
    network.pause(3, 5.0);
    network.run_until(from + 5.0);
    let resumed_at = network.now;
    network.run_until(from + 12.0);
    assert!(network.all_agree());
    assert_eq!(network.nodes[3].count_events(resumed_at, is_suspicion), 0);
    assert_used(&network, 1.0);
}

#[test_case(0.05, 0; "a twentieth")]
#[test_case(0.2, 0; "a fifth")]
#[test_case(0.3, 1; "three tenths")]
fn lost_datagrams_cause_no_false_deaths(probability: f64, tolerated_per_gateway: usize) {
    for seed in 1..=3 {
        let mut network = converged_network(12, seed);
        network.delivery_rule = lossy(probability);
        network.run_until(network.now + 60.0);
        let deaths: usize = network.nodes.iter().map(|node| node.count_events(0.0, is_death)).sum();
        assert!(deaths <= tolerated_per_gateway * 12, "seed {seed}: {deaths} false deaths in a minute");
        assert_quota_respected(&network);
    }
}

/// Datagrams are delayed by up to 1.5 s and reordered. The first late acks may cause false deaths; after that the
/// suspicion timeout has adapted to the longer round trips.
#[test]
fn delayed_datagrams_lengthen_the_suspicion_timeout() {
    let mut network = converged_network(12, 12);
    let from = network.now;
    network.delivery_rule = delayed(0.2..1.5);
    network.run_until(from + 40.0);
    let after_adaptation = from + 15.0;
    let deaths = network.nodes.iter().map(|node| node.count_events(after_adaptation, is_death));
    assert_eq!(deaths.sum::<usize>(), 0);
    network.delivery_rule = reliable();
    network.run_until(from + 60.0);
    assert_converged(&network);
}

/// Loses datagrams with a probability, adds a copy with a probability of 20 %, and reorders them.
fn lossy_with_duplicates(probability: f64) -> DeliveryRule {
    Box::new(move |_, rng| {
        let copies = usize::from(!rng.random_bool(probability)) + usize::from(rng.random_bool(0.2));
        (0..copies).map(|_| rng.random_range(0.0005..0.03)).collect()
    })
}

fn restart(network: &mut SimulatedNetwork, n: usize) {
    network.kill(n);
    network.start(n);
}

/// Injects one random fault, or ends the network faults.
fn inject_random_fault(network: &mut SimulatedNetwork) {
    let size = network.nodes.len();
    let n = network.rng.random_range(0..size);
    match network.rng.random_range(0..8) {
        0 => network.kill(n),
        1 | 2 => restart(network, n),
        3 => {
            let seconds = network.rng.random_range(0.1..6.0);
            network.pause(n, seconds);
        }
        4 => network.delivery_rule = reliable(),
        5 => {
            let probability = network.rng.random_range(0.0..0.6);
            network.delivery_rule = lossy_with_duplicates(probability);
        }
        6 => {
            let longest = network.rng.random_range(0.01..2.0);
            network.delivery_rule = delayed(0.0..longest);
        }
        _ => {
            let links_up: Vec<bool> = (0..size * size).map(|_| network.rng.random_bool(0.6)).collect();
            network.delivery_rule = cut_where(move |t| !links_up[t.from * size + t.to]);
        }
    }
}

#[test]
fn random_faults_never_make_the_quota_fractions_exceed_one() {
    const SIZES: [usize; 5] = [3, 4, 5, 7, 12];
    /// Shorter and longer than the suspicion timeout.
    const LEASES: [f64; 2] = [1.5, 8.0];
    for seed in 1..=40 {
        let size = SIZES[seed as usize % SIZES.len()];
        let lease = LEASES[seed as usize % LEASES.len()];
        let config = MembershipConfig { lease, ..strict_config() };
        let mut network = SimulatedNetwork::new(size, 1, config, seed);
        network.check_quota_sum = true;
        network.start_all();
        while network.now < 60.0 {
            inject_random_fault(&mut network);
            let pause = network.rng.random_range(0.1..3.0);
            network.run_until(network.now + pause);
        }
        assert_quota_respected(&network);
        network.start_missing();
        network.delivery_rule = reliable();
        network.run_until(network.now + 40.0);
        assert!(
            network.all_agree(),
            "seed {seed}: not every gateway considers all others alive after the faults ended"
        );
        assert_used(&network, 1.0);
    }
}
