//! Small workers that play without effort: what a newcomer's machine and a scale run's real gateways have.

use crate::engine::{Make, Pack};
use crate::hall::{Hall, Tells};
use crate::store::Shelf;
use std::rc::Rc;
use std::time::Instant;

/// A worker that has room for all that it is asked there.
pub const MAKE: Make = Make {
    cores: 4,
    speed: 1.0,
    memory: 4096.0,
    loads_at_once: 4,
    queue: 256,
    keep: 30.0,
    misses: false,
    eager: true,
    cold_share: 0.2,
    warm_up: 5.0,
    tip_multiple: 2.5,
    tip_window: 1.0,
};

/// Functions that load in a moment, so that the first call shows a load without making one wait.
const PACK: Pack = Pack { lanes: 4, memory: 128.0, fetch: 0.1, start: 0.1 };

/// What such workers stand in.
pub fn hall(seed: u64) -> Rc<Hall> {
    let shelf = Shelf { at_once: 16.0, takes: 64, tips: None, stops: 1.0 };
    let tells = Tells { found: true, company: true, load: true };
    Hall::new(Instant::now(), seed, shelf, PACK, tells, 60.0)
}
