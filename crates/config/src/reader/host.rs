//! Defaults that come from the process and the machine rather than from the configuration file.

use std::hash::{BuildHasher, RandomState};

/// Maximum number of threads that process requests in a gateway.
pub const MAX_CORES: u32 = 63;

/// Number of processors that this process may use, up to [`MAX_CORES`].
pub fn available_cores() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get()).min(MAX_CORES as usize)
}

/// A random seed for a gateway without a configured one: otherwise identical gateways must not make the same random
/// decisions in lockstep.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
