//! The links between gateways: a socket stands for each of them, and every letter from one to another passes
//! here, takes as long as the plan says, and is lost where the plan says so. Several threads, each with its
//! part of the sockets, an epoll and letters under way in the order in which they are due. What passed is
//! counted here and nowhere else.

use crate::plan::RegionPair;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Letters under way in one thread at most: a second of what all gateways of a full run send while they all
/// begin. Beyond it they are lost, and counted as such.
const UNDER_WAY: usize = 1 << 18;

/// Bytes of a datagram that is taken whole; letters are far smaller.
const LARGEST: usize = 2048;

/// Letters read of one socket in a row, so that a flood at one keeps nobody else waiting.
const TURN: usize = 32;

/// Milliseconds after which a thread looks whether it is to stop.
const LOOK: u64 = 50;

/// What passed at the socket of one gateway, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkTraffic {
    pub datagrams_in: u64,
    pub bytes_in: u64,
    pub datagrams_out: u64,
    pub bytes_out: u64,
}

#[derive(Default)]
struct Count {
    letters: AtomicU64,
    bytes: AtomicU64,
}

impl Count {
    fn add(&self, bytes: usize) {
        self.letters.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn get(&self) -> (u64, u64) {
        (self.letters.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

/// What the links go by.
#[derive(Clone, Debug)]
pub struct LinkDelays {
    /// The region of each gateway.
    pub regions: Vec<usize>,
    /// Seconds from region to region.
    pub latency: Vec<Vec<f64>>,
    /// Part of the letters that is lost.
    pub loss: f64,
}

struct Shared {
    sockets: Vec<UdpSocket>,
    ways: LinkDelays,
    /// Where each hears at present, 0 for nowhere; and who hears at a port, one more than its number.
    port: Vec<AtomicU16>,
    whose: Vec<AtomicU16>,
    /// Of each pair of regions whether they are cut from each other.
    cut: Vec<AtomicBool>,
    outs: Vec<Count>,
    ins: Vec<Count>,
    /// Letters that there was no room for, and that were lost by the plan's word.
    crowded: AtomicU64,
    lost: AtomicU64,
    stop: AtomicBool,
}

/// The relay; its threads end with it.
pub struct Relay {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    pub fn start(ways: LinkDelays, threads: usize, seed: u64) -> io::Result<Self> {
        let gateways = ways.regions.len();
        let mut sockets = Vec::new();
        for _ in 0..gateways {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
                .map_err(|e| io::Error::new(e.kind(), format!("{gateways} sockets for links: {e}")))?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let regions = ways.latency.len();
        let shared = Arc::new(Shared {
            sockets,
            ways,
            port: (0..gateways).map(|_| AtomicU16::new(0)).collect(),
            whose: (0..=u16::MAX).map(|_| AtomicU16::new(0)).collect(),
            cut: (0..regions * regions).map(|_| AtomicBool::new(false)).collect(),
            outs: (0..gateways).map(|_| Count::default()).collect(),
            ins: (0..gateways).map(|_| Count::default()).collect(),
            crowded: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        // From here on a failure ends the threads that run.
        let mut relay = Self { shared, threads: Vec::new() };
        for part in 0..threads.max(1) {
            let own: Vec<usize> = (0..gateways).filter(|g| g % threads.max(1) == part).collect();
            let mut carrier = Carrier::new(relay.shared.clone(), &own, seed ^ (part as u64) << 32)?;
            let run = move || carrier.run();
            relay.threads.push(std::thread::Builder::new().name("links".into()).spawn(run)?);
        }
        Ok(relay)
    }

    /// Where the others reach each gateway.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.shared.sockets.iter().map(UdpSocket::local_addr).collect()
    }

    /// A gateway hears there from now on. Who heard there before does not any more.
    pub fn attach(&self, gateway: usize, at: SocketAddr) {
        self.detach(gateway);
        let (port, mark) = (at.port(), gateway as u16 + 1);
        let former = self.shared.whose[usize::from(port)].swap(mark, Ordering::AcqRel);
        if let Some(other) = usize::from(former).checked_sub(1) {
            let port = &self.shared.port[other];
            let _ = port.compare_exchange(at.port(), 0, Ordering::AcqRel, Ordering::Acquire);
        }
        self.shared.port[gateway].store(port, Ordering::Release);
    }

    /// It hears nowhere any more, and nothing that it sent is taken.
    pub fn detach(&self, gateway: usize) {
        let port = self.shared.port[gateway].swap(0, Ordering::AcqRel);
        let mark = gateway as u16 + 1;
        let whose = &self.shared.whose[usize::from(port)];
        let _ = whose.compare_exchange(mark, 0, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Cuts two regions from each other, or lets them hear each other again.
    pub fn set_partitioned(&self, RegionPair { first: a, second: b }: RegionPair, cut: bool) {
        let regions = self.shared.ways.latency.len();
        for pair in [a * regions + b, b * regions + a] {
            self.shared.cut[pair].store(cut, Ordering::Release);
        }
    }

    pub fn traffic(&self) -> Vec<LinkTraffic> {
        let both = self.shared.ins.iter().zip(&self.shared.outs);
        both.map(|(ins, outs)| {
            let ((datagrams_in, bytes_in), (datagrams_out, bytes_out)) = (ins.get(), outs.get());
            LinkTraffic { datagrams_in, bytes_in, datagrams_out, bytes_out }
        })
        .collect()
    }

    /// Letters that there was no room for.
    pub fn overflowed(&self) -> u64 {
        self.shared.crowded.load(Ordering::Relaxed)
    }

    /// Letters lost by the plan's word.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// The ports of all sockets at both ends: those that stand for gateways, and the gateways' own.
    pub fn ports(&self) -> BTreeSet<u16> {
        let links = self.shared.sockets.iter().filter_map(|s| s.local_addr().ok()).map(|at| at.port());
        let own = self.shared.port.iter().map(|port| port.load(Ordering::Acquire));
        links.chain(own).filter(|port| *port != 0).collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Release);
        self.threads.drain(..).for_each(|t| _ = t.join());
    }
}

/// A letter under way: when it is due, its number, whence and where to.
type UnderWay = Reverse<(Duration, u64, usize, usize, Box<[u8]>)>;

/// One thread of the relay.
struct Carrier {
    shared: Arc<Shared>,
    epoll: Epoll,
    began: Instant,
    under_way: BinaryHeap<UnderWay>,
    serial: u64,
    chance: Rand64,
}

impl Carrier {
    fn new(shared: Arc<Shared>, own: &[usize], seed: u64) -> io::Result<Self> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
        for gateway in own {
            let event = EpollEvent::new(EpollFlags::EPOLLIN, *gateway as u64);
            epoll.add(&shared.sockets[*gateway], event)?;
        }
        let (under_way, chance) = (BinaryHeap::new(), Rand64::new(u128::from(seed)));
        Ok(Self { shared, epoll, began: Instant::now(), under_way, serial: 0, chance })
    }

    fn run(&mut self) {
        let mut events = [EpollEvent::empty(); 64];
        let mut buffer = [0; LARGEST];
        while !self.shared.stop.load(Ordering::Acquire) {
            let ready = match self.epoll.wait(&mut events, EpollTimeout::from(self.wait())) {
                Ok(ready) => ready,
                Err(nix::Error::EINTR) => 0,
                Err(e) => return tracing::error!("the links can't be waited for: {e}"),
            };
            for event in &events[..ready] {
                self.take(event.data() as usize, &mut buffer);
            }
            self.pass();
        }
    }

    /// Milliseconds until the next letter is due, rounded up.
    fn wait(&self) -> u16 {
        let due = self.under_way.peek().map(|Reverse((due, ..))| *due);
        let left = due.map_or(Duration::from_millis(LOOK), |due| due.saturating_sub(self.began.elapsed()));
        left.as_micros().div_ceil(1000).min(u128::from(LOOK)) as u16
    }

    /// Reads what came for one gateway.
    fn take(&mut self, to: usize, buffer: &mut [u8; LARGEST]) {
        let shared = self.shared.clone();
        for _ in 0..TURN {
            let (size, source) = match shared.sockets[to].recv_from(buffer) {
                Ok(came) => came,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {
                    continue;
                }
                Err(_) => return,
            };
            let whose = shared.whose[usize::from(source.port())].load(Ordering::Acquire);
            // Nobody's: of a process that has just ended, or not of this fleet.
            let Some(from) = usize::from(whose).checked_sub(1) else { continue };
            shared.outs[from].add(size);
            let (a, b) = (shared.ways.regions[from], shared.ways.regions[to]);
            let cut = shared.cut[a * shared.ways.latency.len() + b].load(Ordering::Acquire);
            if cut || self.chance.rand_float() < shared.ways.loss {
                shared.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            if self.under_way.len() >= UNDER_WAY {
                shared.crowded.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let due = self.began.elapsed() + Duration::from_secs_f64(shared.ways.latency[a][b]);
            self.serial += 1;
            self.under_way.push(Reverse((due, self.serial, from, to, buffer[..size].into())));
        }
    }

    /// Passes on what is due.
    fn pass(&mut self) {
        let now = self.began.elapsed();
        while self.under_way.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            let Some(Reverse((_, _, from, to, bytes))) = self.under_way.pop() else { return };
            let port = self.shared.port[to].load(Ordering::Acquire);
            if port == 0 {
                continue;
            }
            let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
            if self.shared.sockets[from].send_to(&bytes, at).is_ok() {
                self.shared.ins[to].add(bytes.len());
            }
        }
    }
}
