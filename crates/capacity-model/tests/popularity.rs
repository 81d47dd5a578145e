//! Block sums over a Zipf distribution agree with exact sums, and results derived from them are consistent.

use milletpath_capacity_model::popularity::{Popularity, min_exponent};
use milletpath_capacity_model::roles::gateway::GatewayCalls;
use test_case::test_case;

#[test_case(33_000, 1.6)]
#[test_case(33_000, 1.1)]
#[test_case(33_000, 0.5)]
#[test_case(700, 1.1)]
#[test_case(1, 1.1)]
fn block_sums_agree_with_exact_sums(functions: usize, exponent: f64) {
    let popularity = Popularity::new(functions as f64, exponent);
    let total: f64 = (1..=functions).map(|n| (n as f64).powf(-exponent)).sum();
    assert!((popularity.fraction(1.0) * total - 1.0).abs() < 1e-4);
    for calls in [10.0, 8_700.0, 1e6] {
        let fraction = |n: usize| (n as f64).powf(-exponent) / total;
        let exact: f64 = (1..=functions).map(|n| 1.0 - (-calls * fraction(n)).exp()).sum();
        assert!((popularity.distinct_functions(calls) / exact - 1.0).abs() < 1e-3, "{calls} calls");
    }
}

/// With a slightly larger exponent more than half of the functions are called less often than the rate, with a slightly
/// smaller one fewer than half.
#[test]
fn at_the_minimum_exponent_half_of_the_functions_are_rarely_called() {
    let (functions, calls, rate) = (33_000.0, 160_000.0, 1.0 / 60.0);
    let minimum = min_exponent(functions, calls, rate);
    let often = |exponent: f64| Popularity::new(functions, exponent).functions_above(rate / calls) as f64;
    assert!(often(minimum + 0.001) < functions / 2.0 && often(minimum - 0.001) > functions / 2.0);
}

/// There are at most as many known functions as functions, and as calls in the idle timeout and the sweep delay. Their
/// number grows with the call rate and with the idle timeout.
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
