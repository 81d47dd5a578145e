use super::*;
use crate::platform_router::tests::ends;
use crate::sockets::{Connecting, SystemSockets};
use std::net::SocketAddr;

/// A socket that accepts nothing and reports no error.
struct AcceptsNothing;

impl Sockets for AcceptsNothing {
    fn connect(&self, address: SocketAddr) -> Connecting {
        SystemSockets.connect(address)
    }

    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
        SystemSockets.read(stream, into)
    }

    fn write(&self, _: &TcpStream, _: &[u8]) -> io::Result<usize> {
        Ok(0)
    }
}

/// Guards against a write that is repeated for ever.
#[test]
fn a_write_that_accepts_nothing_ends_with_an_error() {
    assert!(ends(|| async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let mut buffer = WriteBuffer::default();
        buffer.append_short(|bytes| bytes.extend_from_slice(b"line"));
        let error = buffer.write(&AcceptsNothing, &stream).unwrap_err();
        assert_eq!((error.kind(), buffer.remaining()), (ErrorKind::WriteZero, 4));
    }));
}
