use super::Acceptor;
use crate::platform_router::tests::{router_with_effect, router_with_workers, run_local};
use crate::platform_router::{OpenCall, PlatformRouter, SharedRouter};
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};

/// Connects a client and returns it with its slot.
async fn connect_client(router: &SharedRouter) -> (std::net::TcpStream, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_nodelay(true).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut state = router.borrow_mut();
    assert!(state.admit(stream));
    let serial = state.serial;
    let slot = state.clients.iter().find(|(_, c)| c.serial == serial).unwrap().0;
    (client, slot)
}

/// Sends bytes and waits until the router has read them.
async fn send_and_wait_until_read(
    router: &SharedRouter,
    (client, slot): &mut (std::net::TcpStream, usize),
    text: &[u8],
) {
    client.write_all(text).unwrap();
    let has_unread =
        |state: &PlatformRouter| state.clients.get(*slot).is_some_and(|c| c.last_received < state.now());
    while has_unread(&router.borrow()) {
        tokio::task::yield_now().await;
    }
}

/// Sends a text one byte at a time, evenly over a number of seconds. If the connection is closed before the end,
/// returns after how many seconds.
async fn send_byte_by_byte(
    router: &SharedRouter,
    to: &mut (std::net::TcpStream, usize),
    text: &str,
    seconds: f64,
) -> Option<f64> {
    let begun = router.borrow().now();
    let step = Duration::from_secs_f64(seconds / text.len() as f64);
    for byte in text.bytes() {
        tokio::time::advance(step).await;
        let now = router.borrow().now();
        router.borrow_mut().close_stale_clients(now);
        if !router.borrow().clients.contains(to.1) {
            return Some(now - begun);
        }
        send_and_wait_until_read(router, to, &[byte]).await;
    }
    None
}

const PROBE: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"probe\"}\n";
const CALL: &str = concat!(
    r#"{"jsonrpc":"2.0","id":2,"method":"p","params":{"i":"9b1f03aa5c7e2d41","#,
    r#""d":1500,"o":"7f3a9c21e0b4d655"}}"#
);

/// A call that arrives one byte at a time, over as long as its client would wait for a response, is accepted, and its
/// deadline counts from its last byte. The connection used to be closed after 2 s.
#[test_case(true, 2.9; "on an established connection")]
#[test_case(false, 2.4; "as the first line of a connection")]
fn call_received_byte_by_byte_is_accepted(established: bool, seconds: f64) {
    run_local(async move {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut client = connect_client(&router).await;
        if established {
            send_and_wait_until_read(&router, &mut client, PROBE).await;
            tokio::time::advance(Duration::from_secs(60)).await;
        }
        assert_eq!(send_byte_by_byte(&router, &mut client, CALL, seconds).await, None);
        assert!(router.borrow().clients[client.1].open_calls.is_empty());
        tokio::time::advance(Duration::from_millis(10)).await;
        send_and_wait_until_read(&router, &mut client, b"\n").await;
        let mut state = router.borrow_mut();
        let [OpenCall { number: 2, request }] = state.clients[client.1].open_calls[..] else {
            panic!("expected one open call")
        };
        let now = state.now();
        assert_eq!(state.dispatcher.context(request).unwrap().received_at, now);
    });
}

/// A connection with a line that is never completed is closed in time, no matter how the bytes arrive: within 3 s if
/// it has sent no valid line. Empty lines used to keep a connection open forever.
#[test_case(false, &CALL.repeat(3), 2.5; "first line")]
#[test_case(true, &CALL.repeat(3), 3.0; "later line")]
#[test_case(false, &"\n".repeat(99), 2.0; "empty lines")]
#[test_case(false, &" \n".repeat(99), 2.0; "lines of one space")]
fn connection_with_an_incomplete_line_is_closed_in_time(
    established: bool,
    text: &str,
    expected_seconds: f64,
) {
    let text = text.to_owned();
    run_local(async move {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut client = connect_client(&router).await;
        if established {
            send_and_wait_until_read(&router, &mut client, PROBE).await;
        }
        let seconds =
            send_byte_by_byte(&router, &mut client, &text, 9.0).await.expect("the connection is closed");
        assert!(seconds >= expected_seconds && seconds < expected_seconds + 0.2, "{seconds}");
    });
}

/// At the connection limit, a client that has sent part of a call stays, and one that is idle is evicted even though
/// it has been idle for less time than the call takes to arrive.
#[test]
fn client_with_a_partial_call_is_not_evicted() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut clients = [connect_client(&router).await, connect_client(&router).await];
        for client in &mut clients {
            send_and_wait_until_read(&router, client, PROBE).await;
        }
        assert_eq!(send_byte_by_byte(&router, &mut clients[0], &CALL[..20], 1.0).await, None);
        send_and_wait_until_read(
            &router,
            &mut clients[1],
            b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"probe\"}\n",
        )
        .await;
        assert_eq!(send_byte_by_byte(&router, &mut clients[0], &CALL[20..40], 0.9).await, None);
        router.borrow_mut().connection_limits.clients = 2;
        let third = connect_client(&router).await;
        let serials: Vec<_> = router.borrow().clients.iter().map(|(_, c)| c.serial).collect();
        assert!(serials.contains(&1) && !serials.contains(&2) && third.1 == clients[1].1, "{serials:?}");
    });
}

/// A client that keeps sending after an invalid line and reads nothing is closed in time. Its unread bytes used to
/// count as a pending call, although they are no longer read, which kept the connection open forever.
#[test]
fn client_that_keeps_sending_after_an_invalid_line_is_closed() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut invalid_client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        SockRef::from(&stream).set_send_buffer_size(4 << 10).unwrap();
        while stream.try_write(&[b' '; 1 << 10]).is_ok() {}
        let router = router_with_workers(&[]);
        assert!(router.borrow_mut().admit(stream));
        invalid_client.write_all(b"{\n").unwrap();
        let first =
            |state: &PlatformRouter| state.clients.iter().map(|(slot, c)| (slot, c.stream.clone())).next();
        let (slot, stream) = first(&router.borrow()).unwrap();
        stream.readable().await.unwrap();
        router.borrow_mut().on_client_readable(slot);
        {
            let state = router.borrow();
            assert!(state.clients[slot].closing && state.clients[slot].write_buffer.remaining() > 0);
        }
        invalid_client.write_all(b"more of the same\n").unwrap();
        stream.readable().await.unwrap();
        let mut state = router.borrow_mut();
        let now = state.now();
        state.close_stale_clients(now + 2.5);
        assert!(state.clients.is_empty());
    });
}

/// While a router is behind its sockets, it rejects the calls that it reads, in one write, and still answers health
/// checks. Guards against admitting calls that cannot be answered in time, which lost thousands of them.
#[test]
fn calls_are_rejected_unread_while_the_router_is_behind() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut client = connect_client(&router).await;
        let text = format!("{CALL}\n{}\n", CALL.replace("\"id\":2", "\"id\":3"));
        let now = router.borrow().now();
        assert!(router.borrow_mut().turn.begin(now));
        // In steps that do not count as pauses of the process.
        for _ in 0..10 {
            tokio::time::advance(Duration::from_millis(200)).await;
            router.borrow().now();
        }
        let is_behind = || router.borrow().is_behind(router.borrow().now());
        assert!(is_behind());
        let text = [text.as_bytes(), PROBE].concat();
        send_and_wait_until_read(&router, &mut client, &text).await;
        assert!(router.borrow().clients[client.1].open_calls.is_empty());
        let mut received = [0; 512];
        let length = client.0.read(&mut received).unwrap();
        let lines = String::from_utf8_lossy(&received[..length]).into_owned();
        let rejected: Vec<_> = lines.lines().map(|line| line.contains("-32066")).collect();
        assert_eq!(rejected, [true, true, false], "{lines}");
        let now = router.borrow().now();
        router.borrow_mut().turn.end(now);
        assert!(!is_behind());
    });
}

/// A turn in which the process was paused was not a long one, so that the next turn has the limit of a burst.
#[test]
fn turn_with_a_pause_is_not_followed_by_a_shorter_limit() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        router.borrow_mut().begin_turn();
        tokio::time::advance(Duration::from_secs(3)).await;
        tokio::task::yield_now().await;
        let mut state = router.borrow_mut();
        state.begin_turn();
        let now = state.now();
        assert!(!state.is_behind(now + 0.2));
        assert!(state.is_behind(now + 2.0));
    });
}

/// A call that the dispatcher has rejected, and whose response is not written yet, gets one response when the shutdown
/// answers all open calls. Guards against a second one, written once the dispatcher's action is executed.
#[test]
fn call_rejected_as_the_shutdown_answers_all_is_answered_once() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut client = connect_client(&router).await;
        tokio::time::advance(Duration::from_millis(10)).await;
        send_and_wait_until_read(&router, &mut client, format!("{CALL}\n").as_bytes()).await;
        let mut state = router.borrow_mut();
        assert_eq!(state.clients[client.1].open_calls.len(), 1);
        let now = state.now();
        state.dispatcher.advance(now + 2.0);
        state.shutdown.begin(now - 60.0, now - 60.0);
        state.step_shutdown(&mut None);
        drop(state);
        client.0.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut received = Vec::new();
        let _ = client.0.read_to_end(&mut received);
        assert_eq!(String::from_utf8_lossy(&received).lines().count(), 1);
    });
}

/// Calls that arrive after the runtime last looked at the sockets are rejected in the last step of a shutdown, and their
/// connections are shut down in it. They used to be left unread until the process exited.
#[test]
fn calls_that_the_runtime_has_not_noticed_are_answered_by_the_last_step() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut clients = Vec::new();
        for _ in 0..3 {
            let mut client = connect_client(&router).await;
            tokio::time::advance(Duration::from_millis(10)).await;
            send_and_wait_until_read(&router, &mut client, PROBE).await;
            clients.push(client.0);
        }
        let mut state = router.borrow_mut();
        let now = state.now();
        state.shutdown.begin(now - 60.0, now - 60.0);
        // The runtime runs nothing between these calls and the step.
        clients.iter_mut().for_each(|client| client.write_all(format!("{CALL}\n").as_bytes()).unwrap());
        state.step_shutdown(&mut None);
        drop(state);
        for client in &mut clients {
            client.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
            let mut received = String::new();
            client.read_to_string(&mut received).expect("the connection ends");
            let rejected = received.lines().filter(|line| line.contains("-32066")).count();
            assert_eq!(rejected, 1, "{received}");
        }
    });
}

/// The step that shuts connections down also closes the listener: connections queued until then are accepted, and none is
/// queued after it. Clients that connected again were left in the queue until the process exited.
#[test]
fn the_step_that_shuts_connections_down_refuses_new_ones() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut acceptor = Some(Acceptor::open(router.clone(), listener));
        let mut established = std::net::TcpStream::connect(address).unwrap();
        while router.borrow().clients.is_empty() {
            tokio::task::yield_now().await;
        }
        let mut queued = std::net::TcpStream::connect(address).unwrap();
        let mut state = router.borrow_mut();
        let now = state.now();
        state.shutdown.begin(now - 60.0, now - 60.0);
        for client in [&mut established, &mut queued] {
            client.write_all(format!("{CALL}\n").as_bytes()).unwrap();
        }
        state.step_shutdown(&mut acceptor);
        drop(state);
        let refused = std::net::TcpStream::connect(address).unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
        for mut client in [established, queued] {
            client.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
            let mut received = String::new();
            client.read_to_string(&mut received).expect("the connection ends");
            assert_eq!(received.lines().filter(|line| line.contains("-32066")).count(), 1, "{received}");
        }
    });
}

/// The memory is full while a client with an open call sends a long line: a part of the line is read, the rest waits in the
/// socket, the open call is answered, and the line is accepted once there is memory again. Guards against taking the part
/// for an invalid line, which failed the connection's open calls.
#[test]
fn long_line_that_finds_no_memory_waits_beside_an_open_call() {
    /// Characters of the second call's body, in base64. The line fits into the buffers of the sockets.
    const BODY_LENGTH: usize = 16 << 10;
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let mut client = connect_client(&router).await;
        client.0.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        let mut responses = BufReader::new(client.0.try_clone().unwrap());
        tokio::time::advance(Duration::from_millis(10)).await;
        send_and_wait_until_read(&router, &mut client, format!("{CALL}\n").as_bytes()).await;
        let memory_budget = router.borrow().memory_budget.clone();
        let everything = memory_budget.reserve(memory_budget.available().free);
        let body = format!(",\"content\":\"{}\"}}}}\n", "A".repeat(BODY_LENGTH));
        let long_call = CALL
            .replace("\"id\":2", "\"id\":3")
            .replace("2d41", "2d42")
            .replace("1500", "2900")
            .replace("}}", &body);
        tokio::time::advance(Duration::from_millis(10)).await;
        let (first_half, second_half) = long_call.as_bytes().split_at(BODY_LENGTH / 2);
        send_and_wait_until_read(&router, &mut client, first_half).await;
        client.0.write_all(second_half).unwrap();
        let open_numbers = || -> Vec<_> {
            let state = router.borrow();
            state.clients[client.1].open_calls.iter().map(|call| call.number).collect()
        };
        assert_eq!(open_numbers(), [2]);
        // Past the time of the open call, and past the time for which a client may be silent.
        tokio::time::advance(Duration::from_millis(2100)).await;
        let now = router.borrow().now();
        router.borrow_mut().dispatcher.advance(now);
        router.borrow_mut().run_actions();
        router.borrow_mut().close_stale_clients(now);
        let mut line = String::new();
        responses.read_line(&mut line).unwrap();
        assert!(line.contains("\"id\":2,"), "{line}");
        assert!(open_numbers().is_empty());
        drop(everything);
        router.borrow_mut().wake_paused_clients();
        while open_numbers().is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(open_numbers(), [3]);
    });
}

/// Guards against an attempt for a client whose cancel the runtime has not noticed yet, as after a pause of the process.
#[test]
fn no_attempt_begins_while_the_runtime_has_not_noticed_a_cancel() {
    const ARRIVAL: Duration = Duration::from_millis(50);
    run_local(async {
        let worker = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let router = router_with_effect("free", 60_000_000, &[worker.local_addr().unwrap()]);
        let to_worker = TcpStream::connect(worker.local_addr().unwrap()).await.unwrap();
        to_worker.writable().await.unwrap();
        let (mut client, slot) = connect_client(&router).await;
        client.write_all(format!("{CALL}\n").as_bytes()).unwrap();
        std::thread::sleep(ARRIVAL);
        // The runtime looks at no socket from here on.
        let mut state = router.borrow_mut();
        assert!(state.read_client_until_empty(slot));
        state.run_actions();
        assert_eq!(state.clients[slot].open_calls.len(), 1);
        let connection = state.worker_connections.iter().next().expect("a connection is being established").0;
        client.write_all(b"{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{\"id\":2}}\n").unwrap();
        std::thread::sleep(ARRIVAL);
        state.worker_connections[connection].stream = Some(Rc::new(to_worker));
        state.flush_worker(connection);
        state.run_actions();
        assert_eq!(state.worker_connections[connection].bytes_encoded, 0, "an attempt began");
        assert!(state.clients[slot].open_calls.is_empty());
    });
}
