//! Discovery that fails: events cut short, repeated or missing, and streams that fall silent.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, DiscoveryStreams, MAX_SOCKETS, Router, Worker, answers, endpoint_event,
};
use milletpath_test_support::wait::becomes_true;
use std::io::Write;
use std::time::Duration;

/// The stream breaks amid an event, repeats old ones and skips one: each is asked for again and taken once.
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
    // Once it has left, nothing more goes to the old one.
    let frames_before = old.received.count();
    assert!((100..110).all(|n| client.call(n, n).contains(DONE)));
    assert_eq!(old.received.count(), frames_before);
}

/// Discovery that falls silent is asked again, from its last event on.
#[test]
fn silent_discovery_is_queried_again_from_its_last_event() {
    let worker = Worker::start(answers);
    let discovery = Discovery::start(vec![endpoint_event(2, "w1", worker.address, "active")]);
    let _router = Router::start(&[worker.address], discovery.address, MAX_SOCKETS);
    assert!(becomes_true(|| discovery.requests().len() >= 2));
    assert_eq!(discovery.requests()[1], "after 2");
}

/// Discovery from which single bytes come but no line ever ends counts as silent: it is asked again. Bytes alone held
/// that off for as long as they came.
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
