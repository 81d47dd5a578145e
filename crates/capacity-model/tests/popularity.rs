//! Zipf's law over many functions: blocks come to the same as one by one, and what the page says of it holds.

use milletpath_capacity_model::gateway::functions_known;
use milletpath_capacity_model::popularity::{Popularity, least_exponent};
use test_case::test_case;

#[test_case(33_000, 1.6)]
#[test_case(33_000, 1.1)]
#[test_case(33_000, 0.5)]
#[test_case(700, 1.1)]
#[test_case(1, 1.1)]
fn blocks_come_to_the_same_as_one_by_one(functions: usize, exponent: f64) {
    let popularity = Popularity::new(functions as f64, exponent);
    let whole: f64 = (1..=functions).map(|n| (n as f64).powf(-exponent)).sum();
    assert!((popularity.part(1.0) * whole - 1.0).abs() < 1e-4);
    for calls in [10.0, 8_700.0, 1e6] {
        let part = |n: usize| (n as f64).powf(-exponent) / whole;
        let one_by_one: f64 = (1..=functions).map(|n| 1.0 - (-calls * part(n)).exp()).sum();
        assert!((popularity.called(calls) / one_by_one - 1.0).abs() < 1e-3, "{calls} calls");
    }
}

/// By the exponent that is given just over half are called less often, and with a little less just under half.
#[test]
fn the_least_exponent_leaves_half_below_the_rate() {
    let (functions, calls, rate) = (33_000.0, 160_000.0, 1.0 / 60.0);
    let least = least_exponent(functions, calls, rate);
    let often = |exponent: f64| Popularity::new(functions, exponent).over(rate / calls) as f64;
    assert!(often(least + 0.001) < functions / 2.0 && often(least - 0.001) > functions / 2.0);
}

/// Never more functions than there are, nor than calls in the time that counts; more calls or a longer time, more known.
#[test]
fn functions_known_are_bounded_by_calls_and_by_functions() {
    let known = |calls, keep| functions_known(33_000.0, 1.1, calls, keep);
    assert!(known(145.0, 60.0) < 145.0 * 90.0);
    assert!(known(145.0, 60.0) < known(145.0, 120.0));
    assert!(known(145.0, 60.0) < known(290.0, 60.0));
    assert!(known(1e6, 600.0) <= 33_000.0 + 1e-6);
}
