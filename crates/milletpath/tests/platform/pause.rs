//! A router that is paused by SIGSTOP and resumed: every call written in the meantime is answered.

use crate::unread_call::UnreadCall;
use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, Router, Worker, answers, answers_after, call_line,
    health_check_line,
};
use milletpath_test_support::wait::becomes_true;
use nix::sys::signal::Signal;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

fn answers_after_400_ms(_: usize, id: u64, connection: &mut TcpStream) {
    answers_after(Duration::from_millis(400), id, connection);
}

/// Ages in ms of the silent connections when the pause begins: well before, near and just before the end of the time
/// for which a connection may stay silent.
const SILENT_AGES_MS: [u64; 4] = [0, 900, 1700, 1850];

/// Connections that have been open for the times in [`SILENT_AGES_MS`] and have sent nothing, and when the oldest one was
/// opened.
fn silent_clients(router: &Router) -> (Vec<Client>, Instant) {
    let oldest = SILENT_AGES_MS[SILENT_AGES_MS.len() - 1];
    let started = Instant::now();
    let connect = |age: &u64| {
        let connect_at = Duration::from_millis(oldest - age);
        std::thread::sleep(connect_at.saturating_sub(started.elapsed()));
        Client::connect(router)
    };
    (SILENT_AGES_MS.iter().rev().map(connect).collect(), started)
}

/// The router is paused with one call at its worker, unread calls on established, silent and new connections, and one
/// call half sent: each is answered once the router resumes, though the time limit for silent connections has passed.
#[test_case(500; "for half a second")]
#[test_case(2000; "for 2 s")]
#[test_case(12_000; "for 12 s")]
fn calls_around_a_pause_are_answered(paused_ms: u64) {
    let worker = Worker::start(answers_after_400_ms);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let (mut silent, oldest_since) = silent_clients(&router);
    let [mut in_flight, mut established, mut partial] = [(); 3].map(|()| Client::connect(&router));
    assert!(established.is_router_ready(1));
    let line = call_line(1, 3);
    let (head, tail) = line.split_at(40);
    partial.send(head);
    in_flight.send(&call_line(1, 1));
    assert!(becomes_true(|| worker.received.has_attempt(1)));
    let mut new_client = None;
    let mut oldest_age = None;
    router.process.while_paused(|| {
        oldest_age = Some(oldest_since.elapsed());
        established.send(&call_line(2, 2));
        new_client.insert(Client::connect(&router)).send(&call_line(1, 4));
        std::thread::sleep(Duration::from_millis(paused_ms));
        partial.send(tail);
        for (client, id) in silent.iter_mut().zip(10..) {
            client.send(&call_line(1, id));
        }
    });
    let new_client = new_client.as_mut().expect("the client connected during the pause");
    for (client, number) in [(&mut in_flight, 1), (&mut established, 2), (&mut partial, 1), (new_client, 1)] {
        let line = client.receive();
        assert!(line.contains(&format!("\"id\":{number},")), "{line:?}");
    }
    for (client, age_ms) in silent.iter_mut().zip(SILENT_AGES_MS.iter().rev()) {
        let line = client.receive();
        assert!(
            line.contains("\"id\":1,"),
            "{line:?} at {age_ms} ms; the oldest one's age was {oldest_age:?}"
        );
    }
}

/// A router that has received SIGTERM is paused past the time at which it may exit, and a call is sent meanwhile: on an
/// accepted connection, on one that is not accepted yet, or half before and half during the pause. Guards against
/// exiting without answering it.
#[test_case(UnreadCall::OnAcceptedConnection; "on an accepted connection")]
#[test_case(UnreadCall::InListenBacklog; "in the listen backlog")]
#[test_case(UnreadCall::PartialLine; "a partial line")]
fn a_call_unread_when_the_router_may_exit_is_answered(unread: UnreadCall) {
    let worker = Worker::start(answers);
    let mut router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    let line = call_line(7, 7);
    assert!(client.call(1, 1).contains(DONE));
    unread.write_before_pause(&mut client, &line);
    router.process.signal(Signal::SIGTERM);
    let is_shutting_down = becomes_true(|| {
        let mut other = Client::connect(&router);
        other.send(&health_check_line(1));
        other.receive().contains("\"fit\":false")
    });
    assert!(is_shutting_down);
    let mut other_client = None;
    router.process.while_paused(|| {
        other_client = unread.write_during_pause(&mut client, &router, &line);
        std::thread::sleep(Duration::from_millis(900));
    });
    assert!(other_client.as_mut().unwrap_or(&mut client).receive().contains(DONE));
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
}
