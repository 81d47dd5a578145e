//! Control machines and gateways on a full disk, which a limit on the size of their files simulates.

use milletpath_test_support::control_rig::{
    FileSizeLimit, Installation, propose_changes, propose_changes_at,
};
use nix::sys::signal::Signal;

/// Starts three control machines, number 1 of them with a file size limit, and a gateway.
fn with_limit(limit: FileSizeLimit) -> Installation {
    let mut installation = Installation::new(3, 1);
    [0, 2].into_iter().for_each(|n| installation.start_control(n, &["--initialize"]));
    installation.start_limited_control(1, limit, &["--initialize"]);
    installation.start_gateway(0);
    installation.wait_until("the gateway is current", |i| i.count_gateways(|g| g["state"] == "current") == 1);
    installation
}

/// The log of control machine 1 reaches the limit repeatedly: each time it stops voting until the log is rewritten to a
/// smaller file. It still counts for a majority, and no entry is lost when it is killed.
#[test]
fn a_log_that_can_not_grow_is_compacted() {
    let mut installation = with_limit(FileSizeLimit(64));
    let number = propose_changes(&installation, 60);
    assert!(installation.is_control_running(1), "the process still runs");
    installation.wait_until("it has all changes and votes", |i| {
        i.control_status(1)["number"] == number && i.control_status(1)["votes"] == true
    });
    assert!(installation.count_log_lines("control-1", "can't be written") > 0);
    assert!(installation.count_log_lines("control-1", "it votes again") > 0);
    installation.kill_control(1);
    installation.start_control(1, &[]);
    installation.kill_control(0);
    assert_eq!(
        installation.apply_change("function \"packs\" {\n  lanes = 2\n}\n", &["--wait", "30"]),
        number + 1
    );
    assert_eq!(installation.control_status(1)["digest"], installation.control_status(2)["digest"]);
}

/// There is no space for a rewritten log either: the control machine forwards changes and follows the log, but does not
/// vote until there is space.
#[test]
fn a_control_machine_with_a_full_disk_forwards_and_does_not_vote() {
    let mut installation = with_limit(FileSizeLimit(1));
    let number = propose_changes(&installation, 3);
    installation.wait_until("it has all changes", |i| i.control_status(1)["number"] == number);
    assert_eq!(installation.control_status(1)["votes"], false);
    let number = propose_changes_at(&installation, 1, 4..=5, number);
    assert!(installation.is_control_running(1), "the process still runs");
    assert!(installation.control_status(1)["log_error"].is_string(), "{:#}", installation.control_status(1));
    assert_eq!(installation.control_status(1)["votes"], false);
    installation.lift_file_size_limit(1);
    installation.wait_until("it votes again", |i| i.control_status(1)["votes"] == true);
    installation.kill_control(0);
    assert_eq!(
        installation.apply_change("function \"packs\" {\n  lanes = 3\n}\n", &["--wait", "30"]),
        number + 1
    );
    installation.kill_control(1);
    installation.start_control(1, &[]);
    installation.wait_until("it has all changes after a restart", |i| {
        i.control_status(1)["number"] == number + 1 && i.control_status(1)["votes"] == true
    });
    // Started on a full disk, it still has its entries, but does not vote until they are in a rewritten log file.
    installation.kill_control(1);
    installation.start_limited_control(1, FileSizeLimit(1), &[]);
    assert_eq!(
        (&installation.control_status(1)["number"], &installation.control_status(1)["votes"]),
        (&(number + 1).into(), &false.into())
    );
    installation.lift_file_size_limit(1);
    installation
        .wait_until("it votes again after a start on a full disk", |i| i.control_status(1)["votes"] == true);
}

/// A gateway that cannot write its state file keeps serving with the configuration in force.
#[test]
fn a_gateway_that_can_not_store_its_state_serves_on() {
    let mut installation = Installation::new(1, 1);
    installation.start_control(0, &["--initialize"]);
    propose_changes(&installation, 1);
    installation.start_limited_gateway(0, FileSizeLimit(1));
    installation
        .wait_until("writing the state fails", |i| i.gateway_status(0)["not_kept"].as_u64() > Some(0));
    assert_eq!(installation.call(0, "check"), 200);
    assert_eq!(installation.gateway_status(0)["number"], 1);
    assert_eq!(installation.gateway_status(0)["kept"], 0);
    installation.end_gateway(0, Signal::SIGTERM);
    installation.start_gateway(0);
    installation.wait_until("the state is stored once there is space", |i| i.gateway_status(0)["kept"] == 1);
}
