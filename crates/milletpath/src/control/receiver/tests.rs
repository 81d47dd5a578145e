//! Each error of the socket, once and for a while: what comes is taken as soon as it can be, and nothing spins.

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

/// A socket on which one kind of call fails so many times, and on which one datagram waits.
struct FailingSocket {
    call: Call,
    errno: Errno,
    left: Cell<usize>,
    calls: Cell<usize>,
    waiting: RefCell<Vec<Vec<u8>>>,
}

impl FailingSocket {
    fn called(&self, call: Call) -> io::Result<()> {
        self.calls.set(self.calls.get() + 1);
        if call == self.call && self.left.get() > 0 {
            self.left.set(self.left.get() - 1);
            return Err(self.errno.into());
        }
        Ok(())
    }
}

impl DatagramSocket for FailingSocket {
    fn set_nonblocking(&self) -> io::Result<()> {
        self.called(Call::SetNonblocking)
    }

    fn wait(&self, _: Duration) -> io::Result<()> {
        self.called(Call::Wait)
    }

    fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.called(Call::Receive)?;
        let datagram = self.waiting.borrow_mut().pop().ok_or(ErrorKind::WouldBlock)?;
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
fn an_error_of_the_socket_costs_a_pause_at_most(call: Call, errno: Errno) {
    for times in [1, 4] {
        let (left, calls) = (Cell::new(times), Cell::new(0));
        let waiting = RefCell::new(vec![b"datagram".to_vec()]);
        let socket = FailingSocket { call, errno, left, calls, waiting };
        let (mut receiver, mut taken, began) = (Receiver::new(socket, 100), Vec::new(), Instant::now());
        for _ in 0..=times {
            let turn = receiver.receive(Duration::from_millis(1), |bytes, _| taken.push(bytes.to_vec()));
            assert_eq!(turn, BatchEnd::Drained);
        }
        assert_eq!(taken, [b"datagram"], "{errno} {times} times");
        // Either a pause for each, or a call that fails and the next at once.
        let (calls, pauses) = (receiver.socket.calls.get(), receiver.errors as u32);
        assert!(calls <= 3 * (times + 1) + 4, "{calls} calls");
        assert!(began.elapsed() >= ERROR_PAUSE * pauses, "{pauses} pauses");
    }
}

/// Errors without end end the turn, so that what is due is done.
#[test]
fn errors_without_end_end_the_turn() {
    let (left, calls) = (Cell::new(usize::MAX), Cell::new(0));
    let (call, errno, waiting) = (Call::Receive, Errno::ECONNREFUSED, RefCell::default());
    let mut receiver = Receiver::new(FailingSocket { call, errno, left, calls, waiting }, 100);
    assert_eq!(receiver.receive(Duration::from_millis(1), |_, _| {}), BatchEnd::Full);
    assert!(receiver.socket.calls.get() <= MAX_DATAGRAMS_PER_BATCH + 2);
}
