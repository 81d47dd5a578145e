//! Follows the bulletin: each event once and in order, whatever breaks. A gap, a line that can't be read, a break or
//! a silence longer than its heartbeat explains leads to asking again for all after the last event.

use crate::station::Shared;
use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_process_environment::wall_clock::unix_time;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::Instant;

/// The bulletin ends a line every second; past this it has fallen silent, whatever drips in. Well within the 4 s
/// after which what it would have told counts as told.
const SILENCE: Duration = Duration::from_millis(1800);
/// For a connection to be made.
const CONNECT: Duration = Duration::from_millis(500);
/// Between two tries, doubled up to the longest.
const PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(400)];

/// For what the address before had told to be read, when the file names another: with a drain among it, that
/// must not wait until the next one speaks.
const LAST_WORDS: Duration = Duration::from_millis(20);

/// Follows for the router's life, from the event after `last`; `address` changes when the file names another.
pub async fn follow(station: Shared, mut address: watch::Receiver<SocketAddr>, mut last: u64) {
    let [shortest, longest] = PAUSES;
    let mut pause = shortest;
    loop {
        let at = *address.borrow_and_update();
        let before = last;
        let mut stream = Box::pin(stream(&station, at, &mut last));
        let why = tokio::select! {
            why = &mut stream => why,
            _ = address.changed() => {
                let _ = tokio::time::timeout(LAST_WORDS, stream).await;
                pause = shortest;
                continue;
            }
        };
        drop(stream);
        tracing::info!(address = %at, last, "the bulletin is asked again: {why}");
        pause = if last > before { shortest } else { (2 * pause).min(longest) };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = address.changed() => {}
        }
    }
}

async fn stream(station: &Shared, address: SocketAddr, last: &mut u64) -> String {
    let sockets = station.borrow().sockets.clone();
    match tokio::time::timeout(CONNECT, sockets.connect(address)).await {
        Ok(Ok(stream)) => heed(station, stream, last).await,
        Ok(Err(e)) => format!("no connection: {e}"),
        Err(_) => "no connection in time".into(),
    }
}

/// Asks on a connection that stands, and takes what is told until it breaks or falls silent: why.
async fn heed(station: &Shared, mut stream: impl AsyncRead + AsyncWrite + Unpin, last: &mut u64) -> String {
    if let Err(e) = stream.write_all(events::subscribe_after(*last).as_bytes()).await {
        return format!("it could not be asked: {e}");
    }
    let mut rest = Vec::new();
    let mut spoke = Instant::now();
    loop {
        match tokio::time::timeout_at(spoke + SILENCE, stream.read_buf(&mut rest)).await {
            Ok(Ok(0)) => return "it ended".into(),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return format!("it broke: {e}"),
            Err(_) => return "it fell silent".into(),
        }
        while let Some(end) = rest.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = rest.drain(..=end).collect();
            spoke = Instant::now();
            tracing::trace!("bulletin: {}", String::from_utf8_lossy(&line).trim());
            match events::read(line.trim_ascii()) {
                // Told before.
                Ok(DiscoveryLine::Event { number, .. }) if number <= *last => {}
                Ok(DiscoveryLine::Event { number, complete: whole, entries })
                    if whole || number == *last + 1 =>
                {
                    *last = number;
                    let mut s = station.borrow_mut();
                    let now = s.now();
                    s.desk.wall_clock_read(now, unix_time());
                    s.desk.update_endpoints(now, whole, &entries);
                    s.carry_out();
                }
                Ok(DiscoveryLine::Last(number)) if number == *last => {
                    let mut s = station.borrow_mut();
                    let now = s.now();
                    s.desk.endpoint_list_confirmed(now);
                }
                // Of a bulletin behind the one that was followed before.
                Ok(DiscoveryLine::Last(number)) if number < *last => {}
                Ok(_) => return format!("events after {last} are missing"),
                Err(fault) => return format!("a line that can't be read, {fault}"),
            }
        }
        if rest.len() > events::MAX_LINE {
            return "a line without end".into();
        }
    }
}

#[cfg(test)]
mod tests;
