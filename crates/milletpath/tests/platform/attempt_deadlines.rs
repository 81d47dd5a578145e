//! The time limit that `milletpath platform` sends with an attempt: when the first byte is sent it may exceed the time
//! that the client has left, by the client's own clock, by 0.15 s at most.

use crate::unread_call::UnreadCall;
use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, Router, RouterConfiguration, ScriptedWorker, WorkerConnection,
    call_line,
};
use milletpath_test_support::worker_frames::{Frame, request, response};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_case::test_case;

/// How long the client of a [`call_line`] waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// By how much the time limit may exceed the time that the client has left.
const SLACK: Duration = Duration::from_millis(150);
/// How long the router process is paused.
const PAUSE: Duration = Duration::from_millis(500);

/// A configuration in which workers load an instance with the first attempt. The latency objective of 60 s lets calls
/// wait for long.
fn with_long_objective(workers: &[SocketAddr], connect_timeout_ms: u32) -> RouterConfiguration {
    RouterConfiguration::new(workers, Discovery::steady().address, MAX_SOCKETS)
        .with("Objective", 60_000_000)
        .with("PlacementCalls", false)
        .with("ConnectTimeout", connect_timeout_ms * 1000)
}

/// Starts a router [`with_long_objective`] and waits until discovery has confirmed its endpoint list. Before that it
/// would send a health check ahead of the first attempt.
fn start_router(workers: &[SocketAddr], connect_timeout_ms: u32) -> Router {
    let router = Router::with_configuration(&with_long_objective(workers, connect_timeout_ms));
    router.wait_for_current_list();
    router
}

/// The time limit in the fields of an attempt.
fn time_limit(attempt: &Frame) -> Duration {
    let time_limit = attempt.fields.split(',').find_map(|field| field.strip_prefix("budget="));
    Duration::from_millis(
        time_limit.and_then(|time_limit| time_limit.parse().ok()).expect("the attempt has a time limit"),
    )
}

/// Asserts that the time limit of an attempt is at most what its client has left. The call was written by `sent_at`,
/// and the first byte of the attempt was sent at `earliest_start` or later.
fn assert_within_time_left(attempt: &Frame, sent_at: Instant, earliest_start: Instant) {
    let remaining = CLIENT_TIMEOUT.saturating_sub(earliest_start - sent_at);
    let time_limit = time_limit(attempt);
    assert!(
        time_limit <= remaining + SLACK,
        "time limit {time_limit:?}, but the client has at most {remaining:?} left"
    );
}

/// A call whose first attempt is at one of two workers.
struct CallInAttempt {
    router: Router,
    workers: [ScriptedWorker; 2],
    client: Client,
    first: WorkerConnection,
    sent_at: Instant,
}

impl CallInAttempt {
    /// Starts a router and sends it the call.
    fn start() -> Self {
        let workers = [(); 2].map(|()| ScriptedWorker::start());
        let addresses = workers.each_ref().map(|worker| worker.address);
        let router = start_router(&addresses, 250);
        let mut client = Client::connect(&router);
        client.send(&call_line(1, 1));
        let sent_at = Instant::now();
        let mut first = ScriptedWorker::accept_at_any(&workers);
        assert_eq!(first.next_frame(request::ATTEMPT).expect("the first attempt arrives").id, 1);
        Self { router, workers, client, first, sent_at }
    }

    /// Asserts that the retry states what is left of the client's time, and that the client gets its response. The router
    /// has known since `failed_at` at the earliest that the first attempt failed.
    fn assert_retry_states_time_left(mut self, failed_at: Instant) {
        let mut other = ScriptedWorker::accept_at_any(&self.workers);
        let retry = other.next_frame(request::ATTEMPT).expect("the retry arrives");
        assert_within_time_left(&retry, self.sent_at, failed_at);
        other.respond(response::DONE, 1);
        assert!(self.client.receive().contains(DONE));
    }
}

/// The first attempt fails after 0.8 s: the time limit of the second is what remains by then.
#[test]
fn a_retry_states_the_remaining_time() {
    let mut call = CallInAttempt::start();
    std::thread::sleep(Duration::from_millis(800));
    let failed_at = Instant::now();
    call.first.respond(response::ERROR, 1);
    call.assert_retry_states_time_left(failed_at);
}

/// The attempt is scheduled at once, but its connection is established only a second later.
#[test]
fn an_attempt_on_a_late_connection_states_the_remaining_time() {
    let (worker, filler) = ScriptedWorker::with_full_backlog();
    let router = start_router(&[worker.address], 3000);
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let sent_at = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    let backlog_freed_at = Instant::now();
    let mut connection = worker.free_backlog(filler);
    assert_within_time_left(
        &connection.next_frame(request::ATTEMPT).expect("an attempt arrives"),
        sent_at,
        backlog_freed_at,
    );
    connection.respond(response::DONE, 1);
    assert!(client.receive().contains(DONE));
}

/// The first attempt fails while the router is paused for half a second.
#[test]
fn a_retry_after_a_pause_states_the_remaining_time() {
    let mut call = CallInAttempt::start();
    let mut resumed_at = call.sent_at;
    call.router.process.while_paused(|| {
        call.first.respond(response::ERROR, 1);
        std::thread::sleep(PAUSE);
        resumed_at = Instant::now();
    });
    call.assert_retry_states_time_left(resumed_at);
}

/// The router is paused for half a second with a call unread. The call's time counts from the beginning of the pause.
/// Guards against counting it from the end of the pause, which made the worker's time limit half a second too long.
#[test_case(UnreadCall::OnAcceptedConnection; "on an accepted connection")]
#[test_case(UnreadCall::InListenBacklog; "in the listen backlog")]
#[test_case(UnreadCall::PartialLine; "a partial line")]
fn a_call_unread_during_a_pause_states_the_remaining_time(unread: UnreadCall) {
    let worker = ScriptedWorker::start();
    let router = start_router(&[worker.address], 250);
    let mut client = Client::connect(&router);
    assert!(client.is_router_ready(9));
    let line = call_line(1, 1);
    unread.write_before_pause(&mut client, &line);
    let mut other_client = None;
    let (mut sent_at, mut resumed_at) = (Instant::now(), Instant::now());
    router.process.while_paused(|| {
        other_client = unread.write_during_pause(&mut client, &router, &line);
        sent_at = Instant::now();
        std::thread::sleep(PAUSE);
        resumed_at = Instant::now();
    });
    let mut connection = worker.accept();
    assert_within_time_left(
        &connection.next_frame(request::ATTEMPT).expect("an attempt arrives"),
        sent_at,
        resumed_at,
    );
    connection.respond(response::DONE, 1);
    assert!(other_client.as_mut().unwrap_or(&mut client).receive().contains(DONE));
}

/// A call that is sent after the router has resumed has its full time.
#[test]
fn a_call_after_a_pause_has_its_full_time() {
    let worker = ScriptedWorker::start();
    let router = start_router(&[worker.address], 250);
    let mut client = Client::connect(&router);
    router.process.while_paused(|| std::thread::sleep(PAUSE));
    let resumed_at = Instant::now();
    // Once this health check is answered, the router knows that nothing was unread on this connection.
    assert!(client.is_router_ready(9));
    client.send(&call_line(1, 1));
    let attempt = worker.accept().next_frame(request::ATTEMPT).expect("an attempt arrives");
    let (time_limit, since_resume) = (time_limit(&attempt), resumed_at.elapsed());
    assert!(
        time_limit + since_resume > CLIENT_TIMEOUT - SLACK,
        "time limit {time_limit:?}, {since_resume:?} after the process resumed"
    );
}
