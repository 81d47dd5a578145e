use super::*;
use test_case::test_case;

fn limits() -> ConnectionLimits {
    ConnectionLimits::new(&ConnectionSettings {
        descriptors: 256,
        streams_per_connection: 32,
        idle_timeout: 30.0,
        connect_timeout: 0.25,
        longest_deadline: 3.0,
    })
}

/// Guards against evicting a client that has just connected while its first call is in transit.
#[test]
fn new_connections_are_evicted_last() {
    let clients = [(7, false, 0.01), (3, true, 5.0), (4, true, 9.0), (5, false, 1.0), (6, true, 0.1)];
    let clients = clients.map(|(slot, has_sent_message, idle_seconds)| EvictionCandidate {
        slot,
        has_sent_message,
        idle_seconds,
    });
    assert_eq!(limits().eviction_order(clients.into_iter()).collect::<Vec<_>>(), [5, 4, 3, 6, 7]);
}

/// Chooses at 1.0 s among connections given as their number of attempts and the time since which they are silent.
fn choose(connections: &[(usize, Option<f64>)], open: usize) -> Option<usize> {
    let usage = connections.iter().map(|&(attempts, silent_since)| ConnectionUse { attempts, silent_since });
    limits().choose_connection(1.0, usage, open)
}

#[test]
fn busy_connection_gets_a_second_one_within_the_limit() {
    let limits = limits();
    assert_eq!(choose(&[(3, Some(0.9)), (2, Some(0.9))], 9), Some(1));
    assert_eq!(choose(&[(4, Some(0.9)), (4, Some(0.9))], 9), None);
    assert_eq!(choose(&[(9, Some(0.9)), (8, Some(0.9))], limits.worker_connections), Some(1));
    assert!(limits.clients + limits.worker_connections + RESERVED_DESCRIPTORS <= 256);
}

/// Guards against sending new attempts to an unreachable host: its silent connection used to be chosen because it had
/// the fewest attempts.
#[test]
fn silent_connection_gets_no_more_attempts_within_the_limit() {
    let one_silent = [(1, Some(0.7)), (3, Some(0.8))];
    assert_eq!(choose(&one_silent, 9), Some(1));
    assert_eq!(choose(&one_silent, limits().worker_connections), Some(1));
    assert_eq!(choose(&[(1, Some(0.7))], 9), None);
    assert_eq!(choose(&[(0, None)], 9), Some(0));
}

/// Guards against dropping a call of an established client whose line takes more than 2 s to arrive in pieces.
#[test_case(2.9, 0.1, true, false; "later line in pieces")]
#[test_case(3.0, 0.1, true, true; "later line for the longest deadline")]
#[test_case(2.1, 2.0, true, true; "later line with a stalled rest")]
#[test_case(2.4, 0.1, false, false; "first line in pieces")]
#[test_case(2.5, 0.1, false, true; "first line for its time limit")]
fn partial_line_has_a_time_limit(
    seconds_since_start: f64,
    last_received: f64,
    has_sent_message: bool,
    timed_out: bool,
) {
    let (line_started, last_received) = (100.0 - seconds_since_start, 100.0 - last_received);
    assert_eq!(limits().line_timed_out(100.0, line_started, last_received, has_sent_message), timed_out);
}
