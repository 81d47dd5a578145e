//! Errors of system calls on connections to workers, put in place of the system's answers while calls go on: once, for
//! 100 ms and for 2 s. Sockets, timers and the worker are real.

use super::*;
use crate::platform_router::SharedRouter;
use crate::platform_router::tests::{router_with_effect, run_local, submit_request};
use crate::socket_errors::Operation;
use milletpath_dispatcher::dispatcher::Counters;
use milletpath_test_support::worker_frames::{FrameHeader, HEADER_BYTES, frame, request, response};
use nix::errno::Errno;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// For a connection to be made: long against the pauses of a busy machine.
const CONNECT_MICROSECONDS: u64 = 1_000_000;

/// For how long an operation fails.
#[derive(Clone, Copy)]
pub enum FaultDuration {
    Once,
    For(Duration),
}

/// The system's calls, but that one of them fails for a while, and that reads and writes may be short.
pub struct FaultySockets {
    operation: Operation,
    errno: Errno,
    duration: FaultDuration,
    /// When it failed first, set by the first call after `armed`.
    first: Cell<Option<Instant>>,
    pub armed: Cell<bool>,
    /// How often it failed.
    pub failures: Cell<usize>,
    /// Bytes that one read or write takes at most.
    at_a_time: usize,
}

impl FaultySockets {
    pub fn new(operation: Operation, errno: Errno, duration: FaultDuration, at_a_time: usize) -> Rc<Self> {
        let (first, armed, failures) = (Cell::new(None), Cell::new(false), Cell::new(0));
        Rc::new(Self { operation, errno, duration, first, armed, failures, at_a_time })
    }

    fn duration(&self) -> Duration {
        if let FaultDuration::For(duration) = self.duration { duration } else { Duration::ZERO }
    }

    fn fails(&self, operation: Operation) -> io::Result<()> {
        if operation != self.operation || !self.armed.get() {
            return Ok(());
        }
        let fails = match (self.first.get(), self.duration) {
            (None, _) => true,
            (Some(_), FaultDuration::Once) => false,
            (Some(first), FaultDuration::For(duration)) => first.elapsed() < duration,
        };
        if !fails {
            return Ok(());
        }
        self.first.set(self.first.get().or(Some(Instant::now())));
        self.failures.set(self.failures.get() + 1);
        Err(io::Error::from_raw_os_error(self.errno as i32))
    }
}

impl Sockets for FaultySockets {
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

/// The ids of the calls that a worker has received.
type ReceivedIds = Rc<RefCell<Vec<u64>>>;

/// A worker that answers everything at once, and the calls that it received.
async fn worker() -> (SocketAddr, ReceivedIds) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, received_ids) = (listener.local_addr().unwrap(), ReceivedIds::default());
    let all = received_ids.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, all.clone()));
        }
    });
    (address, received_ids)
}

async fn serve(mut stream: TcpStream, received_ids: ReceivedIds) -> io::Result<()> {
    loop {
        let mut head = [0; HEADER_BYTES];
        stream.read_exact(&mut head).await?;
        let head = FrameHeader::parse(&head);
        stream.read_exact(&mut vec![0; head.remaining_bytes()]).await?;
        let answer = match head.code {
            request::ATTEMPT => {
                received_ids.borrow_mut().push(head.id);
                frame(response::DONE, head.id, "", b"done")
            }
            request::HEALTH_CHECK | request::HEALTH_CHECK_WITH_LOAD => {
                frame(response::HEALTHY, head.id, "", b"")
            }
            request::LOAD => frame(response::DONE, head.id, "n=1", b""),
            _ => continue,
        };
        stream.write_all(&answer).await?;
    }
}

/// Between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// A router whose system calls fail for a while, and a worker that is well.
struct Scenario {
    /// What fails, for messages.
    case: String,
    sockets: Rc<FaultySockets>,
    router: SharedRouter,
    received_ids: ReceivedIds,
    calls: u64,
}

/// Plays calls, one each 20 ms, against a worker that is well. The fault begins with the first call of a router that
/// has a connection, or none yet; it must hold what it promises whatever fails.
async fn run_scenario(sockets: Rc<FaultySockets>, connected: bool) {
    let mut scenario = Scenario::new(sockets, connected).await;
    if connected {
        scenario.call();
        wait_until_answered(&scenario.router).await;
    }
    scenario.call_during_the_fault().await;
    scenario.check_recovery().await;
    scenario.check_final_responses();
    scenario.check_cost();
}

impl Scenario {
    async fn new(sockets: Rc<FaultySockets>, connected: bool) -> Self {
        let case = format!("{:?} {:?}, connected before: {connected}", sockets.operation, sockets.errno);
        let (address, received_ids) = worker().await;
        let router = router_with_effect("single_shot", CONNECT_MICROSECONDS, &[address]);
        router.borrow_mut().sockets = sockets.clone();
        Self { case, sockets, router, received_ids, calls: 0 }
    }

    fn call(&mut self) {
        self.calls += 1;
        let mut router = self.router.borrow_mut();
        submit_request(&mut router, self.calls);
        router.run_actions();
    }

    fn counters(&self) -> Counters {
        self.router.borrow().dispatcher.counters()
    }

    async fn call_during_the_fault(&mut self) {
        self.sockets.armed.set(true);
        let (duration, begun) = (self.sockets.duration(), Instant::now());
        while begun.elapsed() < duration + 10 * CALL_INTERVAL {
            self.call();
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        wait_until_answered(&self.router).await;
    }

    /// What failed is over: calls succeed again, at once where it counted against no worker.
    async fn check_recovery(&mut self) {
        let during = self.counters();
        let most = if LOCAL.contains(&self.sockets.errno) { 1 } else { 500 };
        for _ in 0..most {
            self.call();
            wait_until_answered(&self.router).await;
            if self.counters().succeeded > during.succeeded {
                break;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        let counters = self.counters();
        assert_eq!(counters.succeeded, during.succeeded + 1, "{}: {counters:?}", self.case);
    }

    /// Each call has one final response, and none was sent to the worker twice.
    fn check_final_responses(&self) {
        let (case, counters) = (&self.case, self.counters());
        let responses = counters.succeeded + counters.rejected + counters.failed;
        assert_eq!(counters.accepted, responses, "{case}: {counters:?}");
        let received = self.received_ids.borrow();
        let mut once = received.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), received.len(), "{case}: a call that may run once was sent twice");
        // A call that was rejected never ran; one that reached the worker succeeded or failed.
        let may_have_run = counters.succeeded + counters.failed;
        assert!(received.len() as u64 <= may_have_run, "{case}: {counters:?}, {}", received.len());
    }

    /// A brief local fault costs no attempt, and a call that fails is repeated a bounded number of times.
    fn check_cost(&self) {
        let (case, counters, duration) = (&self.case, self.counters(), self.sockets.duration());
        let FaultySockets { operation, errno, .. } = *self.sockets;
        let waited_out =
            operation == Operation::Connect && LOCAL.contains(&errno) || TRANSIENT.contains(&errno);
        if waited_out && duration < Duration::from_millis(500) {
            let attempts = counters.attempts;
            assert_eq!(
                counters.succeeded, attempts,
                "{case}: a brief local fault cost an attempt: {counters:?}"
            );
        }
        // Pauses grow to 32 ms; what ends a connection costs each call four attempts at the most.
        let attempts = if waited_out { 0 } else { 4 * counters.accepted as usize };
        let most = 32 + duration.as_millis() as usize / 32 + attempts;
        let failures = self.sockets.failures.get();
        assert!(failures <= most, "{case}: failed {failures} times");
        assert!(failures > 0, "{case}");
    }
}

/// Waits until each call has its final response, in time.
async fn wait_until_answered(router: &SharedRouter) {
    /// The time that a client waits, and some more for a busy machine.
    const LONGEST: Duration = Duration::from_millis(4000);
    let begun = Instant::now();
    while router.borrow().dispatcher.open_requests() > 0 {
        assert!(begun.elapsed() < LONGEST, "{:?}", router.borrow().dispatcher.counters());
        tokio::time::sleep(Duration::from_millis(1)).await;
        // The timer that the router runs beside its sockets.
        let mut state = router.borrow_mut();
        let now = state.now();
        state.dispatcher.advance(now);
        state.run_actions();
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

/// Those that prove nothing about the worker.
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
const TRANSIENT: &[Errno] = &[Errno::EINTR, Errno::ENOBUFS, Errno::ENOMEM];

pub const SHORT_FAULT: FaultDuration = FaultDuration::For(Duration::from_millis(100));
pub const LONG_FAULT: FaultDuration = FaultDuration::For(Duration::from_secs(2));

#[test_case(Operation::Connect, CONNECT, FaultDuration::Once, false; "connect, once")]
#[test_case(Operation::Connect, CONNECT, SHORT_FAULT, false; "connect, for 100 ms")]
#[test_case(Operation::Connect, CONNECT, LONG_FAULT, false; "connect, for 2 s")]
#[test_case(Operation::Read, TRANSFER, FaultDuration::Once, true; "read, once")]
#[test_case(Operation::Read, TRANSFER, SHORT_FAULT, true; "read, for 100 ms")]
#[test_case(Operation::Read, TRANSFER, LONG_FAULT, true; "read, for 2 s")]
#[test_case(Operation::Read, TRANSFER, SHORT_FAULT, false; "first read, for 100 ms")]
#[test_case(Operation::Write, TRANSFER, FaultDuration::Once, true; "write, once")]
#[test_case(Operation::Write, TRANSFER, SHORT_FAULT, true; "write, for 100 ms")]
#[test_case(Operation::Write, TRANSFER, LONG_FAULT, true; "write, for 2 s")]
#[test_case(Operation::Write, TRANSFER, SHORT_FAULT, false; "first write, for 100 ms")]
fn requests_survive_a_failing_system_call(
    operation: Operation,
    errors: &'static [Errno],
    duration: FaultDuration,
    connected: bool,
) {
    run_local(async move {
        let stories = errors.iter().map(|&errno| {
            let sockets = FaultySockets::new(operation, errno, duration, usize::MAX);
            spawn_local(run_scenario(sockets, connected))
        });
        for run_scenario in stories.collect::<Vec<_>>() {
            run_scenario.await.unwrap();
        }
    });
}

/// Reads and writes take a byte or a few at a time, and fail once as well amid them.
#[test_case(1; "a byte at a time")]
#[test_case(7; "seven bytes at a time")]
fn requests_survive_short_reads_and_writes(at_a_time: usize) {
    run_local(async move {
        for operation in [Operation::Read, Operation::Write] {
            for errno in [Errno::EINTR, Errno::ENOBUFS] {
                run_scenario(FaultySockets::new(operation, errno, FaultDuration::Once, at_a_time), true)
                    .await;
            }
        }
    });
}
