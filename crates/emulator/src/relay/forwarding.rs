//! The relay's thread: receives datagrams on behalf of the gateways and forwards them, subject to the injected faults.

use super::faults::{Delivery, FaultInjector, Link};
use super::{RelayState, lock};
use milletpath_membership::datagram::MAX_DATAGRAM_BYTES;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// How often the thread checks whether it should stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Makes the relay's random numbers differ from others of the same seed.
const SEED_MASK: u64 = 0x11_4b5;

/// The size of the receive buffer: larger than a valid datagram, so that an oversized one is forwarded oversized.
const BUFFER_BYTES: usize = 4 * MAX_DATAGRAM_BYTES;

/// Sockets by the number of the gateway for which they stand.
type Sockets = Rc<Vec<UdpSocket>>;

/// Forwards datagrams until `stop` is set.
pub(super) async fn forward_until_stopped(
    sockets: Vec<std::net::UdpSocket>,
    state: Arc<Mutex<RelayState>>,
    stop: Arc<AtomicBool>,
    started: Instant,
    seed: u64,
) {
    let sockets: io::Result<Vec<_>> = sockets.into_iter().map(UdpSocket::from_std).collect();
    let sockets = match sockets {
        Ok(sockets) => Rc::new(sockets),
        Err(error) => return tracing::error!(%error, "the link relay's sockets can't be registered"),
    };
    for receiver in 0..sockets.len() {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK ^ (receiver as u64) << 32);
        let forwarder = Forwarder {
            sockets: sockets.clone(),
            state: state.clone(),
            started,
            receiver,
            injector: FaultInjector::new(rng),
        };
        spawn_local(forwarder.run());
    }
    while !stop.load(Ordering::Acquire) {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Forwards all datagrams sent to one gateway.
struct Forwarder {
    sockets: Sockets,
    state: Arc<Mutex<RelayState>>,
    started: Instant,
    receiver: usize,
    injector: FaultInjector,
}

impl Forwarder {
    async fn run(mut self) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let received = self.sockets[self.receiver].recv_from(&mut buffer).await;
            let Ok((size, source)) = received else { continue };
            let at = self.started.elapsed().as_secs_f64();
            let Some((sender, deliveries)) = self.inject_faults(at, source, &buffer[..size]) else {
                continue;
            };
            for delivery in deliveries {
                self.deliver(sender, delivery).await;
            }
        }
    }

    /// Returns the sending gateway and the deliveries; `None` if the source is not a gateway's process.
    fn inject_faults(
        &mut self,
        at: f64,
        source: std::net::SocketAddr,
        datagram: &[u8],
    ) -> Option<(usize, Vec<Delivery>)> {
        let mut state = lock(&self.state);
        let sender = state.gateway_at(source)?;
        state.observations.observe(at, sender, datagram);
        let link = Link { from: sender, to: self.receiver };
        Some((sender, self.injector.apply(state.faults.values(), link, datagram.to_vec())))
    }

    /// Delivers immediately, or after a delay in a separate task.
    async fn deliver(&self, sender: usize, delivery: Delivery) {
        let Delivery { delay, bytes } = delivery;
        let (sockets, state, receiver) = (self.sockets.clone(), self.state.clone(), self.receiver);
        let send = async move {
            let address = lock(&state).addresses[receiver];
            if let Some(address) = address {
                // A datagram that can't be sent counts as lost, as on any network.
                let _ = sockets[sender].send_to(&bytes, address).await;
            }
        };
        if delay > 0.0 {
            spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(delay)).await;
                send.await;
            });
        } else {
            send.await;
        }
    }
}
