use super::*;

#[test]
fn the_first_gateway_has_the_given_peak_to_mean_ratio() {
    for (gateways, peak_to_mean) in [(12, 1.0), (12, 5.0), (12, 12.0), (2, 1.5), (1, 5.0), (24, 5.0)] {
        let weights = gateway_weights(gateways, peak_to_mean);
        let mean = weights.iter().sum::<f64>() / gateways as f64;
        let expected = f64::min(peak_to_mean, gateways as f64);
        assert!((weights[0] / mean - expected).abs() < 1e-6, "{weights:?}");
        assert!(weights.is_sorted_by(|a, b| a >= b));
    }
}
