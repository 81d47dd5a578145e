//! Limits of the router: descriptors, open calls and memory. Calls that arrive when a limit is reached are still
//! answered.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, REJECTED, Router, RouterConfiguration, Worker, answers, call_line,
    endpoint_event, health_check_line, never_answers,
};
use milletpath_test_support::wait::{becomes_true, wait_for};
use std::io::Write;
use std::net::TcpListener;

/// Descriptor limit of a router that has room for [`CLIENT_LIMIT`] clients.
const DESCRIPTOR_LIMIT: usize = 64;
/// Clients that a router with [`DESCRIPTOR_LIMIT`] descriptors accepts.
const CLIENT_LIMIT: usize = 17;
/// More clients than the router accepts beyond [`CLIENT_LIMIT`] at a time.
const NEW_CLIENTS: usize = 40;

/// A router at its client limit, where each connected client waits for an answer.
struct FullRouter {
    router: Router,
    worker: Worker,
    waiting: Vec<Client>,
}

impl FullRouter {
    fn start() -> Self {
        let worker = Worker::start(never_answers);
        let configuration =
            RouterConfiguration::new(&[worker.address], Discovery::steady().address, DESCRIPTOR_LIMIT);
        let router = Router::with_configuration(&configuration);
        let mut waiting: Vec<_> = (0..CLIENT_LIMIT).map(|_| Client::connect(&router)).collect();
        for (client, id) in waiting.iter_mut().zip(1..) {
            client.send(&call_line(1, id));
        }
        Self { router, worker, waiting }
    }
}

/// Each client that the router has room for has a call in flight at a worker that never answers. Then others connect
/// and call while the router is paused, so that it finds their calls together with their connections. Guards against
/// closing these connections with the call unread.
#[test]
fn a_call_on_a_new_connection_is_answered_when_all_others_wait_for_answers() {
    let FullRouter { router, worker, mut waiting } = FullRouter::start();
    assert!(becomes_true(|| worker.received.attempts().len() == CLIENT_LIMIT));
    let mut new_clients = Vec::new();
    router.process.while_paused(|| {
        new_clients = (0..NEW_CLIENTS).map(|_| Client::connect(&router)).collect();
        for (client, id) in new_clients.iter_mut().zip(1000..) {
            client.send(&call_line(1, id));
        }
    });
    for client in &mut new_clients {
        let line = client.receive();
        assert!(line.contains(REJECTED) && line.contains("\"w\":1000"), "{line:?}");
        // The router closes the connection without a reset.
        assert!(client.is_closed_cleanly());
    }
    for client in &mut waiting {
        let line = client.receive();
        assert!(line.contains("\"id\":1,"), "{line:?}");
    }
}

/// New connections that send nothing don't keep a client with a call from being answered.
#[test]
fn silent_new_connections_make_room_for_a_call() {
    let FullRouter { router, worker: _, waiting } = FullRouter::start();
    let silent: Vec<_> = (0..NEW_CLIENTS).map(|_| Client::connect(&router)).collect();
    let line = Client::connect(&router).call(1, 1000);
    assert!(line.contains(REJECTED), "{line:?}");
    drop((waiting, silent));
}

/// With more connections than descriptors, idle connections are closed and a client that calls is served.
#[test]
fn idle_connections_at_the_descriptor_limit_make_room_for_a_call() {
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, 80);
    let idle: Vec<_> = (0..200).map(|_| Client::connect(&router)).collect();
    let line = wait_for(|| Some(Client::connect(&router).call(1, 9)).filter(|line| line.contains(DONE)));
    assert!(line.is_some());
    assert!(idle.into_iter().all(|mut client| client.receive().is_empty()));
}

/// Once the limit on open calls is reached, the next call is rejected at once. Guards against a rejection without a
/// retry delay.
#[test]
fn a_call_over_the_limit_on_open_calls_gets_a_retry_delay() {
    let worker = Worker::start(never_answers);
    let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let router = Router::with_configuration(&configuration.with("MaxAttempts", "4,\"OpenCap\":1"));
    let mut client = Client::connect(&router);
    client.send(&[call_line(1, 1), call_line(2, 2)].concat());
    let line = client.receive();
    assert!(line.contains("\"id\":2,") && line.contains(REJECTED) && line.contains("\"w\":1000"), "{line}");
}

/// The system grants fewer descriptors than the configuration states, discovery is down, and many clients stay
/// connected: calls are still accepted and answered, and the router connects to discovery once it is up. Guards against
/// taking the configured number as the limit and accepting clients until no descriptor is left.
#[test]
fn idle_clients_leave_descriptors_for_calls_and_discovery() {
    let [old, new] = [(); 2].map(|()| Worker::start(answers));
    let closed_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = closed_listener.local_addr().unwrap();
    drop(closed_listener);
    let configuration = RouterConfiguration::new(&[old.address], discovery, 1024);
    let router = Router::with_descriptor_limit(64, &configuration);
    let mut idle: Vec<_> = (0..200).map(|_| Client::connect(&router)).collect();
    for client in &mut idle {
        client.send(&health_check_line(1));
    }
    let mut client = Client::connect(&router);
    for n in 1..20 {
        let line = client.call(n, n);
        assert!(line.contains(DONE), "{line}");
    }
    let listener = TcpListener::bind(discovery).unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    let events =
        [endpoint_event(2, "w0", old.address, "left"), endpoint_event(3, "w1", new.address, "active")];
    stream.write_all(events.concat().as_bytes()).unwrap();
    let mut number = 20;
    let new_worker_is_used = becomes_true(|| {
        number += 1;
        client.call(number, number).contains(DONE) && new.received.count() > 0
    });
    assert!(new_worker_is_used);
    drop(idle);
}

/// Calls whose bodies and possible responses exceed the memory for them in sum, to a worker that never answers: those past
/// the limit are rejected at once with a retry delay, and once some have ended there is room again. Guards against
/// unbounded memory for bodies.
#[test]
fn calls_over_the_memory_limit_are_rejected_until_others_end() {
    let worker = Worker::start(never_answers);
    let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    // 28 such calls fit beside the 20 of the first client, whose share is less, in whichever order they are read. Without
    // load requests nothing but memory limits the calls of a worker that never answers.
    let configuration = configuration.with("memory_mb", 5).with("PlacementCalls", false);
    let router = Router::with_configuration(&configuration);
    router.wait_for_current_list();
    let body = "A".repeat(4 * (15 << 10) / 3);
    let large_call = |number| call_line(number, 100 + number).replace("aGk=", &body);
    let mut client = Client::connect(&router);
    client.send(&(1..=20).map(|n| large_call(n).replace("2500", "1500")).collect::<String>());
    let mut other = Client::connect(&router);
    other.send(&(33..=64).map(large_call).collect::<String>());
    let line = other.receive();
    assert!(line.contains(REJECTED) && line.contains("\"w\":1000"), "{line}");
    // The calls with the shorter deadline have not ended, so the call was not rejected because its time was up.
    assert!(!client.has_received());
    drop((client, other));
    // This client stays connected, as the call of a client that leaves at once is never sent to a worker.
    let mut small_client = Client::connect(&router);
    let mut number = 1;
    small_client.send(&call_line(number, 7));
    let has_room = becomes_true(|| {
        if small_client.has_received() {
            let line = small_client.receive();
            assert!(line.contains(REJECTED), "{line}");
            number += 1;
            small_client.send(&call_line(number, 7));
        }
        worker.received.has_attempt(7)
    });
    assert!(has_room);
}
