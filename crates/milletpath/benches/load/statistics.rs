//! Medians, percentiles and confidence intervals.

use hdrhistogram::Histogram;

/// Returns the median; of an even number of values, the upper of the two middle ones.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns the latency at a quantile, in milliseconds.
pub fn milliseconds(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e3
}

/// Formats p50, p99 and p99.9.
pub fn percentiles(latencies: &Histogram<u64>) -> String {
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| milliseconds(latencies, quantile));
    format!("p50 {p50:.3} ms, p99 {p99:.3} ms, p99.9 {p999:.3} ms")
}

/// Merges several histograms with the same bounds into one.
pub fn merge(histograms: &[Histogram<u64>]) -> Histogram<u64> {
    let mut merged = histograms[0].clone();
    for histogram in &histograms[1..] {
        merged.add(histogram).expect("the same bounds");
    }
    merged
}

/// A mean with its confidence interval.
pub struct Interval {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

/// Returns the geometric mean of ratios. The confidence interval results from Student's t-distribution for the mean of
/// their logarithms, of which `student_t` is the quantile.
pub fn geometric_mean(ratios: &[f64], student_t: f64) -> Interval {
    let logarithms: Vec<f64> = ratios.iter().map(|ratio| ratio.ln()).collect();
    let count = logarithms.len() as f64;
    let mean = logarithms.iter().sum::<f64>() / count;
    let squares: f64 = logarithms.iter().map(|logarithm| (logarithm - mean).powi(2)).sum();
    let deviation = (squares / (count - 1.0)).sqrt();
    let half_width = student_t * deviation / count.sqrt();
    Interval { mean: mean.exp(), low: (mean - half_width).exp(), high: (mean + half_width).exp() }
}
