use super::*;
use test_case::test_case;

/// A client had connected a moment ago and its first call was on the way, when room was made for another.
#[test]
fn newcomers_are_evicted_last() {
    let connection_limits = ConnectionLimits::new(256, 32, 30.0, 0.25, 3.0);
    let clients = [(7, false, 0.01), (3, true, 5.0), (4, true, 9.0), (5, false, 1.0), (6, true, 0.1)];
    assert_eq!(connection_limits.eviction_order(clients.into_iter()).collect::<Vec<_>>(), [5, 4, 3, 6, 7]);
}

#[test]
fn busy_connection_is_joined_by_another_within_the_limit() {
    let connection_limits = ConnectionLimits::new(256, 32, 30.0, 0.25, 3.0);
    let choose_connection = |open: [usize; 2], worker_connections| {
        connection_limits.choose_connection(1.0, open.map(|n| (n, Some(0.9))).into_iter(), worker_connections)
    };
    assert_eq!(choose_connection([3, 2], 9), Some(1));
    assert_eq!(choose_connection([4, 4], 9), None);
    assert_eq!(choose_connection([9, 8], connection_limits.worker_connections), Some(1));
    assert!(connection_limits.clients + connection_limits.worker_connections + RESERVED_DESCRIPTORS <= 256);
}
/// A machine vanished without a sign, and each new shot went to the connection that had the fewest.
#[test]
fn silent_connection_gets_no_more_attempts_within_the_limit() {
    let connection_limits = ConnectionLimits::new(256, 32, 30.0, 0.25, 3.0);
    let choose_connection = |worker_connections| {
        connection_limits.choose_connection(
            1.0,
            [(1, Some(0.7)), (3, Some(0.8))].into_iter(),
            worker_connections,
        )
    };
    assert_eq!(
        (choose_connection(9), choose_connection(connection_limits.worker_connections)),
        (Some(1), Some(1))
    );
    assert_eq!(connection_limits.choose_connection(1.0, [(1, Some(0.7))].into_iter(), 9), None);
    assert_eq!(connection_limits.choose_connection(1.0, [(0, None)].into_iter(), 9), Some(0));
}

/// A line of a known client that came in pieces for longer than 2 s was given up, with its call.
#[test_case(2.9, 0.1, true, false; "pieces of a known client")]
#[test_case(3.0, 0.1, true, true; "for longer than anyone waits")]
#[test_case(2.1, 2.0, true, true; "half of one, and no more")]
#[test_case(2.4, 0.1, false, false; "pieces of the first")]
#[test_case(2.5, 0.1, false, true; "the first in pieces without end")]
fn partial_line_has_a_time_limit(started: f64, last_received: f64, has_sent_message: bool, over: bool) {
    let connection_limits = ConnectionLimits::new(256, 32, 30.0, 0.25, 3.0);
    assert_eq!(
        connection_limits.line_timed_out(100.0, 100.0 - started, 100.0 - last_received, has_sent_message),
        over
    );
}
