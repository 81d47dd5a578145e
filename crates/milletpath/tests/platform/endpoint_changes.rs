//! Changes of the endpoint list while attempts are in flight, each forced by order: the router is paused, or a worker
//! holds its step, until all that is to cross has been written.

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

/// A configuration without slow start: where one worker alone is known there is no pace to go by.
fn without_slow_start(
    workers: &[SocketAddr],
    discovery: SocketAddr,
    connect_timeout: u64,
) -> RouterConfiguration {
    RouterConfiguration::non_idempotent(workers, discovery, connect_timeout)
        .with("WarmUp", 0)
        .with("OverloadFor", 1000)
}

/// An attempt is in flight at a worker that drains by the old discovery's last event; the configuration is replaced,
/// and the new discovery is asked from there on. Its events apply, the answer of the draining worker counts, and
/// SIGTERM that comes with calls in flight lets them be answered.
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
    assert_eq!(first.next_frame(request::ATTEMPT).expect("its attempt").id, 1);
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
    assert_eq!(second.next_frame(request::ATTEMPT).expect("the second, elsewhere").id, 2);
    router.process.signal(Signal::SIGHUP);
    router.process.signal(Signal::SIGTERM);
    first.respond(response::DONE, 1);
    assert!(client.receive().contains("\"id\":1,\"result\""));
    second.respond(response::DONE, 2);
    assert!(client.receive().contains("\"id\":2,\"result\""));
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
    assert_eq!((first.next_frame(request::ATTEMPT), second.next_frame(request::ATTEMPT)), (None, None));
}

/// The state, in the complete list, of the worker that has an attempt in flight.
#[derive(Clone, Copy)]
enum CompleteList {
    WorkerMissing,
    WorkerDraining,
    Empty,
}

/// The complete list comes past a gap of numbers, while a worker has an attempt in flight that is not on it, drains, or
/// where nobody is on it: nothing more is sent there, its answer counts, and once it is listed again it is the same
/// process.
#[test_case(CompleteList::WorkerMissing; "it is missing")]
#[test_case(CompleteList::WorkerDraining; "it drains, and the other is new")]
#[test_case(CompleteList::Empty; "nobody is on it")]
fn a_complete_list_arrives_while_an_attempt_is_in_flight(list: CompleteList) {
    let [first, other] = [(); 2].map(|()| ScriptedWorker::start());
    let discovery = DiscoveryStreams::start();
    let configuration = without_slow_start(&[first.address], discovery.address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut connection = first.accept();
    assert_eq!(connection.next_frame(request::ATTEMPT).expect("its attempt").id, 1);
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
        // No worker could be asked: trying again does no harm.
        let line = client.receive();
        assert!(line.contains("\"id\":2,") && line.contains(REJECTED), "{line}");
    } else {
        let mut connection = other.accept();
        assert_eq!(connection.next_frame(request::ATTEMPT).expect("the second, elsewhere").id, 2);
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
    assert_eq!(third.expect("the third, on the connection that stood").id, 3);
    connection.respond(response::DONE, 3);
    assert!(client.receive().contains("\"id\":3,\"result\""));
}

/// A connection comes up late, and meanwhile the endpoint list names another process as the worker, at another
/// address. The attempt that waited for the connection went to the process that was gone.
#[test]
fn a_worker_is_replaced_while_a_connection_to_it_is_being_opened() {
    let (old, filler) = ScriptedWorker::with_full_backlog();
    let new = ScriptedWorker::start();
    let discovery = DiscoveryStreams::start();
    let configuration = without_slow_start(&[old.address], discovery.address, 3_000_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    // The call was read, and its connection is asked for, once a health check on the same connection is answered.
    assert!(client.is_router_ready(2));
    let mut stream = discovery.next_stream();
    stream.write_all(endpoint_event(2, "w0", new.address, "active").as_bytes()).unwrap();
    // It was read once what comes after it is known.
    stream.write_all(endpoint_event(3, "w9", new.address, "left").as_bytes()).unwrap();
    let mut late_connection = old.free_backlog(filler);
    let mut connection = new.accept();
    assert_eq!(connection.next_frame(request::ATTEMPT).expect("the attempt, elsewhere").id, 1);
    connection.respond(response::DONE, 1);
    assert!(client.receive().contains(DONE));
    drop(router);
    assert_eq!(late_connection.next_frame(request::ATTEMPT), None);
}

/// The complete list comes without a worker that has an attempt in flight, and another event at once lists it again: its
/// answer counts, and it is one process all along.
#[test]
fn a_worker_is_removed_from_the_list_and_listed_again_while_an_attempt_is_in_flight() {
    let worker = ScriptedWorker::start();
    let discovery = DiscoveryStreams::start();
    let configuration = RouterConfiguration::non_idempotent(&[worker.address], discovery.address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut connection = worker.accept();
    assert_eq!(connection.next_frame(request::ATTEMPT).expect("its attempt").id, 1);
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
