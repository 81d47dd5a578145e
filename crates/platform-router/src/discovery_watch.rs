//! Watches the platform's list of workers and applies each event exactly once and in order. A gap, an invalid line, a
//! broken connection or a silence that exceeds the heartbeat interval leads to a new subscription after the last
//! applied event.

mod held_back;
mod receive;
mod shared_stream;

use crate::discovery_feed::StreamEnd;
use crate::pass_limit::end_pass;
use crate::platform_router::SharedRouter;
use milletpath_platform_protocol::events;
use shared_stream::SharedStream;
use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::Instant;

/// Time without a complete line after which the stream counts as silent, even if parts of a line arrive. The platform
/// completes a line every second. Well below the 4 s after which the router is expected to know an event.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Maximum number of bytes per read.
const READ_SIZE: usize = 8 << 10;
/// Timeout for connecting, and for writing the subscription.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before an interrupted write is retried. It is doubled each time, so that there are at most nine retries
/// before the subscription times out.
const INITIAL_INTERRUPT_PAUSE: Duration = Duration::from_millis(1);
/// Pause before the second attempt to subscribe; doubled after each further one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time to read what the previous address has already sent when the file names a different one, repeated while more of
/// it is unread. A drain event must not wait until the new address answers.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of such repetitions.
const MAX_FINAL_READS: usize = 25;
/// Maximum number of reads that look for a complete line before a stream counts as silent: enough for a complete list
/// of the largest fleet.
const MAX_READS_FOR_LINE: usize = 64;

/// Watches the list for the lifetime of the router, starting after the last known event. `address` changes when a
/// reload of the file changes the discovery address.
pub(crate) async fn watch_discovery(router: SharedRouter, mut address: watch::Receiver<SocketAddr>) {
    let mut pause = MIN_RETRY_PAUSE;
    loop {
        let current = *address.borrow_and_update();
        let before = router.borrow().discovery.last_event;
        let mut stream = Box::pin(follow_stream(&router, current));
        let end = tokio::select! {
            result = &mut stream => result,
            _ = address.changed() => {
                read_rest(&router, stream.as_mut()).await;
                Err(StreamEnd::AddressChanged)
            }
        };
        drop(stream);
        router.borrow_mut().discovery.close();
        router.borrow_mut().release_backlog();
        let Err(reason) = end;
        let last_event = router.borrow().discovery.last_event;
        tracing::info!(address = %current, last_event, %reason, "subscribing to discovery again");
        if matches!(reason, StreamEnd::AddressChanged) {
            pause = MIN_RETRY_PAUSE;
            continue;
        }
        pause = if last_event > before { MIN_RETRY_PAUSE } else { (2 * pause).min(MAX_RETRY_PAUSE) };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = address.changed() => {}
        }
    }
}

/// Reads what a stream has already sent before it is replaced.
async fn read_rest(
    router: &SharedRouter,
    mut stream: Pin<&mut impl Future<Output = Result<Infallible, StreamEnd>>>,
) {
    for _ in 0..MAX_FINAL_READS {
        let has_ended = tokio::time::timeout(FINAL_READ_TIMEOUT, &mut stream).await.is_ok();
        if has_ended || router.borrow_mut().peek_discovery() {
            return;
        }
    }
}

/// Connects and reads one stream until it ends.
async fn follow_stream(router: &SharedRouter, address: SocketAddr) -> Result<Infallible, StreamEnd> {
    let sockets = router.borrow().sockets.clone();
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, sockets.connect(address)).await;
    let stream =
        Rc::new(connected.map_err(|_| StreamEnd::ConnectTimeout)?.map_err(StreamEnd::ConnectFailed)?);
    router.borrow_mut().discovery.attach(stream.clone());
    read_events(router, SharedStream(stream)).await
}

/// Writes all bytes, retrying interrupted writes after pauses. Tokio's `write_all` would retry them immediately for
/// as long as they are interrupted.
async fn write_all_with_backoff(stream: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    let mut pause = INITIAL_INTERRUPT_PAUSE;
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads what the stream has sent although its socket is not known to be readable, and returns an error if there was no
/// line. After a pause of the process the timers fire before the runtime learns which sockets are readable, as the wait
/// for them was interrupted by the signal.
fn end_if_silent(router: &SharedRouter) -> Result<(), StreamEnd> {
    let mut router = router.borrow_mut();
    for _ in 0..MAX_READS_FOR_LINE {
        router.read_discovery();
        if router.discovery.last_line_at + SILENCE_TIMEOUT > Instant::now() {
            return Ok(());
        }
        if router.peek_discovery() {
            break;
        }
    }
    Err(StreamEnd::Silent)
}

/// Applies received bytes. Returns whether nothing more is unread.
fn apply_events(router: &SharedRouter, bytes: &[u8]) -> Result<bool, StreamEnd> {
    let mut router = router.borrow_mut();
    let received = router.receive_from_discovery(bytes);
    let is_drained = router.peek_discovery();
    router.run_actions();
    router.release_backlog();
    received?;
    router.discovery.take_end().map_or(Ok(is_drained), Err)
}

/// Subscribes to the events after the last known one and applies them until the stream ends.
async fn read_events(
    router: &SharedRouter,
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
) -> Result<Infallible, StreamEnd> {
    let (subscription, read_outside_task) = {
        let mut router = router.borrow_mut();
        let now = router.now();
        router.discovery.open(now);
        (events::subscribe_after(router.discovery.last_event), router.discovery.read_outside_task.clone())
    };
    let written =
        tokio::time::timeout(CONNECT_TIMEOUT, write_all_with_backoff(&mut stream, subscription.as_bytes()))
            .await;
    written.map_err(|_| StreamEnd::SubscribeTimeout)?.map_err(StreamEnd::SubscribeFailed)?;
    let mut bytes = Vec::with_capacity(READ_SIZE);
    loop {
        let silent_at = router.borrow().discovery.last_line_at + SILENCE_TIMEOUT;
        bytes.clear();
        tokio::select! {
            read = tokio::time::timeout_at(silent_at, stream.read_buf(&mut bytes)) => {
                match read {
                    Ok(Ok(1..)) => {}
                    Ok(Ok(0)) => return Err(StreamEnd::Closed),
                    Ok(Err(error)) => return Err(StreamEnd::ReadFailed(error)),
                    Err(_) => end_if_silent(router)?,
                }
            }
            () = read_outside_task.notified() => {}
        }
        if !apply_events(router, &bytes)? {
            // Other sockets are looked at before more events are read.
            tokio::task::yield_now().await;
        }
        end_pass().await;
    }
}

#[cfg(test)]
mod tests;
