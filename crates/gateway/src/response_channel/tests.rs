use super::*;
use std::io::Write as _;
use std::net::{TcpListener, TcpStream as ClientStream};

/// More than one poll discards, and less than the sockets of a connection hold.
const UNREAD: usize = 2 << 20;

/// Guards against a connection that lingers and does not give way while its client sends: its core served nobody else, and
/// the limit on its time had no effect.
#[tokio::test]
async fn a_connection_that_lingers_gives_way_while_bytes_are_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = ClientStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    SockRef::from(&client).set_send_buffer_size(2 * UNREAD).unwrap();
    client.set_nonblocking(true).unwrap();
    let mut written = 0;
    while let Ok(length @ 1..) = client.write(&[b'x'; 64 << 10]) {
        written += length;
    }
    assert!(written > UNREAD, "the sockets hold {written} bytes");
    stream.set_nonblocking(true).unwrap();
    let channel = ResponseChannel::new(TcpStream::from_std(stream).unwrap(), 0.0);
    channel.stream.readable().await.unwrap();
    let mut lingering = std::pin::pin!(channel.linger());
    // Polls it once.
    tokio::select! {
        biased;
        () = &mut lingering => panic!("the client has not closed its side"),
        () = std::future::ready(()) => {}
    }
    assert!(channel.has_unread(), "one poll discarded all {written} bytes");
}
