//! A client that calls continuously and counts what became of its calls.

use milletpath_test_support::platform_rig::{DONE, call_line};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time between two calls of a client.
const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Limit on the open calls of a client on one connection.
const MAX_OPEN_CALLS: usize = 32;
/// A call written less than this before its connection ends may have crossed with the close, and does not count as
/// lost: a client sends it again.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);

/// When each of some calls was written. Printed as their number.
#[derive(Default)]
pub struct WriteTimes(Vec<Instant>);

impl WriteTimes {
    /// The number of calls written before this time.
    #[allow(dead_code, reason = "not every test that includes this file asks for it")]
    pub fn count_before(&self, time: Instant) -> usize {
        self.0.iter().filter(|written| **written < time).count()
    }
}

impl std::fmt::Debug for WriteTimes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0.len())
    }
}

/// What became of the calls of one client, or of several.
#[derive(Debug, Default)]
pub struct CallTotals {
    pub written: usize,
    pub answered: usize,
    /// Calls with the response of a worker.
    pub served: WriteTimes,
    pub answered_twice: usize,
    /// Calls without an answer that were written more than [`CLOSE_RACE_WINDOW`] before the end of their connection.
    pub lost: usize,
    /// The longest time between the write of a lost call and the end of its connection.
    pub longest_unanswered: Duration,
    /// The longest time after its deadline at which a call was answered.
    pub latest_answer: Duration,
}

impl CallTotals {
    /// Adds the totals of another client.
    pub fn add(&mut self, other: &Self) {
        self.written += other.written;
        self.answered += other.answered;
        self.served.0.extend(&other.served.0);
        self.answered_twice += other.answered_twice;
        self.lost += other.lost;
        self.longest_unanswered = self.longest_unanswered.max(other.longest_unanswered);
        self.latest_answer = self.latest_answer.max(other.latest_answer);
    }
}

/// One connection of a client: sends a call at each interval and reads answers in between.
struct ClientConnection<'a> {
    stream: TcpStream,
    /// When each unanswered call was written, by its number.
    open: BTreeMap<u64, Instant>,
    last_number: u64,
    received: Vec<u8>,
    deadline_ms: u64,
    totals: &'a mut CallTotals,
}

impl<'a> ClientConnection<'a> {
    fn new(stream: TcpStream, deadline_ms: u64, totals: &'a mut CallTotals) -> Self {
        stream.set_nodelay(true).expect("the socket is open");
        Self { stream, open: BTreeMap::new(), last_number: 0, received: Vec::new(), deadline_ms, totals }
    }

    /// Sends until the connection ends, or until `stop` is set.
    fn run(mut self, ids: &AtomicU64, stop: &AtomicBool) {
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            if self.open.len() < MAX_OPEN_CALLS && self.send(ids.fetch_add(1, Ordering::Relaxed)).is_err() {
                break;
            }
            next += CALL_INTERVAL;
            if !self.read_until(next) {
                break;
            }
        }
        let end = Instant::now();
        for written in self.open.values() {
            let open_for = end - *written;
            if open_for > CLOSE_RACE_WINDOW {
                self.totals.lost += 1;
                self.totals.longest_unanswered = self.totals.longest_unanswered.max(open_for);
            }
        }
    }

    fn send(&mut self, id: u64) -> std::io::Result<()> {
        self.last_number += 1;
        let deadline = format!("\"d\":{}", self.deadline_ms);
        let line = call_line(self.last_number, id).replace("\"d\":2500", &deadline);
        self.stream.write_all(line.as_bytes())?;
        self.open.insert(self.last_number, Instant::now());
        self.totals.written += 1;
        Ok(())
    }

    /// Reads answers until that time. Returns false if the connection ended.
    fn read_until(&mut self, until: Instant) -> bool {
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            self.stream
                .set_read_timeout(Some(remaining.max(Duration::from_micros(1))))
                .expect("the socket is open");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => self.received.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return true,
                Err(_) => return false,
            }
            self.record_answers();
        }
    }

    fn record_answers(&mut self) {
        while let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.received.drain(..=end).collect();
            let line = String::from_utf8(line).expect("answers are UTF-8");
            let number = line.split("\"id\":").nth(1).and_then(|rest| rest.split([',', '}']).next());
            let number = number
                .and_then(|n| n.trim().parse().ok())
                .unwrap_or_else(|| panic!("an answer without a call number: {line}"));
            match self.open.remove(&number) {
                Some(written) => {
                    let late = written.elapsed().saturating_sub(Duration::from_millis(self.deadline_ms));
                    self.totals.latest_answer = self.totals.latest_answer.max(late);
                    self.totals.answered += 1;
                    if line.contains(DONE) {
                        self.totals.served.0.push(written);
                    }
                }
                None => self.totals.answered_twice += 1,
            }
        }
    }
}

/// Calls until `stop` is set, and opens the next connection whenever one ends.
pub fn call_until_stopped(
    address: SocketAddr,
    deadline_ms: u64,
    ids: &AtomicU64,
    stop: &AtomicBool,
) -> CallTotals {
    let mut totals = CallTotals::default();
    while !stop.load(Ordering::Relaxed) {
        match TcpStream::connect(address) {
            Ok(stream) => ClientConnection::new(stream, deadline_ms, &mut totals).run(ids, stop),
            Err(_) => std::thread::sleep(CALL_INTERVAL),
        }
    }
    totals
}
