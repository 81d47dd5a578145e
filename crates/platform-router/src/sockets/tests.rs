//! Injects errors into system calls on worker connections while calls are being made: once, for 100 ms and for 2 s.
//! Sockets, timers and the worker are real.

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

/// Connect timeout, long compared with scheduling delays on a busy host.
const CONNECT_TIMEOUT_MICROSECONDS: u64 = 1_000_000;

/// How long an operation fails.
#[derive(Clone, Copy)]
pub enum FaultDuration {
    Once,
    For(Duration),
}

/// Real system calls, of which one operation fails for a while and reads and writes may be short.
pub struct FaultySockets {
    operation: Operation,
    errno: Errno,
    duration: FaultDuration,
    /// Time of the first failure, which is the first call after `armed` is set.
    first_failure: Cell<Option<Instant>>,
    pub armed: Cell<bool>,
    /// Number of failures.
    pub failures: Cell<usize>,
    /// Maximum number of bytes per read or write.
    max_bytes_per_call: usize,
}

impl FaultySockets {
    pub fn new(
        operation: Operation,
        errno: Errno,
        duration: FaultDuration,
        max_bytes_per_call: usize,
    ) -> Rc<Self> {
        let (first_failure, armed, failures) = (Cell::new(None), Cell::new(false), Cell::new(0));
        Rc::new(Self { operation, errno, duration, first_failure, armed, failures, max_bytes_per_call })
    }

    fn duration(&self) -> Duration {
        if let FaultDuration::For(duration) = self.duration { duration } else { Duration::ZERO }
    }

    fn inject_fault(&self, operation: Operation) -> io::Result<()> {
        if operation != self.operation || !self.armed.get() {
            return Ok(());
        }
        let fails = match (self.first_failure.get(), self.duration) {
            (None, _) => true,
            (Some(_), FaultDuration::Once) => false,
            (Some(first_failure), FaultDuration::For(duration)) => first_failure.elapsed() < duration,
        };
        if !fails {
            return Ok(());
        }
        self.first_failure.set(self.first_failure.get().or(Some(Instant::now())));
        self.failures.set(self.failures.get() + 1);
        Err(io::Error::from_raw_os_error(self.errno as i32))
    }
}

impl Sockets for FaultySockets {
    fn connect(&self, address: SocketAddr) -> Connecting {
        match self.inject_fault(Operation::Connect) {
            Ok(()) => SystemSockets.connect(address),
            Err(error) => Box::pin(std::future::ready(Err(error))),
        }
    }

    fn read(&self, stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
        self.inject_fault(Operation::Read)?;
        let limit = into.len().min(self.max_bytes_per_call);
        SystemSockets.read(stream, &mut into[..limit])
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        self.inject_fault(Operation::Write)?;
        SystemSockets.write(stream, &bytes[..bytes.len().min(self.max_bytes_per_call)])
    }
}

/// Ids of the attempts that a worker has received.
type ReceivedIds = Rc<RefCell<Vec<u64>>>;

/// Starts a worker that answers everything immediately; returns its address and the ids that it receives.
async fn spawn_worker() -> (SocketAddr, ReceivedIds) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, received_ids) = (listener.local_addr().unwrap(), ReceivedIds::default());
    let all = received_ids.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_worker_connection(stream, all.clone()));
        }
    });
    (address, received_ids)
}

async fn serve_worker_connection(mut stream: TcpStream, received_ids: ReceivedIds) -> io::Result<()> {
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

/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// A router whose system calls fail for a while, and a healthy worker.
struct Scenario {
    /// Description of the fault, for assertion messages.
    case: String,
    sockets: Rc<FaultySockets>,
    router: SharedRouter,
    received_ids: ReceivedIds,
    calls: u64,
}

/// Sends one call every 20 ms to a healthy worker. The fault starts with the first call of a router that is or is not
/// connected yet. Checks that the guarantees on responses and retries hold under every fault.
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
        let (address, received_ids) = spawn_worker().await;
        let router = router_with_effect("single_shot", CONNECT_TIMEOUT_MICROSECONDS, &[address]);
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

    /// After the fault, calls succeed again; the first one already if the fault did not count against the worker.
    async fn check_recovery(&mut self) {
        let during_fault = self.counters();
        let limit = if LOCAL_ERRORS.contains(&self.sockets.errno) { 1 } else { 500 };
        for _ in 0..limit {
            self.call();
            wait_until_answered(&self.router).await;
            if self.counters().succeeded > during_fault.succeeded {
                break;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        let counters = self.counters();
        assert_eq!(counters.succeeded, during_fault.succeeded + 1, "{}: {counters:?}", self.case);
    }

    /// Each call gets exactly one final response and is sent to the worker at most once.
    fn check_final_responses(&self) {
        let (case, counters) = (&self.case, self.counters());
        let responses = counters.succeeded + counters.rejected + counters.failed;
        assert_eq!(counters.accepted, responses, "{case}: {counters:?}");
        let received = self.received_ids.borrow();
        let mut distinct = received.clone();
        distinct.sort_unstable();
        distinct.dedup();
        assert_eq!(distinct.len(), received.len(), "{case}: a call that may run only once was sent twice");
        // A rejected call never ran; one that reached the worker succeeded or failed.
        let may_have_run = counters.succeeded + counters.failed;
        assert!(received.len() as u64 <= may_have_run, "{case}: {counters:?}, {}", received.len());
    }

    /// A brief local fault costs no attempt, and a failing system call is retried a bounded number of times.
    fn check_cost(&self) {
        let (case, counters, duration) = (&self.case, self.counters(), self.sockets.duration());
        let FaultySockets { operation, errno, .. } = *self.sockets;
        let waited_out = operation == Operation::Connect && LOCAL_ERRORS.contains(&errno)
            || TRANSIENT_ERRORS.contains(&errno);
        if waited_out && duration < Duration::from_millis(500) {
            let attempts = counters.attempts;
            assert_eq!(
                counters.succeeded, attempts,
                "{case}: a brief local fault cost an attempt: {counters:?}"
            );
        }
        // Pauses grow to 32 ms. An error that ends the connection costs each call at most four attempts.
        let attempts = if waited_out { 0 } else { 4 * counters.accepted as usize };
        let limit = 32 + duration.as_millis() as usize / 32 + attempts;
        let failures = self.sockets.failures.get();
        assert!(failures <= limit, "{case}: failed {failures} times");
        assert!(failures > 0, "{case}");
    }
}

/// Waits until each call has its final response; panics if that takes too long.
async fn wait_until_answered(router: &SharedRouter) {
    /// The client's timeout plus a margin for a busy host.
    const LONGEST: Duration = Duration::from_millis(4000);
    let begun = Instant::now();
    while router.borrow().dispatcher.open_requests() > 0 {
        assert!(begun.elapsed() < LONGEST, "{:?}", router.borrow().dispatcher.counters());
        tokio::time::sleep(Duration::from_millis(1)).await;
        // Stands in for the router's timer task.
        let mut state = router.borrow_mut();
        let now = state.now();
        state.dispatcher.advance(now);
        state.run_actions();
    }
}

pub const CONNECT_ERRORS: &[Errno] = &[
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

/// EAGAIN of a read or write is ordinary back pressure, which other tests cover with real sockets.
pub const TRANSFER_ERRORS: &[Errno] = &[
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

/// Errors that say nothing about the worker.
const LOCAL_ERRORS: &[Errno] = &[
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

/// Errors that leave the connection usable.
const TRANSIENT_ERRORS: &[Errno] = &[Errno::EINTR, Errno::ENOBUFS, Errno::ENOMEM];

pub const SHORT_FAULT: FaultDuration = FaultDuration::For(Duration::from_millis(100));
pub const LONG_FAULT: FaultDuration = FaultDuration::For(Duration::from_secs(2));

#[test_case(Operation::Connect, CONNECT_ERRORS, FaultDuration::Once, false; "connect, once")]
#[test_case(Operation::Connect, CONNECT_ERRORS, SHORT_FAULT, false; "connect, for 100 ms")]
#[test_case(Operation::Connect, CONNECT_ERRORS, LONG_FAULT, false; "connect, for 2 s")]
#[test_case(Operation::Read, TRANSFER_ERRORS, FaultDuration::Once, true; "read, once")]
#[test_case(Operation::Read, TRANSFER_ERRORS, SHORT_FAULT, true; "read, for 100 ms")]
#[test_case(Operation::Read, TRANSFER_ERRORS, LONG_FAULT, true; "read, for 2 s")]
#[test_case(Operation::Read, TRANSFER_ERRORS, SHORT_FAULT, false; "first read, for 100 ms")]
#[test_case(Operation::Write, TRANSFER_ERRORS, FaultDuration::Once, true; "write, once")]
#[test_case(Operation::Write, TRANSFER_ERRORS, SHORT_FAULT, true; "write, for 100 ms")]
#[test_case(Operation::Write, TRANSFER_ERRORS, LONG_FAULT, true; "write, for 2 s")]
#[test_case(Operation::Write, TRANSFER_ERRORS, SHORT_FAULT, false; "first write, for 100 ms")]
fn requests_survive_a_failing_system_call(
    operation: Operation,
    errors: &'static [Errno],
    duration: FaultDuration,
    connected: bool,
) {
    run_local(async move {
        let scenarios = errors.iter().map(|&errno| {
            let sockets = FaultySockets::new(operation, errno, duration, usize::MAX);
            spawn_local(run_scenario(sockets, connected))
        });
        for scenario in scenarios.collect::<Vec<_>>() {
            scenario.await.unwrap();
        }
    });
}

/// Reads and writes are limited to one or a few bytes per call, and one of them fails.
#[test_case(1; "one byte at a time")]
#[test_case(7; "seven bytes at a time")]
fn requests_survive_short_reads_and_writes(max_bytes_per_call: usize) {
    run_local(async move {
        for operation in [Operation::Read, Operation::Write] {
            for errno in [Errno::EINTR, Errno::ENOBUFS] {
                run_scenario(
                    FaultySockets::new(operation, errno, FaultDuration::Once, max_bytes_per_call),
                    true,
                )
                .await;
            }
        }
    });
}
