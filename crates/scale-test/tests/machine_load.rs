//! What the system tells of cores, and how figures of many spread.

use milletpath_scale_test::distribution::{ConvergenceSamples, Distribution};
use milletpath_scale_test::machine_load::{CpuTime, process_cpu_seconds, process_memory_mb};

#[test]
fn cores_are_in_use_when_they_neither_idle_nor_wait() {
    let then = CpuTime::parse("cpu  100 0 100 700 100 0 0 0 0 0\ncpu0 1 1 1 1\n").expect("read");
    let now = CpuTime::parse("cpu  250 0 150 800 100 0 0 0 50 0\n").expect("read");
    assert_eq!((then.busy_seconds, then.total_seconds), (2.0, 10.0));
    assert!((now.utilization_since(then) - 200.0 / 300.0).abs() < 1e-9);
    assert_eq!(CpuTime::parse("intr 1 2 3"), None);
}

#[test]
fn a_process_has_memory_and_one_that_is_not_there_has_none() {
    assert!(process_memory_mb(std::process::id()).is_some_and(|mb| mb > 0.1));
    assert_eq!(process_memory_mb(u32::MAX), None);
    assert_eq!(process_cpu_seconds(u32::MAX), 0.0);
}

#[test]
fn the_worst_of_many_is_one_of_them() {
    assert_eq!(Distribution::of(Vec::new()), None);
    assert_eq!(Distribution::of(vec![3.0]), Some(Distribution { p50: 3.0, p99: 3.0, worst: 3.0 }));
    let all = (1..=200).rev().map(f64::from).collect();
    assert_eq!(Distribution::of(all), Some(Distribution { p50: 100.0, p99: 198.0, worst: 200.0 }));
}

#[test]
fn what_nobody_had_to_learn_is_not_told() {
    assert_eq!(ConvergenceSamples::default().summary(), None);
    let known = ConvergenceSamples { seconds: Vec::new(), never: 2 }.summary().expect("told");
    assert_eq!((known.distribution, known.converged, known.never), (None, 0, 2));
}
