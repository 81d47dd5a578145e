//! Follows the platform's list of workers: each event once and in order, whatever breaks. A gap, an invalid line, a
//! broken connection or a silence longer than the heartbeat explains leads to a new subscription after the last event.

use crate::platform_router::SharedRouter;
use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_process_environment::wall_clock::unix_time;
use milletpath_protocol::InputError;
use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::Instant;

/// The platform ends a line every second; past this the stream has fallen silent, whatever pieces of a line come. Well
/// within the 4 s after which an event counts as known to the router.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time for a connection to be made, and for the subscription to be written on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before an interrupted write is repeated; doubled each time, so that it is repeated nine times at most within the
/// time for the subscription.
const INTERRUPTION_PAUSE: Duration = Duration::from_millis(1);
/// Pause before the second attempt, doubled from one to the next.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time to read what the last address has sent already, when the file names another: a drain among it must not wait
/// until the next address answers.
const FINAL_READ: Duration = Duration::from_millis(20);

/// Why a stream of events ended.
#[derive(Debug, thiserror::Error)]
enum StreamEnd {
    #[error("could not connect: {0}")]
    Connect(#[source] io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("could not subscribe: {0}")]
    Subscribe(#[source] io::Error),
    #[error("could not subscribe in time")]
    SubscribeTimeout,
    #[error("the stream was closed")]
    Closed,
    #[error("the stream broke: {0}")]
    Broken(#[source] io::Error),
    #[error("no line came in time")]
    Silent,
    #[error("events after {after} are missing")]
    MissingEvents { after: u64 },
    #[error("a line is invalid: {0}")]
    InvalidLine(#[from] InputError),
    #[error("a line is too long")]
    LineTooLong,
}

/// Follows the list for as long as the router runs, from the event after `last` on. `address` changes when the file
/// names another.
pub(crate) async fn watch_discovery(
    router: SharedRouter,
    mut address: watch::Receiver<SocketAddr>,
    mut last: u64,
) {
    let mut pause = SHORTEST_PAUSE;
    loop {
        let current = *address.borrow_and_update();
        let before = last;
        let mut stream = Box::pin(follow_stream(&router, current, &mut last));
        let Err(reason) = tokio::select! {
            result = &mut stream => result,
            _ = address.changed() => {
                let _ = tokio::time::timeout(FINAL_READ, stream).await;
                pause = SHORTEST_PAUSE;
                continue;
            }
        };
        drop(stream);
        tracing::info!(address = %current, last_event = last, %reason, "subscribing to discovery again");
        pause = if last > before { SHORTEST_PAUSE } else { (2 * pause).min(LONGEST_PAUSE) };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = address.changed() => {}
        }
    }
}

/// Connects and follows one stream until it ends.
async fn follow_stream(
    router: &SharedRouter,
    address: SocketAddr,
    last: &mut u64,
) -> Result<Infallible, StreamEnd> {
    let sockets = router.borrow().sockets.clone();
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, sockets.connect(address)).await;
    let stream = connected.map_err(|_| StreamEnd::ConnectTimeout)?.map_err(StreamEnd::Connect)?;
    read_events(router, stream, last).await
}

/// Writes all bytes. Interrupted writes are repeated after pauses: the runtime's own `write_all` repeats them at once, for
/// as long as they are interrupted.
async fn write_patiently(stream: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    let mut pause = INTERRUPTION_PAUSE;
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

/// Subscribes to the events after `last` and applies them until the stream ends.
async fn read_events(
    router: &SharedRouter,
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
    last: &mut u64,
) -> Result<Infallible, StreamEnd> {
    let subscription = events::subscribe_after(*last);
    let written =
        tokio::time::timeout(CONNECT_TIMEOUT, write_patiently(&mut stream, subscription.as_bytes())).await;
    written.map_err(|_| StreamEnd::SubscribeTimeout)?.map_err(StreamEnd::Subscribe)?;
    let mut unread = Vec::new();
    let mut last_line_at = Instant::now();
    loop {
        let read =
            tokio::time::timeout_at(last_line_at + SILENCE_TIMEOUT, stream.read_buf(&mut unread)).await;
        if read.map_err(|_| StreamEnd::Silent)?.map_err(StreamEnd::Broken)? == 0 {
            return Err(StreamEnd::Closed);
        }
        while let Some(end) = unread.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = unread.drain(..=end).collect();
            last_line_at = Instant::now();
            apply_line(router, line.trim_ascii(), last)?;
        }
        if unread.len() > events::MAX_LINE {
            return Err(StreamEnd::LineTooLong);
        }
    }
}

/// Applies one line; `last` is the number of the last event that was applied.
fn apply_line(router: &SharedRouter, line: &[u8], last: &mut u64) -> Result<(), StreamEnd> {
    tracing::trace!(line = %String::from_utf8_lossy(line), "received a line from discovery");
    match events::read(line)? {
        // Applied before.
        DiscoveryLine::Event { number, .. } if number <= *last => {}
        DiscoveryLine::Event { number, complete, entries } if complete || number == *last + 1 => {
            *last = number;
            let mut router = router.borrow_mut();
            let now = router.now();
            router.dispatcher.wall_clock_read(now, unix_time());
            router.dispatcher.update_endpoints(now, complete, &entries);
            router.run_actions();
        }
        DiscoveryLine::Last(number) if number == *last => {
            let mut router = router.borrow_mut();
            let now = router.now();
            router.dispatcher.endpoint_list_confirmed(now);
        }
        // From a source that is behind the one that was followed before.
        DiscoveryLine::Last(number) if number < *last => {}
        _ => return Err(StreamEnd::MissingEvents { after: *last }),
    }
    Ok(())
}

#[cfg(test)]
mod tests;
