//! Calls and their answers: which are forwarded, which are rejected, and what never reaches a worker.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, REJECTED, Router, RouterConfiguration, Worker, WorkerBehaviour,
    answers, answers_after, call_line, cancel_line, never_answers,
};
use milletpath_test_support::wait::{TIMEOUT, becomes_true};
use milletpath_test_support::worker_frames::{HEADER_BYTES, frame, request, response};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use test_case::test_case;

#[test]
fn calls_succeed_and_reach_the_worker_under_their_own_ids() {
    const CALLS: std::ops::Range<u64> = 2..40;
    const FIRST_ID: u64 = 0xabc0;
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    assert!(client.is_router_ready(1));
    for number in CALLS {
        let line = client.call(number, FIRST_ID + number);
        assert!(line.contains(DONE) && line.contains(&format!("\"id\":{number},")), "{line}");
    }
    assert_eq!(worker.received.attempts(), CALLS.map(|number| FIRST_ID + number).collect::<Vec<_>>());
}

/// Corrupts the first answer, so that its checksum does not match.
fn corrupts_the_first_answer(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    if earlier_attempts > 0 {
        return answers(earlier_attempts, id, connection);
    }
    let mut corrupt = frame(response::DONE, id, "", b"corrupted");
    corrupt[HEADER_BYTES + 2] ^= 1;
    let _ = connection.write_all(&corrupt);
}

/// Sends, as the first answer, a frame head that declares a body of three gigabytes.
fn declares_a_huge_body_in_the_first_answer(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    if earlier_attempts > 0 {
        return answers(earlier_attempts, id, connection);
    }
    let mut head = frame(response::DONE, id, "", b"")[..HEADER_BYTES].to_vec();
    head[4..8].copy_from_slice(&3_000_000_000_u32.to_be_bytes());
    let _ = connection.write_all(&head);
}

/// Closes the connection on the first attempt.
fn closes_the_connection_at_the_first_attempt(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    if earlier_attempts > 0 {
        return answers(earlier_attempts, id, connection);
    }
    let _ = connection.shutdown(Shutdown::Both);
}

/// Answers each attempt twice, after an answer with an id of which there was no attempt.
fn answers_twice_and_an_unknown_id(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    let _ = connection.write_all(&frame(response::DONE, !id, "", b"unknown id"));
    answers(earlier_attempts, id, connection);
    answers(earlier_attempts, id, connection);
}

/// Whatever the first answer is, an idempotent call succeeds with a valid answer of a worker, and its client receives
/// exactly one.
#[test_case(corrupts_the_first_answer; "checksum mismatch")]
#[test_case(declares_a_huge_body_in_the_first_answer; "a body of three gigabytes declared")]
#[test_case(closes_the_connection_at_the_first_attempt; "connection closed")]
#[test_case(answers_twice_and_an_unknown_id; "duplicate answers and an unknown id")]
fn corrupt_answers_are_not_passed_on(behaviour: WorkerBehaviour) {
    let workers = [behaviour, behaviour, answers].map(Worker::start);
    let addresses = workers.map(|worker| worker.address);
    let router = Router::start(&addresses, Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    for number in 1..4 {
        let line = client.call(number, number);
        assert!(line.contains(DONE) && line.contains(&format!("\"id\":{number},")), "{line}");
    }
}

/// Invalid lines are answered by an error or by closing the connection, and no call sent along with them reaches a
/// worker.
#[test_case(&[call_line(1, 5), call_line(1, 6)].concat(); "two calls with the same number")]
#[test_case(&[call_line(1, 5), call_line(2, 5)].concat(); "two calls with the same id")]
#[test_case(&(1..=33).map(|n| call_line(n, n)).collect::<String>(); "one more open call than allowed")]
#[test_case(&[call_line(1, 5), "{\n".into()].concat(); "a call followed by invalid json")]
#[test_case(&call_line(1, 5).replace("acme", "else"); "an unknown client group")]
#[test_case(&call_line(1, 5).replace("\"p\"", "\"q\""); "an unknown profile")]
#[test_case(&"x".repeat(1 << 20); "a line without an end")]
fn invalid_lines_are_not_forwarded(text: &str) {
    const VALID_ID: u64 = 77;
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut invalid = Client::connect(&router);
    invalid.send(text);
    let lines: Vec<_> =
        std::iter::from_fn(|| Some(invalid.receive()).filter(|line| !line.is_empty())).collect();
    assert!(lines.iter().all(|line| line.contains("\"error\"")), "{lines:?}");
    assert!(Client::connect(&router).call(1, VALID_ID).contains(DONE));
    assert!(worker.received.attempts().iter().all(|id| *id == VALID_ID));
}

/// The worker answers no attempt; each call still has exactly one answer, a rejection.
#[test]
fn calls_to_workers_that_never_answer_are_rejected_once_each() {
    let worker = Worker::start(never_answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    client.send(&[call_line(1, 1), call_line(2, 2)].concat());
    let mut lines = [client.receive(), client.receive()];
    lines.sort();
    for (line, number) in lines.iter().zip(1..) {
        assert!(line.contains(&format!("\"id\":{number},")) && line.contains(REJECTED), "{line}");
    }
}

/// Many clients send a call each, one byte at a time: a client that sends complete calls in between is served, and each
/// slow call is served after its last byte.
#[test]
fn calls_sent_a_byte_at_a_time_are_answered() {
    const SLOW_CALLS: u64 = 40;
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut slow: Vec<_> = (1..=SLOW_CALLS)
        .map(|id| {
            let stream = TcpStream::connect(router.address).unwrap();
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            (stream, call_line(1, id))
        })
        .collect();
    let mut other_client = Client::connect(&router);
    for position in 0..call_line(1, 1).len() - 1 {
        for (stream, line) in &mut slow {
            stream.write_all(&line.as_bytes()[position..=position]).unwrap();
        }
        if position % 8 == 0 {
            let number = position as u64 + 1;
            assert!(other_client.call(number, 1000 + number).contains(DONE));
        }
    }
    assert!(
        worker.received.attempts().iter().all(|id| *id > SLOW_CALLS),
        "a call was forwarded before it was complete"
    );
    for (stream, _) in &mut slow {
        stream.write_all(b"\n").unwrap();
    }
    for (stream, _) in &mut slow {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert!(line.contains(DONE), "{line}");
    }
}

/// The worker never answers: each call fails exactly once and within its own deadline, the one with the shorter
/// deadline first, and both attempts are cancelled at the worker.
#[test]
fn unanswered_calls_fail_at_their_own_deadlines() {
    let worker = Worker::start(never_answers);
    let configuration =
        RouterConfiguration::non_idempotent(&[worker.address], Discovery::steady().address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&[call_line(1, 1), call_line(2, 2).replace("2500", "600")].concat());
    for number in [2, 1] {
        let line = client.receive();
        assert!(line.contains(&format!("\"id\":{number},")) && line.contains("\"error\""), "{line}");
    }
    let is_cancelled = |id| worker.received.ids(request::CANCEL).contains(&id);
    assert!(becomes_true(|| is_cancelled(1) && is_cancelled(2)));
    assert!(client.is_router_ready(3));
}

/// Regression test: a client that withdrew some of the most calls that may be open, and sent as many new ones in the same
/// write, was taken for one with a call too many; all its calls failed, and some got no answer.
#[test]
fn calls_that_follow_withdrawals_in_one_write_are_served() {
    const MAX_OPEN_CALLS: u64 = 32;
    const WITHDRAWN: u64 = 4;
    let worker = Worker::start(|_, id, connection| answers_after(Duration::from_millis(300), id, connection));
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    router.wait_for_current_list();
    let mut client = Client::connect(&router);
    let calls: String = (1..=MAX_OPEN_CALLS).map(|number| call_line(number, number)).collect();
    client.send(&calls);
    assert!(becomes_true(|| !worker.received.attempts().is_empty()));
    let withdrawals: String = (1..=WITHDRAWN).map(cancel_line).collect();
    let more: String = (1..=WITHDRAWN).map(|n| MAX_OPEN_CALLS + n).map(|n| call_line(n, n)).collect();
    client.send(&(withdrawals + &more));
    for _ in 0..MAX_OPEN_CALLS {
        let answer = client.receive();
        assert!(answer.contains(DONE), "{answer}");
    }
}

/// Regression test: where the configuration has no client groups, a call that named one was served.
#[test]
fn a_call_names_no_client_group_where_there_are_none() {
    const NAMED: u64 = 6;
    let worker = Worker::start(answers);
    let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, MAX_SOCKETS)
        .without_client_groups();
    let router = Router::with_configuration(&configuration);
    let without_group = call_line(1, 5).replace(r#""t":"acme","#, "");
    let mut client = Client::connect(&router);
    client.send(&without_group);
    assert!(client.receive().contains(DONE));
    client.send(&call_line(2, NAMED));
    assert!(client.receive().contains("\"error\""));
    assert!(!worker.received.has_attempt(NAMED));
}

/// A connection is closed after an invalid line. A call that was read with it, before or behind it, gets an error first.
#[test]
fn calls_around_an_invalid_line_get_an_error() {
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    client.send(&(call_line(1, 1) + "{\"jsonrpc\":\"2.0\",\"id\":-1}\n" + &call_line(2, 2)));
    let answers = [client.receive(), client.receive(), client.receive()].concat();
    for number in ["1", "2", "null"] {
        assert_eq!(answers.matches(&format!("\"id\":{number},\"error\"")).count(), 1, "{answers}");
    }
    assert!(client.is_closed_cleanly());
    assert!(worker.received.attempts().is_empty());
}
