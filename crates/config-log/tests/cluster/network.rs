//! Who there is in the simulated network, where, and what befalls messages between any two.

#![allow(dead_code)]

use milletpath_config_log::Message;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

use NodeId::{Author, Follower as Gateway, Replica as Machine};

/// Who sends or hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeId {
    Replica(usize),
    Follower(usize),
    Author(usize),
}

/// What befalls one message: the delays after which it comes, none where it is lost.
pub type DeliveryRule = Box<dyn FnMut(f64, NodeId, NodeId, &mut ChaCha8Rng) -> Vec<f64>>;

/// What a place that lies makes of what it sends.
pub type Tamper = Box<dyn FnMut(NodeId, &mut Message)>;

impl NodeId {
    pub fn at(self) -> SocketAddr {
        let (cluster, n) = match self {
            Machine(n) => (0, n),
            Gateway(n) => (1, n),
            Author(n) => (2, n),
        };
        SocketAddr::from(([10, cluster, (n / 250) as u8, (n % 250) as u8 + 1], 7500))
    }

    pub fn of(at: SocketAddr) -> Self {
        let SocketAddr::V4(at) = at else { panic!("{at}") };
        let [_, cluster, high, low] = at.ip().octets();
        let n = usize::from(high) * 250 + usize::from(low) - 1;
        [Machine(n), Gateway(n), Author(n)][usize::from(cluster)]
    }

    /// Ten zones in four regions; each control machine has a zone of its own.
    pub fn zone(self) -> usize {
        match self {
            Machine(n) | Gateway(n) | Author(n) => n % 10,
        }
    }

    pub fn region(self) -> usize {
        self.zone() % 4
    }
}

/// Messages take half a millisecond to two, and are never lost.
pub fn reliable() -> DeliveryRule {
    Box::new(|_, _, _, rng| vec![rng.random_range(0.0005..0.002)])
}

/// A part of the messages is lost.
pub fn lossy(loss: f64) -> DeliveryRule {
    Box::new(
        move |_, _, _, rng| {
            if rng.random_bool(loss) { vec![] } else { vec![rng.random_range(0.0005..0.002)] }
        },
    )
}

/// A millisecond inside a region, 30 to 150 ms across by pair of regions, and a part is lost.
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

/// Parts that hear only themselves: by the number of the part of each place.
pub fn partitioned(side: impl Fn(NodeId) -> usize + 'static) -> DeliveryRule {
    Box::new(
        move |_, from, to, rng| {
            if side(from) == side(to) { vec![rng.random_range(0.0005..0.002)] } else { vec![] }
        },
    )
}
