//! Sums over a Zipf distribution by blocks of ranks agree with sums over each rank.

use milletpath_capacity_model::popularity::{Popularity, min_exponent};
use milletpath_capacity_model::roles::gateway::GatewayCalls;
use test_case::test_case;

#[test_case(33_000, 1.6)]
#[test_case(33_000, 1.1)]
#[test_case(33_000, 0.5)]
#[test_case(700, 1.1)]
#[test_case(1, 1.1)]
fn blocks_agree_with_single_ranks(functions: usize, exponent: f64) {
    let popularity = Popularity::new(functions as f64, exponent);
    let total: f64 = (1..=functions).map(|n| (n as f64).powf(-exponent)).sum();
    assert!((popularity.fraction(1.0) * total - 1.0).abs() < 1e-4);
    for calls in [10.0, 8_700.0, 1e6] {
        let fraction = |n: usize| (n as f64).powf(-exponent) / total;
        let exact: f64 = (1..=functions).map(|n| 1.0 - (-calls * fraction(n)).exp()).sum();
        assert!((popularity.distinct_functions(calls) / exact - 1.0).abs() < 1e-3, "{calls} calls");
    }
}

/// With the least exponent just over half of the functions are below the rate, with a little less just under half.
#[test]
fn the_least_exponent_leaves_half_below_the_rate() {
    let (functions, calls, rate) = (33_000.0, 160_000.0, 1.0 / 60.0);
    let least = min_exponent(functions, calls, rate);
    let often = |exponent: f64| Popularity::new(functions, exponent).functions_above(rate / calls) as f64;
    assert!(often(least + 0.001) < functions / 2.0 && often(least - 0.001) > functions / 2.0);
}

/// Never more than the functions that exist, nor than the calls in the time that counts; more calls or a longer idle
/// timeout, more known functions.
#[test]
fn known_functions_are_bounded_by_calls_and_by_functions() {
    let known = |calls_per_second, idle_timeout_seconds| {
        let calls =
            GatewayCalls { functions: 33_000.0, zipf_exponent: 1.1, calls_per_second, idle_timeout_seconds };
        calls.known_functions()
    };
    assert!(known(145.0, 60.0) < 145.0 * 90.0);
    assert!(known(145.0, 60.0) < known(145.0, 120.0));
    assert!(known(145.0, 60.0) < known(290.0, 60.0));
    assert!(known(1e6, 600.0) <= 33_000.0 + 1e-6);
}
