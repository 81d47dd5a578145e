//! Gateways that start in the course of a scenario.

use crate::scenario_file::{FaultKind, Scenario};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Makes the choice differ from other random numbers of the same seed.
const SEED_MASK: u64 = 0x10_7a7e;

/// The gateways that start late, by the name of the fault in which they start.
pub(super) struct LateJoiners(BTreeMap<String, Vec<usize>>);

impl LateJoiners {
    /// Chooses them at random; at least one gateway runs from the beginning.
    pub(super) fn choose(scenario: &Scenario, seed: u64) -> Self {
        let mut present: Vec<usize> = (0..scenario.gateways).collect();
        present.shuffle(&mut ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK));
        let mut late = BTreeMap::new();
        for fault in scenario.faults.iter().filter(|fault| fault.kind == FaultKind::LateGatewayStart) {
            let count = ((scenario.gateways as f64 * fault.fraction).round() as usize).max(1);
            let chosen = present.split_off(present.len() - count.min(present.len() - 1));
            late.insert(fault.name.clone(), chosen);
        }
        Self(late)
    }

    /// The gateways that start in a fault.
    pub(super) fn in_fault(&self, name: &str) -> Vec<usize> {
        self.0.get(name).cloned().unwrap_or_default()
    }

    /// Whether a gateway starts late.
    pub(super) fn contains(&self, gateway: usize) -> bool {
        self.0.values().flatten().any(|late| *late == gateway)
    }
}

#[cfg(test)]
mod tests;
