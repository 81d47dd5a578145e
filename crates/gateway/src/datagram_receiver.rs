//! Datagrams as a control thread reads them: one by one, and time is looked at again after so many in a row, or once
//! nothing waits. So whatever came while the thread stood still is heard before anybody counts as silent.

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Datagrams read in a row before time is looked at again.
const MAX_DATAGRAMS_IN_A_ROW: usize = 64;

/// Seconds between two looks whether the gateway stops.
const STOP_CHECK_INTERVAL: f64 = 0.05;

/// What a thread reads datagrams into.
pub struct DatagramReceiver {
    buffer: Vec<u8>,
    received: usize,
}

impl DatagramReceiver {
    /// For datagrams of so many bytes; a larger one shows by one more.
    pub fn new(largest: usize) -> Self {
        Self { buffer: vec![0; largest + 1], received: 0 }
    }

    /// The next datagram, waited for until something is due in so many seconds; `failed` is what the log says where it can't be read.
    pub fn receive(&mut self, socket: &UdpSocket, due_in: f64, failure: &str) -> Option<(&[u8], SocketAddr)> {
        let wait = Duration::from_secs_f64(due_in.clamp(0.001, STOP_CHECK_INTERVAL));
        match socket.set_read_timeout(Some(wait)).and_then(|()| socket.recv_from(&mut self.buffer)) {
            Ok((size, from)) => {
                self.received += 1;
                return Some((&self.buffer[..size], from));
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                self.received = MAX_DATAGRAMS_IN_A_ROW
            }
            // The word of a datagram that reached nobody.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
            Err(e) => {
                tracing::error!("{failure}: {e}");
                std::thread::sleep(Duration::from_secs_f64(STOP_CHECK_INTERVAL));
                self.received = MAX_DATAGRAMS_IN_A_ROW;
            }
        }
        None
    }

    /// Whether time is to be looked at now, where that was due at `due`; counts anew from there.
    pub fn is_tick_due(&mut self, now: f64, due: f64) -> bool {
        let due_now = self.received >= MAX_DATAGRAMS_IN_A_ROW || now >= due + STOP_CHECK_INTERVAL;
        if due_now {
            self.received = 0;
        }
        due_now
    }
}

/// Whether the count of what is refused is one that is told: each tenfold, as a flood is not to fill the log.
pub fn is_power_of_ten(count: u64) -> bool {
    count.to_string().trim_end_matches('0') == "1"
}
