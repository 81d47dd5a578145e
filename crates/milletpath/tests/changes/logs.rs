//! The log files of control machines: restarts, restored older copies, corruption and compaction.

use crate::{SET_ORDER_PROFILE, set_lanes, stderr};
use milletpath_test_support::control_rig::{Installation, propose_changes};

/// A restarted control machine reads its log and votes again: together with one other it forms a majority.
#[test]
fn a_control_machine_restarts_from_its_log() {
    let mut installation = Installation::running(3, 2);
    installation.apply_change(&set_lanes(2), &[]);
    installation.kill_control(2);
    let number = installation.apply_change(&set_lanes(3), &[]);
    installation.start_control(2, &[]);
    installation.wait_until("it has caught up and votes", |i| {
        i.control_status(2)["number"] == number && i.control_status(2)["votes"] == true
    });
    installation.kill_control(0);
    assert!(installation.apply_change(&set_lanes(4), &[]) > number);
    assert_eq!(installation.count_log_lines("control-2", "without a log"), 0);
}

/// A control machine that starts with an older copy of its log catches up, and no gateway reverts to an earlier change.
#[test]
fn a_control_machine_with_an_older_copy_of_its_log_catches_up() {
    let mut installation = Installation::running(3, 3);
    installation.apply_change(&set_lanes(2), &[]);
    installation.wait_until("control machine 1 has the change", |i| i.control_status(1)["number"] == 1);
    let log = installation.file("control-1.log");
    let older = std::fs::read(&log).unwrap();
    (3..7).for_each(|n| {
        installation.apply_change(&set_lanes(n), &[]);
    });
    installation.kill_control(1);
    std::fs::write(&log, older).unwrap();
    installation.start_control(1, &[]);
    let digest = installation.control_status(0)["digest"].clone();
    installation.wait_until("it has caught up", |i| {
        i.control_status(1)["number"] == 5 && i.control_status(1)["digest"] == digest
    });
    for n in 0..3 {
        let gateway = installation.gateway_status(n);
        assert_eq!(
            (&gateway["number"], &gateway["digest"], &gateway["anew"]),
            (&5.into(), &digest, &0.into())
        );
    }
    assert_eq!(installation.apply_change(SET_ORDER_PROFILE, &[]), 6);
}

/// A control machine with a corrupt log does not start and prints the remedy: move the log away. Without the log it
/// starts and votes again.
#[test]
fn a_corrupt_log_is_rejected_with_the_remedy() {
    let mut installation = Installation::running(3, 1);
    installation.apply_change(&set_lanes(2), &[]);
    let number = installation.apply_change(&set_lanes(3), &[]);
    installation.kill_control(1);
    let log = installation.file("control-1.log");
    let mut bytes = std::fs::read(&log).unwrap();
    bytes[60] ^= 1;
    std::fs::write(&log, &bytes).unwrap();
    let output = installation.control_command(1, &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let message = stderr(&output);
    assert!(message.contains("is corrupt") && message.contains("move the file away"), "{message}");
    std::fs::remove_file(&log).unwrap();
    installation.start_control(1, &[]);
    installation.wait_until("it votes again", |i| {
        i.control_status(1)["votes"] == true && i.control_status(1)["number"] == number
    });
    installation.kill_control(0);
    assert!(installation.apply_change(&set_lanes(4), &["--wait", "30"]) > number);
}

/// An incomplete record at the end of the log, as a crash leaves it, is removed.
#[test]
fn a_record_that_was_cut_short_is_removed() {
    let mut installation = Installation::running(3, 1);
    let number = installation.apply_change(&set_lanes(2), &[]);
    installation.kill_control(1);
    let log = installation.file("control-1.log");
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([9, 0, 0]);
    std::fs::write(&log, &bytes).unwrap();
    installation.start_control(1, &[]);
    assert_eq!(installation.count_log_lines("control-1", "cut short is taken off"), 1);
    installation.kill_control(0);
    assert!(installation.apply_change(&set_lanes(4), &["--wait", "30"]) > number);
}

/// A log that has grown is compacted without losing entries: all control machines are killed and restart from the
/// compacted logs.
#[test]
fn a_log_that_has_grown_is_compacted() {
    let mut installation = Installation::running(3, 1);
    let number = propose_changes(&installation, 1000);
    installation.wait_until("all have the changes and have compacted their logs", |i| {
        (0..3).all(|n| {
            i.control_status(n)["number"] == number
                && i.count_log_lines(&format!("control-{n}"), "written anew") > 0
        })
    });
    let digest = installation.control_status(0)["digest"].clone();
    for n in 0..3 {
        installation.kill_control(n);
        let size = std::fs::metadata(installation.file(&format!("control-{n}.log"))).unwrap().len();
        assert!(size <= (1 << 20) + 10_000, "{n}: {size}");
    }
    (0..3).for_each(|n| installation.start_control(n, &[]));
    installation.wait_until("all have the changes after the restart", |i| {
        (0..3).all(|n| i.control_status(n)["number"] == number && i.control_status(n)["digest"] == digest)
    });
    assert!(installation.apply_change(SET_ORDER_PROFILE, &[]) > number);
    assert_eq!(installation.call(0, "order"), 200);
}
