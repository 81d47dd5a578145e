//! Follows the platform's list of workers: each event once and in order, whatever breaks. A gap, an invalid line, a
//! broken connection or a silence longer than the heartbeat explains leads to a new subscription after the last event.

mod receive;
mod shared_stream;

use crate::discovery_feed::StreamEnd;
use crate::platform_router::SharedRouter;
use milletpath_platform_protocol::events;
use shared_stream::SharedStream;
use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;

/// The platform ends a line every second; past this the stream has fallen silent, whatever pieces of a line come. Well
/// within the 4 s after which an event counts as known to the router.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Bytes that are read at a time.
const READ_SIZE: usize = 8 << 10;
/// Time for a connection to be made, and for the subscription to be written on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before an interrupted write is repeated; doubled each time, so that it is repeated nine times at most within the
/// time for the subscription.
const INITIAL_INTERRUPT_PAUSE: Duration = Duration::from_millis(1);
/// Pause before the second attempt, doubled from one to the next.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time to read what the last address has sent already, when the file names another: a drain among it must not wait
/// until the next address answers.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Follows the list for as long as the router runs, from the event after the last one that is known. `address` changes
/// when the file names another.
pub(crate) async fn watch_discovery(router: SharedRouter, mut address: watch::Receiver<SocketAddr>) {
    let mut pause = MIN_RETRY_PAUSE;
    loop {
        let current = *address.borrow_and_update();
        let before = router.borrow().discovery.last_event;
        let mut stream = Box::pin(follow_stream(&router, current));
        let end = tokio::select! {
            result = &mut stream => result,
            _ = address.changed() => {
                let _ = tokio::time::timeout(FINAL_READ_TIMEOUT, &mut stream).await;
                Err(StreamEnd::AddressChanged)
            }
        };
        drop(stream);
        router.borrow_mut().discovery.close();
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

/// Connects and follows one stream until it ends.
async fn follow_stream(router: &SharedRouter, address: SocketAddr) -> Result<Infallible, StreamEnd> {
    let sockets = router.borrow().sockets.clone();
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, sockets.connect(address)).await;
    let stream =
        Rc::new(connected.map_err(|_| StreamEnd::ConnectTimeout)?.map_err(StreamEnd::ConnectFailed)?);
    router.borrow_mut().discovery.attach(stream.clone());
    read_events(router, SharedStream(stream)).await
}

/// Writes all bytes. Interrupted writes are repeated after pauses: the runtime's own `write_all` repeats them at once, for
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

/// Subscribes to the events after the last one that is known, and applies them until the stream ends.
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
                if read.map_err(|_| StreamEnd::Silent)?.map_err(StreamEnd::ReadFailed)? == 0 {
                    return Err(StreamEnd::Closed);
                }
            }
            () = read_outside_task.notified() => {}
        }
        let mut router = router.borrow_mut();
        let received = router.receive_from_discovery(&bytes);
        router.peek_discovery();
        router.run_actions();
        received?;
        if let Some(end) = router.discovery.take_end() {
            return Err(end);
        }
    }
}

#[cfg(test)]
mod tests;
