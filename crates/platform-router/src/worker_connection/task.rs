//! The task of a link: makes its connection, then waits until its socket is ready.

use crate::backoff::Backoff;
use crate::platform_router::SharedRouter;
use crate::socket_errors::{self, Operation, Recovery};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a link waits for.
struct WaitConditions {
    reads: bool,
    writes: bool,
    /// How long until a pause after a local fault is over.
    pause: Option<Duration>,
}

/// Makes the connection of a link and serves it until the link is removed, which `wake` tells.
pub async fn run_connection(router: SharedRouter, key: usize, address: SocketAddr, wake: Rc<Notify>) {
    let connected = tokio::select! {
        connected = connect(&router, key, address, &wake) => connected,
        // Before it stands it is woken only where it was removed: its descriptor is wanted for another.
        () = wake.notified() => return,
    };
    let stream = match connected {
        Ok(stream) => Rc::new(stream),
        Err(error) => return connect_failed(&router, key, &wake, &error),
    };
    {
        let mut s = router.borrow_mut();
        match s.worker_connections.get_mut(key).filter(|connection| Rc::ptr_eq(&connection.wake, &wake)) {
            Some(connection) => {
                (connection.stream, connection.connect_failing) = (Some(stream.clone()), false)
            }
            None => return,
        }
        s.flush_worker(key);
        s.run_actions();
    }
    while let Some(conditions) = wait_conditions(&router, key, &wake) {
        tokio::select! {
            _ = stream.readable(), if conditions.reads => router.borrow_mut().on_worker_readable(key),
            _ = stream.writable(), if conditions.writes => {
                let mut s = router.borrow_mut();
                s.flush_worker(key);
                s.run_actions();
            }
            () = tokio::time::sleep(conditions.pause.unwrap_or_default()), if conditions.pause.is_some() => {}
            () = wake.notified() => {}
        }
    }
}

/// What the link of this task waits for; none once it was removed.
fn wait_conditions(router: &SharedRouter, key: usize, wake: &Rc<Notify>) -> Option<WaitConditions> {
    let s = router.borrow();
    let now = s.now();
    let connection = s.worker_connections.get(key).filter(|connection| Rc::ptr_eq(&connection.wake, wake))?;
    let (read_backoff, write_backoff) =
        (connection.read_backoff.pauses_until(now), connection.write_backoff.pauses_until(now));
    let resume = read_backoff.into_iter().chain(write_backoff).min_by(f64::total_cmp);
    let unwritten = connection.write_buffer.remaining() > 0 || !connection.queue.is_empty();
    Some(WaitConditions {
        reads: read_backoff.is_none(),
        writes: write_backoff.is_none() && unwritten,
        pause: resume.map(|at| Duration::from_secs_f64((at - now).max(0.0))),
    })
}

/// Makes the connection of a link. A local fault is waited out for as long as something waits for the connection.
async fn connect(
    router: &SharedRouter,
    key: usize,
    address: SocketAddr,
    wake: &Rc<Notify>,
) -> io::Result<TcpStream> {
    let (sockets, limit) = {
        let s = router.borrow();
        (s.sockets.clone(), s.connect_timeout)
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
        let resume = backoff.failed(now);
        let retries = socket_errors::classify(Operation::Connect, &error).recovery == Recovery::Retry;
        if !retries || !is_still_needed(router, key, wake, backoff.exhausted(now)) {
            return Err(error);
        }
        tracing::debug!(%address, %error, "a connection is tried again");
        tokio::time::sleep(Duration::from_secs_f64(resume - now)).await;
    }
}

/// Notes that a connection can't be made for a local reason; where that has lasted too long, what waits for it is
/// given back. Tells whether something still, or again, waits for it.
fn is_still_needed(router: &SharedRouter, key: usize, wake: &Rc<Notify>, exhausted: bool) -> bool {
    let mut s = router.borrow_mut();
    let Some(connection) =
        s.worker_connections.get_mut(key).filter(|connection| Rc::ptr_eq(&connection.wake, wake))
    else {
        return false;
    };
    connection.connect_failing = true;
    if exhausted {
        s.fail_queued_as_unsent(key);
        s.run_actions();
    }
    let connection = s.worker_connections.get(key).filter(|connection| Rc::ptr_eq(&connection.wake, wake));
    connection
        .is_some_and(|connection| connection.queue.iter().any(|frame| frame.awaited_response().is_some()))
}

fn connect_failed(router: &SharedRouter, key: usize, wake: &Rc<Notify>, error: &io::Error) {
    let origin = socket_errors::classify(Operation::Connect, error).origin;
    let mut s = router.borrow_mut();
    if s.worker_connections.get(key).is_some_and(|connection| Rc::ptr_eq(&connection.wake, wake)) {
        s.connection_not_made(key, &error.to_string(), socket_errors::outcome(origin, false));
        s.run_actions();
    }
}
