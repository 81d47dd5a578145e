//! Emulates the links between gateways. Every datagram from one gateway to another passes through a socket of this
//! relay that stands for the receiver; injected faults drop, delay, duplicate or corrupt it.
//!
//! The relay runs on a separate thread, so that the delay it adds does not depend on how busy the scenario is.

mod faults;
mod forwarding;
mod observations;

pub use faults::{Link, LinkFault};

use forwarding::forward_until_stopped;
use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use observations::Observations;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

/// Identifies an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkFaultId(u64);

/// State shared by the relay's thread and its owner.
struct RelayState {
    /// The address on which each gateway's process currently receives datagrams.
    addresses: Vec<Option<SocketAddr>>,
    faults: BTreeMap<LinkFaultId, LinkFault>,
    fault_count: u64,
    observations: Observations,
}

impl RelayState {
    fn new(gateways: usize) -> Self {
        Self {
            addresses: vec![None; gateways],
            faults: BTreeMap::new(),
            fault_count: 0,
            observations: Observations::default(),
        }
    }

    /// The gateway whose process sends from this address.
    fn gateway_at(&self, source: SocketAddr) -> Option<usize> {
        self.addresses.iter().position(|address| *address == Some(source))
    }
}

/// Locks the state, even if another thread panicked while holding the lock: each change leaves the state consistent.
fn lock(state: &Mutex<RelayState>) -> MutexGuard<'_, RelayState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A relay; its thread ends on drop.
pub struct Relay {
    /// The relay's address that stands for each gateway.
    addresses: Vec<SocketAddr>,
    started: Instant,
    state: Arc<Mutex<RelayState>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts the relay's thread. Times in the history are seconds since `started`; `seed` is the seed for random
    /// numbers.
    ///
    /// # Errors
    /// A socket can't be opened, or the thread can't be started.
    pub fn start(gateways: usize, started: Instant, seed: u64) -> io::Result<Self> {
        let sockets = (0..gateways).map(|_| open_socket()).collect::<io::Result<Vec<_>>>()?;
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let state = Arc::new(Mutex::new(RelayState::new(gateways)));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared_state, stop_requested) = (state.clone(), stop.clone());
        let run = move || {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return tracing::error!(%error, "the link relay's runtime can't be built"),
            };
            let forward = forward_until_stopped(sockets, shared_state, stop_requested, started, seed);
            runtime.block_on(tokio::task::LocalSet::new().run_until(forward));
        };
        let thread = Some(std::thread::Builder::new().name("links".into()).spawn(run)?);
        Ok(Self { addresses, started, state, stop, thread })
    }

    /// The address at which the other gateways reach a gateway.
    #[must_use]
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway]
    }

    /// The addresses at which the gateways reach each other, by gateway.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets the address on which a gateway's process receives datagrams from now on.
    pub fn set_address(&self, gateway: usize, address: SocketAddr) {
        lock(&self.state).addresses[gateway] = Some(address);
    }

    /// Injects a fault until it is cleared.
    #[must_use]
    pub fn inject(&self, fault: LinkFault) -> LinkFaultId {
        let mut state = lock(&self.state);
        state.fault_count += 1;
        let id = LinkFaultId(state.fault_count);
        state.faults.insert(id, fault);
        id
    }

    /// Clears an injected fault.
    pub fn clear(&self, id: LinkFaultId) {
        let mut state = lock(&self.state);
        let separates = |fault| matches!(fault, LinkFault::Partition(_) | LinkFault::InboundLoss(_));
        if state.faults.remove(&id).is_some_and(separates) {
            let at = self.started.elapsed().as_secs_f64();
            state.observations.record(at, HistoryEvent::LinksHealed);
        }
    }

    /// All directed links.
    #[must_use]
    pub fn links(&self) -> Vec<Link> {
        let gateways = 0..self.addresses.len();
        let from_one = |from| gateways.clone().filter(move |to| *to != from).map(move |to| Link { from, to });
        gateways.clone().flat_map(from_one).collect()
    }

    /// Takes the history recorded so far.
    #[must_use]
    pub fn take_history(&self) -> Vec<HistoryRecord> {
        lock(&self.state).observations.take()
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

fn open_socket() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
