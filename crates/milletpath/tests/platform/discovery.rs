//! Discovery failures: events that are truncated, repeated or missing, and streams that fall silent.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, DiscoveryStreams, MAX_SOCKETS, Router, Worker, answers, endpoint_event,
};
use milletpath_test_support::wait::becomes_true;
use std::io::Write;
use std::time::Duration;

/// The stream ends in the middle of an event, skips one, and repeats old ones: missing events are requested again, and
/// each is applied once.
#[test]
fn truncated_repeated_or_skipped_events_are_each_applied_once() {
    let [old, new] = [(); 2].map(|()| Worker::start(answers));
    let left = endpoint_event(2, "w0", old.address, "left");
    let joined = endpoint_event(3, "w1", new.address, "active");
    let responses = vec![left[..30].to_owned(), joined.clone(), [left.clone(), left, joined].concat()];
    let discovery = Discovery::start(responses);
    let router = Router::start(&[old.address], discovery.address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    assert!(becomes_true(|| discovery.requests().len() >= 3));
    let mut number = 0;
    let new_worker_is_used = becomes_true(|| {
        number += 1;
        client.call(number, number).contains(DONE) && new.received.count() > 0
    });
    assert!(new_worker_is_used);
    assert_eq!(discovery.requests()[..3], ["after 1", "after 1", "after 1"]);
    // Nothing more is sent to the old worker once it has left.
    let frames_before = old.received.count();
    assert!((100..110).all(|n| client.call(n, n).contains(DONE)));
    assert_eq!(old.received.count(), frames_before);
}

/// When discovery falls silent, the router subscribes again from the last event on.
#[test]
fn silent_discovery_is_queried_again_from_its_last_event() {
    let worker = Worker::start(answers);
    let discovery = Discovery::start(vec![endpoint_event(2, "w1", worker.address, "active")]);
    let _router = Router::start(&[worker.address], discovery.address, MAX_SOCKETS);
    assert!(becomes_true(|| discovery.requests().len() >= 2));
    assert_eq!(discovery.requests()[1], "after 2");
}

/// Discovery that sends single bytes but never ends a line counts as silent, and the router subscribes again. Guards
/// against a timeout that each byte restarts.
#[test]
fn discovery_that_never_ends_a_line_is_queried_again() {
    const BYTE_INTERVAL: Duration = Duration::from_millis(200);
    let discovery = DiscoveryStreams::start();
    let worker = Worker::start(answers);
    let _router = Router::start(&[worker.address], discovery.address, MAX_SOCKETS);
    let mut stream = discovery.next_stream();
    let second_stream = (0..60).find_map(|_| {
        let _ = stream.write_all(b" ");
        discovery.streams.recv_timeout(BYTE_INTERVAL).ok()
    });
    assert!(second_stream.is_some());
}
