//! Connections to workers that are closed, established late, or reset when attempts are about to be sent on them.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, Router, RouterConfiguration, ScriptedWorker, call_line,
};
use milletpath_test_support::worker_frames::{request, response};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use test_case::test_case;

/// A call arrives, and then the worker closes the idle connection on which its attempt would be sent. Guards against
/// reading the call first and writing the attempt to the closed connection, where it counted as one that may have run
/// and the call failed.
#[test]
fn an_idle_connection_closes_before_the_next_attempt_is_sent() {
    let worker = ScriptedWorker::start();
    let configuration =
        RouterConfiguration::non_idempotent(&[worker.address], Discovery::steady().address, 250_000);
    let router = Router::with_configuration(&configuration);
    router.wait_for_current_list();
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut connection = worker.accept();
    let first = connection.next_frame(request::ATTEMPT).expect("the first attempt arrives");
    connection.respond(response::DONE, first.id);
    assert!(client.receive().contains(DONE));
    router.process.while_paused(|| {
        client.send(&call_line(2, 2));
        drop(connection);
    });
    let mut next_connection = worker.accept();
    assert_eq!(next_connection.next_frame(request::ATTEMPT).expect("the second attempt arrives").id, 2);
    next_connection.respond(response::DONE, 2);
    assert!(client.receive().contains(DONE));
}

/// Each connection to a worker is reset as soon as it is established: calls fail after a few attempts. Guards against
/// opening one connection after the other until the calls' deadlines.
#[test]
fn a_worker_that_resets_each_connection_gets_few_attempts() {
    const CALLS: u64 = 8;
    /// At most four attempts per call, each on its own connection, and as many health checks.
    const MAX_CONNECTIONS: usize = 8 * 8;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            counter.fetch_add(1, Ordering::SeqCst);
            // Closing with a linger time of zero resets the connection.
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let configuration = RouterConfiguration::non_idempotent(&[address], Discovery::steady().address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    for n in 1..=CALLS {
        let line = client.call(n, n);
        assert!(line.contains("\"error\""), "{line}");
    }
    assert!(accepted.load(Ordering::SeqCst) <= MAX_CONNECTIONS);
}

/// A call with an idempotency key, whose connection to the first worker breaks, is retried on the other worker with the
/// same key while the key is remembered, and not if the connection is established after the deduplication window.
/// Guards against checking the window only when the retry is scheduled and not when it is sent.
#[test_case(2_500_000, true; "while its key is remembered")]
#[test_case(500_000, false; "not once its key is forgotten")]
fn a_retry_on_a_late_connection_respects_the_deduplication_window(
    deduplication_window: u64,
    is_remembered: bool,
) {
    let first = ScriptedWorker::start();
    let (second, filler) = ScriptedWorker::with_full_backlog();
    let addresses = [first.address, second.address];
    let configuration =
        RouterConfiguration::non_idempotent(&addresses, Discovery::steady().address, 3_000_000);
    let router = Router::with_configuration(&configuration.with_idempotency_keys(deduplication_window));
    router.wait_for_current_list();
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1).replace("\"t\":", "\"k\":\"key-1\",\"t\":"));
    let mut connection = first.accept();
    let attempt = connection.next_frame(request::ATTEMPT).expect("the first attempt arrives");
    assert!(attempt.fields.contains(",uniq=key-1"), "{}", attempt.fields);
    drop(connection);
    let mut late_connection = second.free_backlog(filler);
    if is_remembered {
        let retry = late_connection.next_frame(request::ATTEMPT).expect("the retry arrives");
        assert_eq!((retry.id, retry.fields.contains(",uniq=key-1")), (1, true));
        late_connection.respond(response::DONE, 1);
        assert!(client.receive().contains(DONE));
    } else {
        assert!(client.receive().contains("\"error\""));
        drop(router);
        assert_eq!(late_connection.next_frame(request::ATTEMPT), None);
    }
}
