//! The nodes of the simulated network, their zones and regions, and rules for the delivery of messages.

#![allow(dead_code)]

use milletpath_config_log::Message;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

use NodeId::{Author, Follower, Replica};

/// A node that sends and receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeId {
    Replica(usize),
    Follower(usize),
    Author(usize),
}

/// Decides the fate of a message from time, sender and receiver: returns the delays after which it is delivered, none if
/// it is lost, several if it is duplicated.
pub type DeliveryRule = Box<dyn FnMut(f64, NodeId, NodeId, &mut ChaCha8Rng) -> Vec<f64>>;

/// Modifies the messages of a faulty sender.
pub type Tamper = Box<dyn FnMut(NodeId, &mut Message)>;

impl NodeId {
    pub fn address(self) -> SocketAddr {
        let (subnet, n) = match self {
            Replica(n) => (0, n),
            Follower(n) => (1, n),
            Author(n) => (2, n),
        };
        SocketAddr::from(([10, subnet, (n / 250) as u8, (n % 250) as u8 + 1], 7500))
    }

    pub fn from_address(address: SocketAddr) -> Self {
        let SocketAddr::V4(v4) = address else { panic!("{address}") };
        let [_, subnet, high, low] = v4.ip().octets();
        let n = usize::from(high) * 250 + usize::from(low) - 1;
        [Replica(n), Follower(n), Author(n)][usize::from(subnet)]
    }

    /// Nodes are spread over ten zones in four regions; no two replicas share a zone.
    pub fn zone(self) -> usize {
        match self {
            Replica(n) | Follower(n) | Author(n) => n % 10,
        }
    }

    pub fn region(self) -> usize {
        self.zone() % 4
    }
}

/// Messages take 0.5 to 2 ms, and none is lost.
pub fn reliable() -> DeliveryRule {
    Box::new(|_, _, _, rng| vec![rng.random_range(0.0005..0.002)])
}

/// A fraction `loss` of the messages is lost.
pub fn lossy(loss: f64) -> DeliveryRule {
    Box::new(
        move |_, _, _, rng| {
            if rng.random_bool(loss) { vec![] } else { vec![rng.random_range(0.0005..0.002)] }
        },
    )
}

/// Messages take 1 ms within a region and 30 to 150 ms between regions, depending on the pair; a fraction is lost.
pub fn regions(loss: f64) -> DeliveryRule {
    Box::new(move |_, from, to, rng| {
        if rng.random_bool(loss) {
            return vec![];
        }
        let (a, b) = (from.region().min(to.region()), from.region().max(to.region()));
        let far = [[0.001, 0.03, 0.08, 0.15], [0.0, 0.001, 0.06, 0.11], [0.0, 0.0, 0.001, 0.05], [0.001; 4]];
        vec![far[a][b] * rng.random_range(1.0..1.1)]
    })
}

/// A network partition: nodes only reach those on the same side.
pub fn partitioned(side: impl Fn(NodeId) -> usize + 'static) -> DeliveryRule {
    Box::new(
        move |_, from, to, rng| {
            if side(from) == side(to) { vec![rng.random_range(0.0005..0.002)] } else { vec![] }
        },
    )
}
