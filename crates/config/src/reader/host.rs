//! What a gateway takes from the process it runs in where the file does not state it.

use std::hash::{BuildHasher, RandomState};

/// Threads that a gateway may have at most.
pub const MAX_CORES: u32 = 63;

/// The processors that this process may use, up to [`MAX_CORES`].
pub fn available_cores() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get()).min(MAX_CORES as usize)
}

/// A seed for a gateway that is given none: gateways alike in all else must not act in step.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
