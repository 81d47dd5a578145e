use super::*;
use crate::station::tests::{listed, with};
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;

/// A client that has come in, and its place.
async fn comes_in(station: &Shared) -> (std::net::TcpStream, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_nodelay(true).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut s = station.borrow_mut();
    assert!(s.admit(stream));
    let serial = s.serial;
    let key = s.clients.iter().find(|(_, c)| c.serial == serial).unwrap().0;
    (client, key)
}

/// Sends something at this moment, and waits until it is read.
async fn says(station: &Shared, (client, key): &mut (std::net::TcpStream, usize), text: &[u8]) {
    client.write_all(text).unwrap();
    let unheard = |s: &Station| s.clients.get(*key).is_some_and(|c| c.heard < s.now());
    while unheard(&station.borrow()) {
        tokio::task::yield_now().await;
    }
}

/// Sends a text a byte at a time, evenly over some seconds; for how many it was heard before it was closed,
/// if it was.
async fn drips(
    station: &Shared,
    to: &mut (std::net::TcpStream, usize),
    text: &str,
    seconds: f64,
) -> Option<f64> {
    let begun = station.borrow().now();
    let step = Duration::from_secs_f64(seconds / text.len() as f64);
    for byte in text.bytes() {
        tokio::time::advance(step).await;
        let now = station.borrow().now();
        station.borrow_mut().tidy_clients(now);
        if !station.borrow().clients.contains(to.1) {
            return Some(now - begun);
        }
        says(station, to, &[byte]).await;
    }
    None
}

const PROBE: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"probe\"}\n";
const CALL: &str = concat!(
    r#"{"jsonrpc":"2.0","id":2,"method":"p","params":{"i":"9b1f03aa5c7e2d41","#,
    r#""d":1500,"o":"7f3a9c21e0b4d655"}}"#
);

/// A call comes a byte at a time, over as long as its client would wait for an answer: it is taken, and its
/// time counts from its last byte. It was closed after 2 s.
#[test_case(true, 2.9; "from a known client")]
#[test_case(false, 2.4; "as the first of its client")]
fn a_call_that_comes_in_pieces(known: bool, seconds: f64) {
    with(async move {
        tokio::time::pause();
        let station = listed(&[]);
        let mut client = comes_in(&station).await;
        if known {
            says(&station, &mut client, PROBE).await;
            tokio::time::advance(Duration::from_secs(60)).await;
        }
        assert_eq!(drips(&station, &mut client, CALL, seconds).await, None);
        assert!(station.borrow().clients[client.1].open.is_empty());
        tokio::time::advance(Duration::from_millis(10)).await;
        says(&station, &mut client, b"\n").await;
        let mut s = station.borrow_mut();
        let [(2, tag)] = s.clients[client.1].open[..] else { panic!("one open call") };
        let now = s.now();
        assert_eq!(s.desk.what(tag).unwrap().came, now);
    });
}

/// What never becomes a line is closed in its time, however it comes: within 3 s where nothing of use was
/// ever said. By empty lines a client was held open for good.
#[test_case(false, &CALL.repeat(3), 2.5; "the first line")]
#[test_case(true, &CALL.repeat(3), 3.0; "a later line")]
#[test_case(false, &"\n".repeat(99), 2.0; "empty lines")]
#[test_case(false, &" \n".repeat(99), 2.0; "lines of a space")]
fn pieces_without_end(known: bool, text: &str, closed: f64) {
    let text = text.to_owned();
    with(async move {
        tokio::time::pause();
        let station = listed(&[]);
        let mut client = comes_in(&station).await;
        if known {
            says(&station, &mut client, PROBE).await;
        }
        let after = drips(&station, &mut client, &text, 9.0).await.expect("it is closed");
        assert!(after >= closed && after < closed + 0.2, "{after}");
    });
}

/// Room is wanted: a known client in the midst of a call stays, and one that has been quiet for less time
/// than that call takes goes.
#[test]
fn a_call_in_pieces_is_not_closed_for_room() {
    with(async {
        tokio::time::pause();
        let station = listed(&[]);
        let mut clients = [comes_in(&station).await, comes_in(&station).await];
        for client in &mut clients {
            says(&station, client, PROBE).await;
        }
        assert_eq!(drips(&station, &mut clients[0], &CALL[..20], 1.0).await, None);
        says(&station, &mut clients[1], b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"probe\"}\n").await;
        assert_eq!(drips(&station, &mut clients[0], &CALL[20..40], 0.9).await, None);
        station.borrow_mut().keeping.clients = 2;
        let third = comes_in(&station).await;
        let serials: Vec<_> = station.borrow().clients.iter().map(|(_, c)| c.serial).collect();
        assert!(serials.contains(&1) && !serials.contains(&2) && third.1 == clients[1].1, "{serials:?}");
    });
}

/// One that said what can't be used goes on sending and reads nothing of what it is told: it is closed in its time. As long
/// as bytes of it lay unread, which nobody reads any more, it was taken for one about to call, and kept for good.
#[test]
fn who_is_condemned_is_closed_however_much_it_sends() {
    with(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut bad = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        SockRef::from(&stream).set_send_buffer_size(4 << 10).unwrap();
        while stream.try_write(&[b' '; 1 << 10]).is_ok() {}
        let station = listed(&[]);
        assert!(station.borrow_mut().admit(stream));
        bad.write_all(b"{\n").unwrap();
        let first = |s: &Station| s.clients.iter().map(|(key, c)| (key, c.stream.clone())).next();
        let (key, stream) = first(&station.borrow()).unwrap();
        stream.readable().await.unwrap();
        station.borrow_mut().client_reads(key);
        {
            let s = station.borrow();
            assert!(s.clients[key].condemned && s.clients[key].out.left() > 0);
        }
        bad.write_all(b"more of the same\n").unwrap();
        stream.readable().await.unwrap();
        let mut s = station.borrow_mut();
        let now = s.now();
        s.tidy_clients(now + 2.5);
        assert!(s.clients.is_empty());
    });
}
