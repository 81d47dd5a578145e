//! How calls fall on functions, by Zipf's law: what follows from an exponent, by calculation.

/// Functions that are looked at one by one; the many after them in blocks, each a hundredth of its number
/// wide.
const SINGLE: usize = 1_000;
const BLOCK: usize = 100;

/// A popularity of so many functions; the first is the most called.
pub struct Popularity {
    exponent: f64,
    functions: usize,
    whole: f64,
}

impl Popularity {
    pub fn new(functions: f64, exponent: f64) -> Self {
        let mut popularity = Self { exponent, functions: functions.max(1.0) as usize, whole: 1.0 };
        popularity.whole = popularity.sum(|part| part);
        popularity
    }

    /// The sum of something over the parts of all functions.
    fn sum(&self, of: impl Fn(f64) -> f64) -> f64 {
        let single: f64 = (1..=self.functions.min(SINGLE)).map(|n| of(self.part(n as f64))).sum();
        let (mut from, mut blocks) = (SINGLE + 1, 0.0);
        while from <= self.functions {
            let width = (from / BLOCK).min(self.functions + 1 - from);
            let middle = from as f64 + (width as f64 - 1.0) / 2.0;
            blocks += width as f64 * of(self.part(middle));
            from += width;
        }
        single + blocks
    }

    /// The part of all calls that is for the n-th function.
    pub fn part(&self, n: f64) -> f64 {
        n.powf(-self.exponent) / self.whole
    }

    /// Functions that get at least such a part of the calls.
    pub fn over(&self, part: f64) -> usize {
        let last = (part * self.whole).powf(-1.0 / self.exponent);
        if last.is_finite() { (last as usize).min(self.functions) } else { self.functions }
    }

    /// Functions that were called at least once among so many calls.
    pub fn called(&self, calls: f64) -> f64 {
        self.sum(|part| -(-calls * part).exp_m1())
    }
}

/// The least exponent by which more than half of the functions are called less often than that, where all
/// are called so often a second together.
pub fn least_exponent(functions: f64, calls: f64, rate: f64) -> f64 {
    let middle = functions / 2.0;
    let (mut low, mut high) = (0.0, 8.0);
    for _ in 0..40 {
        let exponent = (low + high) / 2.0;
        let rare = Popularity::new(functions, exponent).part(middle) * calls < rate;
        if rare { high = exponent } else { low = exponent }
    }
    high
}
