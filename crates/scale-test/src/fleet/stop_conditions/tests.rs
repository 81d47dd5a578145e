//! Conditions that end a run early.

use super::StopConditions;
use crate::stop_reason::StopReason;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

fn conditions() -> (StopConditions, Arc<AtomicBool>) {
    let stop = Arc::new(AtomicBool::new(false));
    let conditions = StopConditions {
        stop: stop.clone(),
        started_at: 100.0,
        time_limit_seconds: 60.0,
        memory_limit_gb: 2.0,
    };
    (conditions, stop)
}

#[test]
fn a_run_ends_after_its_time_limit() {
    let (conditions, _) = conditions();
    assert!(conditions.check_time(160.0).is_ok());
    assert!(matches!(conditions.check_time(160.1), Err(StopReason::TimeLimit)));
}

#[test]
fn a_signal_counts_before_the_time_limit() {
    let (conditions, stop) = conditions();
    stop.store(true, Ordering::Release);
    assert!(matches!(conditions.check_time(1_000.0), Err(StopReason::Stopped)));
}

#[test]
fn a_run_ends_when_it_uses_more_memory_than_its_limit() {
    let (conditions, _) = conditions();
    assert!(conditions.check_memory(2.0).is_ok());
    let reason = conditions.check_memory(2.5);
    assert!(matches!(reason, Err(StopReason::MemoryLimit { gigabytes }) if gigabytes == 2.5));
}
