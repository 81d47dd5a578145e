//! The load balancer in front of the gateways, as clients see it: it chooses one of the gateways that it considers
//! alive.

use crate::weighted_choice::weighted_choice;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Bisection steps in the search for the exponent: enough to reach the precision of an `f64`.
const SEARCH_STEPS: usize = 60;
const MAX_EXPONENT: f64 = 64.0;

/// The load balancer's view of the gateways.
pub struct LoadBalancer {
    /// The address on which each gateway listens for clients.
    pub gateways: Vec<SocketAddr>,
    /// Whether each gateway is considered alive.
    pub alive: Vec<AtomicBool>,
    /// The share of the clients' attempts that each gateway gets, relative to the others.
    pub weights: Vec<f64>,
}

impl LoadBalancer {
    /// Marks a gateway as alive or not.
    pub fn set_alive(&self, gateway: usize, alive: bool) {
        self.alive[gateway].store(alive, Ordering::Relaxed);
    }

    /// Chooses a gateway for the next attempt by weight; if none is considered alive, chooses among all.
    pub(super) fn pick(&self, rng: &mut ChaCha8Rng) -> usize {
        let all = 0..self.alive.len();
        let alive: Vec<_> = all.clone().filter(|&g| self.alive[g].load(Ordering::Relaxed)).collect();
        let candidates: Vec<_> = if alive.is_empty() { all.collect() } else { alive };
        candidates[weighted_choice(rng, candidates.iter().map(|&gateway| self.weights[gateway]))]
    }
}

/// Returns weights by which the first gateway, the busiest, gets `peak_to_mean` times the mean. The weights follow a
/// power law of the gateways' ranks, as city sizes do.
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
