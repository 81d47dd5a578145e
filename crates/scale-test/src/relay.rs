//! The links between gateways, control machines and authors. Each of them has a socket here at which the others reach
//! it, so every datagram between two of them passes the relay, takes the latency of the plan, and is lost with its
//! probability. Several threads forward datagrams, each for its part of the sockets. Traffic is counted here and
//! nowhere else.

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

/// What passed at one link since the start. Datagrams that were lost are counted as sent and not as received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkTraffic {
    /// Datagrams that its owner received.
    pub datagrams_in: u64,
    /// Bytes that its owner received.
    pub bytes_in: u64,
    /// Datagrams that its owner sent.
    pub datagrams_out: u64,
    /// Bytes that its owner sent.
    pub bytes_out: u64,
}

/// Latency and loss between the links.
#[derive(Clone, Debug)]
pub struct LinkDelays {
    /// The region of each link.
    pub regions: Vec<usize>,
    /// Seconds one way, by the regions of sender and receiver.
    pub latency: Vec<Vec<f64>>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
}

/// The relay. Its threads end when it is dropped.
pub struct Relay {
    shared: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Opens a socket for each link, and starts threads that forward datagrams. Which of them are lost depends on the
    /// seed and on the order in which they arrive.
    ///
    /// # Errors
    ///
    /// The system has no more sockets or threads.
    pub fn start(delays: LinkDelays, threads: usize, seed: u64) -> io::Result<Self> {
        let threads = threads.max(1);
        let shared = Arc::new(SharedState::open(delays)?);
        // If a thread can't be started, dropping this ends those that run.
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

    /// The addresses at which the others reach the owner of each link.
    ///
    /// # Errors
    ///
    /// The system does not know an address of a socket.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.shared.links.iter().map(|link| link.socket.local_addr()).collect()
    }

    /// The owner of a link listens at this address from now on. An earlier owner of the address is detached.
    pub fn attach(&self, link: usize, address: SocketAddr) {
        self.shared.attach(link, address.port());
    }

    /// The owner of a link listens nowhere from now on, and nothing that it sent is forwarded any more.
    pub fn detach(&self, link: usize) {
        self.shared.detach(link);
    }

    /// Cuts two regions off from each other, or ends that.
    pub fn set_partitioned(&self, regions: RegionPair, is_partitioned: bool) {
        self.shared.set_partitioned(regions, is_partitioned);
    }

    /// What passed at each link so far.
    #[must_use]
    pub fn traffic(&self) -> Vec<LinkTraffic> {
        self.shared.links.iter().map(shared::Link::traffic).collect()
    }

    /// Datagrams so far that the relay had no room for.
    #[must_use]
    pub fn overflowed(&self) -> u64 {
        self.shared.overflowed.load(Ordering::Relaxed)
    }

    /// Datagrams so far that were lost at random, or between partitioned regions.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// The ports of the relay's sockets, and of the sockets that their owners listen at.
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
            // A panic of the thread was printed when it happened.
            let _ = thread.join();
        }
    }
}
