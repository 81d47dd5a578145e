//! Clients of `milletpath platform` that leave while their call waits: no attempt begins for them over 0.1 s later. Each
//! test ends what the call waits for only when the client has left for longer than that, with the router running all the
//! while, or paused so that it finds both at once.

use Departure::{Cancel, Close, HalfClose, Reset};
use ProcessState::{Paused, Running};
use milletpath_test_support::platform_rig::{
    Client, DONE, Departure, Discovery, MAX_SOCKETS, Router, RouterConfiguration, ScriptedWorker, Worker,
    WorkerConnection, call_line, never_answers,
};
use milletpath_test_support::process::ProcessState;
use milletpath_test_support::wait::becomes_true;
use milletpath_test_support::worker_frames::{Frame, request, response};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// An attempt may begin for 0.1 s after its client has left; this is longer.
const DEPARTURE_WAIT: Duration = Duration::from_millis(150);
/// Id of the call of the client that leaves.
const DEPARTED_ID: u64 = 7;
/// Id of the call of the client that stays.
const REMAINING_ID: u64 = 8;

/// The client leaves, and `release` ends what its call waits for once it has long gone.
fn depart(
    router: &Router,
    client: &mut Client,
    departure: Departure,
    state: ProcessState,
    release: impl FnOnce(),
) {
    match state {
        Running => {
            client.depart(departure);
            std::thread::sleep(DEPARTURE_WAIT);
            release();
        }
        Paused => router.process.while_paused(|| {
            release();
            client.depart(departure);
            std::thread::sleep(DEPARTURE_WAIT);
        }),
    }
}

/// A configuration with which calls may wait for long.
fn with_long_objective(workers: &[SocketAddr]) -> RouterConfiguration {
    RouterConfiguration::new(workers, Discovery::steady().address, MAX_SOCKETS).with("Objective", 60_000_000)
}

/// As [`with_long_objective`], where workers load an instance with the first attempt.
fn with_load_on_first_attempt(workers: &[SocketAddr]) -> RouterConfiguration {
    with_long_objective(workers).with("PlacementCalls", false)
}

/// As [`with_long_objective`], where workers reject attempts until the router has sent a load request.
fn with_load_requests(workers: &[SocketAddr]) -> RouterConfiguration {
    with_long_objective(workers).with("MissMode", "\"miss\"")
}

/// As [`with_load_on_first_attempt`], for two routers: they send a health check before an attempt.
fn with_health_checks(workers: &[SocketAddr]) -> RouterConfiguration {
    with_load_on_first_attempt(workers).with("Balancers", 2)
}

/// A call of a function of which an instance executes one at a time.
fn sequential_call(number: u64, id: u64) -> String {
    call_line(number, id).replace("lanes:64", "lanes:1")
}

fn next_attempt(connection: &mut WorkerConnection) -> Frame {
    connection.next_frame(request::ATTEMPT).expect("an attempt")
}

/// Ids of the attempts that came to a worker, once its router has ended.
fn attempts(mut connection: WorkerConnection) -> Vec<u64> {
    std::iter::from_fn(|| connection.next_frame(request::ATTEMPT)).map(|frame| frame.id).collect()
}

/// The client calls and leaves before the router has read anything: the call was read, and its attempt sent, before the
/// end of the connection was seen.
#[test_matrix([Close, HalfClose, Reset, Cancel])]
fn no_attempt_for_a_client_that_left_before_its_call_was_read(departure: Departure) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_load_on_first_attempt(&[worker.address]));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, 1));
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, 1);
    let mut departing = Client::connect(&router);
    router.process.while_paused(|| {
        departing.send(&call_line(1, DEPARTED_ID));
        departing.depart(departure);
        std::thread::sleep(DEPARTURE_WAIT);
    });
    remaining.send(&call_line(2, REMAINING_ID));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    drop((router, departing));
    assert_eq!(attempts(connection), Vec::<u64>::new());
}

/// The same where what the client wrote in between is more than is read at a time: its end lies behind it.
#[test_matrix([Close, HalfClose, Reset, Cancel])]
fn no_attempt_for_a_client_that_left_with_many_bytes_unread(departure: Departure) {
    let worker = Worker::start(never_answers);
    let router = Router::with_configuration(&with_load_on_first_attempt(&[worker.address]));
    let has_attempt = |id| worker.received.has_attempt(id);
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, 1));
    assert!(becomes_true(|| has_attempt(1)));
    let mut departing = Client::connect(&router);
    let body = "A".repeat(20_000);
    let others = 102..107;
    router.process.while_paused(|| {
        departing.send(&call_line(1, DEPARTED_ID));
        // These are not cancelled, where only one call is.
        let other = |id| call_line(id - 100, id).replace("aGk=", &body);
        departing.send(&others.clone().map(other).collect::<String>());
        departing.depart(departure);
        std::thread::sleep(DEPARTURE_WAIT);
    });
    remaining.send(&call_line(2, REMAINING_ID));
    assert!(becomes_true(|| has_attempt(REMAINING_ID)));
    if matches!(departure, Cancel) {
        assert!(becomes_true(|| others.clone().all(has_attempt)));
    }
    drop((router, departing));
    assert!(
        !has_attempt(DEPARTED_ID) && (matches!(departure, Cancel) || !others.clone().any(has_attempt)),
        "{:?}",
        worker.received
    );
}

/// Before the first attempt: the call waits for the answer to a health check.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_first_attempt_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_health_checks(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = worker.accept();
    let check = connection.next_frame(request::HEALTH_CHECK_WITH_LOAD).expect("a health check");
    depart(&router, &mut departing, departure, state, || connection.respond(response::HEALTHY, check.id));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    drop((router, departing));
    assert_eq!(attempts(connection), Vec::<u64>::new());
}

/// Between attempts: a worker answers with an error, and the retry would go to the other.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_retry_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let workers = [(); 2].map(|()| ScriptedWorker::start());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let router = Router::with_configuration(&with_load_on_first_attempt(&addresses));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = ScriptedWorker::accept_at_any(&workers);
    assert_eq!(next_attempt(&mut connection).id, DEPARTED_ID);
    depart(&router, &mut departing, departure, state, || connection.respond(response::ERROR, DEPARTED_ID));
    // A retry would have begun long before this one's time is up.
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID).replace("2500", "400"));
    assert!(remaining.receive().contains("\"error\""));
    drop((router, departing));
    let other_connections = workers.iter().flat_map(ScriptedWorker::waiting_connections);
    let later_attempts: Vec<u64> = other_connections.chain([connection]).flat_map(attempts).collect();
    assert!(
        later_attempts.contains(&REMAINING_ID) && !later_attempts.contains(&DEPARTED_ID),
        "{later_attempts:?}"
    );
}

/// A retry does begin there for a client that stays, or the test above shows nothing.
#[test]
fn a_retry_is_sent_for_a_client_that_stays() {
    let workers = [(); 2].map(|()| ScriptedWorker::start());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let router = Router::with_configuration(&with_load_on_first_attempt(&addresses));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    let mut first = ScriptedWorker::accept_at_any(&workers);
    assert_eq!(next_attempt(&mut first).id, REMAINING_ID);
    first.respond(response::ERROR, REMAINING_ID);
    let mut other = ScriptedWorker::accept_at_any(&workers);
    assert_eq!(next_attempt(&mut other).id, REMAINING_ID);
    other.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
}

/// The call waits for a load: the worker had no instance, got a load request, and reports that it is loaded.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_attempt_after_a_load_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_load_requests(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, DEPARTED_ID);
    connection.respond(response::MISS, DEPARTED_ID);
    let load = connection.next_frame(request::LOAD).expect("a load request");
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    depart(&router, &mut departing, departure, state, || connection.respond_loaded(load.id));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
    // An attempt would have its own connection, as both bear the same id: that takes a moment.
    std::thread::sleep(DEPARTURE_WAIT);
    drop((router, departing));
    let later_attempts: Vec<u64> =
        worker.waiting_connections().chain([connection]).flat_map(attempts).collect();
    assert_eq!(later_attempts, Vec::<u64>::new());
}

/// Where its client stays, the attempt does go out behind the load.
#[test]
fn an_attempt_is_sent_after_a_load_for_a_client_that_stays() {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_load_requests(&[worker.address]));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::MISS, REMAINING_ID);
    let load = connection.next_frame(request::LOAD).expect("a load request");
    std::thread::sleep(DEPARTURE_WAIT);
    connection.respond_loaded(load.id);
    // On a connection of its own, as both attempts bear the same id.
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
}

/// Behind a bounded queue: the worker's one instance executes one call at a time, and another's is there.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_queued_attempt_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_load_on_first_attempt(&[worker.address]));
    let mut other = Client::connect(&router);
    other.send(&sequential_call(1, 1));
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, 1);
    connection.respond(response::DONE, 1);
    assert!(other.receive().contains(DONE));
    other.send(&sequential_call(2, 2));
    assert_eq!(next_attempt(&mut connection).id, 2);
    let [mut departing, mut remaining] = [(); 2].map(|()| Client::connect(&router));
    departing.send(&sequential_call(1, DEPARTED_ID));
    remaining.send(&sequential_call(1, REMAINING_ID));
    std::thread::sleep(Duration::from_millis(50));
    depart(&router, &mut departing, departure, state, || connection.respond(response::DONE, 2));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
    drop((router, departing));
    assert_eq!(attempts(connection), Vec::<u64>::new());
}

/// The call waits for the answer to a health check. While the router is paused that answer comes, and then its client
/// leaves; the answer is read first, and the attempt was sent for a client that had left long before.
#[test_case(Close; "its connection is closed")]
#[test_case(Cancel; "the call is cancelled")]
#[test_case(HalfClose; "its sending end is closed")]
fn no_attempt_when_the_client_left_after_the_health_check_was_answered(departure: Departure) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_health_checks(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = worker.accept();
    let check = connection.next_frame(request::HEALTH_CHECK_WITH_LOAD).expect("a health check");
    router.process.while_paused(|| {
        connection.respond(response::HEALTHY, check.id);
        departing.depart(departure);
        std::thread::sleep(DEPARTURE_WAIT);
    });
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
}

/// A connection to the worker is being made when the client leaves: the call never goes out on it. Held before.
#[test_case(Close; "closes")]
#[test_case(HalfClose; "half closes")]
#[test_case(Reset; "resets")]
#[test_case(Cancel; "cancels")]
fn no_attempt_when_the_client_left_while_a_connection_was_being_opened(departure: Departure) {
    let (worker, filler) = ScriptedWorker::with_full_backlog();
    let configuration =
        RouterConfiguration::non_idempotent(&[worker.address], Discovery::steady().address, 3_000_000);
    let router = Router::with_configuration(&configuration);
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    std::thread::sleep(Duration::from_millis(100));
    departing.depart(departure);
    std::thread::sleep(Duration::from_millis(100));
    let mut late_connection = worker.free_backlog(filler);
    assert_eq!(next_attempt(&mut late_connection).id, REMAINING_ID);
    late_connection.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
    drop(router);
    assert_eq!(late_connection.next_frame(request::ATTEMPT), None);
}
