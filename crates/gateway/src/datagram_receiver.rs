//! Reads the datagrams of a control thread. Its timers run only after a number of datagrams in a row, or once none is
//! waiting, so that what arrived while the thread was stalled is read before a peer counts as silent.

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Datagrams that are read before the timers run.
const MAX_DATAGRAMS_IN_A_ROW: usize = 64;

/// Seconds between two checks whether the gateway is shutting down.
const STOP_CHECK_INTERVAL: f64 = 0.05;

/// Reads datagrams for one thread.
pub struct DatagramReceiver {
    buffer: Vec<u8>,
    /// Datagrams since the timers last ran.
    received: usize,
}

impl DatagramReceiver {
    /// For datagrams of up to `max_bytes`; a larger one is cut to one byte more.
    pub fn new(max_bytes: usize) -> Self {
        Self { buffer: vec![0; max_bytes + 1], received: 0 }
    }

    /// Waits for a datagram, for `due_in` seconds at most. Errors are logged with the text of `failure`.
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
            // Reports an earlier datagram that nobody received.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
            Err(e) => {
                tracing::error!("{failure}: {e}");
                std::thread::sleep(Duration::from_secs_f64(STOP_CHECK_INTERVAL));
                self.received = MAX_DATAGRAMS_IN_A_ROW;
            }
        }
        None
    }

    /// Whether the timers are to run now, which were due at `due`; the count of datagrams then restarts.
    pub fn is_tick_due(&mut self, now: f64, due: f64) -> bool {
        let due_now = self.received >= MAX_DATAGRAMS_IN_A_ROW || now >= due + STOP_CHECK_INTERVAL;
        if due_now {
            self.received = 0;
        }
        due_now
    }
}

/// Whether a count is a power of ten. Refusals are logged at these counts only, so that a flood does not fill the log.
pub fn is_power_of_ten(count: u64) -> bool {
    count.to_string().trim_end_matches('0') == "1"
}
