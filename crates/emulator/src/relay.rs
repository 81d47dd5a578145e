//! The links between gateways: every datagram from one to another passes here, on sockets of its own that stand for the
//! gateways, and is lost, held up, doubled or spoilt as the script says. A thread of its own: what it adds to a letter's
//! way does not depend on how busy the town is.

use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use milletpath_membership::datagram::{self, Datagram, Key, MAX_DATAGRAM_BYTES};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// What is wrong with the links at present.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFault {
    /// A part of the letters on these directed links is lost.
    Loss(Vec<(usize, usize)>, f64),
    /// These are cut off from the others, both ways.
    Partition(Vec<usize>),
    /// These hear nobody.
    InboundLoss(Vec<usize>),
    /// Letters come that many seconds late on average, from none to twice that.
    Delay(Vec<(usize, usize)>, f64),
    /// A part of the letters is doubled, and played again within some seconds.
    Duplication(Vec<(usize, usize)>, f64),
    /// Instead of a part of the letters garbage comes.
    Corruption(Vec<(usize, usize)>, f64),
}

#[derive(Default)]
struct State {
    /// Where each gateway hears at present.
    real: Vec<Option<SocketAddr>>,
    faults: BTreeMap<u64, LinkFault>,
    count: u64,
    notes: Vec<HistoryRecord>,
    /// Processes by life, and what each gateway last said of them.
    lives: BTreeMap<u64, usize>,
    said: BTreeMap<(usize, u64), u8>,
}

/// The relay; its thread ends with it.
pub struct Relay {
    addresses: Vec<SocketAddr>,
    began: Instant,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    pub fn start(gateways: usize, began: Instant, seed: u64) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in 0..gateways {
            let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(|s| s.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let state = Arc::new(Mutex::new(State { real: vec![None; gateways], ..State::default() }));
        let stop = Arc::new(AtomicBool::new(false));
        let (theirs, stopped) = (state.clone(), stop.clone());
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return tracing::error!("the links' runtime can't start") };
            let run = pass(sockets, theirs, stopped, began, seed);
            runtime.block_on(tokio::task::LocalSet::new().run_until(run));
        };
        let thread = Some(std::thread::Builder::new().name("links".into()).spawn(run)?);
        Ok(Self { addresses, began, state, stop, thread })
    }

    /// Where the others reach a gateway.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway]
    }

    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A gateway's process hears there.
    pub fn set_address(&self, gateway: usize, at: SocketAddr) {
        self.state().real[gateway] = Some(at);
    }

    /// From now on something is wrong; gives its number.
    pub fn inject(&self, fault: LinkFault) -> u64 {
        let mut state = self.state();
        state.count += 1;
        let number = state.count;
        state.faults.insert(number, fault);
        number
    }

    pub fn clear(&self, number: u64) {
        let mut state = self.state();
        let mended =
            matches!(state.faults.remove(&number), Some(LinkFault::Partition(_) | LinkFault::InboundLoss(_)));
        if mended {
            let at = self.began.elapsed().as_secs_f64();
            state.notes.push(HistoryRecord { at, event: HistoryEvent::LinksHealed });
        }
    }

    /// All directed links.
    pub fn links(&self) -> Vec<(usize, usize)> {
        let all = self.addresses.len();
        (0..all).flat_map(|from| (0..all).filter(move |to| *to != from).map(move |to| (from, to))).collect()
    }

    /// What passed so far.
    pub fn notes(&self) -> Vec<HistoryRecord> {
        std::mem::take(&mut self.state().notes)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn pass(
    sockets: Vec<std::net::UdpSocket>,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
    began: Instant,
    seed: u64,
) {
    let sockets: io::Result<Vec<Rc<UdpSocket>>> =
        sockets.into_iter().map(|s| UdpSocket::from_std(s).map(Rc::new)).collect();
    let sockets = match sockets {
        Ok(sockets) => Rc::new(sockets),
        Err(e) => return tracing::error!("the links can't be opened: {e}"),
    };
    for to in 0..sockets.len() {
        let (sockets, state) = (sockets.clone(), state.clone());
        let chance = ChaCha8Rng::seed_from_u64(seed ^ 0x11_4b5 ^ (to as u64) << 32);
        spawn_local(carry(sockets, state, began, to, chance));
    }
    while !stop.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// All that goes to one gateway.
async fn carry(
    sockets: Rc<Vec<Rc<UdpSocket>>>,
    state: Arc<Mutex<State>>,
    began: Instant,
    to: usize,
    mut chance: ChaCha8Rng,
) {
    /// Letters of long ago, to be played again by anybody.
    const OLD: usize = 64;
    let mut buffer = [0; 4 * MAX_DATAGRAM_BYTES];
    let mut old: VecDeque<Vec<u8>> = VecDeque::new();
    loop {
        let Ok((size, source)) = sockets[to].recv_from(&mut buffer).await else { continue };
        let datagram = buffer[..size].to_vec();
        let at = began.elapsed().as_secs_f64();
        let copies = {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(from) = state.real.iter().position(|real| *real == Some(source)) else { continue };
            state
                .notes
                .push(HistoryRecord { at, event: HistoryEvent::DatagramSent { gateway: from, bytes: size } });
            state.read(at, from, &datagram);
            let faults: Vec<LinkFault> = state.faults.values().cloned().collect();
            let copies = strike(&faults, from, to, &datagram, &old, &mut chance);
            if old.len() == OLD {
                old.pop_front();
            }
            old.push_back(datagram);
            copies.into_iter().map(|(late, datagram)| (from, late, datagram)).collect::<Vec<_>>()
        };
        for (from, late, datagram) in copies {
            let (sockets, state) = (sockets.clone(), state.clone());
            let pass = async move {
                if late > 0.0 {
                    tokio::time::sleep(Duration::from_secs_f64(late)).await;
                }
                let real = state.lock().unwrap_or_else(PoisonError::into_inner).real[to];
                if let Some(real) = real {
                    let _ = sockets[from].send_to(&datagram, real).await;
                }
            };
            if late > 0.0 {
                spawn_local(pass);
            } else {
                pass.await;
            }
        }
    }
}

impl State {
    /// Notes what a letter says of processes, where that is something new.
    fn read(&mut self, at: f64, from: usize, datagram: &[u8]) {
        let Some(decoded) = datagram::decode_unverified(datagram) else { return };
        if self.lives.insert(decoded.sender.instance_id, from).is_none() {
            self.notes.push(HistoryRecord {
                at,
                event: HistoryEvent::IncarnationObserved {
                    gateway: from,
                    incarnation: decoded.sender.instance_id,
                },
            });
        }
        for update in decoded.updates {
            let Some(about) = self.lives.get(&update.instance_id).copied() else { continue };
            if self.said.insert((from, update.instance_id), update.state) != Some(update.state) {
                let event = HistoryEvent::MemberStateReported {
                    gateway: from,
                    about,
                    incarnation: update.instance_id,
                    state: update.state,
                };
                self.notes.push(HistoryRecord { at, event });
            }
        }
    }
}

/// What becomes of a letter: copies, each with the seconds that it is held up.
fn strike(
    faults: &[LinkFault],
    from: usize,
    to: usize,
    datagram: &[u8],
    old: &VecDeque<Vec<u8>>,
    chance: &mut ChaCha8Rng,
) -> Vec<(f64, Vec<u8>)> {
    /// Seconds within which a letter is played again.
    const AGAIN: f64 = 5.0;
    let mut copies = vec![(0.0, datagram.to_vec())];
    for fault in faults {
        match fault {
            LinkFault::Partition(apart) if apart.contains(&from) != apart.contains(&to) => return Vec::new(),
            LinkFault::InboundLoss(deaf) if deaf.contains(&to) => return Vec::new(),
            LinkFault::Loss(links, part) if links.contains(&(from, to)) => {
                copies.retain(|_| !chance.random_bool(*part));
            }
            LinkFault::Delay(links, seconds) if links.contains(&(from, to)) => {
                copies.iter_mut().for_each(|(late, _)| *late += chance.random_range(0.0..=2.0 * seconds));
            }
            LinkFault::Duplication(links, part)
                if links.contains(&(from, to)) && chance.random_bool(*part) =>
            {
                copies.push((chance.random_range(0.0..AGAIN), datagram.to_vec()));
            }
            LinkFault::Corruption(links, part)
                if links.contains(&(from, to)) && chance.random_bool(*part) =>
            {
                copies = vec![(0.0, garbage(datagram, old, chance))];
            }
            _ => {}
        }
    }
    copies
}

/// Something that is no letter, or not this one.
fn garbage(datagram: &[u8], old: &VecDeque<Vec<u8>>, chance: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = datagram.to_vec();
    match chance.random_range(0..6) {
        0 => bytes.truncate(chance.random_range(0..bytes.len().max(1))),
        1 => {
            let at = chance.random_range(0..bytes.len().max(1));
            bytes[at] ^= 1 << chance.random_range(0..8);
        }
        2 => {
            bytes = vec![0; chance.random_range(0..MAX_DATAGRAM_BYTES)];
            chance.fill(&mut bytes[..]);
        }
        3 => bytes.resize(chance.random_range(MAX_DATAGRAM_BYTES + 1..3 * MAX_DATAGRAM_BYTES), 0),
        // Forged: what it says in the words of one that has no key.
        4 => {
            let forged: Option<Datagram> = datagram::decode_unverified(datagram);
            let key = Key::new(b"another secret, of thirty-two bytes");
            bytes = forged.and_then(|l| datagram::seal(&key, &l).ok()).unwrap_or(bytes);
        }
        // Of long ago, and perhaps another's.
        _ => {
            if let Some(known) = old.get(chance.random_range(0..old.len().max(1))) {
                bytes.clone_from(known);
            }
        }
    }
    bytes
}

#[cfg(test)]
mod tests;
