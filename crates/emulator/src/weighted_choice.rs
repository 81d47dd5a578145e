//! A random choice by weight.

use rand::Rng;

/// The minimum of the sum of the weights, so that the range from which a number is drawn is not empty.
const MIN_WEIGHT_SUM: f64 = 1e-9;

/// Chooses an index with a probability in proportion to its weight. Draws exactly one random number.
pub fn weighted_choice(rng: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let sum = weights.clone().sum::<f64>().max(MIN_WEIGHT_SUM);
    let mut rest = rng.random_range(0.0..sum);
    let mut last = 0;
    for (number, weight) in weights.enumerate() {
        last = number;
        if rest < weight {
            break;
        }
        rest -= weight;
    }
    last
}
