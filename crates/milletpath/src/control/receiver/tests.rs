//! Socket errors, once and several times in a row: the datagram is still received, and the receiver does not busy-loop.

use super::*;
use std::cell::{Cell, RefCell};
use std::time::Instant;
use test_case::test_case;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    SetNonblocking,
    Wait,
    Receive,
}

/// A socket with queued datagrams on which the first calls of one kind fail.
struct FailingSocket {
    failing_call: Call,
    errno: Errno,
    failures_left: Cell<usize>,
    calls: Cell<usize>,
    datagrams: RefCell<Vec<Vec<u8>>>,
}

impl FailingSocket {
    fn record_call(&self, call: Call) -> io::Result<()> {
        self.calls.set(self.calls.get() + 1);
        if call == self.failing_call && self.failures_left.get() > 0 {
            self.failures_left.set(self.failures_left.get() - 1);
            return Err(self.errno.into());
        }
        Ok(())
    }
}

impl DatagramSocket for FailingSocket {
    fn set_nonblocking(&self) -> io::Result<()> {
        self.record_call(Call::SetNonblocking)
    }

    fn wait(&self, _: Duration) -> io::Result<()> {
        self.record_call(Call::Wait)
    }

    fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.record_call(Call::Receive)?;
        let datagram = self.datagrams.borrow_mut().pop().ok_or(ErrorKind::WouldBlock)?;
        buffer[..datagram.len()].copy_from_slice(&datagram);
        Ok((datagram.len(), SocketAddr::from(([127, 0, 0, 1], 1))))
    }
}

#[test_case(Call::SetNonblocking, Errno::ENOBUFS; "set nonblocking")]
#[test_case(Call::Wait, Errno::ENOMEM; "wait without memory")]
#[test_case(Call::Wait, Errno::EINTR; "wait interrupted")]
#[test_case(Call::Receive, Errno::EINTR; "receive interrupted")]
#[test_case(Call::Receive, Errno::ECONNREFUSED; "receive refused")]
#[test_case(Call::Receive, Errno::EHOSTUNREACH; "receive unreachable")]
#[test_case(Call::Receive, Errno::ENOBUFS; "receive without buffers")]
#[test_case(Call::Receive, Errno::EIO; "receive fails")]
fn a_socket_error_costs_at_most_one_pause(failing_call: Call, errno: Errno) {
    for times in [1, 4] {
        let (failures_left, calls) = (Cell::new(times), Cell::new(0));
        let datagrams = RefCell::new(vec![b"datagram".to_vec()]);
        let socket = FailingSocket { failing_call, errno, failures_left, calls, datagrams };
        let (mut receiver, mut received, started_at) =
            (Receiver::new(socket, 100), Vec::new(), Instant::now());
        for _ in 0..=times {
            let end = receiver.receive(Duration::from_millis(1), |bytes, _| received.push(bytes.to_vec()));
            assert_eq!(end, BatchEnd::Drained);
        }
        assert_eq!(received, [b"datagram"], "{errno} {times} times");
        // Each error costs either a pause, or one more call without a pause.
        let (calls, pauses) = (receiver.socket.calls.get(), receiver.errors as u32);
        assert!(calls <= 3 * (times + 1) + 4, "{calls} calls");
        assert!(started_at.elapsed() >= ERROR_PAUSE * pauses, "{pauses} pauses");
    }
}

/// An error that persists ends the batch, so that the control machine still stores records and notices a stop request.
#[test]
fn persistent_errors_end_the_batch() {
    let (failures_left, calls) = (Cell::new(usize::MAX), Cell::new(0));
    let (failing_call, errno, datagrams) = (Call::Receive, Errno::ECONNREFUSED, RefCell::default());
    let mut receiver =
        Receiver::new(FailingSocket { failing_call, errno, failures_left, calls, datagrams }, 100);
    assert_eq!(receiver.receive(Duration::from_millis(1), |_, _| {}), BatchEnd::Full);
    assert!(receiver.socket.calls.get() <= MAX_DATAGRAMS_PER_BATCH + 2);
}
