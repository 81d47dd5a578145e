//! Stories of several cores: each causes one of the cases in which they could disagree, and looks at what clients are
//! told and what workers saw.

mod town;

use milletpath_gateway::FaultInjection;
use milletpath_process_environment::wall_clock::unix_time;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use town::{Does, EFFECTFUL, Heads, OK, PURE, call, charter, outcome, stirred, story};

async fn pause(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

fn drained(heads: &mut Heads) -> usize {
    std::iter::from_fn(|| heads.try_recv().ok()).count()
}

/// A registry that says what it is told to, line by line.
async fn registry() -> (SocketAddr, UnboundedSender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (say, mut said) = unbounded_channel::<String>();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").await.unwrap();
        while let Some(line) = said.recv().await {
            stream.write_all(line.as_bytes()).await.unwrap();
        }
    });
    (address, say)
}

fn edition(number: u64, workers: &[(SocketAddr, &str)]) -> String {
    let line = |(n, (at, state)): (usize, &(SocketAddr, &str))| {
        format!("{{\"name\": \"w{n}\", \"address\": \"{at}\", \"state\": \"{state}\"}}")
    };
    let lines: Vec<_> = workers.iter().enumerate().map(line).collect();
    format!("{{\"edition\": {number}, \"whole\": true, \"workers\": [{}]}}\n", lines.join(", "))
}

fn followed(cores: usize, registry: SocketAddr) -> milletpath_config::GatewayConfig {
    let text = format!(
        "cores = {cores}\nseed = 3\nlisten = \"127.0.0.1:0\"\n{PURE}workers {{\norders = false\nregistry = \
         \"{registry}\"\ndrain_grace = 0.5\n}}\n"
    );
    milletpath_config::read(&text).unwrap()
}

/// Calls on a kept connection as fast as they are answered, until the gateway closes it or they are enough; the
/// outcomes, and whether it was closed.
async fn calls(at: SocketAddr, most: usize) -> (Vec<String>, bool) {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let text = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
    let mut outcomes = Vec::new();
    for _ in 0..most {
        if stream.write_all(text.as_bytes()).await.is_err() {
            return (outcomes, true);
        }
        let mut answer = Vec::new();
        loop {
            let whole = String::from_utf8_lossy(&answer).into_owned();
            if let Some((head, body)) = whole.split_once("\r\n\r\n") {
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

/// A worker drains while one core stands still with calls in its sockets: nothing reaches it after the grace, from
/// that core or any other.
#[test]
fn a_drain_is_kept_by_a_core_that_stood_still() {
    story(async {
        let (drains, mut heads) = town::worker(OK).await;
        let (stays, _others) = town::worker(OK).await;
        let (registry, say) = registry().await;
        say.send(edition(1, &[(drains, "ready"), (stays, "ready")])).unwrap();
        let (at, _stop, _served, stir) = stirred(followed(4, registry)).await;
        pause(0.2).await;
        let clients: Vec<_> = (0..8).map(|_| spawn_local(calls(at, 20_000))).collect();
        pause(0.3).await;
        assert!(drained(&mut heads) > 0, "the story needs calls at the worker that drains");
        stir.send((1, FaultInjection::Stall(3.0))).unwrap();
        pause(0.1).await;
        say.send(edition(2, &[(drains, "draining"), (stays, "ready")])).unwrap();
        pause(0.7).await;
        drained(&mut heads);
        pause(3.2).await;
        assert_eq!(drained(&mut heads), 0, "sent after the grace");
        clients.iter().for_each(|c| c.abort());
    });
}

/// The list flaps two thousand times in a moment while a core stands still; what it said last holds for all.
#[test]
fn a_list_that_flaps_faster_than_cores_take_it_in() {
    story(async {
        let (flaps, mut heads) = town::worker(OK).await;
        let (stays, _others) = town::worker(OK).await;
        let (registry, say) = registry().await;
        let both =
            |n: u64| edition(n, &[(flaps, if n % 2 == 1 { "ready" } else { "draining" }), (stays, "ready")]);
        say.send(both(1)).unwrap();
        let (at, _stop, _served, stir) = stirred(followed(4, registry)).await;
        pause(0.2).await;
        let clients: Vec<_> = (0..8).map(|_| spawn_local(calls(at, 20_000))).collect();
        stir.send((2, FaultInjection::Stall(1.5))).unwrap();
        (2..=2000).for_each(|n| say.send(both(n)).unwrap());
        pause(1.0).await;
        drained(&mut heads);
        pause(1.5).await;
        assert_eq!(drained(&mut heads), 0, "the last edition says that it drains");
        clients.iter().for_each(|c| c.abort());
    });
}

/// One order to load may be given in all: eight cores with calls for forty functions give one, and no more.
#[test_case(1)]
#[test_case(8)]
fn a_ration_of_one_order_is_shared(cores: usize) {
    story(async {
        let (workers, mut heads) = town::team(4, vec![OK]).await;
        let more =
            format!("cores = {cores}\nlimits {{\nration {{\nwindow = 60\nfree = 1\nshare = 0\n}}\n}}\n");
        let mut house = charter(&workers, &more);
        house.policy.orders = true;
        let (at, ..) = stirred(house).await;
        let ask = |n: usize| {
            let text = format!(
                "POST /v1/functions/f{n}/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\nmilletpath-patience: \
                 1\r\ncontent-length: 0\r\n\r\n"
            );
            spawn_local(async move { town::say(at, text.as_bytes()).await })
        };
        let asked: Vec<_> = (0..40).map(ask).collect();
        for answer in asked {
            assert_ne!(outcome(&answer.await.unwrap()), "none");
        }
        let loads = std::iter::from_fn(|| heads.try_recv().ok()).filter(|h| h.contains("/load ")).count();
        assert_eq!(loads, 1);
    });
}

/// A cold worker is found by all cores at once: together they send it what one core would, whatever its wall clock says.
/// One whose clock was an hour behind counted as warm, and was sent 112 calls in the first second.
#[test_case(1, 0.0; "one core")]
#[test_case(8, 0.0; "eight cores")]
#[test_case(8, -3600.0; "its clock an hour behind")]
#[test_case(8, 3600.0; "its clock an hour ahead")]
fn a_cold_worker_is_not_pushed_over_by_all_cores(cores: usize, step: f64) {
    story(async {
        let (warm, _others) =
            town::worker(Does::Late(20, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")).await;
        let (cold, mut heads) =
            town::worker(Does::Late(20, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")).await;
        let (registry, say) = registry().await;
        say.send(edition(1, &[(warm, "ready")])).unwrap();
        let (at, ..) = stirred(followed(cores, registry)).await;
        pause(0.2).await;
        let clients: Vec<_> = (0..16).map(|_| spawn_local(calls(at, 20_000))).collect();
        pause(2.0).await;
        let now = unix_time() + step;
        let list = edition(2, &[(warm, "ready"), (cold, "ready")]);
        // It started this moment.
        let started = format!("{{\"name\": \"w1\", \"started\": {now:.3},");
        say.send(list.replace("{\"name\": \"w1\",", &started)).unwrap();
        pause(1.0).await;
        let first = drained(&mut heads);
        // 16 clients at 20 ms call 800 times a second at most: the cold share of that for a second, two and a half
        // times over, is where it would fall over.
        assert!((1..=400).contains(&first), "{first} in the first second");
        // As long as it counts as cold: 52 to 56.
        assert!(first <= 85, "{first} in the first second");
        clients.iter().for_each(|c| c.abort());
    });
}

/// The bound on open calls is used in full from one core, the others standing still, and never beyond.
#[test]
fn a_bound_is_used_from_one_core_only() {
    story(async {
        let (worker, _heads) =
            town::worker(Does::Late(400, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")).await;
        let house = charter(&[worker], "cores = 4\nfunctions {\nlanes = 16\n}\nlimits {\nopen = 6\n}\n");
        let (at, _stop, _served, stir) = stirred(house).await;
        (1..4).for_each(|core| stir.send((core, FaultInjection::Stall(2.0))).unwrap());
        // Until the keeper has seen that they stand still.
        pause(0.8).await;
        let asked: Vec<_> = (0..9).map(|_| spawn_local(async move { call(at, "", "").await })).collect();
        let mut full = 0;
        for answer in asked {
            full += usize::from(answer.await.unwrap().contains("problem:full"));
        }
        assert_eq!(full, 3);
    });
}

/// A worker may have one connection, and it lies idle with one core: the other core gets its place, call after call.
#[test]
fn an_idle_connection_is_spared_for_another_core() {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let house = charter(&[worker], "cores = 2\nlimits {\nper_worker = 1\n}\n");
        let (at, ..) = stirred(house).await;
        for _ in 0..6 {
            // Dealt in turn: each to the other core.
            assert_eq!(calls(at, 1).await.0, ["handled"]);
        }
    });
}

/// Pinned cores, and more of them than the machine has processors.
#[test]
fn pinned_cores_serve() {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let (at, stop, served, _stir) = stirred(charter(&[worker], "cores = 63\npin = true\n")).await;
        let clients: Vec<_> = (0..70).map(|_| spawn_local(calls(at, 2))).collect();
        for client in clients {
            assert_eq!(client.await.unwrap().0, ["handled", "handled"]);
        }
        stop.send(()).unwrap();
        assert_eq!(served.await.unwrap().succeeded, 140);
    });
}

/// A core stands still with calls in hand: their clients are answered meanwhile, once, and the connection ends.
#[test_case(PURE, "bounced"; "pure")]
#[test_case(EFFECTFUL, "terminated"; "effectful, and at a worker")]
fn a_core_stands_still_with_a_call_in_hand(profile: &str, is: &str) {
    story(async {
        let (worker, mut heads) =
            town::worker(Does::Late(300, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")).await;
        let (at, _stop, _served, stir) = stirred(charter(&[worker], &format!("cores = 1\n{profile}"))).await;
        let asked = spawn_local(async move { call(at, "milletpath-patience: 0.8\r\n", "").await });
        assert!(heads.recv().await.is_some());
        stir.send((0, FaultInjection::Stall(2.5))).unwrap();
        let answer =
            tokio::time::timeout(Duration::from_secs(2), asked).await.expect("while it stands still");
        let answer = answer.unwrap();
        assert_eq!(outcome(&answer), is, "{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
        // Once it moves again it serves as before.
        pause(2.0).await;
        assert_eq!(outcome(&call(at, "", "").await), "handled");
    });
}

/// A core dies with a call in hand: that client is told, others notice nothing, and the seat is filled again.
#[test_case(FaultInjection::Panic, 1; "its thread")]
#[test_case(FaultInjection::Stall(7.5), 1; "it does not come back for long")]
fn a_core_is_lost_and_replaced(stir_with: FaultInjection, lost: usize) {
    story(async {
        let late = Does::Late(200, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let (worker, mut heads) = town::worker(late).await;
        let more = format!("cores = 2\n{EFFECTFUL}functions {{\nlanes = 8\n}}\n");
        let (at, _stop, _served, stir) = stirred(charter(&[worker], &more)).await;
        // Dealt in turn: one for each core.
        let asked =
            [0, 1].map(|_| spawn_local(async move { call(at, "milletpath-patience: 1\r\n", "").await }));
        for _ in 0..2 {
            assert!(heads.recv().await.is_some());
        }
        stir.send((1, stir_with)).unwrap();
        let mut outcomes = Vec::new();
        for answer in asked {
            outcomes.push(outcome(&answer.await.unwrap()).to_owned());
        }
        let count = |is: &str| outcomes.iter().filter(|o| *o == is).count();
        assert_eq!((count("terminated"), count("handled")), (lost, 2 - lost), "{outcomes:?}");
        pause(if matches!(stir_with, FaultInjection::Stall(_)) { 5.5 } else { 0.5 }).await;
        for _ in 0..4 {
            assert_eq!(outcome(&call(at, "", "").await), "handled");
        }
    });
}

/// A call lies unread on a kept connection when its core dies: it is bounced, not dropped without a word.
#[test]
fn a_call_that_lies_unread_when_its_core_dies() {
    story(async {
        let (worker, mut heads) = town::worker(OK).await;
        let (at, _stop, _served, stir) = stirred(charter(&[worker], "cores = 1\n")).await;
        let text = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n";
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut first = [0; 4096];
        assert!(stream.read(&mut first).await.unwrap() > 0);
        assert_eq!(drained(&mut heads), 1);
        stir.send((0, FaultInjection::Stall(0.4))).unwrap();
        stir.send((0, FaultInjection::Panic)).unwrap();
        pause(0.1).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut rest = String::new();
        stream.read_to_string(&mut rest).await.unwrap();
        assert_eq!((outcome(&rest), drained(&mut heads)), ("bounced", 0), "{rest}");
    });
}

/// A core does not come back, and its client waits for longer than that: told when another takes the seat.
#[test]
fn a_client_that_waits_for_longer_than_a_lost_core() {
    story(async {
        let (worker, mut heads) = town::worker(Does::Nothing).await;
        let long = EFFECTFUL.replace("cut_off = 3", "cut_off = 25");
        let (at, _stop, _served, stir) = stirred(charter(&[worker], &format!("cores = 1\n{long}"))).await;
        let asked = spawn_local(async move { call(at, "", "").await });
        assert!(heads.recv().await.is_some());
        stir.send((0, FaultInjection::Stall(12.0))).unwrap();
        let answer =
            tokio::time::timeout(Duration::from_secs(10), asked).await.expect("while it stands still");
        assert_eq!(outcome(&answer.unwrap()), "terminated");
    });
}

/// A panic amid a decision: what was open is answered at once, by whether it may have run, and the next is handled.
#[test_case(PURE, 8, "terminated"; "all at a worker")]
#[test_case(PURE, 1, "bounced"; "some waited")]
fn the_decisions_break(profile: &str, lanes: usize, is: &str) {
    story(async {
        let late = Does::Late(400, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let (worker, mut heads) = town::worker(late).await;
        let more = format!("cores = 2\n{profile}functions {{\nlanes = {lanes}\n}}\n");
        let (at, _stop, _served, stir) = stirred(charter(&[worker], &more)).await;
        let asked =
            [0; 4].map(|_| spawn_local(async move { call(at, "milletpath-patience: 2\r\n", "").await }));
        assert!(heads.recv().await.is_some());
        pause(0.1).await;
        stir.send((0, FaultInjection::DispatcherPanic)).unwrap();
        let mut outcomes = Vec::new();
        for answer in asked {
            outcomes.push(outcome(&answer.await.unwrap()).to_owned());
        }
        assert!(outcomes.iter().all(|o| o == "terminated" || o == "bounced"), "{outcomes:?}");
        assert!(outcomes.iter().any(|o| o == is), "{outcomes:?}");
        assert_eq!(outcome(&call(at, "", "").await), "handled");
    });
}

/// The keeper's round breaks, once in itself and once in the decisions' hands: calls go on, and time limits are kept.
#[test]
fn the_keepers_round_breaks() {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let (silent, _silent_heads) = town::worker(Does::Nothing).await;
        let (at, _stop, _served, stir) = stirred(charter(&[worker], "cores = 2\n")).await;
        stir.send((2, FaultInjection::Panic)).unwrap();
        pause(0.5).await;
        assert_eq!(outcome(&call(at, "", "").await), "handled");
        stir.send((2, FaultInjection::DispatcherPanic)).unwrap();
        pause(0.5).await;
        assert_eq!(outcome(&call(at, "", "").await), "handled");
        let (at, _stop, _served, stir) =
            stirred(charter(&[silent], &format!("cores = 2\n{EFFECTFUL}"))).await;
        stir.send((2, FaultInjection::Panic)).unwrap();
        assert_eq!(outcome(&call(at, "milletpath-patience: 0.5\r\n", "").await), "terminated");
    });
}

/// Stopped amid a burst on all cores: every client that was taken has one answer, and the counts agree.
#[test]
fn a_stop_amid_a_burst() {
    story(async {
        let (workers, _heads) = town::team(4, vec![OK]).await;
        let (at, stop, served, _stir) = stirred(charter(&workers, "cores = 4\n")).await;
        let clients: Vec<_> = (0..32).map(|_| spawn_local(calls(at, 100_000))).collect();
        pause(0.5).await;
        stop.send(()).unwrap();
        let tally = served.await.unwrap();
        let (mut handled, mut closed) = (0, 0);
        for client in clients {
            let (outcomes, was) = client.await.unwrap();
            handled += outcomes.iter().filter(|o| *o == "handled").count() as u64;
            closed += usize::from(was);
            assert!(outcomes.iter().all(|o| o != "none"));
        }
        assert_eq!((closed, handled), (32, tally.succeeded));
        assert_eq!(tally.accepted, tally.succeeded + tally.rejected + tally.failed + tally.client_gone);
    });
}

/// All connections came while one of two cores stood still. Once it is back, clients of the crowded one are asked to
/// connect anew, a few at a time, and none loses a call by it.
#[test]
fn a_crowded_core_sends_some_away() {
    story(async {
        let (workers, _heads) = town::team(4, vec![OK]).await;
        let (at, _stop, _served, stir) =
            stirred(charter(&workers, "cores = 2\nfunctions {\nlanes = 8\n}\n")).await;
        stir.send((1, FaultInjection::Stall(1.2))).unwrap();
        pause(0.8).await;
        let (count, mut closed) = (20, 0);
        let clients: Vec<_> = (0..count).map(|_| spawn_local(calls(at, 100_000))).collect();
        pause(5.0).await;
        for client in &clients {
            closed += usize::from(client.is_finished());
        }
        assert!((1..count / 2 + 1).contains(&closed), "{closed} of {count} were sent away");
        for client in clients.into_iter().filter(|c| c.is_finished()) {
            let (outcomes, _) = client.await.unwrap();
            assert!(outcomes.iter().all(|o| o == "handled"));
        }
    });
}

/// The only core stands still: a call on a connection that it has not taken up yet is answered by the keeper, and a
/// connection without one waits for the core.
#[test]
fn new_connections_of_a_core_that_stands_still() {
    story(async {
        let (worker, _heads) = town::worker(OK).await;
        let (at, _stop, _served, stir) = stirred(charter(&[worker], "cores = 1\n")).await;
        assert_eq!(outcome(&call(at, "", "").await), "handled");
        stir.send((0, FaultInjection::Stall(2.0))).unwrap();
        pause(0.1).await;
        let silent = TcpStream::connect(at).await.unwrap();
        let answer = call(at, "", "").await;
        assert_eq!((town::status(&answer), outcome(&answer)), (503, "bounced"));
        pause(1.5).await;
        let answer = town::say_on(silent, &town::bytes_of_call("", "")).await;
        assert_eq!(outcome(&answer), "handled");
    });
}
