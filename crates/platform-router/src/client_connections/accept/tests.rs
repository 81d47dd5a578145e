use super::*;
use crate::platform_router::tests::{router_with_workers, run_local};
use crate::sockets::{SocketState, peek_socket};
use std::collections::VecDeque;
use std::io::Write;
use test_case::test_case;

/// Returns a connected client and the socket that `accept` returned for it.
fn connect_and_accept() -> (std::net::TcpStream, Socket) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0.into())
}

fn accept_error(errno: Errno) -> io::Result<Socket> {
    Err(io::Error::from_raw_os_error(errno as i32))
}

/// Guards against treating an aborted connection as the end of the queue: at shutdown, the connection queued behind
/// it was never read.
#[test_case(Errno::ECONNABORTED)]
#[test_case(Errno::EINTR)]
#[test_case(Errno::EPROTO)]
#[test_case(Errno::ENETUNREACH)]
#[test_case(Errno::EHOSTUNREACH)]
#[test_case(Errno::ETIMEDOUT)]
fn connections_behind_a_failed_accept_are_accepted(errno: Errno) {
    run_local(async move {
        let router = router_with_workers(&[]);
        let (_client, socket) = connect_and_accept();
        let mut results = VecDeque::from([accept_error(errno), Ok(socket), accept_error(errno)]);
        let next = || results.pop_front().unwrap_or_else(|| accept_error(Errno::EAGAIN));
        let result = router.borrow_mut().accept_queued(next);
        assert_eq!((result, results.len()), (QueueResult { accepted: 1, empty: true }, 0));
    });
}

/// A connection that can't be accepted for lack of resources stays queued, so the queue must not count as empty.
#[test_case(Errno::EMFILE)]
#[test_case(Errno::ENFILE)]
#[test_case(Errno::ENOBUFS)]
#[test_case(Errno::ENOMEM)]
fn queue_is_not_empty_while_accept_lacks_resources(errno: Errno) {
    run_local(async move {
        let router = router_with_workers(&[]);
        let result = router.borrow_mut().accept_queued(|| accept_error(errno));
        assert_eq!(result, QueueResult { accepted: 0, empty: false });
    });
}

/// A persistent error ends the pass after `MAX_ACCEPTS` calls.
#[test]
fn persistent_accept_errors_end_the_pass_after_a_bound() {
    run_local(async {
        let router = router_with_workers(&[]);
        let mut attempts = 0;
        let result = router.borrow_mut().accept_queued(|| {
            attempts += 1;
            accept_error(Errno::ECONNABORTED)
        });
        assert_eq!((result, attempts), (QueueResult { accepted: 0, empty: false }, MAX_ACCEPTS));
    });
}

/// Guards against evicting a newly accepted connection in favor of the next one while its first call is in transit.
/// It can be evicted only after the grace period.
#[test_case(5, [true, true]; "within the grace period")]
#[test_case(100, [false, true]; "after 100 ms")]
fn new_connection_is_not_evicted_before_its_first_call(interval_ms: u64, expected: [bool; 2]) {
    run_local(async move {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        router.borrow_mut().connection_limits.clients = 1;
        let mut clients = Vec::new();
        for _ in 0..2 {
            let (client, socket) = connect_and_accept();
            socket.set_nonblocking(true).unwrap();
            clients.push(client);
            let stream = TcpStream::from_std(socket.into()).unwrap();
            assert!(router.borrow_mut().admit(stream));
            tokio::time::advance(Duration::from_millis(interval_ms)).await;
        }
        let state = router.borrow();
        let is_open = |serial: u64| state.clients.iter().any(|(_, c)| c.serial == serial);
        assert_eq!([is_open(1), is_open(2)], expected);
    });
}

/// An overflow connection whose rejection could not be written immediately is shut down once the rejection is
/// written. It used to keep its slot.
#[test]
fn overflow_connection_is_closed_after_its_rejection() {
    run_local(async {
        let router = router_with_workers(&[]);
        router.borrow_mut().connection_limits.clients = 0;
        let (client, socket) = connect_and_accept();
        socket.set_nonblocking(true).unwrap();
        assert!(router.borrow_mut().admit(TcpStream::from_std(socket.into()).unwrap()));
        {
            let mut state = router.borrow_mut();
            let slot = state.clients.iter().next().unwrap().0;
            // As after a rejected call whose response was written only later because the socket was full.
            state.clients[slot].has_sent_message = true;
            let now = state.now();
            state.close_stale_clients(now);
            assert!(state.clients[slot].write_closed_at.is_some());
        }
        client.set_nonblocking(true).unwrap();
        let client = TcpStream::from_std(client).unwrap();
        client.readable().await.unwrap();
        assert_eq!(peek_socket(&client), SocketState::Closed);
    });
}

/// Connections that are queued together are accepted together. Guards against accepting one each time all sockets have
/// been served, which left the calls on new connections unread for as many turns.
#[test]
fn queued_connections_are_accepted_in_one_turn() {
    const CLIENTS: usize = 20;
    run_local(async {
        let router = router_with_workers(&[]);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let _clients: Vec<_> = (0..CLIENTS).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        spawn_local(accept_connections(router.clone(), Rc::new(listener)));
        while router.borrow().clients.is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(router.borrow().clients.len(), CLIENTS);
    });
}

const EMPTY_LINES: fn(u64) -> String = |_| "\n\n".into();
const UNKNOWN_CANCELS: fn(u64) -> String =
    |n| format!("{{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{{\"id\":{n}}}}}\n");
const HEALTH_CHECKS: fn(u64) -> String =
    |n| format!("{{\"jsonrpc\":\"2.0\",\"id\":{n},\"method\":\"probe\"}}\n");

/// Regression test: a client that sent lines without a pause, and no calls, kept its place for good, as there was always
/// something unread on its connection; with enough of them nobody else was accepted. One that pauses keeps its place while
/// something is unread, as that may be a call.
#[test_case(EMPTY_LINES, 20, false; "empty lines")]
#[test_case(UNKNOWN_CANCELS, 20, false; "cancels of unknown calls")]
#[test_case(HEALTH_CHECKS, 20, false; "health checks")]
#[test_case(HEALTH_CHECKS, 200, true; "health checks with pauses")]
fn client_that_sends_no_calls_makes_room_for_another(text: fn(u64) -> String, pause_ms: u64, stays: bool) {
    run_local(async move {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        router.borrow_mut().connection_limits.clients = 1;
        let (mut busy, socket) = connect_and_accept();
        socket.set_nonblocking(true).unwrap();
        assert!(router.borrow_mut().admit(TcpStream::from_std(socket.into()).unwrap()));
        let slot = router.borrow().clients.iter().next().unwrap().0;
        for number in 1..30 {
            tokio::time::advance(Duration::from_millis(pause_ms)).await;
            busy.write_all(text(number).as_bytes()).unwrap();
            router.borrow_mut().read_client_directly(slot);
        }
        busy.write_all(text(30).as_bytes()).unwrap();
        let (_other, socket) = connect_and_accept();
        socket.set_nonblocking(true).unwrap();
        assert!(router.borrow_mut().admit(TcpStream::from_std(socket.into()).unwrap()));
        assert_eq!(router.borrow().clients.iter().any(|(_, client)| client.serial == 1), stays);
    });
}
