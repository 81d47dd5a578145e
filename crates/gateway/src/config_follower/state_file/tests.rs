//! Each error and each kill at each operation on the file of the last known state: what is read after it is a whole
//! state, no older than the last that was kept.

use super::*;
use milletpath_storage::testing::{Fault, FaultyFolder, Operation, PowerLoss};
use nix::errno::Errno;

const NAME: &str = "gateway.state";

/// A state of some bytes, none like another.
fn state(number: u64) -> (StateId, Vec<u8>) {
    (StateId { number, digest: number * 7 }, vec![number as u8; 20 + number as usize])
}

fn file(folder: &FaultyFolder) -> StateFile<FaultyFolder> {
    StateFile::new(folder.clone(), NAME.into(), StateId { number: 0, digest: 0 }, 0.0)
}

/// Six states, each tried for ten seconds; gives the number that was stored last.
fn play(folder: &FaultyFolder) -> u64 {
    let mut file = file(folder);
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

/// What is read after a loss of power, whatever of it was not synced.
fn holds(folder: &FaultyFolder, stored: u64, what: &str) {
    for (keeps_names, keeps_bytes) in [(false, 0), (true, 0), (false, 9), (true, 9), (true, usize::MAX)] {
        let left = folder.after(PowerLoss { keeps_names, keeps_bytes });
        let number = match left.read(NAME) {
            Ok(bytes) => {
                let number = u64::from(*bytes.first().unwrap_or_else(|| panic!("{what}: it is empty")));
                assert_eq!(bytes, state(number).1, "{what}: a state that never was");
                number
            }
            Err(_) => 0,
        };
        assert!((stored..=stored + 1).contains(&number), "{what}: {number} after {stored} was kept");
    }
}

#[test]
fn the_file_survives_each_fault_at_each_operation() {
    let faultless = FaultyFolder::default();
    assert_eq!(play(&faultless), 6);
    let operations = faultless.operations();
    for (at, operation) in operations.iter().enumerate() {
        let errors = [Errno::ENOSPC, Errno::EIO].into_iter();
        let faults = errors.flat_map(|e| [Fault::Fails(e), Fault::FailsAfter(e)]).chain([Fault::ShortWrite]);
        for (fault, length) in faults.flat_map(|fault| [1, 3].map(|length| (fault, length))) {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + length, fault);
            let what = format!("{fault:?} at {at} ({operation:?}) for {length}");
            assert_eq!(play(&folder), 6, "{what}: it does not recover");
            holds(&folder, 6, &what);
            assert_eq!(folder.names(), [NAME], "{what}");
        }
        let prefixes = if *operation == Operation::Write { 30 } else { 0 };
        for after in 0..=prefixes {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + 1, Fault::Killed { after });
            let stored = play(&folder);
            holds(&folder, stored, &format!("killed at {at} ({operation:?}) after {after} bytes"));
            folder.clear_faults();
            assert_eq!(play(&folder), 6);
            assert_eq!(folder.names(), [NAME], "what a kill left beside it goes");
        }
    }
}

/// Some 10 to 30 attempts in 100 s, and the file keeps its former state.
#[test]
fn a_disk_that_keeps_failing_is_retried_with_growing_pauses() {
    let folder = FaultyFolder::default();
    let mut file = file(&folder);
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

/// What other processes left half written goes at the start; all else stays.
#[test]
fn temporary_files_of_earlier_processes_are_removed() {
    let folder = FaultyFolder::default();
    for name in ["gateway.state", "gateway.state.17.new", "gateway.state.x.new", "other.state.17.new"] {
        folder.put(name, b"half");
    }
    file(&folder);
    assert_eq!(folder.names(), ["gateway.state", "gateway.state.x.new", "other.state.17.new"]);
}
