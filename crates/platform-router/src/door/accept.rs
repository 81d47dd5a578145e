//! Connections of clients are accepted: within the bound on them, past failures of `accept` that pass.

use super::{Client, attend};
use crate::numbers::Numbers;
use crate::outbox::Outbox;
use crate::station::{Shared, Station};
use nix::errno::Errno;
use socket2::Socket;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Connections that are taken from the queue of the listener at a time.
const QUEUE: usize = 1024;
/// Pause before the next attempt where a connection can't be accepted yet: for want of descriptors it would fail again
/// at once.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections beside the bound, where all others are owed answers: they take their descriptors from the reserve.
const OVERFLOW: usize = 8;
/// Seconds for which a connection that has said nothing yet is not closed for another: its first call may be on its way.
/// Short, as a flood of silent connections holds up all others for as long.
const FIRST_CALL: f64 = 0.01;
/// Pause before the next look for a place for a connection that waits for one.
const PLACE_PAUSE: Duration = Duration::from_millis(2);
/// Transient failures in a row after which there is a pause as well: an error that stays must not spin.
const TRANSIENT: u32 = 16;

/// Why a connection was not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AcceptFailure {
    /// No connection waits.
    QueueEmpty,
    /// The connection ended before it was accepted, or the call was interrupted: others may wait behind it.
    Transient,
    /// The system has no room for it, and it still waits.
    NoResources,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> Self {
        match error.raw_os_error().map(Errno::from_raw) {
            Some(Errno::EAGAIN) => Self::QueueEmpty,
            // Linux passes errors that are pending on the new connection on as those of `accept`.
            Some(
                Errno::EINTR
                | Errno::ECONNABORTED
                | Errno::ECONNRESET
                | Errno::EPERM
                | Errno::EPROTO
                | Errno::ENOPROTOOPT
                | Errno::EOPNOTSUPP
                | Errno::ENETDOWN
                | Errno::ENETUNREACH
                | Errno::EHOSTDOWN
                | Errno::EHOSTUNREACH
                | Errno::ENONET
                | Errno::ETIMEDOUT,
            ) => Self::Transient,
            _ => Self::NoResources,
        }
    }
}

/// What was found in the queue of the listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drained {
    /// Connections that were taken in.
    pub accepted: usize,
    /// Whether nothing is left there.
    pub empty: bool,
}

/// Accepts connections for as long as the router runs.
pub async fn accept(station: Shared, listener: Rc<TcpListener>) {
    let mut failures = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures = 0;
                station.borrow_mut().parked = Some(stream);
                while !station.borrow_mut().admit_parked() {
                    tokio::time::sleep(PLACE_PAUSE).await;
                }
                station.borrow_mut().carry_out();
                // Who made room for it lets go of its descriptor first, before another is taken.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!("a connection could not be accepted: {e}");
                failures += 1;
                if AcceptFailure::of(&e) == AcceptFailure::Transient && failures < TRANSIENT {
                    tokio::task::yield_now().await;
                } else {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// The place of a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Regular,
    /// Beside those that are all owed answers: its calls are rejected until there is room.
    Overflow,
}

impl Station {
    /// Finds a place for one more connection, where need be by closing another that is owed nothing, has nothing unread
    /// and was not accepted just now. None where there is none: the connection waits, and what is written on it.
    fn make_room(&mut self) -> Option<Place> {
        if self.clients.len() < self.keeping.clients {
            return Some(Place::Regular);
        }
        let now = self.now();
        let settled = |c: &Client| c.open.is_empty() && (c.said || now - c.used() >= FIRST_CALL);
        let regular = self.clients.iter().filter(|(_, c)| !c.overflow && settled(c));
        let regular = regular.map(|(key, c)| (key, c.said, now - c.used()));
        let idle = self.keeping.evict(regular).find(|key| self.clients[*key].quiet());
        if let Some(key) = idle {
            self.part(key, "room for another");
            return Some(Place::Regular);
        }
        if self.clients.len() < self.keeping.clients + OVERFLOW {
            return Some(Place::Overflow);
        }
        let silent = |c: &Client| settled(c) && !c.said && c.rest.is_empty() && c.quiet();
        let spent = |c: &Client| c.overflow && (c.finished.is_some() || silent(c));
        let spent = self.clients.iter().filter(|(_, c)| spent(c));
        let (key, _) = spent.min_by(|(_, a), (_, b)| a.used().total_cmp(&b.used()))?;
        self.part(key, "room for another beside the bound");
        Some(Place::Overflow)
    }

    /// Takes in the connection that waits for a place; false where it goes on waiting.
    fn admit_parked(&mut self) -> bool {
        let Some(stream) = self.parked.take() else { return true };
        let place = self.make_room();
        match place {
            Some(place) => self.welcome(stream, place),
            None => self.parked = Some(stream),
        }
        place.is_some()
    }

    /// Takes in a connection that was accepted; false where it waits for a place.
    pub(super) fn admit(&mut self, stream: TcpStream) -> bool {
        self.parked = Some(stream);
        self.admit_parked()
    }

    fn welcome(&mut self, stream: TcpStream, place: Place) {
        let _ = stream.set_nodelay(true);
        self.serial += 1;
        let (stream, wake) = (Rc::new(stream), Rc::new(Notify::new()));
        let client = Client {
            serial: self.serial,
            stream: stream.clone(),
            wake: wake.clone(),
            rest: Vec::new(),
            out: Outbox::default(),
            holds: self.room.holds(0),
            open: Vec::new(),
            numbers: Numbers::default(),
            said: false,
            since: self.now(),
            heard: f64::NEG_INFINITY,
            looked: f64::NEG_INFINITY,
            emptied: f64::NEG_INFINITY,
            unread_turns: 0,
            condemned: false,
            overflow: place == Place::Overflow,
            finished: None,
        };
        let key = self.clients.insert(client);
        if let Some(station) = self.me.upgrade() {
            spawn_local(attend(station, key, stream, wake));
        }
    }

    /// Takes in what queues at the listener, without waiting: no more than may queue there at once.
    pub(super) fn drain_queue(&mut self, mut next: impl FnMut() -> io::Result<Socket>) -> Drained {
        let mut accepted = 0;
        if !self.admit_parked() {
            return Drained { accepted, empty: false };
        }
        for _ in 0..QUEUE {
            let stream = next().and_then(|socket| {
                socket.set_nonblocking(true)?;
                TcpStream::from_std(socket.into())
            });
            match stream.map_err(|e| AcceptFailure::of(&e)) {
                Ok(stream) => {
                    accepted += 1;
                    if !self.admit(stream) {
                        return Drained { accepted, empty: false };
                    }
                }
                Err(AcceptFailure::Transient) => {}
                Err(failure) => {
                    return Drained { accepted, empty: failure == AcceptFailure::QueueEmpty };
                }
            }
        }
        Drained { accepted, empty: false }
    }
}

#[cfg(test)]
mod tests;
