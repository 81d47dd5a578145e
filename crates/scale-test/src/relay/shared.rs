//! State shared by the relay and its threads: links, their owners, partitions and counters.

use super::{LinkDelays, LinkTraffic};
use crate::plan::RegionPair;
use std::io;
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};

/// Port of an owner that is not attached.
const NO_PORT: u16 = 0;

/// Table entry of a port without an owner. Other entries are the link number plus one.
const NO_LINK: u16 = 0;

/// Counts datagrams and bytes in one direction.
#[derive(Default)]
pub struct TrafficCounter {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    /// Counts a datagram of this size.
    pub fn add(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// One link: the socket that represents its owner to the others.
pub struct Link {
    /// Socket at which the others reach the owner.
    pub socket: UdpSocket,
    /// Traffic received by the owner.
    pub received: TrafficCounter,
    /// Traffic sent by the owner.
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

    /// Port that the owner listens on, if it is attached.
    pub fn owner_port(&self) -> Option<u16> {
        Some(self.owner_port.load(Ordering::Acquire)).filter(|port| *port != NO_PORT)
    }

    /// Traffic so far.
    pub fn traffic(&self) -> LinkTraffic {
        LinkTraffic {
            datagrams_in: self.received.datagrams.load(Ordering::Relaxed),
            bytes_in: self.received.bytes.load(Ordering::Relaxed),
            datagrams_out: self.sent.datagrams.load(Ordering::Relaxed),
            bytes_out: self.sent.bytes.load(Ordering::Relaxed),
        }
    }
}

/// State shared by the relay and its threads.
pub struct SharedState {
    /// All links, indexed by number.
    pub links: Vec<Link>,
    /// Latency and loss between the links.
    pub delays: LinkDelays,
    /// Owner of each port, as a table entry.
    link_at_port: Vec<AtomicU16>,
    /// Whether two regions are partitioned, indexed by both regions.
    partitioned: Vec<AtomicBool>,
    /// Datagrams dropped because a queue was full.
    pub overflowed: AtomicU64,
    /// Datagrams lost at random or to a partition.
    pub lost: AtomicU64,
    /// Set to make the threads exit.
    pub stop: AtomicBool,
}

impl SharedState {
    /// Opens a socket for each link.
    ///
    /// # Errors
    ///
    /// The system can't open more sockets.
    pub fn open(delays: LinkDelays) -> io::Result<Self> {
        let (links, regions) = (delays.regions.len(), delays.latency.len());
        let open = |_| {
            let needed = |error: io::Error| {
                io::Error::new(error.kind(), format!("can't open {links} sockets for links: {error}"))
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

    /// Sets the port of a link's owner. An earlier owner of the port is detached.
    pub fn attach(&self, link: usize, port: u16) {
        self.detach(link);
        let former = self.link_at_port[usize::from(port)].swap(entry_for_link(link), Ordering::AcqRel);
        if let Some(former) = link_for_entry(former) {
            let former = &self.links[former].owner_port;
            // The former owner keeps its port if it listens on another one by now.
            let _ = former.compare_exchange(port, NO_PORT, Ordering::AcqRel, Ordering::Acquire);
        }
        self.links[link].owner_port.store(port, Ordering::Release);
    }

    /// Detaches the owner of a link.
    pub fn detach(&self, link: usize) {
        let port = self.links[link].owner_port.swap(NO_PORT, Ordering::AcqRel);
        let entry = &self.link_at_port[usize::from(port)];
        // The entry stays if the port belongs to another link by now.
        let _ = entry.compare_exchange(entry_for_link(link), NO_LINK, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Link whose owner listens on a port. `None` for a process that has just stopped or is not part of this fleet.
    pub fn link_at(&self, port: u16) -> Option<usize> {
        link_for_entry(self.link_at_port[usize::from(port)].load(Ordering::Acquire))
    }

    /// Begins or ends a partition between two regions.
    pub fn set_partitioned(&self, RegionPair { first, second }: RegionPair, is_partitioned: bool) {
        for (from, to) in [(first, second), (second, first)] {
            self.partitioned[self.region_index(from, to)].store(is_partitioned, Ordering::Release);
        }
    }

    /// Whether two links are in regions that are partitioned from each other.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let index = self.region_index(self.delays.regions[from], self.delays.regions[to]);
        self.partitioned[index].load(Ordering::Acquire)
    }

    fn region_index(&self, from: usize, to: usize) -> usize {
        from * self.delays.latency.len() + to
    }

    /// One-way latency between two links in seconds.
    pub fn latency(&self, from: usize, to: usize) -> f64 {
        self.delays.latency[self.delays.regions[from]][self.delays.regions[to]]
    }
}

/// Entry of a link in the port table.
fn entry_for_link(link: usize) -> u16 {
    link as u16 + 1
}

/// Link of an entry in the port table.
fn link_for_entry(entry: u16) -> Option<usize> {
    usize::from(entry).checked_sub(1)
}
