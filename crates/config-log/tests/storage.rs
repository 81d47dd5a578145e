//! Three replicas on disks in memory, one of which fails: at each operation of a scripted history, with each kind of
//! error, for one or several operations, or with a crash at that point. Promises and votes that this replica sends must
//! survive a power loss at that moment, it must go on forwarding changes, and no acknowledged change may be lost.

#[path = "storage/cluster.rs"]
mod cluster;

use cluster::{Cluster, FAULTY, HISTORY_SECONDS};
use milletpath_storage::testing::{Fault, Operation, PowerLoss};
use nix::errno::Errno;

const POWER_LOSS: PowerLoss = PowerLoss { keeps_names: false, keeps_bytes: 0 };
const PROCESS_KILL: PowerLoss = PowerLoss { keeps_names: true, keeps_bytes: usize::MAX };

/// The operations on the faulty replica's disk during the scripted history without a fault.
fn operations() -> Vec<Operation> {
    let mut cluster = Cluster::new();
    cluster.run_history();
    cluster.check("no fault");
    let operations = cluster.operations();
    let operation_count = |kind| operations.iter().filter(|o| **o == kind).count();
    assert!(
        operation_count(Operation::Write) > 10 && operation_count(Operation::Rename) > 2,
        "{operations:?}"
    );
    assert!(
        operation_count(Operation::SyncFolder) > 2 && operation_count(Operation::SyncFile) > 10,
        "{operations:?}"
    );
    operations
}

#[test]
fn each_error_at_each_operation_loses_nothing() {
    let operations = operations();
    for (at, operation) in operations.iter().enumerate() {
        let errors = [Errno::ENOSPC, Errno::EIO].into_iter();
        let faults = errors.flat_map(|e| [Fault::Fails(e), Fault::FailsAfter(e)]).chain([Fault::ShortWrite]);
        for (fault, length) in faults.flat_map(|fault| [1, 6].map(|length| (fault, length))) {
            let mut cluster = Cluster::new();
            cluster.faulty_disk.fail_operations(at..at + length, fault);
            cluster.run_history();
            cluster.check(&format!("{fault:?} at {at} ({operation:?}) for {length}"));
        }
    }
    println!("{} operations", operations.len());
}

#[test]
fn a_crash_at_each_operation_loses_nothing() {
    for (at, operation) in operations().iter().enumerate() {
        let prefixes: &[usize] =
            if *operation == Operation::Write { &[0, 1, 15, 40, usize::MAX] } else { &[0] };
        for (after, power_loss) in
            prefixes.iter().flat_map(|after| [(*after, POWER_LOSS), (*after, PROCESS_KILL)])
        {
            let mut cluster = Cluster::new();
            cluster.power_loss = power_loss;
            cluster.faulty_disk.fail_operations(at..at + 1, Fault::Killed { after });
            cluster.run_history();
            cluster.check(&format!("killed at {at} ({operation:?}) after {after} bytes, {power_loss:?}"));
        }
    }
}

/// While its disk fails, a replica forwards changes and learns entries, but does not vote; with another replica down
/// nothing is committed. Once the disk works again, the replica votes again.
#[test]
fn a_replica_with_a_failing_disk_relays_and_does_not_vote() {
    let mut cluster = Cluster::new();
    cluster.run_for(1.0);
    cluster.commit(FAULTY);
    let at = cluster.operations().len();
    cluster.faulty_disk.fail_operations(at..usize::MAX, Fault::Fails(Errno::ENOSPC));
    // The others commit without its vote, and it learns the entry.
    let number = cluster.commit(0);
    cluster.run_for(1.0);
    assert!(!cluster.votes(FAULTY) && cluster.votes(0));
    assert_eq!(cluster.head(FAULTY), number);
    let number = cluster.commit(FAULTY);
    cluster.run_for(1.0);
    assert_eq!(cluster.head(FAULTY), number);
    // Without it there is no quorum.
    cluster.stop(2);
    cluster.propose(0);
    cluster.run_for(4.0);
    assert_eq!(cluster.head(0), number, "one replica of three is no majority");
    // The disk is retried with backoff, after about 0.1 s, 0.2 s, 0.4 s ... 5 s, with two operations each time.
    let tried = cluster.operations().len() - at;
    assert!((8..30).contains(&tried), "{tried} operations");
    cluster.faulty_disk.clear_faults();
    cluster.run_for(6.0);
    assert!(cluster.votes(FAULTY));
    assert!(cluster.head(0) > number, "with it there is a majority again");
    cluster.check("recovered");
}

/// When a grown log cannot be rewritten because no new file can be created, records must still be appended to it.
#[test]
fn a_log_that_cannot_be_rewritten_still_takes_records() {
    let mut cluster = Cluster::new();
    cluster.run_for(1.0);
    cluster.commit(0);
    let before = cluster.operations();
    // Only the creation of files fails, so the new file is never written to.
    cluster.faulty_disk.fail_kind(Operation::Create, Fault::Fails(Errno::ENOSPC));
    (0..12).for_each(|_| {
        cluster.commit(0);
    });
    assert!(cluster.votes(FAULTY));
    let tried = cluster.operations()[before.len()..].iter().filter(|o| **o == Operation::Create).count();
    assert!((1..8).contains(&tried), "{tried} attempts");
    cluster.faulty_disk.clear_faults();
    cluster.run_for(HISTORY_SECONDS);
    cluster.check("recovered");
}
