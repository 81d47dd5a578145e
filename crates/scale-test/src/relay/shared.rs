//! What the relay and its threads share: the links, who owns them, partitions and counters.

use super::{LinkDelays, LinkTraffic};
use crate::plan::RegionPair;
use std::io;
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};

/// The port of an owner that listens nowhere.
const NO_PORT: u16 = 0;

/// The entry of a port that nobody listens at. Other entries are one more than the link's number.
const NO_LINK: u16 = 0;

/// Datagrams and bytes in one direction.
#[derive(Default)]
pub struct TrafficCounter {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    /// Counts a datagram of that size.
    pub fn add(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// One link: the socket that stands for its owner.
pub struct Link {
    /// The socket at which the others reach the owner.
    pub socket: UdpSocket,
    /// What the owner received.
    pub received: TrafficCounter,
    /// What the owner sent.
    pub sent: TrafficCounter,
    owner_port: AtomicU16,
}

impl Link {
    fn open() -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let (received, sent) = (TrafficCounter::default(), TrafficCounter::default());
        Ok(Self { socket, received, sent, owner_port: AtomicU16::new(NO_PORT) })
    }

    /// The port that the owner listens at, if it does.
    pub fn owner_port(&self) -> Option<u16> {
        Some(self.owner_port.load(Ordering::Acquire)).filter(|port| *port != NO_PORT)
    }

    /// What passed so far.
    pub fn traffic(&self) -> LinkTraffic {
        LinkTraffic {
            datagrams_in: self.received.datagrams.load(Ordering::Relaxed),
            bytes_in: self.received.bytes.load(Ordering::Relaxed),
            datagrams_out: self.sent.datagrams.load(Ordering::Relaxed),
            bytes_out: self.sent.bytes.load(Ordering::Relaxed),
        }
    }
}

/// What the relay and its threads share.
pub struct SharedState {
    /// All links, by their numbers.
    pub links: Vec<Link>,
    /// Latency and loss between them.
    pub delays: LinkDelays,
    /// Which link's owner listens at each port.
    link_at_port: Vec<AtomicU16>,
    /// Whether two regions are cut off from each other, by the numbers of both.
    partitioned: Vec<AtomicBool>,
    /// Datagrams that there was no room for.
    pub overflowed: AtomicU64,
    /// Datagrams that were lost at random or to a partition.
    pub lost: AtomicU64,
    /// Ends the threads.
    pub stop: AtomicBool,
}

impl SharedState {
    /// Opens a socket for each link.
    ///
    /// # Errors
    ///
    /// The system has no more sockets.
    pub fn open(delays: LinkDelays) -> io::Result<Self> {
        let (links, regions) = (delays.regions.len(), delays.latency.len());
        let open = |_| {
            let needed = |error: io::Error| {
                io::Error::new(error.kind(), format!("{links} sockets for links: {error}"))
            };
            Link::open().map_err(needed)
        };
        Ok(Self {
            links: (0..links).map(open).collect::<io::Result<_>>()?,
            delays,
            link_at_port: (0..=u16::MAX).map(|_| AtomicU16::new(NO_LINK)).collect(),
            partitioned: (0..regions * regions).map(|_| AtomicBool::new(false)).collect(),
            overflowed: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        })
    }

    /// The owner of a link listens at this port from now on; an earlier owner of the port does not any more.
    pub fn attach(&self, link: usize, port: u16) {
        self.detach(link);
        let former = self.link_at_port[usize::from(port)].swap(entry_for_link(link), Ordering::AcqRel);
        if let Some(former) = link_for_entry(former) {
            let former = &self.links[former].owner_port;
            // If it listens elsewhere by now, it stays there.
            let _ = former.compare_exchange(port, NO_PORT, Ordering::AcqRel, Ordering::Acquire);
        }
        self.links[link].owner_port.store(port, Ordering::Release);
    }

    /// The owner of a link listens nowhere from now on.
    pub fn detach(&self, link: usize) {
        let port = self.links[link].owner_port.swap(NO_PORT, Ordering::AcqRel);
        let entry = &self.link_at_port[usize::from(port)];
        // If another link has the port by now, it keeps it.
        let _ = entry.compare_exchange(entry_for_link(link), NO_LINK, Ordering::AcqRel, Ordering::Acquire);
    }

    /// The link whose owner listens at a port. None for a process that has just stopped, or is not of this fleet.
    pub fn link_at(&self, port: u16) -> Option<usize> {
        link_for_entry(self.link_at_port[usize::from(port)].load(Ordering::Acquire))
    }

    /// Cuts two regions off from each other, or ends that.
    pub fn set_partitioned(&self, RegionPair { first, second }: RegionPair, is_partitioned: bool) {
        for (from, to) in [(first, second), (second, first)] {
            self.partitioned[self.region_index(from, to)].store(is_partitioned, Ordering::Release);
        }
    }

    /// Whether nothing passes between two links because their regions are cut off from each other.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let index = self.region_index(self.delays.regions[from], self.delays.regions[to]);
        self.partitioned[index].load(Ordering::Acquire)
    }

    fn region_index(&self, from: usize, to: usize) -> usize {
        from * self.delays.latency.len() + to
    }

    /// Seconds that a datagram takes from one link to another.
    pub fn latency(&self, from: usize, to: usize) -> f64 {
        self.delays.latency[self.delays.regions[from]][self.delays.regions[to]]
    }
}

/// The entry of a link in the table of ports.
fn entry_for_link(link: usize) -> u16 {
    link as u16 + 1
}

/// The link of an entry in the table of ports.
fn link_for_entry(entry: u16) -> Option<usize> {
    usize::from(entry).checked_sub(1)
}
