//! Injects every error and a process kill at every operation on the state file. Afterwards the file must contain a
//! complete state that is no older than the last one stored.

use super::*;
use milletpath_storage::testing::{Fault, FaultyFolder, Operation, PowerLoss};
use nix::errno::Errno;

const NAME: &str = "gateway.state";

/// A state whose bytes differ from those of every other state.
fn state(number: u64) -> (StateId, Vec<u8>) {
    (StateId { number, digest: number * 7 }, vec![number as u8; 20 + number as usize])
}

fn open_file(folder: &FaultyFolder) -> StateFile<FaultyFolder> {
    StateFile::new(folder.clone(), NAME.into(), StateId { number: 0, digest: 0 }, 0.0)
}

/// Saves six states, attempting each for ten seconds. Returns the number of the last one stored.
fn write_states(folder: &FaultyFolder) -> u64 {
    let mut file = open_file(folder);
    let mut stored = 0;
    for number in 1..=6 {
        for second in 0..10 {
            let (id, bytes) = state(number);
            file.save(id, (number * 10 + second) as f64, || bytes);
            if folder.is_killed() {
                return stored;
            }
            stored = if file.stored == id { number } else { stored };
        }
    }
    stored
}

/// Asserts that a valid state, no older than `stored`, is read after a power loss, whichever unsynced data was lost.
fn assert_recoverable(folder: &FaultyFolder, stored: u64, case: &str) {
    for (keeps_names, keeps_bytes) in [(false, 0), (true, 0), (false, 9), (true, 9), (true, usize::MAX)] {
        let left = folder.after(PowerLoss { keeps_names, keeps_bytes });
        let number = match left.read(NAME) {
            Ok(bytes) => {
                let number = u64::from(*bytes.first().unwrap_or_else(|| panic!("{case}: the file is empty")));
                assert_eq!(bytes, state(number).1, "{case}: a state that was never saved");
                number
            }
            Err(_) => 0,
        };
        assert!(
            (stored..=stored + 1).contains(&number),
            "{case}: read {number} although {stored} was stored"
        );
    }
}

#[test]
fn the_file_survives_each_fault_at_each_operation() {
    let faultless = FaultyFolder::default();
    assert_eq!(write_states(&faultless), 6);
    let operations = faultless.operations();
    for (at, operation) in operations.iter().enumerate() {
        let errors = [Errno::ENOSPC, Errno::EIO].into_iter();
        let faults = errors.flat_map(|e| [Fault::Fails(e), Fault::FailsAfter(e)]).chain([Fault::ShortWrite]);
        for (fault, length) in faults.flat_map(|fault| [1, 3].map(|length| (fault, length))) {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + length, fault);
            let case = format!("{fault:?} at {at} ({operation:?}) for {length}");
            assert_eq!(write_states(&folder), 6, "{case}: saving does not recover");
            assert_recoverable(&folder, 6, &case);
            assert_eq!(folder.names(), [NAME], "{case}");
        }
        let prefixes = if *operation == Operation::Write { 30 } else { 0 };
        for after in 0..=prefixes {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + 1, Fault::Killed { after });
            let stored = write_states(&folder);
            assert_recoverable(
                &folder,
                stored,
                &format!("killed at {at} ({operation:?}) after {after} bytes"),
            );
            folder.clear_faults();
            assert_eq!(write_states(&folder), 6);
            assert_eq!(folder.names(), [NAME], "temporary files of the killed process are removed");
        }
    }
}

/// A disk that keeps failing is tried 10 to 30 times in 100 s, and the file keeps its previous state.
#[test]
fn a_disk_that_keeps_failing_is_retried_with_growing_pauses() {
    let folder = FaultyFolder::default();
    let mut file = open_file(&folder);
    let (id, bytes) = state(1);
    file.save(id, 0.0, || bytes);
    folder.fail_kind(Operation::SyncFile, Fault::Fails(Errno::EIO));
    let (id, bytes) = state(2);
    (0..1000).for_each(|tenth| file.save(id, 2.0 + f64::from(tenth) / 10.0, || bytes.clone()));
    assert!((10..30).contains(&file.failures), "{} attempts in 100 s", file.failures);
    assert_eq!(folder.read(NAME).unwrap(), state(1).1);
    folder.clear_faults();
    file.save_last(id, 103.0, || bytes.clone());
    assert_eq!(folder.read(NAME).unwrap(), bytes);
}

/// Temporary files of other processes of this gateway are removed at the start, and all other files are kept.
#[test]
fn temporary_files_of_earlier_processes_are_removed() {
    let folder = FaultyFolder::default();
    for name in ["gateway.state", "gateway.state.17.new", "gateway.state.x.new", "other.state.17.new"] {
        folder.put(name, b"half");
    }
    open_file(&folder);
    assert_eq!(folder.names(), ["gateway.state", "gateway.state.x.new", "other.state.17.new"]);
}
