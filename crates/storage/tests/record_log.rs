//! What a crash, a bad disk and a disk that fails for a while leave of a log: at every byte, and at every operation.

use milletpath_storage::testing::{Fault, FaultyFolder, Operation, PowerLoss};
use milletpath_storage::{Folder, OpenError, RecordLog, Recovered};
use nix::errno::Errno;

const NAME: &str = "control-0.log";
const BESIDE: &str = "control-0.log.new";
const HEADER: usize = 25;
const FRAME: usize = 16;

type Log = RecordLog<FaultyFolder>;

fn three() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![0xff; 300]]
}

/// Opens a log and writes it anew, as each start does.
fn start(folder: &FaultyFolder) -> (Log, Recovered) {
    let (mut log, recovered) = Log::open(folder.clone(), NAME).unwrap_or_else(|e| panic!("{e}"));
    log.rewrite(&recovered.records).unwrap();
    (log, recovered)
}

fn bytes_of_three() -> Vec<u8> {
    let folder = FaultyFolder::default();
    start(&folder).0.append(&three()).unwrap();
    folder.read(NAME).unwrap()
}

fn with(bytes: &[u8]) -> FaultyFolder {
    let folder = FaultyFolder::default();
    folder.put(NAME, bytes);
    folder
}

/// Files of earlier versions are read as ever, and theirs read these.
#[test]
fn the_form_of_the_file_stays() {
    let written = [
        b"milletpath control log 1\n".as_slice(),
        &[5, 0, 0, 0],
        &(xxhash_rust::xxh3::xxh3_64(&[5, 0, 0, 0]) as u32).to_le_bytes(),
        &xxhash_rust::xxh3::xxh3_64(b"first").to_le_bytes(),
        b"first",
    ]
    .concat();
    assert_eq!(start(&with(&written)).1.records, [b"first"]);
    assert_eq!(bytes_of_three()[..written.len()], written);
}

#[test]
fn what_was_appended_is_read_again() {
    let folder = FaultyFolder::default();
    let (mut log, recovered) = start(&folder);
    assert_eq!(recovered, Recovered::default());
    log.append(&three()[..1]).unwrap();
    log.append(&three()[1..]).unwrap();
    let (mut log, recovered) = start(&folder);
    assert_eq!(recovered, Recovered { records: three(), torn_bytes: 0 });
    log.append(&[b"fourth".to_vec()]).unwrap();
    assert_eq!(start(&folder).1.records.len(), 4);
}

/// Cut anywhere: the complete records before the cut are there, and the next one goes where the torn one stood.
#[test]
fn a_file_cut_at_any_byte_keeps_its_whole_records() {
    let whole = bytes_of_three();
    let ends = [HEADER, HEADER + FRAME + 5, HEADER + 2 * FRAME + 5, whole.len()];
    for cut in 0..=whole.len() {
        let folder = with(&whole[..cut]);
        let (mut log, recovered) = start(&folder);
        let there = ends.iter().skip(1).filter(|end| **end <= cut).count();
        assert_eq!(recovered.records, three()[..there], "cut at {cut}");
        let torn = cut.saturating_sub(ends[there]);
        assert_eq!(recovered.torn_bytes, torn as u64, "cut at {cut}");
        log.append(&[b"next".to_vec()]).unwrap();
        let recovered = start(&folder).1;
        assert_eq!((recovered.records.len(), recovered.torn_bytes), (there + 1, 0), "cut at {cut}");
    }
}

/// A crash that left the place of the last records, but not what was written there.
#[test]
fn zeros_at_the_end_are_a_torn_record() {
    let whole = bytes_of_three();
    let last = HEADER + 2 * FRAME + 5;
    for from in [last, last + FRAME, last + FRAME + 100] {
        let mut bytes = whole.clone();
        bytes[from..].fill(0);
        bytes.extend([0; 40]);
        let torn_bytes = (bytes.len() - last) as u64;
        assert_eq!(
            start(&with(&bytes)).1,
            Recovered { records: three()[..2].to_vec(), torn_bytes },
            "{from}"
        );
    }
}

/// One bit turned anywhere: no record is read that was not written, and none is passed over in silence.
#[test]
fn a_corrupt_bit_is_reported_with_its_offset() {
    let whole = bytes_of_three();
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        let folder = with(&bytes);
        match Log::open(folder.clone(), NAME) {
            Err(OpenError::NoLog) => assert!(at < HEADER),
            Err(error @ OpenError::CorruptAt(record)) => {
                assert!(record <= at as u64 && at >= HEADER);
                let cause = error.to_string();
                assert!(
                    cause.contains(&format!("byte {record}")) && cause.contains("move the file"),
                    "{cause}"
                );
            }
            other => panic!("bit {} of byte {at}: {:?}", at % 8, other.map(|(_, recovered)| recovered)),
        }
        assert_eq!(folder.read(NAME).unwrap(), bytes, "what is corrupt is left as it is");
    }
}

#[test]
fn a_file_that_has_grown_is_written_anew() {
    let folder = FaultyFolder::default();
    let (mut log, _) = start(&folder);
    for _ in 0..20 {
        log.append(&three()).unwrap();
    }
    assert!(log.has_grown(4, 1000) && !log.has_grown(4, 1 << 20) && !log.has_grown(10_000, 0));
    // What a crash left behind amid the last time.
    folder.put(BESIDE, b"half");
    log.rewrite(&three()).unwrap();
    assert!(!log.has_grown(4, 0));
    assert_eq!(folder.names(), [NAME]);
    log.append(&[b"behind".to_vec()]).unwrap();
    let recovered = start(&folder).1;
    assert_eq!((&recovered.records[..3], recovered.records.len()), (three().as_slice(), 4));
}

/// Records of a scripted history: what was acknowledged last, and what may be there.
#[derive(Default)]
struct History {
    acknowledged: Vec<Vec<u8>>,
    /// A superset: what an append or a rewrite that failed was to store, too.
    attempted: Vec<Vec<u8>>,
}

/// A start, appends, a rewrite, and appends again; after a failure a rewrite is tried at each step.
fn play(folder: &FaultyFolder) -> History {
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

/// What is read after a loss of power, or after a mere kill, holds all that was acknowledged, in order, and nothing else
/// but what was attempted.
fn holds(folder: &FaultyFolder, history: &History, what: &str) {
    let losses = [(false, 0), (true, 0), (false, 7), (true, 7), (true, usize::MAX)];
    for (keeps_names, keeps_bytes) in losses {
        let left = folder.after(PowerLoss { keeps_names, keeps_bytes });
        let (mut log, recovered) = Log::open(left.clone(), NAME).unwrap_or_else(|e| panic!("{what}: {e}"));
        let (all, least) = (&recovered.records, history.acknowledged.len());
        assert!(all.len() >= least, "{what}: {} of {least} are there", all.len());
        assert_eq!(all[..], history.attempted[..all.len()], "{what}");
        log.rewrite(all).unwrap();
        log.append(&[b"next".to_vec()]).unwrap();
        assert_eq!(start(&left).1.records.len(), all.len() + 1, "{what}");
    }
}

/// Each error at each operation, once, for three operations and for good; then a kill before each operation and after
/// each prefix of each write.
#[test]
fn each_fault_at_each_operation() {
    let whole = FaultyFolder::default();
    let history = play(&whole);
    assert_eq!(history.acknowledged.len(), 12);
    holds(&whole, &history, "no fault");
    let operations = whole.operations();
    let of = |kind: Operation| operations.iter().filter(|o| **o == kind).count();
    assert!(
        [Operation::Write, Operation::SyncFile, Operation::Rename, Operation::SyncFolder]
            .into_iter()
            .all(|kind| of(kind) >= 2)
    );
    let mut runs = 0;
    for at in 0..operations.len() {
        let errors = [Errno::ENOSPC, Errno::EIO].into_iter();
        let faults = errors.flat_map(|e| [Fault::Fails(e), Fault::FailsAfter(e)]).chain([Fault::ShortWrite]);
        for (fault, length) in faults.flat_map(|fault| [1, 3, 1000].map(|length| (fault, length))) {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + length, fault);
            let history = play(&folder);
            let what = format!("{fault:?} at {at} ({:?}) for {length}", operations[at]);
            // The last steps leave it time to recover, and what could not be read is not begun.
            let passes = length < 1000 && at + 8 < operations.len() && operations[at] != Operation::Read;
            assert!(!passes || history.acknowledged.len() == 12, "{what}: it does not recover");
            holds(&folder, &history, &what);
            runs += 1;
        }
        let prefixes = if operations[at] == Operation::Write { 300 } else { 0 };
        for after in 0..=prefixes {
            let folder = FaultyFolder::default();
            folder.fail_operations(at..at + 1, Fault::Killed { after });
            let history = play(&folder);
            holds(&folder, &history, &format!("killed at {at} ({:?}) after {after} bytes", operations[at]));
            runs += 1;
        }
    }
    println!("{} operations, {runs} runs", operations.len());
}

/// A file whose sync failed once is not trusted by syncing it again, and nothing is appended behind a record that was
/// written in part.
#[test]
fn nothing_is_appended_after_a_failure() {
    for (operation, fault) in [
        (Operation::SyncFile, Fault::Fails(Errno::EIO)),
        (Operation::Write, Fault::FailsAfter(Errno::ENOSPC)),
    ] {
        let folder = FaultyFolder::default();
        let (mut log, _) = start(&folder);
        let at = folder.operations().len() + usize::from(operation == Operation::SyncFile);
        folder.fail_operations(at..at + 1, fault);
        log.append(&three()).unwrap_err();
        assert!(!log.is_appendable());
        let before = folder.operations();
        log.append(&three()).unwrap_err();
        assert_eq!(folder.operations(), before, "the file is not touched");
        log.rewrite(&three()).unwrap();
        log.append(&[b"next".to_vec()]).unwrap();
        let left = folder.after(PowerLoss { keeps_names: false, keeps_bytes: 0 });
        assert_eq!(start(&left).1.records.len(), 4);
    }
}

/// No room for a fresh file: the old one goes on taking records, and what was written beside is taken away.
#[test]
fn a_rewrite_without_room_leaves_the_log_as_it_is() {
    let folder = FaultyFolder::default();
    let (mut log, _) = start(&folder);
    log.append(&three()).unwrap();
    let at = folder.operations().len();
    folder.fail_operations(at + 1..at + 3, Fault::FailsAfter(Errno::ENOSPC));
    log.rewrite(&three()).unwrap_err();
    folder.clear_faults();
    log.append(&[b"next".to_vec()]).unwrap();
    assert_eq!(folder.names(), [NAME]);
    assert_eq!(start(&folder).1.records.len(), 4);
}
