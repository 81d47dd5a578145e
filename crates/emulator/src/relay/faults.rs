//! Applies link faults to datagrams.

use milletpath_membership::datagram::{self, Key, MAX_DATAGRAM_BYTES};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// The maximum delay of a duplicate, in seconds.
const MAX_DUPLICATE_DELAY: f64 = 5.0;

/// The number of earlier datagrams that are kept for replays.
const REPLAY_CAPACITY: usize = 64;

/// A directed link between two gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// The sending gateway.
    pub from: usize,
    /// The receiving gateway.
    pub to: usize,
}

/// A fault on links between gateways.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFault {
    /// A fraction of the datagrams is lost.
    Loss {
        /// The affected links.
        links: Vec<Link>,
        /// From 0 to 1.
        fraction: f64,
    },
    /// These gateways are partitioned from the others, in both directions.
    Partition(Vec<usize>),
    /// These gateways receive nothing.
    InboundLoss(Vec<usize>),
    /// Datagrams are delayed by a uniformly distributed time between 0 and twice the mean.
    Delay {
        /// The affected links.
        links: Vec<Link>,
        /// The mean delay in seconds.
        mean_seconds: f64,
    },
    /// A fraction of the datagrams is sent again within a few seconds.
    Duplication {
        /// The affected links.
        links: Vec<Link>,
        /// From 0 to 1.
        fraction: f64,
    },
    /// A fraction of the datagrams is replaced by garbage.
    Corruption {
        /// The affected links.
        links: Vec<Link>,
        /// From 0 to 1.
        fraction: f64,
    },
}

/// A datagram to be delivered.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Delivery {
    /// The delay in seconds.
    pub(super) delay: f64,
    /// The content of the datagram.
    pub(super) bytes: Vec<u8>,
}

/// Applies faults to the datagrams sent to one gateway.
pub(super) struct FaultInjector {
    rng: ChaCha8Rng,
    earlier_datagrams: VecDeque<Vec<u8>>,
}

impl FaultInjector {
    /// Creates an injector that uses the given random numbers.
    pub(super) fn new(rng: ChaCha8Rng) -> Self {
        Self { rng, earlier_datagrams: VecDeque::new() }
    }

    /// Returns what is delivered in place of a datagram.
    pub(super) fn apply<'f>(
        &mut self,
        faults: impl IntoIterator<Item = &'f LinkFault>,
        link: Link,
        datagram: Vec<u8>,
    ) -> Vec<Delivery> {
        let mut deliveries = vec![Delivery { delay: 0.0, bytes: datagram.clone() }];
        for fault in faults {
            if !self.apply_one(fault, link, &datagram, &mut deliveries) {
                deliveries.clear();
                break;
            }
        }
        if self.earlier_datagrams.len() == REPLAY_CAPACITY {
            self.earlier_datagrams.pop_front();
        }
        self.earlier_datagrams.push_back(datagram);
        deliveries
    }

    /// Applies one fault to the deliveries; returns whether the link is still open.
    fn apply_one(
        &mut self,
        fault: &LinkFault,
        link: Link,
        datagram: &[u8],
        deliveries: &mut Vec<Delivery>,
    ) -> bool {
        match fault {
            LinkFault::Partition(separated) => separated.contains(&link.from) == separated.contains(&link.to),
            LinkFault::InboundLoss(gateways) => !gateways.contains(&link.to),
            LinkFault::Loss { links, fraction } if links.contains(&link) => {
                deliveries.retain(|_| !self.rng.random_bool(*fraction));
                true
            }
            LinkFault::Delay { links, mean_seconds } if links.contains(&link) => {
                deliveries
                    .iter_mut()
                    .for_each(|d| d.delay += self.rng.random_range(0.0..=2.0 * mean_seconds));
                true
            }
            LinkFault::Duplication { links, fraction }
                if links.contains(&link) && self.rng.random_bool(*fraction) =>
            {
                let delay = self.rng.random_range(0.0..MAX_DUPLICATE_DELAY);
                deliveries.push(Delivery { delay, bytes: datagram.to_vec() });
                true
            }
            LinkFault::Corruption { links, fraction }
                if links.contains(&link) && self.rng.random_bool(*fraction) =>
            {
                *deliveries = vec![Delivery { delay: 0.0, bytes: self.garbage(datagram) }];
                true
            }
            _ => true,
        }
    }

    /// Returns an invalid datagram or a replayed one: truncated, with a flipped bit, random, too long, forged, or an
    /// earlier datagram.
    fn garbage(&mut self, datagram: &[u8]) -> Vec<u8> {
        let mut bytes = datagram.to_vec();
        let length = bytes.len().max(1);
        match self.rng.random_range(0..6) {
            0 => bytes.truncate(self.rng.random_range(0..length)),
            1 => {
                let position = self.rng.random_range(0..length);
                bytes[position] ^= 1 << self.rng.random_range(0..8);
            }
            2 => {
                bytes = vec![0; self.rng.random_range(0..MAX_DATAGRAM_BYTES)];
                self.rng.fill(&mut bytes[..]);
            }
            3 => bytes.resize(self.rng.random_range(MAX_DATAGRAM_BYTES + 1..3 * MAX_DATAGRAM_BYTES), 0),
            4 => bytes = forge(datagram).unwrap_or(bytes),
            _ => {
                let earlier = self.rng.random_range(0..self.earlier_datagrams.len().max(1));
                if let Some(earlier) = self.earlier_datagrams.get(earlier) {
                    bytes.clone_from(earlier);
                }
            }
        }
        bytes
    }
}

/// Seals the same content with a wrong key, as a sender without the cluster's key would.
fn forge(datagram: &[u8]) -> Option<Vec<u8>> {
    let key = Key::new(b"another secret, of thirty-two bytes");
    datagram::seal(&key, &datagram::decode_unverified(datagram)?).ok()
}
