//! Errors of system calls on connections to workers, put in place of the system's answers while calls go on: once, for
//! 100 ms and for 2 s. Sockets, timers and the worker are real.

#[path = "../../../platform-protocol/tests/worker_frames/mod.rs"]
mod worker_frames;

use super::*;
use crate::faults::Operation;
use crate::station::Shared;
use crate::station::tests::{arrive, listed_for, with};
use nix::errno::Errno;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// For a connection to be made: long against the standstills of a busy machine.
const CONNECT_MICROSECONDS: u64 = 1_000_000;

/// For how long an operation fails.
#[derive(Clone, Copy)]
pub enum Span {
    Once,
    For(Duration),
}

/// The system's calls, but that one of them fails for a while, and that reads and writes may be short.
pub struct Injected {
    operation: Operation,
    errno: Errno,
    span: Span,
    /// When it failed first, set by the first call after `armed`.
    first: Cell<Option<Instant>>,
    pub armed: Cell<bool>,
    /// How often it failed.
    pub failures: Cell<usize>,
    /// Bytes that one read or write takes at most.
    at_a_time: usize,
}

impl Injected {
    pub fn new(operation: Operation, errno: Errno, span: Span, at_a_time: usize) -> Rc<Self> {
        let (first, armed, failures) = (Cell::new(None), Cell::new(false), Cell::new(0));
        Rc::new(Self { operation, errno, span, first, armed, failures, at_a_time })
    }

    fn fails(&self, operation: Operation) -> io::Result<()> {
        if operation != self.operation || !self.armed.get() {
            return Ok(());
        }
        let fails = match (self.first.get(), self.span) {
            (None, _) => true,
            (Some(_), Span::Once) => false,
            (Some(first), Span::For(span)) => first.elapsed() < span,
        };
        if !fails {
            return Ok(());
        }
        self.first.set(self.first.get().or(Some(Instant::now())));
        self.failures.set(self.failures.get() + 1);
        Err(io::Error::from_raw_os_error(self.errno as i32))
    }
}

impl Sockets for Injected {
    fn connect(&self, address: SocketAddr) -> Connecting {
        match self.fails(Operation::Connect) {
            Ok(()) => SystemSockets.connect(address),
            Err(error) => Box::pin(std::future::ready(Err(error))),
        }
    }

    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
        self.fails(Operation::Read)?;
        let most = into.len().min(self.at_a_time);
        SystemSockets.read(stream, &mut into[..most])
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        self.fails(Operation::Write)?;
        SystemSockets.write(stream, &bytes[..bytes.len().min(self.at_a_time)])
    }
}

/// The ids of the calls that a worker was sent whole.
type Seen = Rc<RefCell<Vec<u64>>>;

/// A worker that answers everything at once, and the calls that it got.
async fn worker() -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, seen) = (listener.local_addr().unwrap(), Seen::default());
    let all = seen.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, all.clone()));
        }
    });
    (address, seen)
}

async fn serve(mut stream: TcpStream, seen: Seen) -> io::Result<()> {
    loop {
        let mut head = [0; 16];
        stream.read_exact(&mut head).await?;
        let number = |bytes: &[u8]| bytes.iter().fold(0, |n, &b| n << 8 | u64::from(b));
        let mut rest = vec![0; (number(&head[2..4]) + number(&head[4..8])) as usize + 4];
        stream.read_exact(&mut rest).await?;
        let (code, id) = (head[1], number(&head[8..]));
        let answer = match code {
            2 => {
                seen.borrow_mut().push(id);
                worker_frames::frame(200, id, "", b"done")
            }
            4 | 5 => worker_frames::frame(206, id, "", b""),
            6 => worker_frames::frame(200, id, "n=1", b""),
            _ => continue,
        };
        stream.write_all(&answer).await?;
    }
}

/// Plays calls, one each 20 ms, against a worker that is well. The fault begins with the first call of a router that
/// has a connection, or none yet; it must hold what it promises whatever fails.
async fn story(sockets: Rc<Injected>, connected: bool) {
    /// Between two calls.
    const PACE: Duration = Duration::from_millis(20);
    let (operation, errno) = (sockets.operation, sockets.errno);
    let told = format!("{operation:?} {errno:?}, connected before: {connected}");
    let (address, seen) = worker().await;
    let station = listed_for("single_shot", CONNECT_MICROSECONDS, &[address]);
    station.borrow_mut().sockets = sockets.clone();
    let mut id = 0;
    let mut call = || {
        id += 1;
        let mut s = station.borrow_mut();
        arrive(&mut s, id);
        s.carry_out();
    };
    if connected {
        call();
        answered(&station).await;
    }
    sockets.armed.set(true);
    let span = if let Span::For(span) = sockets.span { span } else { Duration::ZERO };
    let begun = Instant::now();
    while begun.elapsed() < span + 10 * PACE {
        call();
        tokio::time::sleep(PACE).await;
    }
    answered(&station).await;
    let during = station.borrow().desk.counters();
    // What failed is over: calls are handled again, at once where it counted against no worker.
    let most = if LOCAL.contains(&errno) { 1 } else { 500 };
    for _ in 0..most {
        call();
        answered(&station).await;
        if station.borrow().desk.counters().succeeded > during.succeeded {
            break;
        }
        tokio::time::sleep(PACE).await;
    }
    let tally = station.borrow().desk.counters();
    assert_eq!(tally.succeeded, during.succeeded + 1, "{told}: {tally:?}");

    assert_eq!(tally.accepted, tally.succeeded + tally.rejected + tally.failed, "{told}: {tally:?}");
    let seen = seen.borrow();
    let mut once = seen.clone();
    once.sort_unstable();
    once.dedup();
    assert_eq!(once.len(), seen.len(), "{told}: a call that may run once was sent twice");
    // A call that was rejected never ran; one that reached the worker was handled or failed.
    assert!(seen.len() as u64 <= tally.succeeded + tally.failed, "{told}: {tally:?}, {}", seen.len());
    let waited_out = operation == Operation::Connect && LOCAL.contains(&errno) || PASSING.contains(&errno);
    if waited_out && span < Duration::from_millis(500) {
        assert_eq!(
            tally.succeeded, tally.attempts,
            "{told}: a brief fault of our own cost an attempt: {tally:?}"
        );
    }
    // Pauses grow to 32 ms; what ends a connection costs each call four attempts at the most.
    let attempts = if waited_out { 0 } else { 4 * tally.accepted as usize };
    let most = 32 + span.as_millis() as usize / 32 + attempts;
    assert!(sockets.failures.get() <= most, "{told}: failed {} times", sockets.failures.get());
    assert!(sockets.failures.get() > 0, "{told}");
}

/// Waits until each call has its final answer, in its time.
async fn answered(station: &Shared) {
    /// What a client waits, and some time of a busy machine.
    const LONGEST: Duration = Duration::from_millis(4000);
    let begun = Instant::now();
    while station.borrow().desk.open_requests() > 0 {
        assert!(begun.elapsed() < LONGEST, "{:?}", station.borrow().desk.counters());
        tokio::time::sleep(Duration::from_millis(1)).await;
        // The timer that the router runs beside its sockets.
        let mut s = station.borrow_mut();
        let now = s.now();
        s.desk.advance(now);
        s.carry_out();
    }
}

pub const CONNECT: &[Errno] = &[
    Errno::ECONNABORTED,
    Errno::ENFILE,
    Errno::EMFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EADDRNOTAVAIL,
    Errno::ENETUNREACH,
    Errno::EAGAIN,
    Errno::EINTR,
    Errno::ETIMEDOUT,
    Errno::EHOSTUNREACH,
    Errno::ECONNREFUSED,
    Errno::ECONNRESET,
];

/// EAGAIN of these is an ordinary full or empty socket, which other tests play with real ones.
pub const TRANSFER: &[Errno] = &[
    Errno::EINTR,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::ETIMEDOUT,
    Errno::EHOSTUNREACH,
    Errno::ENETUNREACH,
    Errno::ECONNABORTED,
    Errno::ECONNRESET,
    Errno::EPIPE,
];

/// Those that say nothing about the worker.
const LOCAL: &[Errno] = &[
    Errno::ECONNABORTED,
    Errno::ENFILE,
    Errno::EMFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EADDRNOTAVAIL,
    Errno::ENETUNREACH,
    Errno::EAGAIN,
    Errno::EINTR,
];

/// Those that leave a connection as it was.
const PASSING: &[Errno] = &[Errno::EINTR, Errno::ENOBUFS, Errno::ENOMEM];

pub const BRIEF: Span = Span::For(Duration::from_millis(100));
pub const LONG: Span = Span::For(Duration::from_secs(2));

#[test_case(Operation::Connect, CONNECT, Span::Once, false; "connect, once")]
#[test_case(Operation::Connect, CONNECT, BRIEF, false; "connect, for 100 ms")]
#[test_case(Operation::Connect, CONNECT, LONG, false; "connect, for 2 s")]
#[test_case(Operation::Read, TRANSFER, Span::Once, true; "read, once")]
#[test_case(Operation::Read, TRANSFER, BRIEF, true; "read, for 100 ms")]
#[test_case(Operation::Read, TRANSFER, LONG, true; "read, for 2 s")]
#[test_case(Operation::Read, TRANSFER, BRIEF, false; "first read, for 100 ms")]
#[test_case(Operation::Write, TRANSFER, Span::Once, true; "write, once")]
#[test_case(Operation::Write, TRANSFER, BRIEF, true; "write, for 100 ms")]
#[test_case(Operation::Write, TRANSFER, LONG, true; "write, for 2 s")]
#[test_case(Operation::Write, TRANSFER, BRIEF, false; "first write, for 100 ms")]
fn a_system_call_fails(operation: Operation, errors: &'static [Errno], span: Span, connected: bool) {
    with(async move {
        let stories = errors.iter().map(|&errno| {
            let sockets = Injected::new(operation, errno, span, usize::MAX);
            spawn_local(story(sockets, connected))
        });
        for story in stories.collect::<Vec<_>>() {
            story.await.unwrap();
        }
    });
}

/// Reads and writes take a byte or a few at a time, and fail once as well amid them.
#[test_case(1; "a byte at a time")]
#[test_case(7; "seven bytes at a time")]
fn reads_and_writes_are_short(at_a_time: usize) {
    with(async move {
        for operation in [Operation::Read, Operation::Write] {
            for errno in [Errno::EINTR, Errno::ENOBUFS] {
                story(Injected::new(operation, errno, Span::Once, at_a_time), true).await;
            }
        }
    });
}
