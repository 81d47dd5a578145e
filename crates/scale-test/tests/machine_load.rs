//! Parsing of machine and process load from `/proc`.

use milletpath_scale_test::machine_load::{CpuTime, process_cpu_seconds, process_memory_mb};

#[test]
fn idle_and_waiting_cores_are_not_in_use() {
    let earlier = CpuTime::parse("cpu  100 0 100 700 100 0 0 0 0 0\ncpu0 1 1 1 1\n").expect("read");
    let later = CpuTime::parse("cpu  250 0 150 800 100 0 0 0 50 0\n").expect("read");
    assert_eq!((earlier.busy_seconds, earlier.total_seconds), (2.0, 10.0));
    assert!((later.utilization_since(earlier) - 200.0 / 300.0).abs() < 1e-9);
    assert_eq!(CpuTime::parse("intr 1 2 3"), None);
}

#[test]
fn a_missing_process_has_no_memory_and_no_processor_time() {
    assert!(process_memory_mb(std::process::id()).is_some_and(|mb| mb > 0.1));
    assert_eq!(process_memory_mb(u32::MAX), None);
    assert_eq!(process_cpu_seconds(u32::MAX), 0.0);
}
