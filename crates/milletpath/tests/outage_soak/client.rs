//! Clients of the soak test. Each makes calls on one connection at a time and records the outcome of every call.

use milletpath_test_support::platform_rig::{DONE, REJECTED, function_call_line};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for the answer to a call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long after the timeout a client still reads, to distinguish a late answer, as of a paused router, from none.
const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(2500);
/// Number of functions that are called.
const FUNCTIONS: u64 = 24;

/// The outcome of a call for its client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The answer of a worker was received.
    Served,
    /// The call was rejected and did not run.
    Rejected,
    /// The call failed.
    Failed,
    /// The connection was closed without an answer.
    ConnectionEnded,
    /// No answer was received, and the connection stayed open.
    Nothing,
    /// The client abandoned the call and closed the connection.
    GivenUp,
    /// An answer to another call was received.
    WrongAnswer,
}

/// A call and its outcome.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    pub id: u64,
    pub router: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: CallEnd,
}

/// What a client does.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    pub router: usize,
    pub address: SocketAddr,
    /// Number of the client at its router, which makes the ids of its calls unique.
    pub number: u64,
    /// Time between an answer and the next call.
    pub pause: Duration,
    /// The client abandons every n-th call and disconnects; 0 for never.
    pub disconnects_every: u64,
    /// Maximum number of calls.
    pub max_calls: usize,
}

/// The router to which a call was sent, which is part of its id.
pub fn router_of(id: u64) -> usize {
    (id >> 48) as usize
}

/// Makes calls until the test stops the client or it has made all its calls, and reconnects when a connection ends.
pub fn run_client(plan: &ClientPlan, stop: &AtomicBool) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) && records.len() < plan.max_calls {
        match TcpStream::connect(plan.address) {
            Ok(stream) => call_on_connection(stream, plan, stop, &mut records),
            // The router is not running.
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
    records
}

/// Makes calls on one connection until it ends.
fn call_on_connection(
    stream: TcpStream,
    plan: &ClientPlan,
    stop: &AtomicBool,
    records: &mut Vec<CallRecord>,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(CALL_TIMEOUT + LATE_ANSWER_WINDOW));
    let mut stream = BufReader::new(stream);
    for number in 1_u64.. {
        if stop.load(Ordering::Relaxed) || records.len() >= plan.max_calls {
            return;
        }
        let made = records.len() as u64 + 1;
        let id = (plan.router as u64) << 48 | plan.number << 24 | made;
        let line = function_call_line(number, id, 0xf000 + made % FUNCTIONS);
        let line = line.replace("\"t\":", &format!("\"k\":\"key-{id}\",\"t\":"));
        let sent_at = Instant::now();
        if stream.get_mut().write_all(line.as_bytes()).is_err() {
            return;
        }
        let disconnects = plan.disconnects_every > 0 && made.is_multiple_of(plan.disconnects_every);
        let end = if disconnects { disconnect(&stream) } else { receive(&mut stream, number) };
        records.push(CallRecord { id, router: plan.router, sent_at, ended_at: Instant::now(), end });
        if !matches!(end, CallEnd::Served | CallEnd::Rejected | CallEnd::Failed) {
            return;
        }
        std::thread::sleep(plan.pause);
    }
}

/// Closes the connection shortly after the call was written.
fn disconnect(stream: &BufReader<TcpStream>) -> CallEnd {
    std::thread::sleep(Duration::from_millis(5));
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
    CallEnd::GivenUp
}

/// Reads the answer to the call with this number.
fn receive(stream: &mut BufReader<TcpStream>, number: u64) -> CallEnd {
    let mut line = String::new();
    match stream.read_line(&mut line) {
        Ok(0) => CallEnd::ConnectionEnded,
        Ok(_) if !line.contains(&format!("\"id\":{number},")) => CallEnd::WrongAnswer,
        Ok(_) if line.contains(DONE) => CallEnd::Served,
        Ok(_) if line.contains(REJECTED) => CallEnd::Rejected,
        Ok(_) => CallEnd::Failed,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => CallEnd::Nothing,
        Err(_) => CallEnd::ConnectionEnded,
    }
}
