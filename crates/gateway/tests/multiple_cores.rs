//! Gateways with several cores. Each test causes a situation in which cores could act inconsistently, and checks what
//! clients and workers receive.

mod support;

use milletpath_gateway::{FaultInjection, RequestKind};
use milletpath_process_environment::wall_clock::unix_time;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{
    Behavior, IDEMPOTENT, NON_IDEMPOTENT, OK, RequestHeads, config_for, config_with_registry, outcome,
    registry, run, send_request, start_with_faults,
};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

async fn pause(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

fn received_count(heads: &mut RequestHeads) -> usize {
    std::iter::from_fn(|| heads.try_recv().ok()).count()
}

fn endpoint_list(number: u64, workers: &[(SocketAddr, &str)]) -> String {
    let entry = |(n, (address, state)): (usize, &(SocketAddr, &str))| {
        format!("{{\"name\": \"w{n}\", \"address\": \"{address}\", \"state\": \"{state}\"}}")
    };
    let entries: Vec<_> = workers.iter().enumerate().map(entry).collect();
    format!("{{\"edition\": {number}, \"whole\": true, \"workers\": [{}]}}\n", entries.join(", "))
}

/// Sends up to `max_requests` requests on one connection, each after the response to the previous one, until the
/// gateway closes it. Returns the outcomes and whether the connection was closed.
async fn send_requests(gateway_address: SocketAddr, max_requests: usize) -> (Vec<String>, bool) {
    let mut stream = TcpStream::connect(gateway_address).await.unwrap();
    let text = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
    let mut outcomes = Vec::new();
    for _ in 0..max_requests {
        if stream.write_all(text.as_bytes()).await.is_err() {
            return (outcomes, true);
        }
        let mut answer = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&answer).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length =
                    head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
                if body.len() >= length.unwrap_or(0) {
                    break;
                }
            }
            if !matches!(stream.read_buf(&mut answer).await, Ok(n) if n > 0) {
                return (outcomes, true);
            }
        }
        let answer = String::from_utf8_lossy(&answer).into_owned();
        outcomes.push(outcome(&answer).to_owned());
        if answer.contains("connection: close") {
            return (outcomes, true);
        }
    }
    (outcomes, false)
}

/// A worker starts draining while one core is stalled with unread requests. After the grace period no core may send it
/// anything.
#[test]
fn a_core_that_was_stalled_sends_nothing_to_a_drained_worker() {
    run(async {
        let (draining, mut heads) = support::start_worker(OK).await;
        let (remaining, _others) = support::start_worker(OK).await;
        let (registry, revisions) = registry().await;
        revisions.send(endpoint_list(1, &[(draining, "ready"), (remaining, "ready")])).unwrap();
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_with_registry(4, registry, IDEMPOTENT)).await;
        pause(0.2).await;
        let clients: Vec<_> = (0..8).map(|_| spawn_local(send_requests(gateway_address, 20_000))).collect();
        pause(0.3).await;
        assert!(received_count(&mut heads) > 0, "the draining worker must have received requests before");
        faults.send((1, FaultInjection::Stall(3.0))).unwrap();
        pause(0.1).await;
        revisions.send(endpoint_list(2, &[(draining, "draining"), (remaining, "ready")])).unwrap();
        pause(0.7).await;
        received_count(&mut heads);
        pause(3.2).await;
        assert_eq!(received_count(&mut heads), 0, "sent after the grace period");
        clients.iter().for_each(|c| c.abort());
    });
}

/// A core stalls after the dispatcher has allowed it to send a request and before the request is written. Meanwhile the
/// worker drains, and the grace period ends. Nothing may be written to it, and clients are served by another worker.
#[test_case(RequestKind::Attempt, IDEMPOTENT; "attempt")]
#[test_case(RequestKind::Attempt, NON_IDEMPOTENT; "attempt that may run only once")]
#[test_case(RequestKind::LoadRequest, IDEMPOTENT; "load request")]
fn a_request_allowed_before_a_stall_is_not_sent_to_a_drained_worker(stalled: RequestKind, profile: &str) {
    const STALL_SECONDS: f64 = 0.9;
    run(async {
        let (draining, mut heads) = support::start_worker(OK).await;
        let (remaining, _others) = support::start_worker(OK).await;
        let (registry, revisions) = registry().await;
        let load_limit = "limits {\nration {\nwindow = 60\nfree = 10\nshare = 0\n}\n}\n";
        let mut config = config_with_registry(1, registry, &format!("{profile}{load_limit}"));
        config.policy.can_request_loads = stalled == RequestKind::LoadRequest;
        revisions.send(endpoint_list(1, &[(draining, "ready")])).unwrap();
        let (gateway_address, _stop, _served, faults) = start_with_faults(config).await;
        pause(0.2).await;
        faults.send((0, FaultInjection::StallBeforeWrite(stalled, STALL_SECONDS))).unwrap();
        pause(0.1).await;
        let began = Instant::now();
        // Short enough for the policy to send a load request beside the attempt.
        let patience = "milletpath-patience: 1.9\r\n";
        let pending = spawn_local(async move { send_request(gateway_address, patience, "").await });
        pause(0.1).await;
        assert_eq!(received_count(&mut heads), 0, "written before the stall");
        revisions.send(endpoint_list(2, &[(draining, "draining"), (remaining, "ready")])).unwrap();
        let answer = pending.await.unwrap();
        // A request that waits for a load longer than the policy allows is rejected during the stall.
        let rejected = stalled == RequestKind::LoadRequest && outcome(&answer) == "bounced";
        assert!(rejected || outcome(&answer) == "handled", "{answer}");
        pause((STALL_SECONDS + 0.2 - began.elapsed().as_secs_f64()).max(0.2)).await;
        let sent: Vec<_> = std::iter::from_fn(|| heads.try_recv().ok()).collect();
        assert!(sent.is_empty(), "sent after the grace period: {sent:?}");
        // Loads are paused for some time after one that was not sent.
        let mut rejected = 0;
        while outcome(&send_request(gateway_address, "", "").await) != "handled" {
            rejected += 1;
            assert!(rejected < 10, "the other worker serves nothing");
            pause(0.2).await;
        }
    });
}

/// A request that comes before the registry has sent its first list waits for the list, for as much of its client's time
/// as it may wait at all.
#[test_case(0.5; "half a second")]
#[test_case(1.1; "longer than the latency objective")]
fn a_request_waits_for_the_first_endpoint_list(list_after: f64) {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let (registry, revisions) = registry().await;
        let (gateway_address, ..) = start_with_faults(config_with_registry(1, registry, IDEMPOTENT)).await;
        let pending = spawn_local(async move { send_request(gateway_address, "", "").await });
        pause(list_after).await;
        revisions.send(endpoint_list(1, &[(worker, "ready")])).unwrap();
        let answer = pending.await.unwrap();
        assert_eq!(outcome(&answer), "handled", "{answer}");
    });
}

/// The endpoint list changes two thousand times in quick succession while a core is stalled. The last revision must
/// apply to all cores.
#[test]
fn the_last_of_many_endpoint_revisions_holds_for_all_cores() {
    run(async {
        let (flapping, mut heads) = support::start_worker(OK).await;
        let (remaining, _others) = support::start_worker(OK).await;
        let (registry, revisions) = registry().await;
        let revision = |n: u64| {
            endpoint_list(
                n,
                &[(flapping, if n % 2 == 1 { "ready" } else { "draining" }), (remaining, "ready")],
            )
        };
        revisions.send(revision(1)).unwrap();
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_with_registry(4, registry, IDEMPOTENT)).await;
        pause(0.2).await;
        let clients: Vec<_> = (0..8).map(|_| spawn_local(send_requests(gateway_address, 20_000))).collect();
        faults.send((2, FaultInjection::Stall(1.5))).unwrap();
        (2..=2000).for_each(|n| revisions.send(revision(n)).unwrap());
        pause(1.0).await;
        received_count(&mut heads);
        pause(1.5).await;
        assert_eq!(received_count(&mut heads), 0, "sent although the last revision is draining");
        clients.iter().for_each(|c| c.abort());
    });
}

/// The limit allows one load request in total. Requests for forty functions must cause exactly one, however many cores
/// serve them.
#[test_case(1)]
#[test_case(8)]
fn the_load_rate_limit_holds_over_all_cores(cores: usize) {
    run(async {
        let (workers, mut heads) = support::start_workers(4, vec![OK]).await;
        let extra_config =
            format!("cores = {cores}\nlimits {{\nration {{\nwindow = 60\nfree = 1\nshare = 0\n}}\n}}\n");
        let mut config = config_for(&workers, &extra_config);
        config.policy.can_request_loads = true;
        let (gateway_address, ..) = start_with_faults(config).await;
        let send = |n: usize| {
            let text = format!(
                "POST /v1/functions/f{n}/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\nmilletpath-patience: \
                 1\r\ncontent-length: 0\r\n\r\n"
            );
            spawn_local(async move { support::send_bytes(gateway_address, text.as_bytes()).await })
        };
        let pending: Vec<_> = (0..40).map(send).collect();
        for answer in pending {
            assert_ne!(outcome(&answer.await.unwrap()), "none");
        }
        let loads = std::iter::from_fn(|| heads.try_recv().ok()).filter(|h| h.contains("/load ")).count();
        assert_eq!(loads, 1);
    });
}

/// All cores learn of a new worker at the same time. Together they must send it as much as one core would, regardless
/// of the worker's wall clock. A worker whose clock was an hour behind was once considered warm and received 112
/// requests in the first second.
#[test_case(1, 0.0; "one core")]
#[test_case(8, 0.0; "eight cores")]
#[test_case(8, -3600.0; "worker clock an hour behind")]
#[test_case(8, 3600.0; "worker clock an hour ahead")]
fn all_cores_together_slow_start_a_new_worker(cores: usize, step: f64) {
    run(async {
        let (warm, _others) = support::start_worker(Behavior::RespondsAfter(
            20,
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ))
        .await;
        let (cold, mut heads) = support::start_worker(Behavior::RespondsAfter(
            20,
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ))
        .await;
        let (registry, revisions) = registry().await;
        revisions.send(endpoint_list(1, &[(warm, "ready")])).unwrap();
        let (gateway_address, ..) =
            start_with_faults(config_with_registry(cores, registry, IDEMPOTENT)).await;
        pause(0.2).await;
        let clients: Vec<_> = (0..16).map(|_| spawn_local(send_requests(gateway_address, 20_000))).collect();
        pause(2.0).await;
        let now = unix_time() + step;
        let list = endpoint_list(2, &[(warm, "ready"), (cold, "ready")]);
        // The worker has just started.
        let started = format!("{{\"name\": \"w1\", \"started\": {now:.3},");
        revisions.send(list.replace("{\"name\": \"w1\",", &started)).unwrap();
        pause(1.0).await;
        let first = received_count(&mut heads);
        // 16 clients at 20 ms send at most 800 requests per second. Two and a half times its share of them would
        // overload a worker in slow start.
        assert!((1..=400).contains(&first), "{first} in the first second");
        // During slow start the worker receives 52 to 56 requests.
        assert!(first <= 85, "{first} in the first second");
        clients.iter().for_each(|c| c.abort());
    });
}

/// While the other cores are stalled, one core can use the whole limit on open requests, but not exceed it.
#[test]
fn the_limit_on_open_requests_can_be_used_by_one_core() {
    run(async {
        let (worker, _heads) = support::start_worker(Behavior::RespondsAfter(
            400,
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ))
        .await;
        let config = config_for(&[worker], "cores = 4\nfunctions {\nlanes = 16\n}\nlimits {\nopen = 6\n}\n");
        let (gateway_address, _stop, _served, faults) = start_with_faults(config).await;
        (1..4).for_each(|core| faults.send((core, FaultInjection::Stall(2.0))).unwrap());
        // Waits until the supervisor has detected the stalls.
        pause(0.8).await;
        let pending: Vec<_> =
            (0..9).map(|_| spawn_local(async move { send_request(gateway_address, "", "").await })).collect();
        let mut rejected = 0;
        for answer in pending {
            rejected += usize::from(answer.await.unwrap().contains("problem:full"));
        }
        assert_eq!(rejected, 3);
    });
}

/// The limit allows one connection to the worker, which one core keeps idle. It must be closed whenever the other core
/// needs it.
#[test]
fn an_idle_connection_is_closed_for_another_core() {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let config = config_for(&[worker], "cores = 2\nlimits {\nper_worker = 1\n}\n");
        let (gateway_address, ..) = start_with_faults(config).await;
        for _ in 0..6 {
            // Connections are assigned round-robin, so consecutive requests go to different cores.
            assert_eq!(send_requests(gateway_address, 1).await.0, ["handled"]);
        }
    });
}

/// A profile with a deadline of a minute, so that its requests do not time out on a busy machine.
const LONG_DEADLINE: &str = "profile \"pure\" {\ndue = 60\ncut_off = 60\neffect = \"pure\"\n}\n";

/// More pinned cores than processors must serve all requests.
#[test]
fn more_pinned_cores_than_processors_serve() {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let (gateway_address, stop, served, _faults) =
            start_with_faults(config_for(&[worker], &format!("cores = 63\npin = true\n{LONG_DEADLINE}")))
                .await;
        let clients: Vec<_> = (0..70).map(|_| spawn_local(send_requests(gateway_address, 2))).collect();
        for client in clients {
            assert_eq!(client.await.unwrap().0, ["handled", "handled"]);
        }
        stop.send(()).unwrap();
        assert_eq!(served.await.unwrap().succeeded, 140);
    });
}

/// A core stalls with an open request. The client must get exactly one response during the stall, after which the
/// connection ends.
#[test_case(IDEMPOTENT, "bounced"; "idempotent")]
#[test_case(NON_IDEMPOTENT, "terminated"; "not idempotent, in flight at a worker")]
fn the_request_of_a_stalled_core_is_answered_once(profile: &str, expected: &str) {
    run(async {
        let (worker, mut heads) = support::start_worker(Behavior::RespondsAfter(
            300,
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ))
        .await;
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], &format!("cores = 1\n{profile}"))).await;
        let pending =
            spawn_local(
                async move { send_request(gateway_address, "milletpath-patience: 0.8\r\n", "").await },
            );
        assert!(heads.recv().await.is_some());
        faults.send((0, FaultInjection::Stall(2.5))).unwrap();
        let answer = tokio::time::timeout(Duration::from_secs(2), pending)
            .await
            .expect("a response while the core is stalled");
        let answer = answer.unwrap();
        assert_eq!(outcome(&answer), expected, "{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        // The core serves requests again after the stall.
        pause(2.0).await;
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
    });
}

/// A core is lost with an open request. Its client must get a response, other clients must not be affected, and the
/// core must be replaced.
#[test_case(FaultInjection::Panic, 1; "thread panic")]
#[test_case(FaultInjection::Stall(7.5), 1; "long stall")]
fn a_lost_core_is_replaced_and_its_request_answered(fault: FaultInjection, lost: usize) {
    run(async {
        let late = Behavior::RespondsAfter(200, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let (worker, mut heads) = support::start_worker(late).await;
        let extra_config = format!("cores = 2\n{NON_IDEMPOTENT}functions {{\nlanes = 8\n}}\n");
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], &extra_config)).await;
        // Connections are assigned round-robin, one to each core.
        let pending = [0, 1].map(|_| {
            spawn_local(async move { send_request(gateway_address, "milletpath-patience: 1\r\n", "").await })
        });
        for _ in 0..2 {
            assert!(heads.recv().await.is_some());
        }
        faults.send((1, fault)).unwrap();
        let mut outcomes = Vec::new();
        for answer in pending {
            outcomes.push(outcome(&answer.await.unwrap()).to_owned());
        }
        let count = |expected: &str| outcomes.iter().filter(|o| *o == expected).count();
        assert_eq!((count("terminated"), count("handled")), (lost, 2 - lost), "{outcomes:?}");
        pause(if matches!(fault, FaultInjection::Stall(_)) { 5.5 } else { 0.5 }).await;
        for _ in 0..4 {
            assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
        }
    });
}

/// A request that is unread on an open connection when its core dies must be rejected, not dropped.
#[test]
fn an_unread_request_of_a_dead_core_is_rejected() {
    run(async {
        let (worker, mut heads) = support::start_worker(OK).await;
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], "cores = 1\n")).await;
        let text = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
        let mut stream = TcpStream::connect(gateway_address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut first = [0; 4096];
        assert!(stream.read(&mut first).await.unwrap() > 0);
        assert_eq!(received_count(&mut heads), 1);
        faults.send((0, FaultInjection::Stall(0.4))).unwrap();
        faults.send((0, FaultInjection::Panic)).unwrap();
        pause(0.1).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut rest = String::new();
        stream.read_to_string(&mut rest).await.unwrap();
        assert_eq!((outcome(&rest), received_count(&mut heads)), ("bounced", 0), "{rest}");
    });
}

/// A core stays stalled while its client would wait even longer. The client must get a response when the core is
/// replaced.
#[test]
fn a_waiting_client_is_answered_when_its_core_is_replaced() {
    run(async {
        let (worker, mut heads) = support::start_worker(Behavior::NeverResponds).await;
        let long = NON_IDEMPOTENT.replace("cut_off = 3", "cut_off = 25");
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], &format!("cores = 1\n{long}"))).await;
        let pending = spawn_local(async move { send_request(gateway_address, "", "").await });
        assert!(heads.recv().await.is_some());
        faults.send((0, FaultInjection::Stall(12.0))).unwrap();
        let answer = tokio::time::timeout(Duration::from_secs(10), pending)
            .await
            .expect("a response while the core is stalled");
        assert_eq!(outcome(&answer.unwrap()), "terminated");
    });
}

/// After a panic of the dispatcher, open requests must be answered immediately, depending on whether they may have run,
/// and the next request must be handled.
#[test_case(IDEMPOTENT, 8, "terminated"; "all at a worker")]
#[test_case(IDEMPOTENT, 1, "bounced"; "some queued")]
fn a_panic_of_the_dispatcher_answers_all_open_requests(profile: &str, lanes: usize, expected: &str) {
    run(async {
        let late = Behavior::RespondsAfter(400, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let (worker, mut heads) = support::start_worker(late).await;
        let extra_config = format!("cores = 2\n{profile}functions {{\nlanes = {lanes}\n}}\n");
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], &extra_config)).await;
        let pending = [0; 4].map(|_| {
            spawn_local(async move { send_request(gateway_address, "milletpath-patience: 2\r\n", "").await })
        });
        assert!(heads.recv().await.is_some());
        pause(0.1).await;
        faults.send((0, FaultInjection::DispatcherPanic)).unwrap();
        let mut outcomes = Vec::new();
        for answer in pending {
            outcomes.push(outcome(&answer.await.unwrap()).to_owned());
        }
        assert!(outcomes.iter().all(|o| o == "terminated" || o == "bounced"), "{outcomes:?}");
        assert!(outcomes.iter().any(|o| o == expected), "{outcomes:?}");
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
    });
}

/// The supervisor panics, first in its own code and then in the dispatcher. Requests must still be served, and time
/// limits enforced.
#[test]
fn a_panic_of_the_supervisor_loses_no_request() {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let (silent, _silent_heads) = support::start_worker(Behavior::NeverResponds).await;
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], "cores = 2\n")).await;
        faults.send((2, FaultInjection::Panic)).unwrap();
        pause(0.5).await;
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
        faults.send((2, FaultInjection::DispatcherPanic)).unwrap();
        pause(0.5).await;
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[silent], &format!("cores = 2\n{NON_IDEMPOTENT}"))).await;
        faults.send((2, FaultInjection::Panic)).unwrap();
        assert_eq!(
            outcome(&send_request(gateway_address, "milletpath-patience: 0.5\r\n", "").await),
            "terminated"
        );
    });
}

/// The gateway stops during a burst on all cores. Every accepted request must get one response, and the counters must
/// be consistent.
#[test]
fn a_stop_during_a_burst_answers_every_accepted_request() {
    run(async {
        let (workers, _heads) = support::start_workers(4, vec![OK]).await;
        let (gateway_address, stop, served, _faults) =
            start_with_faults(config_for(&workers, "cores = 4\n")).await;
        let clients: Vec<_> = (0..32).map(|_| spawn_local(send_requests(gateway_address, 100_000))).collect();
        pause(0.5).await;
        stop.send(()).unwrap();
        let counters = served.await.unwrap();
        let (mut handled, mut closed) = (0, 0);
        for client in clients {
            let (outcomes, was_closed) = client.await.unwrap();
            handled += outcomes.iter().filter(|o| *o == "handled").count() as u64;
            closed += usize::from(was_closed);
            assert!(outcomes.iter().all(|o| o != "none"));
        }
        assert_eq!((closed, handled), (32, counters.succeeded));
        assert_eq!(
            counters.accepted,
            counters.succeeded + counters.rejected + counters.failed + counters.client_gone
        );
    });
}

/// All connections arrive while one of two cores is stalled. After the stall, some clients of the overloaded core must
/// be asked to reconnect, a few at a time, without losing a request.
#[test]
fn an_overloaded_core_moves_connections_to_others() {
    run(async {
        let (workers, _heads) = support::start_workers(4, vec![OK]).await;
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&workers, "cores = 2\nfunctions {\nlanes = 8\n}\n")).await;
        faults.send((1, FaultInjection::Stall(1.2))).unwrap();
        pause(0.8).await;
        let (count, mut closed) = (20, 0);
        let clients: Vec<_> =
            (0..count).map(|_| spawn_local(send_requests(gateway_address, 100_000))).collect();
        pause(5.0).await;
        for client in &clients {
            closed += usize::from(client.is_finished());
        }
        assert!((1..count / 2 + 1).contains(&closed), "{closed} of {count} were closed");
        for client in clients.into_iter().filter(|c| c.is_finished()) {
            let (outcomes, _) = client.await.unwrap();
            assert!(outcomes.iter().all(|o| o == "handled"));
        }
    });
}

/// While the only core is stalled, the supervisor must reject a request on a new connection, and a connection without a
/// request must wait for the core.
#[test]
fn new_connections_of_a_stalled_core_are_rejected_or_wait() {
    run(async {
        let (worker, _heads) = support::start_worker(OK).await;
        let (gateway_address, _stop, _served, faults) =
            start_with_faults(config_for(&[worker], "cores = 1\n")).await;
        assert_eq!(outcome(&send_request(gateway_address, "", "").await), "handled");
        faults.send((0, FaultInjection::Stall(2.0))).unwrap();
        pause(0.1).await;
        let silent = TcpStream::connect(gateway_address).await.unwrap();
        let answer = send_request(gateway_address, "", "").await;
        assert_eq!((support::status(&answer), outcome(&answer)), (503, "bounced"));
        pause(1.5).await;
        let answer = support::send_bytes_on(silent, &support::request_bytes("", "")).await;
        assert_eq!(outcome(&answer), "handled");
    });
}
