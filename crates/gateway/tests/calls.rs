//! Stories of calls through a gateway on loopback: each causes one failure and looks at what the client is told and
//! what the workers saw.

mod town;

use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use town::{
    BARE_503, Does, EFFECTFUL, FULL, OK, PURE, RECEIPTED, ZONED, call, charter, gateway, outcome, status,
    story,
};

/// Heads that a worker saw until now.
fn seen(heads: &mut town::Heads) -> Vec<String> {
    std::iter::from_fn(|| heads.try_recv().ok()).collect()
}

#[test]
fn a_call_is_carried_there_and_back() {
    story(async {
        let (worker, mut heads) = town::worker(OK).await;
        let (at, ..) = gateway(charter(&[worker], "")).await;
        let answer = call(at, "x-own: 7\r\nmilletpath-patience: 2\r\nte: trailers\r\n", "hello").await;
        assert_eq!((status(&answer), outcome(&answer)), (200, "handled"));
        assert!(answer.ends_with("done") && answer.contains("milletpath-activation: "));
        let head = &seen(&mut heads)[0];
        assert!(head.starts_with("POST /v2/models/greet/infer HTTP/1.1") && head.ends_with("hello"));
        assert!(
            head.contains("x-own: 7") && !head.contains("patience") && !head.contains("trailers"),
            "{head}"
        );
    });
}

/// With a moment left no shot can be in time: it is bounced at once, and nothing is sent.
#[test_case("0.001", "bounced", 0; "a millisecond")]
#[test_case("0.2", "handled", 1; "200 ms")]
fn clients_with_little_time(patience: &str, is: &str, shots: usize) {
    story(async {
        let (worker, mut heads) = town::worker(OK).await;
        let (at, ..) = gateway(charter(&[worker], "")).await;
        let answer = call(at, &format!("milletpath-patience: {patience}\r\n"), "").await;
        assert_eq!((outcome(&answer), seen(&mut heads).len()), (is, shots), "{answer}");
    });
}

/// A worker that dies in mid-call: what may run again goes elsewhere, what may not is given up on. A mark is known
/// for 0.4 s: a receipted call that was out for longer is not sent again.
#[test_case(PURE, 0, "handled", 2; "pure")]
#[test_case(RECEIPTED, 0, "handled", 2; "receipted")]
#[test_case(RECEIPTED, 500, "bounced", 1; "receipted, and forgotten")]
#[test_case(ZONED, 0, "terminated", 1; "receipted, and known to no other worker")]
#[test_case(EFFECTFUL, 0, "terminated", 1; "effectful")]
fn a_worker_dies_in_mid_call(profile: &str, after: u64, is: &str, shots: usize) {
    story(async {
        let (workers, mut heads) = town::team(2, vec![Does::Late(after, "no answer"), OK]).await;
        let (at, ..) = gateway(charter(&workers, profile)).await;
        let answer = call(at, "idempotency-key: a\r\nmilletpath-patience: 2\r\n", "").await;
        assert_eq!((outcome(&answer), seen(&mut heads).len()), (is, shots), "{answer}");
    });
}

/// A bare 503 may come from anything in between: only the worker's own word proves that nothing ran.
#[test_case(BARE_503, "terminated"; "a bare error")]
#[test_case(FULL, "bounced"; "its own word")]
fn never_ran_is_believed_where_it_is_proven(does: Does, is: &str) {
    story(async {
        let (worker, mut heads) = town::worker(does).await;
        let (at, ..) = gateway(charter(&[worker], EFFECTFUL)).await;
        let answer = call(at, "milletpath-patience: 0.6\r\n", "").await;
        assert_eq!(outcome(&answer), is, "{answer}");
        assert!(!seen(&mut heads).is_empty());
    });
}

/// Nobody listens: proven unrun, even for what must not run twice.
#[test]
fn a_refused_connection_is_bounced() {
    story(async {
        let nobody = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (at, ..) = gateway(charter(&[nobody], EFFECTFUL)).await;
        let answer = call(at, "milletpath-patience: 0.5\r\n", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (503, "bounced"));
        assert!(answer.contains("retry-after: "));
    });
}

/// The classic trap: the worker closes a kept connection just as the next shot is written on it. Effectful, it must
/// not be sent again unless not a byte of it was written.
#[test]
fn a_kept_connection_closed_under_a_shot_runs_nothing_twice() {
    story(async {
        let script = (0..200).map(|n| if n % 2 == 0 { OK } else { Does::Closes }).collect();
        let (workers, mut heads) = town::team(1, script).await;
        let (at, ..) = gateway(charter(&workers, EFFECTFUL)).await;
        let mut handled = 0;
        for n in 0..40 {
            let answer = call(at, "", &format!("call {n}.")).await;
            let met = seen(&mut heads).iter().filter(|h| h.ends_with(&format!("call {n}."))).count();
            assert!(met <= 1, "sent {met} times");
            assert_eq!(met == 1 && outcome(&answer) == "handled", outcome(&answer) == "handled");
            handled += usize::from(outcome(&answer) == "handled");
        }
        assert_eq!(handled, 20);
    });
}

/// Answers that are none: cut in half, garbage, more than may be passed on.
#[test_case(Does::SaysAndCloses("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"), "failed"; "half an answer")]
#[test_case(Does::SaysAndCloses("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf"), "failed"; "half a chunked one")]
#[test_case(Does::SaysAndCloses("\x13\x37 what\r\n\r\n"), "failed"; "garbage")]
#[test_case(Does::Says("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n"), "answer-too-large"; "stated too large")]
#[test_case(Does::SaysAndCloses("HTTP/1.1 200 OK\r\n\r\n0123456789012345678901234567890123456789"), "answer-too-large"; "found too large")]
fn what_is_no_answer_is_not_passed_on(does: Does, problem: &str) {
    story(async {
        let (worker, _heads) = town::worker(does).await;
        let (at, ..) = gateway(charter(&[worker], &format!("{EFFECTFUL}limits {{ answer = 32 }}"))).await;
        let answer = call(at, "", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (502, "terminated"));
        assert!(answer.contains(&format!("urn:milletpath:problem:{problem}")), "{answer}");
    });
}

/// An answer that comes with the cut-off or after it is nobody's: one final answer, and the worker is let go of.
#[test]
fn an_answer_after_the_cut_off_is_dropped() {
    story(async {
        let late = Does::Late(320, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
        let (worker, _heads) = town::worker(late).await;
        let (at, ..) = gateway(charter(&[worker], EFFECTFUL)).await;
        let answer = call(at, "milletpath-patience: 0.3\r\n", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (504, "terminated"));
        assert!(!answer.contains("late\n") && answer.matches("HTTP/1.1").count() == 1);
    });
}

/// A client that leaves: its shot is called off by closing the connection, and nothing more is sent for it.
#[test]
fn a_client_that_leaves_has_its_shot_called_off() {
    story(async {
        let (worker, mut heads) = town::worker(Does::Nothing).await;
        let (at, stop, served) = gateway(charter(&[worker], "")).await;
        let mut client = TcpStream::connect(at).await.unwrap();
        let head = b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
        client.write_all(head).await.unwrap();
        assert!(heads.recv().await.is_some());
        drop(client);
        tokio::time::sleep(Duration::from_millis(100)).await;
        stop.send(()).unwrap();
        let tally = served.await.unwrap();
        assert_eq!((tally.accepted, tally.client_gone, tally.attempts, tally.succeeded), (1, 1, 1, 0));
        assert!(seen(&mut heads).is_empty());
    });
}

/// Stopping: what was taken is finished, what comes on kept connections is bounced, new connections find nobody.
#[test]
fn a_gateway_that_stops_finishes_what_it_took() {
    story(async {
        let (worker, mut heads) =
            town::worker(Does::Late(300, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")).await;
        let (at, stop, served) = gateway(charter(&[worker], "")).await;
        let taken = tokio::task::spawn_local(call(at, "", ""));
        assert!(heads.recv().await.is_some());
        stop.send(()).unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(TcpStream::connect(at).await.is_err());
        let answer = taken.await.unwrap();
        assert_eq!(outcome(&answer), "handled", "{answer}");
        assert_eq!(served.await.unwrap().succeeded, 1);
    });
}

/// Whatever a client sends, it gets a clear answer or none, and others are not disturbed.
#[test_case(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400; "a handshake of another protocol")]
#[test_case(b"GET / HTTP/9.9\r\n\r\n", 400; "a version that there is not")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: -3\r\n\r\n", 400; "a negative length")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 3\r\ncontent-length: 9\r\n\r\n", 400; "two lengths")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400; "a bad chunk")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 99\r\n\r\n", 413; "a body over the bound")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\n40\r\n0123456789012345678901234567890123456789012345678901234567890123\r\n0\r\n\r\n", 413; "chunks over the bound")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 9\r\n\r\nhalf", 408; "a body that does not come")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nmilletpath-patience: soon\r\ncontent-length: 0\r\n\r\n", 400; "no patience")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nmilletpath-profile: other\r\ncontent-length: 0\r\n\r\n", 400; "no profile of ours")]
#[test_case(b"DELETE /v1/functions/greet/activations HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 405; "another method")]
#[test_case(b"POST /v1/functions/gr%20eet/activations HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 400; "no name")]
fn malformed_requests_are_refused(bytes: &[u8], is: u16) {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let more = "limits {\nbody = 32\nstall = 0.1\nhead = 0.5\n}";
        let (at, ..) = gateway(charter(&[worker], more)).await;
        let answer = town::say(at, bytes).await;
        assert_eq!(status(&answer), is, "{answer}");
        assert_eq!(outcome(&call(at, "", "").await), "handled");
    });
}

/// Header fields without end, and ones that never end: the connection goes, within its bounds of size and time.
#[test]
fn oversized_and_slow_heads_are_cut_off() {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let (at, ..) = gateway(charter(&[worker], "limits { head = 0.2 }")).await;
        let large = format!("POST / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        assert!([0, 400, 431].contains(&status(&town::say(at, large.as_bytes()).await)));
        let answer = town::say(at, b"POST /v1/func").await;
        assert!([0, 408].contains(&status(&answer)), "{answer}");
        assert_eq!(outcome(&call(at, "", "").await), "handled");
    });
}

/// Requests sent behind one another on one connection are answered each, in their order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let (at, ..) = gateway(charter(&[worker], "")).await;
        let one = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
        let last = "GET /health/ready HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n";
        let answer = town::say(at, format!("{one}{one}{last}").as_bytes()).await;
        assert_eq!(answer.matches("milletpath-outcome: handled").count(), 2);
        assert!(answer.ends_with("ready\n"));
    });
}

/// A client that reads nothing: its answer is not kept for ever.
#[test]
fn a_client_that_reads_nothing_is_let_go_of() {
    story(async {
        let (worker, _heads) = town::worker(Does::Says(LARGE.as_str())).await;
        let more = "limits {\nstall = 0.2\nanswer = 30000000\n}";
        let (at, stop, served) = gateway(charter(&[worker], more)).await;
        let mut client = TcpStream::connect(at).await.unwrap();
        let head = b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
        client.write_all(head).await.unwrap();
        tokio::time::sleep(Duration::from_millis(900)).await;
        // The gateway has closed: stopping waits for no connection, else it would for the cut-off and a second more.
        stop.send(()).unwrap();
        let stopped = tokio::time::timeout(Duration::from_millis(2500), served).await;
        assert_eq!(stopped.unwrap().unwrap().succeeded, 1);
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest).await;
        assert!(rest.len() < LARGE.len());
    });
}

static LARGE: std::sync::LazyLock<String> = std::sync::LazyLock::new(|| {
    format!("HTTP/1.1 200 OK\r\ncontent-length: 20000000\r\n\r\n{}", "x".repeat(20_000_000))
});

/// The table of open calls is full: bounced at the door, with when to come back.
#[test]
fn calls_beyond_the_table_are_bounced_at_the_door() {
    story(async {
        let (worker, mut heads) = town::worker(Does::Nothing).await;
        let (at, ..) = gateway(charter(&[worker], "limits { open = 1 }")).await;
        let first = tokio::task::spawn_local(call(at, "milletpath-patience: 1\r\n", ""));
        assert!(heads.recv().await.is_some());
        let answer = call(at, "", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (503, "bounced"));
        assert!(answer.contains("problem:full"));
        first.await.unwrap();
    });
}

/// Repeats of a receipted call are known by their mark alone; without one they can't be told apart.
#[test]
fn receipted_calls_need_a_mark_and_carry_it() {
    story(async {
        let (worker, mut heads) = town::worker(OK).await;
        let (at, ..) = gateway(charter(&[worker], RECEIPTED)).await;
        let answer = call(at, "", "").await;
        assert!(status(&answer) == 400 && answer.contains("idempotency-key"), "{answer}");
        let answer = call(at, "connection: idempotency-key\r\nidempotency-key: \"k1\"\r\n", "").await;
        assert_eq!(outcome(&answer), "handled");
        assert!(seen(&mut heads)[0].contains("idempotency-key: \"k1\""));
    });
}

/// Ten thousand calls for one function at once: each gets its one answer, and most of them are not sat on.
#[test]
fn ten_thousand_calls_at_once() {
    story(async {
        let (one, _h1) = town::worker(OK).await;
        let (two, _h2) = town::worker(OK).await;
        let (at, stop, served) = gateway(charter(&[one, two], "")).await;
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..100 {
            clients.spawn_local(async move {
                let one =
                    "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
                let close = "GET /health/live HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n";
                town::say(at, format!("{}{close}", one.repeat(100)).as_bytes()).await
            });
        }
        let mut answers = 0;
        while let Some(text) = clients.join_next().await {
            answers += text.unwrap().matches("milletpath-outcome: ").count();
        }
        assert_eq!(answers, 10_000);
        stop.send(()).unwrap();
        let tally = served.await.unwrap();
        assert_eq!((tally.accepted, tally.succeeded + tally.rejected + tally.failed), (10_000, 10_000));
    });
}

/// A body and an answer that come in pieces are passed on whole.
#[test]
fn pieces_are_put_together() {
    story(async {
        let pieces = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nwe\r\n4\r\n did\r\n0\r\n\r\n";
        let (worker, mut heads) = town::worker(Does::Says(pieces)).await;
        let (at, ..) = gateway(charter(&[worker], "")).await;
        let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\n";
        let body = "transfer-encoding: chunked\r\n\r\n3\r\ndo \r\n2\r\nit\r\n1\r\n!\r\n0\r\n\r\n";
        let answer = town::say(at, format!("{head}{body}").as_bytes()).await;
        assert!(seen(&mut heads)[0].ends_with("do it!"));
        assert!(outcome(&answer) == "handled" && answer.ends_with("we did"), "{answer}");
    });
}
