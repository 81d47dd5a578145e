//! Finds the size at which a quantity exceeds its limit.

/// Upper end of the search, as a multiple of the target size.
pub const MAX_SIZE_FACTOR: f64 = 100.0;

/// Lower end of the search, as a fraction of the target size.
const MIN_SIZE_FACTOR: f64 = 1e-4;

/// Number of search steps, spaced by a constant factor.
const STEPS: usize = 300;

const BISECTIONS: usize = 50;

/// The smallest fraction of the target size at which `value` exceeds `limit`. It is 0 if the limit is exceeded at the
/// smallest size already, `None` if it is not exceeded up to [`MAX_SIZE_FACTOR`].
pub(crate) fn breaking_point(value: &dyn Fn(f64) -> f64, limit: f64) -> Option<f64> {
    let factor = (MAX_SIZE_FACTOR / MIN_SIZE_FACTOR).powf(1.0 / STEPS as f64);
    if value(MIN_SIZE_FACTOR) > limit {
        return Some(0.0);
    }
    let mut low = MIN_SIZE_FACTOR;
    for _ in 0..STEPS {
        let high = low * factor;
        if value(high) > limit {
            return Some(bisect(value, limit, low, high));
        }
        low = high;
    }
    None
}

/// Narrows the interval in which the limit is crossed; the value is within the limit at `low` and above it at `high`.
fn bisect(value: &dyn Fn(f64) -> f64, limit: f64, mut low: f64, mut high: f64) -> f64 {
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        if value(middle) > limit {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}
