//! Transient and permanent errors in reading a log file.

use super::*;
use milletpath_storage::testing::{Fault, FaultyFolder};
use nix::errno::Errno;

const NAME: &str = "control-0.log";

/// Loads a log whose first reads fail with `errno`. Returns whether the log is empty, and the waits between attempts.
fn load_with_failing_reads(failed_reads: usize, errno: Errno) -> (Result<bool, LoadError>, Vec<f64>) {
    let folder = FaultyFolder::default();
    StoredLog::load(folder.clone(), NAME).unwrap().renew(true).unwrap();
    let first_failure = folder.operations().len();
    folder.fail_operations(first_failure..first_failure + failed_reads, Fault::Fails(errno));
    let mut waits = Vec::new();
    let loaded = load(&folder, NAME, |wait| waits.push(wait.as_secs_f64()));
    (loaded.map(|stored| stored.is_empty()), waits)
}

#[test]
fn a_transient_read_error_is_retried() {
    let (loaded, waits) = load_with_failing_reads(8, Errno::EIO);
    assert!(!loaded.unwrap(), "the records are still there");
    assert_eq!(waits, [0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0]);
}

#[test]
fn a_permission_error_is_reported_without_a_retry() {
    let (loaded, waits) = load_with_failing_reads(1, Errno::EACCES);
    let message = loaded.unwrap_err().to_string();
    assert!(message.contains("mend the disk or its permissions"), "{message}");
    assert!(waits.is_empty());
}
