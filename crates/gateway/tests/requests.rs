//! Requests through a gateway on the loopback interface. Each test causes one failure, and checks what the client and
//! the workers receive.

mod support;

use std::time::Duration;
use support::{
    BARE_503, Behavior, FULL, IDEMPOTENT, IDEMPOTENT_WITH_KEY, KEY_KNOWN_BY_ZONE, NON_IDEMPOTENT, OK,
    config_for, outcome, run, send_request, start_gateway, status,
};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns the requests that a worker has received since the last call.
fn received_heads(heads: &mut support::RequestHeads) -> Vec<String> {
    std::iter::from_fn(|| heads.try_recv().ok()).collect()
}

#[test]
fn a_request_is_forwarded_and_its_response_returned() {
    run(async {
        let (worker, mut heads) = support::start_worker(OK).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], "")).await;
        let answer =
            send_request(gateway_address, "x-own: 7\r\nmilletpath-patience: 2\r\nte: trailers\r\n", "hello")
                .await;
        assert_eq!((status(&answer), outcome(&answer)), (200, "handled"));
        assert!(answer.ends_with("done") && answer.contains("milletpath-activation: "));
        let head = &received_heads(&mut heads)[0];
        assert!(head.starts_with("POST /v2/models/greet/infer HTTP/1.1") && head.ends_with("hello"));
        assert!(
            head.contains("x-own: 7") && !head.contains("patience") && !head.contains("trailers"),
            "{head}"
        );
    });
}

/// If too little time is left for any attempt, the request must be rejected immediately, without sending anything.
#[test_case("0.001", "bounced", 0; "a millisecond")]
#[test_case("0.2", "handled", 1; "200 ms")]
fn a_request_with_too_little_time_is_rejected_unsent(patience: &str, expected: &str, attempts: usize) {
    run(async {
        let (worker, mut heads) = support::start_worker(OK).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], "")).await;
        let answer = send_request(gateway_address, &format!("milletpath-patience: {patience}\r\n"), "").await;
        assert_eq!((outcome(&answer), received_heads(&mut heads).len()), (expected, attempts), "{answer}");
    });
}

/// If a worker dies during a request, idempotent requests must be retried elsewhere, and others must fail. Idempotency
/// keys are remembered for 0.4 s, so a request that was in flight for longer must not be sent again, nor be called
/// harmless to repeat.
#[test_case(IDEMPOTENT, 0, "handled", 2; "idempotent")]
#[test_case(IDEMPOTENT_WITH_KEY, 0, "handled", 2; "with a key")]
#[test_case(IDEMPOTENT_WITH_KEY, 500, "terminated", 1; "with a key that is forgotten")]
#[test_case(KEY_KNOWN_BY_ZONE, 0, "terminated", 1; "with a key that no other worker knows")]
#[test_case(NON_IDEMPOTENT, 0, "terminated", 1; "not idempotent")]
fn a_request_whose_worker_dies_is_retried_only_if_idempotent(
    profile: &str,
    after: u64,
    expected: &str,
    attempts: usize,
) {
    run(async {
        let (workers, mut heads) =
            support::start_workers(2, vec![Behavior::RespondsAfter(after, "no answer"), OK]).await;
        let (gateway_address, ..) = start_gateway(config_for(&workers, profile)).await;
        let answer =
            send_request(gateway_address, "idempotency-key: a\r\nmilletpath-patience: 2\r\n", "").await;
        assert_eq!((outcome(&answer), received_heads(&mut heads).len()), (expected, attempts), "{answer}");
    });
}

/// A plain 503 may come from an intermediary. Only the worker's explicit refusal proves that the request did not run.
#[test_case(BARE_503, "terminated"; "a plain error")]
#[test_case(FULL, "bounced"; "an explicit refusal")]
fn only_a_refusal_by_the_worker_proves_that_a_request_did_not_run(behavior: Behavior, expected: &str) {
    run(async {
        let (worker, mut heads) = support::start_worker(behavior).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], NON_IDEMPOTENT)).await;
        let answer = send_request(gateway_address, "milletpath-patience: 0.6\r\n", "").await;
        assert_eq!(outcome(&answer), expected, "{answer}");
        assert!(!received_heads(&mut heads).is_empty());
    });
}

/// A refused connection proves that the request did not run, so it must be rejected as retryable even if it is not
/// idempotent.
#[test]
fn a_refused_connection_is_a_rejection() {
    run(async {
        let unused_address =
            tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (gateway_address, ..) = start_gateway(config_for(&[unused_address], NON_IDEMPOTENT)).await;
        let answer = send_request(gateway_address, "milletpath-patience: 0.5\r\n", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (503, "bounced"));
        assert!(answer.contains("retry-after: "));
    });
}

/// The worker closes a pooled connection just as the next attempt is written to it. A request that is not idempotent
/// must not be sent again unless no part of it was written.
#[test]
fn a_pooled_connection_that_closes_during_an_attempt_runs_nothing_twice() {
    run(async {
        let script = (0..200).map(|n| if n % 2 == 0 { OK } else { Behavior::Closes }).collect();
        let (workers, mut heads) = support::start_workers(1, script).await;
        let (gateway_address, ..) = start_gateway(config_for(&workers, NON_IDEMPOTENT)).await;
        let mut handled = 0;
        for n in 0..40 {
            let answer = send_request(gateway_address, "", &format!("call {n}.")).await;
            let sent =
                received_heads(&mut heads).iter().filter(|h| h.ends_with(&format!("call {n}."))).count();
            assert!(sent <= 1, "sent {sent} times");
            assert_eq!(sent == 1 && outcome(&answer) == "handled", outcome(&answer) == "handled");
            handled += usize::from(outcome(&answer) == "handled");
        }
        assert_eq!(handled, 20);
    });
}

/// Truncated, malformed and oversized responses must not be forwarded.
#[test_case(Behavior::RespondsAndCloses("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"), "failed"; "half a response")]
#[test_case(Behavior::RespondsAndCloses("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf"), "failed"; "half a chunked one")]
#[test_case(Behavior::RespondsAndCloses("\x13\x37 what\r\n\r\n"), "failed"; "garbage")]
#[test_case(Behavior::Responds("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n"), "answer-too-large"; "stated too large")]
#[test_case(Behavior::RespondsAndCloses("HTTP/1.1 200 OK\r\n\r\n0123456789012345678901234567890123456789"), "answer-too-large"; "found too large")]
fn incomplete_malformed_and_oversized_responses_are_not_forwarded(behavior: Behavior, problem: &str) {
    run(async {
        let (worker, _heads) = support::start_worker(behavior).await;
        let (gateway_address, ..) =
            start_gateway(config_for(&[worker], &format!("{NON_IDEMPOTENT}limits {{ answer = 32 }}"))).await;
        let answer = send_request(gateway_address, "", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (502, "terminated"));
        assert!(answer.contains(&format!("urn:milletpath:problem:{problem}")), "{answer}");
    });
}

/// A response that arrives at the deadline or later must be dropped. The client must get exactly one response.
#[test]
fn a_response_after_the_deadline_is_dropped() {
    run(async {
        let late = Behavior::RespondsAfter(320, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
        let (worker, _heads) = support::start_worker(late).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], NON_IDEMPOTENT)).await;
        let answer = send_request(gateway_address, "milletpath-patience: 0.3\r\n", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (504, "terminated"));
        assert!(!answer.contains("late\n") && answer.matches("HTTP/1.1").count() == 1);
    });
}

/// If the client disconnects, its attempt must be cancelled (which closes the connection to the worker), and nothing
/// more may be sent for the request.
#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled() {
    run(async {
        let (worker, mut heads) = support::start_worker(Behavior::NeverResponds).await;
        let (gateway_address, stop, served) = start_gateway(config_for(&[worker], "")).await;
        let mut client = TcpStream::connect(gateway_address).await.unwrap();
        let head = b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
        client.write_all(head).await.unwrap();
        assert!(heads.recv().await.is_some());
        drop(client);
        tokio::time::sleep(Duration::from_millis(100)).await;
        stop.send(()).unwrap();
        let counters = served.await.unwrap();
        assert_eq!(
            (counters.accepted, counters.client_gone, counters.attempts, counters.succeeded),
            (1, 1, 1, 0)
        );
        assert!(received_heads(&mut heads).is_empty());
    });
}

/// At shutdown, open requests must be finished, and new connections must be refused.
#[test]
fn a_stopping_gateway_finishes_its_open_requests() {
    run(async {
        let (worker, mut heads) = support::start_worker(Behavior::RespondsAfter(
            300,
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
        ))
        .await;
        let (gateway_address, stop, served) = start_gateway(config_for(&[worker], "")).await;
        let pending = tokio::task::spawn_local(send_request(gateway_address, "", ""));
        assert!(heads.recv().await.is_some());
        stop.send(()).unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(TcpStream::connect(gateway_address).await.is_err());
        let answer = pending.await.unwrap();
        assert_eq!(outcome(&answer), "handled", "{answer}");
        assert_eq!(served.await.unwrap().succeeded, 1);
    });
}

/// Whatever a client sends, it must get the matching error response, and other clients must still be served.
#[test_case(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400; "a handshake of another protocol")]
#[test_case(b"GET / HTTP/9.9\r\n\r\n", 400; "an unknown version")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: -3\r\n\r\n", 400; "a negative length")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 3\r\ncontent-length: 9\r\n\r\n", 400; "two lengths")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400; "a bad chunk")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 99\r\n\r\n", 413; "a body over the limit")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\n40\r\n0123456789012345678901234567890123456789012345678901234567890123\r\n0\r\n\r\n", 413; "chunks over the limit")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 9\r\n\r\nhalf", 408; "a body that does not arrive")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nmilletpath-patience: soon\r\ncontent-length: 0\r\n\r\n", 400; "an invalid timeout")]
#[test_case(b"POST /v1/functions/greet/activations HTTP/1.1\r\nmilletpath-profile: other\r\ncontent-length: 0\r\n\r\n", 400; "an unknown profile")]
#[test_case(b"DELETE /v1/functions/greet/activations HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 405; "another method")]
#[test_case(b"POST /v1/functions/gr%20eet/activations HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 400; "an invalid function name")]
fn malformed_requests_get_an_error_response(bytes: &[u8], expected: u16) {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let extra_config = "limits {\nbody = 32\nstall = 0.1\nhead = 0.5\n}";
        let (gateway_address, ..) = start_gateway(config_for(&[worker], extra_config)).await;
        let answer = support::send_bytes(gateway_address, bytes).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
    });
}

/// If a request's head is too large or never completes, the connection must be closed within its limits.
#[test]
fn oversized_and_slow_request_heads_end_the_connection() {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], "limits { head = 0.2 }")).await;
        let large = format!("POST / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200_000));
        assert!(
            [0, 400, 431].contains(&status(&support::send_bytes(gateway_address, large.as_bytes()).await))
        );
        let answer = support::send_bytes(gateway_address, b"POST /v1/func").await;
        assert!([0, 408].contains(&status(&answer)), "{answer}");
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
    });
}

/// Pipelined requests on one connection must be answered in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], "")).await;
        let request = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
        let last = "GET /health/ready HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n";
        let answer =
            support::send_bytes(gateway_address, format!("{request}{request}{last}").as_bytes()).await;
        assert_eq!(answer.matches("milletpath-outcome: handled").count(), 2);
        assert!(answer.ends_with("ready\n"));
    });
}

/// The response to a client that reads nothing must not be kept in memory forever.
#[test]
fn a_client_that_reads_nothing_is_disconnected() {
    run(async {
        let (worker, _heads) = support::start_worker(Behavior::Responds(LARGE.as_str())).await;
        let extra_config = "limits {\nstall = 0.2\nanswer = 30000000\n}";
        let (gateway_address, stop, served) = start_gateway(config_for(&[worker], extra_config)).await;
        let mut client = TcpStream::connect(gateway_address).await.unwrap();
        let head = b"POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
        client.write_all(head).await.unwrap();
        tokio::time::sleep(Duration::from_millis(900)).await;
        // The gateway has closed the connection, so stopping does not wait for it. Otherwise it would wait for the
        // deadline (`cut_off`) and a second more.
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

/// Requests beyond the limit on open requests must be rejected as retryable.
#[test]
fn requests_beyond_the_limit_are_rejected_with_retry_after() {
    run(async {
        let (worker, mut heads) = support::start_worker(Behavior::NeverResponds).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], "limits { open = 1 }")).await;
        let first = tokio::task::spawn_local(send_request(gateway_address, "milletpath-patience: 1\r\n", ""));
        assert!(heads.recv().await.is_some());
        let answer = send_request(gateway_address, "", "").await;
        assert_eq!((status(&answer), outcome(&answer)), (503, "bounced"));
        assert!(answer.contains("problem:full"));
        first.await.unwrap();
    });
}

/// Repeated requests are recognized only by their idempotency key, so profiles that rely on this must require one.
#[test]
fn keyed_requests_need_an_idempotency_key_and_forward_it() {
    run(async {
        let (worker, mut heads) = support::start_worker(OK).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], IDEMPOTENT_WITH_KEY)).await;
        let answer = send_request(gateway_address, "", "").await;
        assert!(status(&answer) == 400 && answer.contains("idempotency-key"), "{answer}");
        let answer =
            send_request(gateway_address, "connection: idempotency-key\r\nidempotency-key: \"k1\"\r\n", "")
                .await;
        assert_eq!(outcome(&answer), "handled");
        assert!(received_heads(&mut heads)[0].contains("idempotency-key: \"k1\""));
    });
}

/// Of ten thousand concurrent requests for one function, each must get exactly one response.
#[test]
fn ten_thousand_concurrent_requests_get_one_response_each() {
    run(async {
        let (first_worker, _h1) = support::start_worker(OK).await;
        let (second_worker, _h2) = support::start_worker(OK).await;
        let (gateway_address, stop, served) =
            start_gateway(config_for(&[first_worker, second_worker], "")).await;
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..100 {
            clients.spawn_local(async move {
                let request =
                    "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
                let close = "GET /health/live HTTP/1.1\r\nhost: g\r\nconnection: close\r\n\r\n";
                support::send_bytes(gateway_address, format!("{}{close}", request.repeat(100)).as_bytes())
                    .await
            });
        }
        let mut answers = 0;
        while let Some(text) = clients.join_next().await {
            answers += text.unwrap().matches("milletpath-outcome: ").count();
        }
        assert_eq!(answers, 10_000);
        stop.send(()).unwrap();
        let counters = served.await.unwrap();
        assert_eq!(
            (counters.accepted, counters.succeeded + counters.rejected + counters.failed),
            (10_000, 10_000)
        );
    });
}

/// Request and response bodies with chunked encoding must be forwarded completely.
#[test]
fn chunked_bodies_are_forwarded_whole() {
    run(async {
        let pieces = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nwe\r\n4\r\n did\r\n0\r\n\r\n";
        let (worker, mut heads) = support::start_worker(Behavior::Responds(pieces)).await;
        let (gateway_address, ..) = start_gateway(config_for(&[worker], "")).await;
        let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\n";
        let body = "transfer-encoding: chunked\r\n\r\n3\r\ndo \r\n2\r\nit\r\n1\r\n!\r\n0\r\n\r\n";
        let answer = support::send_bytes(gateway_address, format!("{head}{body}").as_bytes()).await;
        assert!(received_heads(&mut heads)[0].ends_with("do it!"));
        assert!(outcome(&answer) == "handled" && answer.ends_with("we did"), "{answer}");
    });
}
