//! The task of a link: makes its connection, then waits until its socket is ready.

use crate::backoff::Backoff;
use crate::faults::{self, Operation, Recovery};
use crate::station::Shared;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a link waits for.
struct Wanted {
    reads: bool,
    writes: bool,
    /// How long until a pause after a local fault is over.
    pause: Option<Duration>,
}

/// Makes the connection of a link and serves it until the link is removed, which `wake` tells.
pub async fn drive(station: Shared, key: usize, address: SocketAddr, wake: Rc<Notify>) {
    let connected = tokio::select! {
        connected = connect(&station, key, address, &wake) => connected,
        // Before it stands it is woken only where it was removed: its descriptor is wanted for another.
        () = wake.notified() => return,
    };
    let stream = match connected {
        Ok(stream) => Rc::new(stream),
        Err(error) => return connect_failed(&station, key, &wake, &error),
    };
    {
        let mut s = station.borrow_mut();
        match s.links.get_mut(key).filter(|l| Rc::ptr_eq(&l.wake, &wake)) {
            Some(link) => (link.stream, link.connect_fails) = (Some(stream.clone()), false),
            None => return,
        }
        s.link_writes(key);
        s.carry_out();
    }
    while let Some(wanted) = wanted(&station, key, &wake) {
        tokio::select! {
            _ = stream.readable(), if wanted.reads => station.borrow_mut().link_reads(key),
            _ = stream.writable(), if wanted.writes => {
                let mut s = station.borrow_mut();
                s.link_writes(key);
                s.carry_out();
            }
            () = tokio::time::sleep(wanted.pause.unwrap_or_default()), if wanted.pause.is_some() => {}
            () = wake.notified() => {}
        }
    }
}

/// What the link of this task waits for; none once it was removed.
fn wanted(station: &Shared, key: usize, wake: &Rc<Notify>) -> Option<Wanted> {
    let s = station.borrow();
    let now = s.now();
    let link = s.links.get(key).filter(|l| Rc::ptr_eq(&l.wake, wake))?;
    let (reads, writes) = (link.reads.pauses_until(now), link.writes.pauses_until(now));
    let resume = reads.into_iter().chain(writes).min_by(f64::total_cmp);
    let unwritten = link.out.left() > 0 || !link.waiting.is_empty();
    Some(Wanted {
        reads: reads.is_none(),
        writes: writes.is_none() && unwritten,
        pause: resume.map(|at| Duration::from_secs_f64((at - now).max(0.0))),
    })
}

/// Makes the connection of a link. A local fault is waited out for as long as something waits for the connection.
async fn connect(
    station: &Shared,
    key: usize,
    address: SocketAddr,
    wake: &Rc<Notify>,
) -> io::Result<TcpStream> {
    let (sockets, limit) = {
        let s = station.borrow();
        (s.sockets.clone(), s.connect)
    };
    let mut backoff = Backoff::new(limit);
    loop {
        let attempt = tokio::time::timeout(Duration::from_secs_f64(limit), sockets.connect(address)).await;
        let error = match attempt {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => error,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        let now = station.borrow().now();
        let resume = backoff.failed(now);
        let retries = faults::classify(Operation::Connect, &error).recovery == Recovery::Retry;
        if !retries || !still_wanted(station, key, wake, backoff.exhausted(now)) {
            return Err(error);
        }
        tracing::debug!(%address, %error, "a connection is tried again");
        tokio::time::sleep(Duration::from_secs_f64(resume - now)).await;
    }
}

/// Notes that a connection can't be made for a local reason; where that has lasted too long, what waits for it is
/// given back. Tells whether something still, or again, waits for it.
fn still_wanted(station: &Shared, key: usize, wake: &Rc<Notify>, exhausted: bool) -> bool {
    let mut s = station.borrow_mut();
    let Some(link) = s.links.get_mut(key).filter(|l| Rc::ptr_eq(&l.wake, wake)) else { return false };
    link.connect_fails = true;
    if exhausted {
        s.give_back_waiting(key);
        s.carry_out();
    }
    let link = s.links.get(key).filter(|l| Rc::ptr_eq(&l.wake, wake));
    link.is_some_and(|l| l.waiting.iter().any(|load| load.awaits().is_some()))
}

fn connect_failed(station: &Shared, key: usize, wake: &Rc<Notify>, error: &io::Error) {
    let origin = faults::classify(Operation::Connect, error).origin;
    let mut s = station.borrow_mut();
    if s.links.get(key).is_some_and(|l| Rc::ptr_eq(&l.wake, wake)) {
        s.unreached(key, &error.to_string(), faults::outcome(origin, false));
        s.carry_out();
    }
}
