//! The Zipf distribution of calls over functions.

/// Number of ranks that are summed one by one; the following ranks are summed in blocks.
const MAX_SINGLE_RANKS: usize = 1_000;

/// The width of a block is its first rank divided by this.
const BLOCK_WIDTH_DIVISOR: usize = 100;

/// A Zipf distribution over functions; rank 1 is the most called function.
pub struct Popularity {
    exponent: f64,
    functions: usize,
    /// Sum of the weights of all ranks, by which they are normalized.
    total_weight: f64,
}

impl Popularity {
    /// Creates a distribution with the given exponent over `functions` ranks, but at least one.
    pub fn new(functions: f64, exponent: f64) -> Self {
        let mut popularity = Self { exponent, functions: functions.max(1.0) as usize, total_weight: 1.0 };
        popularity.total_weight = popularity.sum(|fraction| fraction);
        popularity
    }

    /// The sum of `term` over the call fractions of all functions. Within a block the fraction of its middle rank
    /// stands for all ranks.
    fn sum(&self, term: impl Fn(f64) -> f64) -> f64 {
        let last_single = self.functions.min(MAX_SINGLE_RANKS);
        let single: f64 = (1..=last_single).map(|rank| term(self.fraction(rank as f64))).sum();
        let (mut first, mut blocks) = (MAX_SINGLE_RANKS + 1, 0.0);
        while first <= self.functions {
            let width = (first / BLOCK_WIDTH_DIVISOR).min(self.functions + 1 - first);
            let middle = first as f64 + (width as f64 - 1.0) / 2.0;
            blocks += width as f64 * term(self.fraction(middle));
            first += width;
        }
        single + blocks
    }

    /// The fraction of all calls that the function with the given rank receives; ranks start at 1.
    pub fn fraction(&self, rank: f64) -> f64 {
        rank.powf(-self.exponent) / self.total_weight
    }

    /// The number of functions that receive at least the given fraction of all calls.
    pub fn functions_above(&self, fraction: f64) -> usize {
        let last_rank = (fraction * self.total_weight).powf(-1.0 / self.exponent);
        if last_rank.is_finite() { (last_rank as usize).min(self.functions) } else { self.functions }
    }

    /// The expected number of distinct functions among the given number of calls.
    pub fn distinct_functions(&self, calls: f64) -> f64 {
        self.sum(|fraction| -(-calls * fraction).exp_m1())
    }
}

/// The smallest exponent with which more than half of the functions receive fewer than `rate` calls per second, if all
/// functions together receive `calls` per second.
pub fn min_exponent(functions: f64, calls: f64, rate: f64) -> f64 {
    /// Larger than any exponent of interest.
    const MAX_EXPONENT: f64 = 8.0;
    const BISECTIONS: usize = 40;
    let median_rank = functions / 2.0;
    let (mut low, mut high) = (0.0, MAX_EXPONENT);
    for _ in 0..BISECTIONS {
        let exponent = (low + high) / 2.0;
        let is_rare = Popularity::new(functions, exponent).fraction(median_rank) * calls < rate;
        if is_rare {
            high = exponent;
        } else {
            low = exponent;
        }
    }
    high
}
