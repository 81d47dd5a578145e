//! Releases and starts of a large fleet: many events of single workers, one after the other.

use milletpath_test_support::platform_rig::{
    Client, DONE, DiscoveryStreams, MAX_SOCKETS, REJECTED, Router, RouterConfiguration, Worker, answers,
    complete_list_event, endpoint_event, function_call_line,
};
use milletpath_test_support::wait::becomes_true;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Workers on the list; several of them share an address.
const WORKERS: usize = 1600;
/// Six in ten are replaced, each by an event that it leaves and one that its successor is active.
const REPLACED: usize = WORKERS * 6 / 10;
const RELEASE_SECONDS: f64 = 4.0;
/// How long the client of a call waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

fn address_of(processes: &[Worker], worker: usize) -> SocketAddr {
    processes[worker % processes.len()].address
}

/// Publishes the release: every worker of it leaves, and half of its length later another has left and its successor is
/// there.
fn release(stream: &mut impl Write, processes: &[Worker]) {
    let began = Instant::now();
    for step in 0..2 * REPLACED {
        let due = Duration::from_secs_f64(RELEASE_SECONDS * step as f64 / (2 * REPLACED) as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        let (worker, number) = (step / 2, step as u64 + 2);
        let address = address_of(processes, worker);
        let event = if step % 2 == 0 {
            endpoint_event(number, &format!("w{worker}"), address, "left")
        } else {
            endpoint_event(number, &format!("v{worker}"), address, "active")
        };
        stream.write_all(event.as_bytes()).expect("the router reads its stream");
    }
}

/// Calls that come during a release of six in ten workers are answered in time. Guards against a turn that applies all
/// unread events, each at a cost that grows with the fleet: the router answered nobody for 15 s.
#[test]
fn a_release_of_a_large_fleet_holds_up_no_call() {
    let processes = [(); 4].map(|()| Worker::start(answers));
    let discovery = DiscoveryStreams::start();
    let router = Router::start(&[], discovery.address, MAX_SOCKETS);
    let mut stream = discovery.next_stream();
    let names: Vec<_> = (0..WORKERS).map(|worker| format!("w{worker}")).collect();
    let list: Vec<_> =
        (0..).zip(&names).map(|(n, name)| (name.as_str(), address_of(&processes, n), "active")).collect();
    stream.write_all(complete_list_event(1, &list).as_bytes()).unwrap();
    let mut client = Client::connect(&router);
    let mut number = 0;
    let is_listed = becomes_true(|| {
        number += 1;
        client.call(number, number).contains(DONE)
    });
    assert!(is_listed);
    std::thread::scope(|scope| {
        let released = scope.spawn(|| release(&mut stream, &processes));
        while !released.is_finished() {
            number += 1;
            let sent = Instant::now();
            client.send(&function_call_line(number, number, number % 40));
            let answer = client.receive();
            assert!(answer.contains(DONE) || answer.contains(REJECTED), "call {number}: {answer:?}");
            assert!(sent.elapsed() < CLIENT_TIMEOUT, "call {number}: answered after {:?}", sent.elapsed());
            std::thread::sleep(CALL_INTERVAL);
        }
    });
    // The new workers are in slow start, so a call may be rejected.
    let serves = becomes_true(|| {
        number += 1;
        client.call(number, number).contains(DONE)
    });
    assert!(serves);
}

/// A router whose file has some thousands of events under `known` is ready within the 10 s that the platform allows.
/// Guards against a cost of each event that grows with the fleet: it took 17 s.
#[test]
fn a_router_with_thousands_of_known_events_is_ready_in_time() {
    /// Time within which the platform expects nine in ten routers to be ready.
    const READY_WITHIN: Duration = Duration::from_secs(10);
    const KNOWN_EVENTS: usize = 3200;
    let worker = Worker::start(answers);
    let discovery = DiscoveryStreams::start();
    let configuration =
        RouterConfiguration::new(&[worker.address; KNOWN_EVENTS], discovery.address, MAX_SOCKETS);
    let began = Instant::now();
    let router = Router::with_configuration(&configuration);
    assert!(Client::connect(&router).is_router_ready(1));
    assert!(began.elapsed() < READY_WITHIN, "ready after {:?}", began.elapsed());
}
