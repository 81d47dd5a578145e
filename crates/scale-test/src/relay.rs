//! Relay for all datagrams between gateways, control machines and authors. Each of them has a socket here at which the
//! others reach it, so that every datagram passes through the relay, is delayed by the latency in the plan and lost
//! with its probability. Several threads forward datagrams, each for its subset of the sockets. Traffic is counted only
//! here.

mod forwarder;
mod in_flight;
mod shared;

use crate::plan::RegionPair;
use forwarder::Forwarder;
use shared::SharedState;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

/// Traffic of one link since the start. Lost datagrams count as sent but not as received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkTraffic {
    /// Datagrams received by the owner.
    pub datagrams_in: u64,
    /// Bytes received by the owner.
    pub bytes_in: u64,
    /// Datagrams sent by the owner.
    pub datagrams_out: u64,
    /// Bytes sent by the owner.
    pub bytes_out: u64,
}

/// Latency and loss between the links.
#[derive(Clone, Debug)]
pub struct LinkDelays {
    /// Region of each link.
    pub regions: Vec<usize>,
    /// One-way latency in seconds, indexed by the regions of sender and receiver.
    pub latency: Vec<Vec<f64>>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
}

/// The relay. Its threads end on drop.
pub struct Relay {
    shared: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Opens a socket for each link and starts the forwarding threads. Which datagrams are lost depends on the seed and
    /// on their order of arrival.
    ///
    /// # Errors
    ///
    /// The system can't open more sockets or create more threads.
    pub fn start(delays: LinkDelays, threads: usize, seed: u64) -> io::Result<Self> {
        let threads = threads.max(1);
        let shared = Arc::new(SharedState::open(delays)?);
        // If a thread can't be started, dropping `relay` ends those that are running.
        let mut relay = Self { shared, threads: Vec::new() };
        for number in 0..threads {
            let links = (0..relay.shared.links.len()).filter(|link| link % threads == number);
            let thread_seed = seed ^ (number as u64) << 32;
            let mut forwarder = Forwarder::new(relay.shared.clone(), links, thread_seed)?;
            let thread = std::thread::Builder::new().name("links".into());
            relay.threads.push(thread.spawn(move || forwarder.run())?);
        }
        Ok(relay)
    }

    /// Addresses at which the owners of the links are reached.
    ///
    /// # Errors
    ///
    /// The address of a socket can't be determined.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.shared.links.iter().map(|link| link.socket.local_addr()).collect()
    }

    /// Sets the address of a link's owner. An earlier owner of the address is detached.
    pub fn attach(&self, link: usize, address: SocketAddr) {
        self.shared.attach(link, address.port());
    }

    /// Detaches the owner of a link. Nothing that it sent is forwarded any more.
    pub fn detach(&self, link: usize) {
        self.shared.detach(link);
    }

    /// Begins or ends a partition between two regions.
    pub fn set_partitioned(&self, regions: RegionPair, is_partitioned: bool) {
        self.shared.set_partitioned(regions, is_partitioned);
    }

    /// Traffic of each link so far.
    #[must_use]
    pub fn traffic(&self) -> Vec<LinkTraffic> {
        self.shared.links.iter().map(shared::Link::traffic).collect()
    }

    /// Number of datagrams dropped so far because a queue was full.
    #[must_use]
    pub fn overflowed(&self) -> u64 {
        self.shared.overflowed.load(Ordering::Relaxed)
    }

    /// Number of datagrams lost so far, at random or between partitioned regions.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// Ports of the relay's sockets and of the sockets of their owners.
    #[must_use]
    pub fn ports(&self) -> BTreeSet<u16> {
        let links = self.shared.links.iter();
        let relay_port = |socket: &UdpSocket| socket.local_addr().ok().map(|address| address.port());
        links.flat_map(|link| [relay_port(&link.socket), link.owner_port()]).flatten().collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            // A panic of the thread was already printed to standard error.
            let _ = thread.join();
        }
    }
}
