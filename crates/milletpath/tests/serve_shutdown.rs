//! `milletpath serve` receives SIGTERM while clients keep calling: it exits by itself and answers every call.

use milletpath_test_support::serve_rig::{
    Arrivals, Client, Gateway, GatewayOptions, OK, Worker, call_request,
};
use milletpath_test_support::wait::becomes_true;
use nix::sys::signal::Signal;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

/// The earliest SIGKILL follows SIGTERM after the longest deadline plus this time.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A call written at most this long before its connection is closed may be lost: the call and the closing cross.
const CROSSING_WINDOW: Duration = Duration::from_millis(50);

/// The outcomes of a client's calls.
#[derive(Default)]
struct CallCounts {
    succeeded: usize,
    rejected: usize,
    /// Unanswered calls written more than [`CROSSING_WINDOW`] before their connection was closed.
    lost: usize,
    /// Unexpected responses, such as rejections that do not announce the end of the connection although the gateway is
    /// closing.
    malformed: Vec<String>,
}

/// The body of a client's call. It states the number of successful calls before it, which the worker's arrivals then
/// show.
fn call_body(client: usize, succeeded_before: usize) -> String {
    format!("client {client} after {succeeded_before}")
}

/// Whether the worker has received a call from each client that the client made after its first success.
fn each_client_has_called_again(arrivals: &Arrivals, clients: usize) -> bool {
    let arrivals = arrivals.lock().expect("no test thread panicked");
    let bodies: HashSet<_> = arrivals.iter().map(|arrival| arrival.body.as_str()).collect();
    (0..clients).all(|client| bodies.contains(call_body(client, 1).as_str()))
}

/// Calls repeatedly, on a new connection whenever the former is closed, until the gateway accepts no connections.
fn call_until_closed(gateway: SocketAddr, client_number: usize, is_closing: &AtomicBool) -> CallCounts {
    const PAUSE: Duration = Duration::from_millis(30);
    let mut calls = CallCounts::default();
    while let Ok(mut client) = Client::connect(gateway) {
        loop {
            // Read before the call is written: a call that may have come before the signal may be rejected without
            // `connection: close`.
            let closing = is_closing.load(Ordering::Acquire);
            let written = Instant::now();
            let body = call_body(client_number, calls.succeeded);
            if client.write(&call_request("milletpath-patience: 3\r\n", &body)).is_err() {
                break;
            }
            let Some(answer) = client.response() else {
                calls.lost += usize::from(written.elapsed() > CROSSING_WINDOW);
                break;
            };
            let closes = answer.has_field("connection: close");
            match answer.status() {
                200 => calls.succeeded += 1,
                503 if answer.has_field("retry-after: ") && (closes || !closing) => calls.rejected += 1,
                _ => calls.malformed.push(format!("{answer:?}")),
            }
            if closes {
                break;
            }
            std::thread::sleep(PAUSE);
        }
    }
    calls
}

#[test_case(20, 20; "twenty clients, a worker of 20 ms")]
#[test_case(20, 400; "twenty clients, a worker of 400 ms")]
#[test_case(200, 20; "two hundred clients, a worker of 20 ms")]
#[test_case(200, 400; "two hundred clients, a worker of 400 ms")]
fn clients_that_keep_calling_are_all_answered(clients: usize, milliseconds: u64) {
    let worker = Worker::start(OK, Duration::from_millis(milliseconds));
    let mut gateway = Gateway::start(worker.address, "cores = 2\nfunctions { lanes = 1000 }\n");
    let is_closing = Arc::new(AtomicBool::new(false));
    let begin = |client| {
        let (gateway, is_closing) = (gateway.address, is_closing.clone());
        std::thread::spawn(move || call_until_closed(gateway, client, &is_closing))
    };
    let threads: Vec<_> = (0..clients).map(begin).collect();
    assert!(becomes_true(|| each_client_has_called_again(&worker.arrivals, clients)));
    gateway.process.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    // Calls that the gateway reads before it handles the signal are still accepted normally.
    std::thread::sleep(CROSSING_WINDOW);
    is_closing.store(true, Ordering::Release);
    assert_eq!(gateway.process.exit_status().and_then(|status| status.code()), Some(0));
    let exited_after = signalled.elapsed();
    assert!(exited_after < Duration::from_secs(3) + KILL_MARGIN, "exited {exited_after:?} after SIGTERM");
    let all: Vec<_> = threads.into_iter().map(|thread| thread.join().expect("no client panicked")).collect();
    let lost: usize = all.iter().map(|calls| calls.lost).sum();
    let succeeded: usize = all.iter().map(|calls| calls.succeeded).sum();
    assert_eq!(lost, 0, "unanswered calls; {succeeded} succeeded");
    assert!(succeeded >= clients, "only {succeeded} calls of {clients} clients succeeded");
    let malformed: Vec<_> = all.iter().flat_map(|calls| &calls.malformed).collect();
    assert!(malformed.is_empty(), "{malformed:?}");
}

/// Calls that the gateway has not read when SIGTERM arrives, on idle connections, on connections that are not accepted
/// yet, and in two parts of which the second arrives later: each is answered, and each rejection announces that the
/// connection is closed.
#[test]
fn calls_that_are_unread_at_the_signal_are_answered() {
    const CLIENTS_PER_KIND: usize = 20;
    let worker = Worker::start(OK, Duration::ZERO);
    let mut gateway = Gateway::start(worker.address, "cores = 2\n");
    let connect = || Client::connect(gateway.address).expect("the gateway listens");
    let mut idle: Vec<_> = (0..CLIENTS_PER_KIND).map(|_| connect()).collect();
    let mut partial: Vec<_> = (0..CLIENTS_PER_KIND).map(|_| connect()).collect();
    for client in idle.iter_mut().chain(&mut partial) {
        client.write(&call_request("", "")).expect("the gateway reads");
        assert_eq!(client.response().expect("the call is answered").status(), 200);
    }
    let call = call_request("", "hello");
    let (first, rest) = call.split_at(30);
    partial.iter_mut().for_each(|client| client.write(first).expect("the gateway reads"));
    std::thread::sleep(CROSSING_WINDOW);
    gateway.process.pause();
    let mut unaccepted: Vec<_> = (0..CLIENTS_PER_KIND).map(|_| connect()).collect();
    idle.iter_mut().chain(&mut unaccepted).for_each(|c| c.write(&call).expect("the kernel buffers it"));
    std::thread::sleep(2 * CROSSING_WINDOW);
    gateway.process.signal(Signal::SIGTERM);
    gateway.process.resume();
    std::thread::sleep(4 * CROSSING_WINDOW);
    partial.iter_mut().for_each(|client| client.write(rest).expect("the gateway reads"));
    let answered = |clients: Vec<Client>| {
        let answers = clients.into_iter().filter_map(|mut client| client.response());
        answers.filter(|a| a.status() == 200 || a.status() == 503 && a.has_field("connection: close")).count()
    };
    let answers = [answered(idle), answered(unaccepted), answered(partial)];
    assert_eq!(answers, [CLIENTS_PER_KIND; 3], "answered calls on idle, unaccepted and partial connections");
    assert_eq!(gateway.process.exit_status().and_then(|status| status.code()), Some(0));
}

/// A call is rejected while its client is still sending a large body. The gateway must read the body to its end:
/// closing the connection earlier would reset it and discard the answer.
#[test]
fn an_answer_is_not_lost_while_its_client_is_still_sending() {
    let worker = Worker::start(OK, Duration::from_millis(300));
    let mut gateway = Gateway::start(worker.address, "limits { body = 33554432 }\n");
    let mut first = Client::connect(gateway.address).expect("the gateway listens");
    let mut large = Client::connect(gateway.address).expect("the gateway listens");
    first.write(&call_request("", "")).expect("the gateway reads");
    let call = call_request("", &"x".repeat(32 << 20));
    let (head, body) = call.split_at(40);
    large.write(head).expect("the gateway reads");
    std::thread::sleep(CROSSING_WINDOW);
    gateway.process.signal(Signal::SIGTERM);
    std::thread::sleep(CROSSING_WINDOW);
    assert!(large.write(body).is_ok(), "the gateway reads the body to its end");
    let answer = large.response().expect("the call is answered");
    assert!(
        answer.status() == 503 && answer.has_field("retry-after: ") && answer.has_field("connection: close")
    );
    assert_eq!(first.response().expect("the call is answered").status(), 200);
    assert_eq!(gateway.process.exit_status().and_then(|status| status.code()), Some(0));
}

/// The worker never answers, and clients never complete their calls: the process still exits before the earliest
/// SIGKILL and answers the complete call.
#[test]
fn unanswered_and_incomplete_calls_do_not_delay_the_exit() {
    let worker = Worker::start(OK, Duration::from_secs(60));
    let options = GatewayOptions {
        top_level_settings: "limits { head = 30 }\n",
        deadline: 1,
        ..GatewayOptions::default()
    };
    let mut gateway = Gateway::with_options(worker.address, &options);
    let connect = || Client::connect(gateway.address).expect("the gateway listens");
    let [mut waiting, mut without_body, mut without_head, _idle] = [(); 4].map(|()| connect());
    waiting.write(&call_request("milletpath-patience: 3\r\n", "")).expect("the gateway reads");
    without_head.write("POST /v1/func").expect("the gateway reads");
    while worker.arrivals.lock().expect("no test thread panicked").is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let call = call_request("", "hello");
    without_body.write(&call[..call.len() - 1]).expect("the gateway reads");
    std::thread::sleep(CROSSING_WINDOW);
    gateway.process.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    assert_eq!(gateway.process.exit_status().and_then(|status| status.code()), Some(0));
    let exited_after = signalled.elapsed();
    assert!(exited_after < Duration::from_secs(1) + KILL_MARGIN, "exited {exited_after:?} after SIGTERM");
    // 503 allows a retry even though the call may have run, as the function is idempotent.
    assert_eq!(waiting.response().expect("the call is answered").status(), 503);
}
