//! Clients of `milletpath platform` that leave while their call waits: no attempt may begin for them more than 0.1 s
//! later. Each test lets the call proceed only after that time, with the router either running throughout or paused so
//! that it finds both events at once.

use Departure::{Cancel, Close, HalfClose, Reset};
use ProcessState::{Paused, Running};
use milletpath_test_support::platform_rig::{
    Client, DONE, Departure, Discovery, MAX_SOCKETS, Router, RouterConfiguration, ScriptedWorker, Worker,
    WorkerConnection, answers, call_line, cancel_line, never_answers,
};
use milletpath_test_support::process::ProcessState;
use milletpath_test_support::wait::becomes_true;
use milletpath_test_support::worker_frames::{Frame, request, response};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// Longer than the 0.1 s for which an attempt may still begin after its client has left.
const DEPARTURE_WAIT: Duration = Duration::from_millis(150);
/// Id of the call whose client leaves.
const DEPARTED_ID: u64 = 7;
/// Id of the call whose client stays connected.
const REMAINING_ID: u64 = 8;

/// Makes the client leave. `release` ends what its call waits for: with the router running, [`DEPARTURE_WAIT`] after
/// the client has left; with the router paused, just before it leaves, and the router resumes [`DEPARTURE_WAIT`] later.
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

/// A configuration with a latency objective of 60 s, so that calls may wait for long.
fn with_long_objective(workers: &[SocketAddr]) -> RouterConfiguration {
    RouterConfiguration::new(workers, Discovery::steady().address, MAX_SOCKETS).with("Objective", 60_000_000)
}

/// Like [`with_long_objective`]; workers load an instance with the first attempt.
fn with_load_on_first_attempt(workers: &[SocketAddr]) -> RouterConfiguration {
    with_long_objective(workers).with("PlacementCalls", false)
}

/// Like [`with_long_objective`]; workers reject attempts until the router has sent a load request.
fn with_load_requests(workers: &[SocketAddr]) -> RouterConfiguration {
    with_long_objective(workers).with("MissMode", "\"miss\"")
}

/// Like [`with_load_on_first_attempt`], for one of two routers: it sends a health check before an attempt.
fn with_health_checks(workers: &[SocketAddr]) -> RouterConfiguration {
    with_load_on_first_attempt(workers).with("Balancers", 2)
}

/// Starts a router and waits until discovery has confirmed its endpoint list. Before that it would send a health check
/// ahead of the first attempt, whatever its configuration.
fn start_router(configuration: &RouterConfiguration) -> Router {
    let router = Router::with_configuration(configuration);
    router.wait_for_current_list();
    router
}

/// A call of a function whose instances execute one call at a time.
fn sequential_call(number: u64, id: u64) -> String {
    call_line(number, id).replace("lanes:64", "lanes:1")
}

fn next_attempt(connection: &mut WorkerConnection) -> Frame {
    connection.next_frame(request::ATTEMPT).expect("an attempt arrives")
}

/// Ids of the attempts that are left to read on a worker's connection, once the router has ended.
fn attempts(mut connection: WorkerConnection) -> Vec<u64> {
    std::iter::from_fn(|| connection.next_frame(request::ATTEMPT)).map(|frame| frame.id).collect()
}

/// The client calls and leaves before the router has read anything. Guards against reading the call and sending its
/// attempt before the end of the connection is noticed.
#[test_matrix([Close, HalfClose, Reset, Cancel])]
fn no_attempt_for_a_client_that_left_before_its_call_was_read(departure: Departure) {
    let worker = ScriptedWorker::start();
    let router = start_router(&with_load_on_first_attempt(&[worker.address]));
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

/// The same with more unread bytes than the router reads at a time, so that the first read does not reach the end of
/// the connection.
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
        // `Cancel` cancels only the first call, not these.
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

/// Before the first attempt, while the call waits for the answer to a health check.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_first_attempt_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_health_checks(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = worker.accept();
    let check = connection.next_frame(request::HEALTH_CHECK_WITH_LOAD).expect("a health check arrives");
    depart(&router, &mut departing, departure, state, || connection.respond(response::HEALTHY, check.id));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    drop((router, departing));
    assert_eq!(attempts(connection), Vec::<u64>::new());
}

/// Between attempts: a worker answers with an error, and the retry would go to the other worker.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_retry_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let workers = [(); 2].map(|()| ScriptedWorker::start());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let router = start_router(&with_load_on_first_attempt(&addresses));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = ScriptedWorker::accept_at_any(&workers);
    assert_eq!(next_attempt(&mut connection).id, DEPARTED_ID);
    depart(&router, &mut departing, departure, state, || connection.respond(response::ERROR, DEPARTED_ID));
    // A retry of the other call would have begun well before this call's deadline.
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

/// Control for the test above: in the same situation a retry is sent for a client that stays.
#[test]
fn a_retry_is_sent_for_a_client_that_stays() {
    let workers = [(); 2].map(|()| ScriptedWorker::start());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let router = start_router(&with_load_on_first_attempt(&addresses));
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

/// While the call waits for a load: the worker had no instance, received a load request, and reports that the function
/// is loaded.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_attempt_after_a_load_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = ScriptedWorker::start();
    let router = start_router(&with_load_requests(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, DEPARTED_ID);
    connection.respond(response::MISS, DEPARTED_ID);
    let load = connection.next_frame(request::LOAD).expect("a load request arrives");
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    depart(&router, &mut departing, departure, state, || connection.respond_loaded(load.id));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
    // A second attempt of the departed client's call would need another connection, as it has the same id as the first.
    // Opening one takes a moment.
    std::thread::sleep(DEPARTURE_WAIT);
    drop((router, departing));
    let later_attempts: Vec<u64> =
        worker.waiting_connections().chain([connection]).flat_map(attempts).collect();
    assert_eq!(later_attempts, Vec::<u64>::new());
}

/// Control for the test above: for a client that stays, the attempt is sent after the load.
#[test]
fn an_attempt_is_sent_after_a_load_for_a_client_that_stays() {
    let worker = ScriptedWorker::start();
    let router = start_router(&with_load_requests(&[worker.address]));
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::MISS, REMAINING_ID);
    let load = connection.next_frame(request::LOAD).expect("a load request arrives");
    std::thread::sleep(DEPARTURE_WAIT);
    connection.respond_loaded(load.id);
    // On another connection, as both attempts have the same id.
    let mut connection = worker.accept();
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
    connection.respond(response::DONE, REMAINING_ID);
    assert!(remaining.receive().contains(DONE));
}

/// In a queue: the worker's only instance executes one call at a time, and is busy with another client's.
#[test_matrix([Close, HalfClose, Reset, Cancel], [Running, Paused])]
fn no_queued_attempt_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = ScriptedWorker::start();
    let router = start_router(&with_load_on_first_attempt(&[worker.address]));
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

/// The call waits for the answer to a health check. While the router is paused that answer arrives, and then the client
/// leaves. Guards against sending the attempt because the answer is read first, though the client left long before.
#[test_case(Close; "the connection is closed")]
#[test_case(Cancel; "the call is cancelled")]
#[test_case(HalfClose; "the sending side is closed")]
fn no_attempt_when_the_client_left_after_the_health_check_was_answered(departure: Departure) {
    let worker = ScriptedWorker::start();
    let router = Router::with_configuration(&with_health_checks(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    let mut connection = worker.accept();
    let check = connection.next_frame(request::HEALTH_CHECK_WITH_LOAD).expect("a health check arrives");
    router.process.while_paused(|| {
        connection.respond(response::HEALTHY, check.id);
        departing.depart(departure);
        std::thread::sleep(DEPARTURE_WAIT);
    });
    let mut remaining = Client::connect(&router);
    remaining.send(&call_line(1, REMAINING_ID));
    assert_eq!(next_attempt(&mut connection).id, REMAINING_ID);
}

/// A connection to the worker is being opened when the client leaves: the call is never sent on it.
#[test_case(Close; "closes")]
#[test_case(HalfClose; "half closes")]
#[test_case(Reset; "resets")]
#[test_case(Cancel; "cancels")]
fn no_attempt_when_the_client_left_while_a_connection_was_being_opened(departure: Departure) {
    let (worker, filler) = ScriptedWorker::with_full_backlog();
    let configuration =
        RouterConfiguration::non_idempotent(&[worker.address], Discovery::steady().address, 3_000_000);
    let router = start_router(&configuration);
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

/// Rounds of calls that are all cancelled, with bodies that fill receive and send buffers, and calls that are not.
fn backlog() -> String {
    const ROUNDS: u64 = 12;
    const CALLS: u64 = 30;
    let body = "A".repeat(21_000);
    let call = |number: u64| call_line(number, number).replace("aGk=", &body);
    let rounds = (0..ROUNDS).flat_map(|round| {
        let numbers = round * CALLS + FIRST_CALL_OF_BACKLOG..(round + 1) * CALLS + FIRST_CALL_OF_BACKLOG;
        numbers.clone().map(call).chain(numbers.map(cancel_line))
    });
    rounds.chain((1_000..1_020).map(call)).collect()
}

/// Number and id of the first call of the backlog.
const FIRST_CALL_OF_BACKLOG: u64 = 2;
/// Id of the call of a client that did not leave, larger than those of the backlog.
const ID_BEHIND_BACKLOG: u64 = 0xffff;

/// Regression test: a client that left behind more than the router read before an attempt was taken for present, as the end
/// of its stream had not arrived, and its calls were sent on.
#[test_case(Close; "closed")]
#[test_case(HalfClose; "half closed")]
fn no_attempt_when_the_client_left_behind_much_that_is_unread(departure: Departure) {
    let worker = Worker::start(answers);
    let router = start_router(&with_load_on_first_attempt(&[worker.address]));
    let mut client = Client::connect(&router);
    assert!(client.call(1, 1).contains(DONE));
    router.process.while_paused(|| {
        client.send_without_blocking(&backlog());
        client.depart(departure);
        std::thread::sleep(2 * DEPARTURE_WAIT);
    });
    // Another client's call is served once everything was read.
    std::thread::sleep(2 * DEPARTURE_WAIT);
    assert!(Client::connect(&router).call(1, ID_BEHIND_BACKLOG).contains(DONE));
    assert_eq!(worker.received.attempts(), [1, ID_BEHIND_BACKLOG]);
}

/// Regression test: a call ran twice when it came again under the same id after its client had left while it ran. Under a new
/// id it is another call.
#[test_case(Close; "closed")]
#[test_case(Reset; "reset")]
#[test_case(Cancel; "cancelled")]
fn a_call_whose_client_left_does_not_run_again_under_its_id(departure: Departure) {
    let worker = Worker::start(never_answers);
    let router = start_router(&with_load_on_first_attempt(&[worker.address]));
    let mut departing = Client::connect(&router);
    departing.send(&call_line(1, DEPARTED_ID));
    assert!(becomes_true(|| worker.received.has_attempt(DEPARTED_ID)));
    departing.depart(departure);
    assert!(becomes_true(|| worker.received.ids(request::CANCEL) == [DEPARTED_ID]));
    let mut again = Client::connect(&router);
    again.send(&call_line(1, DEPARTED_ID));
    assert!(again.receive().contains("\"error\""));
    let mut other = Client::connect(&router);
    other.send(&call_line(1, REMAINING_ID));
    assert!(becomes_true(|| worker.received.has_attempt(REMAINING_ID)));
    assert_eq!(worker.received.attempts(), [DEPARTED_ID, REMAINING_ID]);
}
