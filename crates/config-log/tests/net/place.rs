//! Who there is in the simulated network, where, and what befalls messages between any two.

#![allow(dead_code)]

use milletpath_config_log::Message;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

use Place::{Author, Follower as Gateway, Replica as Machine};

/// Who sends or hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Replica(usize),
    Follower(usize),
    Author(usize),
}

/// What befalls one message: the delays after which it comes, none where it is lost.
pub type Rule = Box<dyn FnMut(f64, Place, Place, &mut ChaCha8Rng) -> Vec<f64>>;

/// What a place that lies makes of what it sends.
pub type Lies = Box<dyn FnMut(Place, &mut Message)>;

impl Place {
    pub fn at(self) -> SocketAddr {
        let (net, n) = match self {
            Machine(n) => (0, n),
            Gateway(n) => (1, n),
            Author(n) => (2, n),
        };
        SocketAddr::from(([10, net, (n / 250) as u8, (n % 250) as u8 + 1], 7500))
    }

    pub fn of(at: SocketAddr) -> Self {
        let SocketAddr::V4(at) = at else { panic!("{at}") };
        let [_, net, high, low] = at.ip().octets();
        let n = usize::from(high) * 250 + usize::from(low) - 1;
        [Machine(n), Gateway(n), Author(n)][usize::from(net)]
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
pub fn calm() -> Rule {
    Box::new(|_, _, _, chance| vec![chance.random_range(0.0005..0.002)])
}

/// A part of the messages is lost.
pub fn lossy(part: f64) -> Rule {
    Box::new(
        move |_, _, _, chance| {
            if chance.random_bool(part) { vec![] } else { vec![chance.random_range(0.0005..0.002)] }
        },
    )
}

/// A millisecond inside a region, 30 to 150 ms across by pair of regions, and a part is lost.
pub fn regions(part: f64) -> Rule {
    Box::new(move |_, from, to, chance| {
        if chance.random_bool(part) {
            return vec![];
        }
        let (a, b) = (from.region().min(to.region()), from.region().max(to.region()));
        let far = [[0.001, 0.03, 0.08, 0.15], [0.0, 0.001, 0.06, 0.11], [0.0, 0.0, 0.001, 0.05], [0.001; 4]];
        vec![far[a][b] * chance.random_range(1.0..1.1)]
    })
}

/// Parts that hear only themselves: by the number of the part of each place.
pub fn apart(part: impl Fn(Place) -> usize + 'static) -> Rule {
    Box::new(
        move |_, from, to, chance| {
            if part(from) == part(to) { vec![chance.random_range(0.0005..0.002)] } else { vec![] }
        },
    )
}
