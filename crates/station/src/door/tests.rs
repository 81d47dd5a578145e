use super::*;
use crate::station::tests::{listed, with};
use std::io::Write;

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
        station.borrow_mut().welcome(stream);
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
