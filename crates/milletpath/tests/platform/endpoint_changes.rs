//! Changes of the endpoint list while attempts are in flight. The order of events is deterministic: the router is
//! paused, or a worker withholds its answer, until everything that is to arrive concurrently has been written.

use milletpath_test_support::platform_rig::{
    Client, DONE, DiscoveryStreams, REJECTED, Router, RouterConfiguration, ScriptedWorker, call_line,
    complete_list_event, endpoint_event,
};
use milletpath_test_support::wait::becomes_true;
use milletpath_test_support::worker_frames::{request, response};
use nix::sys::signal::Signal;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use test_case::test_case;

/// A configuration without slow start, whose limits derive from the measured throughput of warm workers: with a single
/// known worker there is none to go by.
fn without_slow_start(
    workers: &[SocketAddr],
    discovery: SocketAddr,
    connect_timeout: u64,
) -> RouterConfiguration {
    RouterConfiguration::non_idempotent(workers, discovery, connect_timeout)
        .with("WarmUp", 0)
        .with("OverloadFor", 1000)
}

/// An attempt is in flight at a worker that drains according to the old discovery's last event. The configuration is
/// replaced, and the router subscribes to the new discovery from that event on. The new events apply, the answer of the
/// draining worker is forwarded, and calls in flight at SIGTERM are answered.
#[test]
fn the_configuration_is_replaced_while_a_worker_drains() {
    let [draining, joining] = [(); 2].map(|()| ScriptedWorker::start());
    let old = DiscoveryStreams::start();
    let new_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut router =
        Router::with_configuration(&without_slow_start(&[draining.address], old.address, 250_000));
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut first = draining.accept();
    assert_eq!(first.next_frame(request::ATTEMPT).expect("the attempt arrives").id, 1);
    let mut stream = old.next_stream();
    let new_configuration =
        without_slow_start(&[draining.address], new_discovery.local_addr().unwrap(), 250_000);
    router.process.while_paused(|| {
        stream.write_all(endpoint_event(2, "w0", draining.address, "leaving").as_bytes()).unwrap();
        std::fs::write(&router.configuration_file, new_configuration.text()).unwrap();
        router.process.signal(Signal::SIGHUP);
    });
    let (mut stream, _) = new_discovery.accept().unwrap();
    let mut request_line = String::new();
    BufReader::new(&stream).read_line(&mut request_line).unwrap();
    assert_eq!(request_line, "after 2\n");
    stream.write_all(endpoint_event(3, "w1", joining.address, "active").as_bytes()).unwrap();
    client.send(&call_line(2, 2));
    let mut second = joining.accept();
    assert_eq!(
        second.next_frame(request::ATTEMPT).expect("the second attempt goes to the other worker").id,
        2
    );
    router.process.signal(Signal::SIGHUP);
    router.process.signal(Signal::SIGTERM);
    first.respond(response::DONE, 1);
    assert!(client.receive().contains("\"id\":1,\"result\""));
    second.respond(response::DONE, 2);
    assert!(client.receive().contains("\"id\":2,\"result\""));
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
    assert_eq!((first.next_frame(request::ATTEMPT), second.next_frame(request::ATTEMPT)), (None, None));
}

/// What the complete list says of the worker that has an attempt in flight.
#[derive(Clone, Copy)]
enum CompleteList {
    WorkerMissing,
    WorkerDraining,
    Empty,
}

/// A complete list arrives after a gap in the event numbers while a worker has an attempt in flight. The worker is
/// missing from the list or draining, or the list is empty: nothing more is sent to it, its answer is forwarded, and
/// once it is listed again it counts as the same process.
#[test_case(CompleteList::WorkerMissing; "the worker is missing")]
#[test_case(CompleteList::WorkerDraining; "the worker drains and the other is new")]
#[test_case(CompleteList::Empty; "the list is empty")]
fn a_complete_list_arrives_while_an_attempt_is_in_flight(list: CompleteList) {
    let [first, other] = [(); 2].map(|()| ScriptedWorker::start());
    let discovery = DiscoveryStreams::start();
    let configuration = without_slow_start(&[first.address], discovery.address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut connection = first.accept();
    assert_eq!(connection.next_frame(request::ATTEMPT).expect("the attempt arrives").id, 1);
    let mut stream = discovery.next_stream();
    let new_endpoint = ("w1", other.address, "active");
    let endpoints: &[_] = match list {
        CompleteList::WorkerMissing => &[new_endpoint],
        CompleteList::WorkerDraining => &[("w0", first.address, "leaving"), new_endpoint],
        CompleteList::Empty => &[],
    };
    stream.write_all(complete_list_event(7, endpoints).as_bytes()).unwrap();
    client.send(&call_line(2, 2));
    if endpoints.is_empty() {
        // No worker was available, so no attempt was made: the call is rejected and may safely be retried.
        let line = client.receive();
        assert!(line.contains("\"id\":2,") && line.contains(REJECTED), "{line}");
    } else {
        let mut connection = other.accept();
        assert_eq!(
            connection.next_frame(request::ATTEMPT).expect("the second attempt goes to the other worker").id,
            2
        );
        connection.respond(response::DONE, 2);
        assert!(client.receive().contains("\"id\":2,\"result\""));
    }
    connection.respond(response::DONE, 1);
    assert!(client.receive().contains("\"id\":1,\"result\""));
    let events =
        [endpoint_event(8, "w1", other.address, "left"), endpoint_event(9, "w0", first.address, "active")];
    stream.write_all(events.concat().as_bytes()).unwrap();
    client.send(&call_line(3, 3));
    let third = connection.next_frame(request::ATTEMPT);
    assert_eq!(third.expect("the third attempt uses the open connection").id, 3);
    connection.respond(response::DONE, 3);
    assert!(client.receive().contains("\"id\":3,\"result\""));
}

/// While a connection is being opened, the endpoint list replaces the worker by another process at another address.
/// Guards against sending the attempt that waits for the connection to the old process.
#[test]
fn a_worker_is_replaced_while_a_connection_to_it_is_being_opened() {
    let (old, filler) = ScriptedWorker::with_full_backlog();
    let new = ScriptedWorker::start();
    let discovery = DiscoveryStreams::start();
    let configuration = without_slow_start(&[old.address], discovery.address, 3_000_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    // Once a health check on the same connection is answered, the call was read and its connection requested.
    assert!(client.is_router_ready(2));
    let mut stream = discovery.next_stream();
    stream.write_all(endpoint_event(2, "w0", new.address, "active").as_bytes()).unwrap();
    // An event for a worker that is not on the list: once the router knows it, it has read the one before.
    stream.write_all(endpoint_event(3, "w9", new.address, "left").as_bytes()).unwrap();
    let mut late_connection = old.free_backlog(filler);
    let mut connection = new.accept();
    assert_eq!(connection.next_frame(request::ATTEMPT).expect("the attempt goes to the new process").id, 1);
    connection.respond(response::DONE, 1);
    assert!(client.receive().contains(DONE));
    drop(router);
    assert_eq!(late_connection.next_frame(request::ATTEMPT), None);
}

/// A complete list omits a worker that has an attempt in flight, and the next event lists the worker again: its answer is
/// forwarded, and it counts as the same process throughout.
#[test]
fn a_worker_is_removed_from_the_list_and_listed_again_while_an_attempt_is_in_flight() {
    let worker = ScriptedWorker::start();
    let discovery = DiscoveryStreams::start();
    let configuration = RouterConfiguration::non_idempotent(&[worker.address], discovery.address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut connection = worker.accept();
    assert_eq!(connection.next_frame(request::ATTEMPT).expect("the attempt arrives").id, 1);
    let events = [complete_list_event(2, &[]), endpoint_event(3, "w0", worker.address, "active")];
    discovery.next_stream().write_all(events.concat().as_bytes()).unwrap();
    connection.respond(response::DONE, 1);
    assert!(client.receive().contains(DONE));
    let served = becomes_true(|| {
        client.send(&call_line(2, 2));
        let Some(attempt) = connection.next_frame(request::ATTEMPT) else { return false };
        connection.respond(response::DONE, attempt.id);
        client.receive().contains(DONE)
    });
    assert!(served);
}
