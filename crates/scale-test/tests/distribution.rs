//! Quantiles of values and summaries of convergence times.

use milletpath_scale_test::distribution::{ConvergenceSamples, Distribution};

#[test]
fn quantiles_are_figures_of_the_sample() {
    assert_eq!(Distribution::of(Vec::new()), None);
    assert_eq!(Distribution::of(vec![3.0]), Some(Distribution { p50: 3.0, p99: 3.0, worst: 3.0 }));
    let all = (1..=200).rev().map(f64::from).collect();
    assert_eq!(Distribution::of(all), Some(Distribution { p50: 100.0, p99: 198.0, worst: 200.0 }));
}

#[test]
fn samples_of_nothing_have_no_summary() {
    assert_eq!(ConvergenceSamples::default().summary(), None);
    let summary = ConvergenceSamples { seconds: Vec::new(), never: 2 }.summary().expect("a summary");
    assert_eq!((summary.distribution, summary.converged, summary.never), (None, 0, 2));
}
