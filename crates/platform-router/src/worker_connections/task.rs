//! The task of a worker connection, which establishes the connection and then waits for socket readiness.

use super::error::WorkerConnectionError;
use crate::backoff::Backoff;
use crate::pass_limit::end_pass;
use crate::platform_router::{PlatformRouter, SharedRouter, WorkerConnection};
use crate::socket_errors::{self, Operation, Recovery};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The events for which a task waits.
struct WaitConditions {
    reads: bool,
    writes: bool,
    /// Time until the pause after a local fault ends.
    pause: Option<Duration>,
}

/// Identifies the connection of a task, as its slot may be reused after it was removed.
#[derive(Clone)]
struct ConnectionHandle {
    slot: usize,
    wake: Rc<Notify>,
}

impl ConnectionHandle {
    fn get<'r>(&self, router: &'r PlatformRouter) -> Option<&'r WorkerConnection> {
        router.worker_connections.get(self.slot).filter(|connection| Rc::ptr_eq(&connection.wake, &self.wake))
    }

    fn get_mut<'r>(&self, router: &'r mut PlatformRouter) -> Option<&'r mut WorkerConnection> {
        let connection = router.worker_connections.get_mut(self.slot);
        connection.filter(|connection| Rc::ptr_eq(&connection.wake, &self.wake))
    }
}

/// Establishes a connection and serves it until it is removed, of which `wake` notifies the task.
pub(super) async fn run_connection(router: SharedRouter, slot: usize, address: SocketAddr, wake: Rc<Notify>) {
    let handle = ConnectionHandle { slot, wake };
    let result = tokio::select! {
        result = connect(&router, &handle, address) => result,
        // Before the connection is established, it is woken only if it was removed to free its descriptor.
        () = handle.wake.notified() => return,
    };
    let stream = match result {
        Ok(stream) => Rc::new(stream),
        Err(error) => return report_connect_failure(&router, &handle, error),
    };
    if !connected(&router, &handle, &stream) {
        return;
    }
    while let Some(conditions) = wait_conditions(&router, &handle) {
        tokio::select! {
            _ = stream.readable(), if conditions.reads => router.borrow_mut().on_worker_readable(slot),
            _ = stream.writable(), if conditions.writes => {
                let mut router = router.borrow_mut();
                router.flush_worker(slot);
                router.run_actions();
            }
            () = tokio::time::sleep(conditions.pause.unwrap_or_default()), if conditions.pause.is_some() => {}
            () = handle.wake.notified() => {}
        }
        end_pass().await;
    }
}

/// Starts using a new socket and writes queued frames; returns false if the connection was removed in the meantime.
fn connected(router: &SharedRouter, handle: &ConnectionHandle, stream: &Rc<TcpStream>) -> bool {
    let mut router = router.borrow_mut();
    let now = router.now();
    let Some(connection) = handle.get_mut(&mut router) else { return false };
    connection.stream = Some(stream.clone());
    connection.connected_at = now;
    connection.connect_failing = false;
    router.flush_worker(handle.slot);
    router.run_actions();
    true
}

/// The events for which the task waits, or `None` if its connection was removed.
fn wait_conditions(router: &SharedRouter, handle: &ConnectionHandle) -> Option<WaitConditions> {
    let router = router.borrow();
    let now = router.now();
    let connection = handle.get(&router)?;
    let read_pause = connection.read_backoff.pauses_until(now);
    let write_pause = connection.write_backoff.pauses_until(now);
    let resume_at = read_pause.into_iter().chain(write_pause).min_by(f64::total_cmp);
    let is_held_back =
        router.discovery.holds_back(handle.slot) || router.unsettled_connections.contains(&handle.slot);
    let may_write_queued = !connection.queue.is_empty() && !is_held_back;
    let has_unwritten = connection.write_buffer.remaining() > 0 || may_write_queued;
    Some(WaitConditions {
        reads: read_pause.is_none(),
        writes: write_pause.is_none() && has_unwritten,
        pause: resume_at.map(|at| Duration::from_secs_f64((at - now).max(0.0))),
    })
}

/// Establishes a connection. After a local fault it is retried as long as queued frames need the connection.
async fn connect(
    router: &SharedRouter,
    handle: &ConnectionHandle,
    address: SocketAddr,
) -> io::Result<TcpStream> {
    let (sockets, limit) = {
        let router = router.borrow();
        (router.sockets.clone(), router.connect_timeout)
    };
    let mut backoff = Backoff::new(limit);
    loop {
        let attempt = tokio::time::timeout(Duration::from_secs_f64(limit), sockets.connect(address)).await;
        let error = match attempt {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => error,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        let now = router.borrow().now();
        let resume_at = backoff.failed(now);
        let retries = socket_errors::classify(Operation::Connect, &error).recovery == Recovery::Retry;
        if !retries || !is_still_needed(router, handle, backoff.exhausted(now)) {
            return Err(error);
        }
        tracing::debug!(%address, %error, "retrying a connection to a worker after a local fault");
        tokio::time::sleep(Duration::from_secs_f64(resume_at - now)).await;
    }
}

/// Records that connecting failed for a local reason. If that has lasted too long, queued frames are returned as not
/// sent. Returns whether any frame still needs the connection.
fn is_still_needed(router: &SharedRouter, handle: &ConnectionHandle, exhausted: bool) -> bool {
    let mut router = router.borrow_mut();
    let Some(connection) = handle.get_mut(&mut router) else { return false };
    connection.connect_failing = true;
    if exhausted {
        router.fail_queued_as_unsent(handle.slot);
        router.run_actions();
    }
    let is_awaited = |connection: &WorkerConnection| {
        connection.queue.iter().any(|frame| frame.awaited_response().is_some())
    };
    handle.get(&router).is_some_and(is_awaited)
}

fn report_connect_failure(router: &SharedRouter, handle: &ConnectionHandle, source: io::Error) {
    let mut router = router.borrow_mut();
    if handle.get(&router).is_some() {
        let error = WorkerConnectionError::Io { operation: Operation::Connect, source };
        router.on_connect_failed(handle.slot, &error);
        router.run_actions();
    }
}
