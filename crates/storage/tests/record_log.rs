//! Recovery of a record log after crashes, corruption and disk errors, at each byte and at each operation.

use milletpath_storage::testing::{Fault, FaultyFolder, Operation, PowerLoss};
use milletpath_storage::{Folder, OpenError, RecordLog, Recovered};
use nix::errno::Errno;

const NAME: &str = "control-0.log";
const TEMPORARY_NAME: &str = "control-0.log.new";
const FILE_HEADER_BYTES: usize = 25;
const RECORD_HEADER_BYTES: usize = 16;

type Log = RecordLog<FaultyFolder>;

fn three_records() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![0xff; 300]]
}

/// Opens a log and rewrites it, as a control machine does at each start.
fn open_and_rewrite(folder: &FaultyFolder) -> (Log, Recovered) {
    let (mut log, recovered) = Log::open(folder.clone(), NAME).unwrap_or_else(|e| panic!("{e}"));
    log.rewrite(&recovered.records).unwrap();
    (log, recovered)
}

fn log_of_three_records() -> Vec<u8> {
    let folder = FaultyFolder::default();
    open_and_rewrite(&folder).0.append(&three_records()).unwrap();
    folder.read(NAME).unwrap()
}

fn folder_with_log(bytes: &[u8]) -> FaultyFolder {
    let folder = FaultyFolder::default();
    folder.put(NAME, bytes);
    folder
}

/// Older and newer versions must be able to read each other's files, so the file format must not change.
#[test]
fn file_format_is_stable() {
    let written = [
        b"milletpath control log 1\n".as_slice(),
        &[5, 0, 0, 0],
        &(xxhash_rust::xxh3::xxh3_64(&[5, 0, 0, 0]) as u32).to_le_bytes(),
        &xxhash_rust::xxh3::xxh3_64(b"first").to_le_bytes(),
        b"first",
    ]
    .concat();
    assert_eq!(open_and_rewrite(&folder_with_log(&written)).1.records, [b"first"]);
    assert_eq!(log_of_three_records()[..written.len()], written);
}

#[test]
fn appended_records_are_read_after_reopening() {
    let folder = FaultyFolder::default();
    let (mut log, recovered) = open_and_rewrite(&folder);
    assert_eq!(recovered, Recovered::default());
    log.append(&three_records()[..1]).unwrap();
    log.append(&three_records()[1..]).unwrap();
    let (mut log, recovered) = open_and_rewrite(&folder);
    assert_eq!(recovered, Recovered { records: three_records(), torn_bytes: 0 });
    log.append(&[b"fourth".to_vec()]).unwrap();
    assert_eq!(open_and_rewrite(&folder).1.records.len(), 4);
}

/// A crash may truncate the file at any byte: the complete records before that byte are recovered, and a record that is
/// appended after the rewrite is recovered too.
#[test]
fn truncation_at_any_byte_keeps_the_complete_records() {
    let original = log_of_three_records();
    let ends = [
        FILE_HEADER_BYTES,
        FILE_HEADER_BYTES + RECORD_HEADER_BYTES + 5,
        FILE_HEADER_BYTES + 2 * RECORD_HEADER_BYTES + 5,
        original.len(),
    ];
    for cut in 0..=original.len() {
        let folder = folder_with_log(&original[..cut]);
        let (mut log, recovered) = open_and_rewrite(&folder);
        let complete = ends.iter().skip(1).filter(|end| **end <= cut).count();
        assert_eq!(recovered.records, three_records()[..complete], "truncated at {cut}");
        let torn_bytes = cut.saturating_sub(ends[complete]);
        assert_eq!(recovered.torn_bytes, torn_bytes as u64, "truncated at {cut}");
        log.append(&[b"next".to_vec()]).unwrap();
        let recovered = open_and_rewrite(&folder).1;
        assert_eq!((recovered.records.len(), recovered.torn_bytes), (complete + 1, 0), "truncated at {cut}");
    }
}

/// A crash may leave a file at its full size while its last bytes never reached the disk and read as zeros.
#[test]
fn trailing_zeros_count_as_a_torn_record() {
    let original = log_of_three_records();
    let last = FILE_HEADER_BYTES + 2 * RECORD_HEADER_BYTES + 5;
    for from in [last, last + RECORD_HEADER_BYTES, last + RECORD_HEADER_BYTES + 100] {
        let mut bytes = original.clone();
        bytes[from..].fill(0);
        bytes.extend([0; 40]);
        let torn_bytes = (bytes.len() - last) as u64;
        assert_eq!(
            open_and_rewrite(&folder_with_log(&bytes)).1,
            Recovered { records: three_records()[..2].to_vec(), torn_bytes },
            "zeros from byte {from}"
        );
    }
}

/// Any flipped bit must be detected: no record is read that was not written, and none is silently skipped. The error names
/// the offset of the record, and the file is left unchanged.
#[test]
fn a_flipped_bit_is_reported_with_the_offset_of_its_record() {
    let original = log_of_three_records();
    for at in 0..original.len() {
        let mut bytes = original.clone();
        bytes[at] ^= 1 << (at % 8);
        let folder = folder_with_log(&bytes);
        match Log::open(folder.clone(), NAME) {
            Err(OpenError::NotALog) => assert!(at < FILE_HEADER_BYTES),
            Err(error @ OpenError::CorruptAt(record)) => {
                assert!(record <= at as u64 && at >= FILE_HEADER_BYTES);
                let message = error.to_string();
                assert!(
                    message.contains(&format!("byte {record}")) && message.contains("move the file"),
                    "{message}"
                );
            }
            other => panic!("bit {} of byte {at}: {:?}", at % 8, other.map(|(_, recovered)| recovered)),
        }
        assert_eq!(folder.read(NAME).unwrap(), bytes, "a corrupt file is left unchanged");
    }
}

#[test]
fn a_grown_log_is_rewritten() {
    let folder = FaultyFolder::default();
    let (mut log, _) = open_and_rewrite(&folder);
    for _ in 0..20 {
        log.append(&three_records()).unwrap();
    }
    assert!(log.has_grown(4, 1000) && !log.has_grown(4, 1 << 20) && !log.has_grown(10_000, 0));
    // A crash during an earlier rewrite left an incomplete temporary file.
    folder.put(TEMPORARY_NAME, b"half");
    log.rewrite(&three_records()).unwrap();
    assert!(!log.has_grown(4, 0));
    assert_eq!(folder.names(), [NAME]);
    log.append(&[b"behind".to_vec()]).unwrap();
    let recovered = open_and_rewrite(&folder).1;
    assert_eq!((&recovered.records[..3], recovered.records.len()), (three_records().as_slice(), 4));
}

/// The records of a scripted run.
#[derive(Default)]
struct History {
    /// The records that were stored successfully.
    acknowledged: Vec<Vec<u8>>,
    /// A superset of `acknowledged` that also has the records of failed appends and rewrites.
    attempted: Vec<Vec<u8>>,
}

/// Opens a log, rewrites it, appends, rewrites it again and appends again. After a failure, each step tries a rewrite.
fn run_script(folder: &FaultyFolder) -> History {
    let mut history = History::default();
    let Ok((mut log, _)) = Log::open(folder.clone(), NAME) else { return history };
    let mut stored = Ok(());
    for step in 0..12u8 {
        let record = vec![step; 3 + usize::from(step)];
        history.attempted.push(record.clone());
        stored = match log.is_appendable() && stored.is_ok() && step != 6 {
            true => log.append(&[record]).map_err(drop),
            false => log.rewrite(&history.attempted).map_err(drop),
        };
        if folder.is_killed() {
            break;
        }
        if stored.is_ok() {
            history.acknowledged = history.attempted.clone();
        }
    }
    history
}

/// Asserts that a log read after a power failure, or after the process was only killed, has all acknowledged records in
/// order, and none that was not attempted.
fn assert_recoverable(folder: &FaultyFolder, history: &History, fault: &str) {
    let losses = [(false, 0), (true, 0), (false, 7), (true, 7), (true, usize::MAX)];
    for (keeps_names, keeps_bytes) in losses {
        let after_loss = folder.after(PowerLoss { keeps_names, keeps_bytes });
        let (mut log, recovered) =
            Log::open(after_loss.clone(), NAME).unwrap_or_else(|e| panic!("{fault}: {e}"));
        let (records, acknowledged) = (&recovered.records, history.acknowledged.len());
        assert!(records.len() >= acknowledged, "{fault}: {} of {acknowledged} records found", records.len());
        assert_eq!(records[..], history.attempted[..records.len()], "{fault}");
        log.rewrite(records).unwrap();
        log.append(&[b"next".to_vec()]).unwrap();
        assert_eq!(open_and_rewrite(&after_loss).1.records.len(), records.len() + 1, "{fault}");
    }
}

/// Injects each error at each operation of the script, for one operation, three operations and permanently; then a kill
/// before each operation and after each prefix of each write. Acknowledged records must survive, and the log must work
/// again once a temporary error has ended.
#[test]
fn each_fault_at_each_operation() {
    let reference = FaultyFolder::default();
    let history = run_script(&reference);
    assert_eq!(history.acknowledged.len(), 12);
    assert_recoverable(&reference, &history, "no fault");
    let operations = reference.operations();
    let count = |kind: Operation| operations.iter().filter(|o| **o == kind).count();
    assert!(
        [Operation::Write, Operation::SyncFile, Operation::Rename, Operation::SyncFolder]
            .into_iter()
            .all(|kind| count(kind) >= 2)
    );
    let mut runs = 0;
    for at in 0..operations.len() {
        let errors = [Errno::ENOSPC, Errno::EIO].into_iter();
        let faults = errors.flat_map(|e| [Fault::Fails(e), Fault::FailsAfter(e)]).chain([Fault::ShortWrite]);
        for (fault, length) in faults.flat_map(|fault| [1, 3, 1000].map(|length| (fault, length))) {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + length, fault);
            let history = run_script(&folder);
            let description = format!("{fault:?} at {at} ({:?}) for {length}", operations[at]);
            // A permanent error never ends, one in the last 8 operations may leave no step to recover in, and a log that
            // could not be read is not opened.
            let recovers = length < 1000 && at + 8 < operations.len() && operations[at] != Operation::Read;
            assert!(!recovers || history.acknowledged.len() == 12, "{description}: the log does not recover");
            assert_recoverable(&folder, &history, &description);
            runs += 1;
        }
        let prefixes = if operations[at] == Operation::Write { 300 } else { 0 };
        for after in 0..=prefixes {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + 1, Fault::Killed { after });
            let history = run_script(&folder);
            assert_recoverable(
                &folder,
                &history,
                &format!("killed at {at} ({:?}) after {after} bytes", operations[at]),
            );
            runs += 1;
        }
    }
    println!("{} operations, {runs} runs", operations.len());
}

/// After a failed sync, another sync may succeed although the data was lost, and records after a partly written record
/// cannot be read. So no operation may touch the file after a failure until the log is rewritten.
#[test]
fn a_failed_log_is_not_touched_until_it_is_rewritten() {
    for (operation, fault) in [
        (Operation::SyncFile, Fault::Fails(Errno::EIO)),
        (Operation::Write, Fault::FailsAfter(Errno::ENOSPC)),
    ] {
        let folder = FaultyFolder::default();
        let (mut log, _) = open_and_rewrite(&folder);
        let at = folder.operations().len() + usize::from(operation == Operation::SyncFile);
        folder.fail_operations(at..at + 1, fault);
        log.append(&three_records()).unwrap_err();
        assert!(!log.is_appendable());
        let before = folder.operations();
        log.append(&three_records()).unwrap_err();
        assert_eq!(folder.operations(), before, "no operation on a failed file");
        log.rewrite(&three_records()).unwrap();
        log.append(&[b"next".to_vec()]).unwrap();
        let after_loss = folder.after(PowerLoss { keeps_names: false, keeps_bytes: 0 });
        assert_eq!(open_and_rewrite(&after_loss).1.records.len(), 4);
    }
}

/// If a rewrite fails because the disk is full, the old file can still be appended to, and the incomplete temporary file is
/// removed.
#[test]
fn a_failed_rewrite_leaves_the_log_appendable() {
    let folder = FaultyFolder::default();
    let (mut log, _) = open_and_rewrite(&folder);
    log.append(&three_records()).unwrap();
    let at = folder.operations().len();
    folder.fail_operations(at + 1..at + 3, Fault::FailsAfter(Errno::ENOSPC));
    log.rewrite(&three_records()).unwrap_err();
    folder.clear_faults();
    log.append(&[b"next".to_vec()]).unwrap();
    assert_eq!(folder.names(), [NAME]);
    assert_eq!(open_and_rewrite(&folder).1.records.len(), 4);
}
