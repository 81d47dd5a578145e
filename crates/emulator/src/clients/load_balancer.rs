//! The load balancer in front of the gateways, as clients see it: it picks one of the gateways that it takes for alive.

use crate::weighted_choice::weighted_choice;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Steps of the search for an exponent: enough for the precision of a double.
const SEARCH_STEPS: usize = 60;
const MAX_EXPONENT: f64 = 64.0;

/// The gateways as the load balancer knows them.
pub struct LoadBalancer {
    /// Where each listens.
    pub gateways: Vec<SocketAddr>,
    /// Which it takes for alive.
    pub alive: Vec<AtomicBool>,
    /// The share of the clients' attempts that each gets, relative to the others.
    pub weights: Vec<f64>,
}

impl LoadBalancer {
    /// Sets whether a gateway is taken for alive.
    pub fn set_alive(&self, gateway: usize, alive: bool) {
        self.alive[gateway].store(alive, Ordering::Relaxed);
    }

    /// The gateway for the next attempt, by weight; any if none seems alive.
    pub(super) fn pick(&self, rng: &mut ChaCha8Rng) -> usize {
        let all = 0..self.alive.len();
        let alive: Vec<_> = all.clone().filter(|&g| self.alive[g].load(Ordering::Relaxed)).collect();
        let candidates: Vec<_> = if alive.is_empty() { all.collect() } else { alive };
        candidates[weighted_choice(rng, candidates.iter().map(|&gateway| self.weights[gateway]))]
    }
}

/// Weights by which the busiest of the gateways gets so many times the mean. The others follow by rank, the n-th as a power of
/// n, as cities do by size.
#[must_use]
pub fn gateway_weights(gateways: usize, peak_to_mean: f64) -> Vec<f64> {
    let by_rank = |exponent: f64| (1..=gateways).map(move |rank| (rank as f64).powf(-exponent));
    let peak_to_mean_at = |exponent: f64| gateways as f64 / by_rank(exponent).sum::<f64>();
    let target = peak_to_mean.clamp(1.0, gateways as f64);
    let (mut low, mut high) = (0.0, MAX_EXPONENT);
    for _ in 0..SEARCH_STEPS {
        let middle = 0.5 * (low + high);
        if peak_to_mean_at(middle) < target { low = middle } else { high = middle }
    }
    by_rank(0.5 * (low + high)).collect()
}
