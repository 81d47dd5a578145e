use super::*;
use crate::outbox::{Look, look};
use crate::station::tests::{listed, with};
use std::collections::VecDeque;
use test_case::test_case;

/// A connection of a client, as `accept` gives it.
fn connection() -> (std::net::TcpStream, Socket) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0.into())
}

fn error(errno: Errno) -> io::Result<Socket> {
    Err(io::Error::from_raw_os_error(errno as i32))
}

/// A connection was aborted in the queue, and the one behind it was left unread at the exit.
#[test_case(Errno::ECONNABORTED)]
#[test_case(Errno::EINTR)]
#[test_case(Errno::EPROTO)]
#[test_case(Errno::ENETUNREACH)]
#[test_case(Errno::EHOSTUNREACH)]
#[test_case(Errno::ETIMEDOUT)]
fn what_queues_behind_a_failed_accept_is_taken_in(errno: Errno) {
    with(async move {
        let station = listed(&[]);
        let (_client, socket) = connection();
        let mut results = VecDeque::from([error(errno), Ok(socket), error(errno)]);
        let next = || results.pop_front().unwrap_or_else(|| error(Errno::EAGAIN));
        let drained = station.borrow_mut().drain_queue(next);
        assert_eq!((drained, results.len()), (Drained { accepted: 1, empty: true }, 0));
    });
}

/// Where the system has no room for a connection it still queues: the queue does not count as empty.
#[test_case(Errno::EMFILE)]
#[test_case(Errno::ENFILE)]
#[test_case(Errno::ENOBUFS)]
#[test_case(Errno::ENOMEM)]
fn a_queue_that_can_not_be_accepted_is_not_empty(errno: Errno) {
    with(async move {
        let station = listed(&[]);
        let drained = station.borrow_mut().drain_queue(|| error(errno));
        assert_eq!(drained, Drained { accepted: 0, empty: false });
    });
}

/// An error that never passes ends the attempt within a bound.
#[test]
fn a_queue_that_fails_for_ever_is_given_up_for_the_moment() {
    with(async {
        let station = listed(&[]);
        let mut attempts = 0;
        let drained = station.borrow_mut().drain_queue(|| {
            attempts += 1;
            error(Errno::ECONNABORTED)
        });
        assert_eq!((drained, attempts), (Drained { accepted: 0, empty: false }, QUEUE));
    });
}

/// A connection that was just accepted was closed for the next one, with its first call a moment away. It keeps its
/// place until it had the time to say something.
#[test_case(5, [true, true]; "at once")]
#[test_case(100, [false, true]; "after 100 ms")]
fn a_connection_has_time_for_its_first_call(later_ms: u64, stay: [bool; 2]) {
    with(async move {
        tokio::time::pause();
        let station = listed(&[]);
        station.borrow_mut().keeping.clients = 1;
        let mut clients = Vec::new();
        for _ in 0..2 {
            let (client, socket) = connection();
            socket.set_nonblocking(true).unwrap();
            clients.push(client);
            let stream = TcpStream::from_std(socket.into()).unwrap();
            assert!(station.borrow_mut().admit(stream));
            tokio::time::advance(Duration::from_millis(later_ms)).await;
        }
        let s = station.borrow();
        let stays = |serial: u64| s.clients.iter().any(|(_, c)| c.serial == serial);
        assert_eq!([stays(1), stays(2)], stay);
    });
}

/// A client beside the bound whose rejection could not be written at once is closed once it was: it kept its place.
#[test]
fn a_place_beside_the_bound_is_given_back() {
    with(async {
        let station = listed(&[]);
        station.borrow_mut().keeping.clients = 0;
        let (client, socket) = connection();
        socket.set_nonblocking(true).unwrap();
        assert!(station.borrow_mut().admit(TcpStream::from_std(socket.into()).unwrap()));
        {
            let mut s = station.borrow_mut();
            let key = s.clients.iter().next().unwrap().0;
            // As after a call that was rejected while the socket took nothing.
            s.clients[key].said = true;
            let now = s.now();
            s.tidy_clients(now);
            assert!(s.clients[key].finished.is_some());
        }
        client.set_nonblocking(true).unwrap();
        let client = TcpStream::from_std(client).unwrap();
        client.readable().await.unwrap();
        assert_eq!(look(&client), Look::Closed);
    });
}
