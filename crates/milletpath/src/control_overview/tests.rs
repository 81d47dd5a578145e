//! Combination of control machine reports that differ.

use super::*;
use milletpath_config_log::Counters;

fn follower(name: &str, number: u64, seconds_since_contact: f64) -> FollowerStatus {
    FollowerStatus { name: name.into(), number, seconds_since_contact, apply_error: None }
}

fn status(number: u64, uptime: f64, followers: Vec<FollowerStatus>) -> ControlStatus {
    let view = ReplicaView {
        own_index: 0,
        replicas: 2,
        number,
        digest: number,
        votes: true,
        leads: false,
        ballot: 0,
        committed: 0,
        majority: true,
        confirmed_age: Some(number as f64),
        reachable: vec![0, 1],
        followers,
        counters: Counters::default(),
    };
    ControlStatus { view, uptime, cpu_seconds: 0.0, log_bytes: 0, log_error: None }
}

fn combine(statuses: Vec<Option<ControlStatus>>) -> ControlOverview {
    let addresses: Vec<_> =
        (1..=statuses.len()).map(|n| SocketAddr::from(([127, 0, 0, 1], n as u16))).collect();
    ControlOverview::combine(&addresses, statuses)
}

#[test]
fn the_highest_number_and_the_latest_contact_count() {
    let older = status(4, 10.0, vec![follower("a", 5, 0.9), follower("b", 5, 0.1)]);
    let newer = status(5, 10.0, vec![follower("a", 4, 0.2), follower("c", 5, 3.1)]);
    let overview = combine(vec![Some(older), Some(newer)]);
    assert_eq!((overview.head, overview.digest.as_str()), (5, "0000000000000005"));
    assert_eq!(overview.confirmed_age, Some(5.0));
    let states: Vec<_> = overview.gateways.iter().map(|g| (g.name.as_str(), g.state)).collect();
    let expected = [GatewayState::Behind, GatewayState::Current, GatewayState::Silent];
    assert_eq!(states, ["a", "b", "c"].into_iter().zip(expected).collect::<Vec<_>>());
}

#[test]
fn a_gateway_that_could_not_apply_the_latest_entry_is_refusing() {
    let apply_error = Some(ApplyError { number: 1, reason: "unknown profile".into() });
    let refusing = FollowerStatus { apply_error, ..follower("a", 1, 0.0) };
    let overview = combine(vec![Some(status(1, 10.0, vec![refusing]))]);
    assert_eq!(overview.count(GatewayState::Refusing), 1);
}

#[test]
fn an_overview_is_complete_once_all_reachable_machines_answer_and_are_up_long_enough() {
    let settled = || Some(status(1, 2.0, Vec::new()));
    assert!(combine(vec![settled(), settled()]).is_complete());
    assert!(!combine(vec![settled(), None]).is_complete(), "the second one is reachable");
    assert!(!combine(vec![settled(), Some(status(1, 1.9, Vec::new()))]).is_complete(), "just started");
    assert!(!combine(vec![None, None]).is_complete());
}
