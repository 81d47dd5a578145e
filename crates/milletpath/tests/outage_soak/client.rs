//! Clients: each calls on one connection until it ends, and records what came of every call.

use milletpath_test_support::platform_rig::{DONE, REJECTED, function_call_line};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for its answer.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long after that an answer is still read, to tell a late one from none: a router may have been paused meanwhile.
const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(2500);
/// Functions that are called.
const FUNCTIONS: u64 = 24;

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// A worker's answer came.
    Served,
    /// It was rejected: it did not run.
    Rejected,
    /// It failed.
    Failed,
    /// The connection ended without an answer.
    ConnectionEnded,
    /// Nothing came, and the connection stood.
    Nothing,
    /// The client gave it up and closed the connection.
    GivenUp,
    /// An answer came under another call's number.
    WrongAnswer,
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    pub id: u64,
    pub router: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: CallEnd,
}

/// Who calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    pub router: usize,
    pub address: SocketAddr,
    /// Distinguishes its calls from those of all others.
    pub number: u64,
    /// Time between two calls.
    pub pause: Duration,
    /// Every so many calls it leaves before the answer; never where that is 0.
    pub disconnects_every: u64,
    /// Calls that it makes at most.
    pub max_calls: usize,
}

/// The router that a call went to, by its id.
pub fn router_of(id: u64) -> usize {
    (id >> 48) as usize
}

/// Calls until it is stopped, on connections that it keeps for as long as the router does.
pub fn run_client(plan: &ClientPlan, stop: &AtomicBool) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !stop.load(Ordering::Relaxed) && records.len() < plan.max_calls {
        match TcpStream::connect(plan.address) {
            Ok(stream) => call_on_connection(stream, plan, stop, &mut records),
            // The router is not there.
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
    records
}

/// Calls on one connection until it ends.
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

/// Leaves a moment after the call was written.
fn disconnect(stream: &BufReader<TcpStream>) -> CallEnd {
    std::thread::sleep(Duration::from_millis(5));
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
    CallEnd::GivenUp
}

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
