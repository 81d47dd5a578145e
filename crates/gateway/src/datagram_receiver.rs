//! Reads the datagrams of a control thread. The thread's timers run only after a number of consecutive datagrams or
//! once none is waiting, so that everything that arrived during a stall is read before a peer counts as silent.

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Maximum number of datagrams read before the timers run.
const MAX_DATAGRAMS_IN_A_ROW: usize = 64;

/// Interval between two checks whether the gateway is shutting down, in seconds.
const STOP_CHECK_INTERVAL: f64 = 0.05;

/// Reads datagrams for one control thread.
pub struct DatagramReceiver {
    buffer: Vec<u8>,
    /// Number of datagrams received since the timers last ran.
    received: usize,
}

impl DatagramReceiver {
    /// Creates a receiver for datagrams of up to `max_bytes`. Larger ones are truncated to one byte more, so that they
    /// are recognized as too large.
    pub fn new(max_bytes: usize) -> Self {
        Self { buffer: vec![0; max_bytes + 1], received: 0 }
    }

    /// Waits for a datagram for at most `due_in` seconds. Errors are logged with the message `failure`.
    pub fn receive(&mut self, socket: &UdpSocket, due_in: f64, failure: &str) -> Option<(&[u8], SocketAddr)> {
        let wait = Duration::from_secs_f64(due_in.clamp(0.001, STOP_CHECK_INTERVAL));
        match socket.set_read_timeout(Some(wait)).and_then(|()| socket.recv_from(&mut self.buffer)) {
            Ok((size, from)) => {
                self.received += 1;
                return Some((&self.buffer[..size], from));
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                self.received = MAX_DATAGRAMS_IN_A_ROW;
            }
            // An interruption, or the report that an earlier datagram was not delivered.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
            Err(e) => {
                tracing::error!("{failure}: {e}");
                std::thread::sleep(Duration::from_secs_f64(STOP_CHECK_INTERVAL));
                self.received = MAX_DATAGRAMS_IN_A_ROW;
            }
        }
        None
    }

    /// Whether the timers that are due at `due` must run now. If so, the count of datagrams is reset.
    pub fn is_tick_due(&mut self, now: f64, due: f64) -> bool {
        let due_now = self.received >= MAX_DATAGRAMS_IN_A_ROW || now >= due + STOP_CHECK_INTERVAL;
        if due_now {
            self.received = 0;
        }
        due_now
    }
}

/// Whether a count is a power of ten. Rejected datagrams are logged only at these counts, so that a flood does not fill
/// the log.
pub fn is_power_of_ten(count: u64) -> bool {
    count.to_string().trim_end_matches('0') == "1"
}
