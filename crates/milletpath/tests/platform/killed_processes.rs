//! Workers and routers that are killed with an unread call on a connection that they have accepted.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, REJECTED, Router, RouterConfiguration, ScriptedWorker, Worker, WorkerConnection,
    answers, call_line,
};
use milletpath_test_support::wait::wait_for;
use milletpath_test_support::worker_frames::{HEADER_BYTES, request, response};
use nix::sys::signal::Signal;
use test_case::test_case;

/// The first connection that either worker receives, and the other worker.
fn first_connection(workers: &[ScriptedWorker; 2]) -> (WorkerConnection, &ScriptedWorker) {
    let [one, other] = workers;
    let accept = || {
        let of_one = one.try_accept().map(|connection| (connection, other));
        of_one.or_else(|| other.try_accept().map(|connection| (connection, one)))
    };
    wait_for(accept).expect("a worker receives a connection")
}

/// A worker accepts a connection and is killed before it reads the call written on it. The router can't distinguish it
/// from a worker that ran the call: an idempotent call is retried on the other worker, any other call fails and is
/// never sent again.
#[test_case("\"free\"", true; "idempotent")]
#[test_case("\"guarded\",\"KeyScope\":\"all\",\"DedupWindow\":2500000", true; "idempotent with a key")]
#[test_case("\"single_shot\"", false; "not idempotent")]
fn a_worker_is_killed_after_accepting_a_connection(effect: &str, is_retried: bool) {
    let workers = [(); 2].map(|()| ScriptedWorker::start());
    let addresses = workers.each_ref().map(|worker| worker.address);
    let configuration = RouterConfiguration::non_idempotent(&addresses, Discovery::steady().address, 250_000);
    let router = Router::with_configuration(&configuration.with("Effect", effect));
    router.wait_for_current_list();
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1).replace("\"t\":", "\"k\":\"key-1\",\"t\":"));
    let (connection, other) = first_connection(&workers);
    let unread_frame_code = wait_for(|| {
        let mut head = [0; HEADER_BYTES];
        (connection.stream.peek(&mut head).unwrap() == HEADER_BYTES).then_some(head[1])
    });
    assert_eq!(unread_frame_code, Some(request::ATTEMPT));
    drop(connection);
    if is_retried {
        let mut connection = other.accept();
        let attempt = connection.next_frame(request::ATTEMPT).expect("the retry arrives");
        assert_eq!((attempt.id, attempt.fields.contains(",uniq=key-1")), (1, true));
        connection.respond(response::DONE, 1);
        assert!(client.receive().contains(DONE));
    } else {
        let line = client.receive();
        assert!(line.contains("\"error\"") && !line.contains(REJECTED), "{line}");
        drop(router);
        let has_attempt = |worker: &ScriptedWorker| {
            worker
                .try_accept()
                .is_some_and(|mut connection| connection.next_frame(request::ATTEMPT).is_some())
        };
        assert!(!workers.iter().any(has_attempt));
    }
}

/// A router is killed with one call unread on an accepted connection and one in its listen backlog. Both clients see
/// the connection end without an answer, and no worker receives the calls. The next process can bind the address at
/// once, knows nothing of these calls, and accepts a retry with the same id.
#[test]
fn a_router_is_killed_after_accepting_a_connection() {
    // A separate loopback address, so that no connection of another test takes the port between the two processes.
    let worker = Worker::start(answers);
    let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, 256);
    let configuration = configuration.with("listen", "\"127.0.0.77:0\"");
    let mut router = Router::with_configuration(&configuration);
    let mut accepted = Client::connect(&router);
    assert!(accepted.is_router_ready(1));
    let mut in_backlog = None;
    router.process.while_paused(|| {
        accepted.send(&call_line(2, 2));
        in_backlog.insert(Client::connect(&router)).send(&call_line(1, 3));
        router.process.signal(Signal::SIGKILL);
    });
    assert!(router.process.exit_status().is_some_and(|status| !status.success()));
    assert_eq!((accepted.receive(), in_backlog.unwrap().receive()), (String::new(), String::new()));
    let same_address = format!("\"{}\"", router.address);
    let next_router = Router::with_configuration(&configuration.with("listen", same_address));
    assert_eq!(next_router.address, router.address);
    let mut client = Client::connect(&next_router);
    client.send(&call_line(1, 2).replace("\"t\":", "\"r\":1,\"t\":"));
    assert!(client.receive().contains(DONE));
    let attempts = worker.received.attempts();
    let count = |id| attempts.iter().filter(|attempt| **attempt == id).count();
    assert_eq!((count(2), count(3)), (1, 0));
}
