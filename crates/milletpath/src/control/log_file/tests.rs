//! A log that can't be read for a while, and one that can't be read at all.

use super::*;
use milletpath_storage::testing::{Fault, FaultyFolder};
use nix::errno::Errno;

const NAME: &str = "control-0.log";

/// Loads a log of which so many reads fail so; gives the waits between two reads.
fn load_with(reads: usize, errno: Errno) -> (Result<bool, LoadError>, Vec<f64>) {
    let folder = FaultyFolder::default();
    StoredLog::load(folder.clone(), NAME).unwrap().renew(true).unwrap();
    let at = folder.operations().len();
    folder.fail_operations(at..at + reads, Fault::Fails(errno));
    let mut waits = Vec::new();
    let loaded = load(&folder, NAME, |wait| waits.push(wait.as_secs_f64()));
    (loaded.map(|stored| stored.is_empty()), waits)
}

#[test]
fn a_log_that_can_t_be_read_for_a_while_is_read_again() {
    let (loaded, waits) = load_with(8, Errno::EIO);
    assert!(!loaded.unwrap(), "it holds what it held");
    assert_eq!(waits, [0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0]);
}

#[test]
fn a_log_that_may_not_be_read_is_an_error_at_once() {
    let (loaded, waits) = load_with(1, Errno::EACCES);
    let message = loaded.unwrap_err().to_string();
    assert!(message.contains("mend the disk or its permissions"), "{message}");
    assert!(waits.is_empty());
}
