//! One relay thread: receives datagrams for its links and delivers each when it is due.

use super::in_flight::{InFlightDatagram, InFlightQueue};
use super::shared::SharedState;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use oorandom::Rand64;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Size of the receive buffer in bytes; datagrams of gateways are far smaller.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Maximum number of datagrams received from one link at a time, so that a flooded link does not delay the others.
const MAX_RECEIVE_BATCH: usize = 32;

/// Maximum number of ready links per poll.
const MAX_EVENTS: usize = 64;

/// Longest wait before the thread checks whether it should stop.
const MAX_WAIT: Duration = Duration::from_millis(50);

type Buffer = [u8; MAX_DATAGRAM_BYTES];

/// State of one relay thread.
pub struct Forwarder {
    shared: Arc<SharedState>,
    epoll: Epoll,
    started_at: Instant,
    in_flight: InFlightQueue,
    rng: Rand64,
}

impl Forwarder {
    /// Creates the forwarder of these links.
    ///
    /// # Errors
    ///
    /// The sockets can't be registered with epoll.
    pub fn new(shared: Arc<SharedState>, links: impl Iterator<Item = usize>, seed: u64) -> io::Result<Self> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        for link in links {
            let event = EpollEvent::new(EpollFlags::EPOLLIN, link as u64);
            epoll.add(&shared.links[link].socket, event)?;
        }
        Ok(Self {
            shared,
            epoll,
            started_at: Instant::now(),
            in_flight: InFlightQueue::default(),
            rng: Rand64::new(u128::from(seed)),
        })
    }

    /// Forwards datagrams until the relay is dropped.
    pub fn run(&mut self) {
        let mut events = [EpollEvent::empty(); MAX_EVENTS];
        let mut buffer: Buffer = [0; MAX_DATAGRAM_BYTES];
        while !self.shared.stop.load(Ordering::Acquire) {
            let ready = match self.epoll.wait(&mut events, EpollTimeout::from(self.wait_millis())) {
                Ok(ready) => ready,
                Err(nix::Error::EINTR) => 0,
                Err(error) => return tracing::error!("the relay can't poll its sockets: {error}"),
            };
            for event in &events[..ready] {
                self.receive(event.data() as usize, &mut buffer);
            }
            self.deliver_due();
        }
    }

    /// Milliseconds until the next datagram is due, rounded up.
    fn wait_millis(&self) -> u16 {
        let until_due = |due: Duration| due.saturating_sub(self.started_at.elapsed());
        let wait = self.in_flight.next_due().map_or(MAX_WAIT, until_due).min(MAX_WAIT);
        wait.as_micros().div_ceil(1000) as u16
    }

    /// Receives datagrams that were sent to the owner of a link.
    fn receive(&mut self, to: usize, buffer: &mut Buffer) {
        let shared = self.shared.clone();
        for _ in 0..MAX_RECEIVE_BATCH {
            match shared.links[to].socket.recv_from(buffer) {
                Ok((size, source)) => {
                    if let Some(from) = shared.link_at(source.port()) {
                        self.accept(from, to, &buffer[..size]);
                    }
                }
                Err(error) if is_transient(&error) => {}
                Err(_) => return,
            }
        }
    }

    /// Queues a datagram for delivery, unless it is lost or the queue is full.
    fn accept(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let shared = &self.shared;
        shared.links[from].sent.add(bytes.len());
        if shared.is_partitioned(from, to) || self.rng.rand_float() < shared.delays.loss {
            shared.lost.fetch_add(1, Ordering::Relaxed);
        } else if self.in_flight.is_full() {
            shared.overflowed.fetch_add(1, Ordering::Relaxed);
        } else {
            let due = self.started_at.elapsed() + Duration::from_secs_f64(shared.latency(from, to));
            self.in_flight.push(due, from, to, bytes.into());
        }
    }

    /// Delivers the datagrams that are due.
    fn deliver_due(&mut self) {
        let now = self.started_at.elapsed();
        while let Some(InFlightDatagram { from, to, bytes, .. }) = self.in_flight.pop_due(now) {
            let Some(port) = self.shared.links[to].owner_port() else { continue };
            // The receiver sees the address of the sender's link as the source, and can reply to it.
            let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
            if self.shared.links[from].socket.send_to(&bytes, address).is_ok() {
                self.shared.links[to].received.add(bytes.len());
            }
        }
    }
}

/// Whether receiving may continue after an error: an earlier datagram could not be delivered, or a signal arrived.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted)
}
