//! Files that the release of 2026-12-02 wrote (`tests/fixtures/config-log`) stay readable: the logs of three control
//! machines and the stored state of one gateway, after two changes of "packs" and one of "plates" that was removed
//! again.

use milletpath_test_support::control_rig::Installation;
use milletpath_test_support::program::repository_file;

/// Number of the last change in the stored files, and the digest of the state after it.
const HEAD: u64 = 4;
const DIGEST: u64 = 0x726a_cf44_c20d_e6ad;

/// An installation with the stored files in place, whose processes are not started.
fn with_stored_files() -> Installation {
    let installation = Installation::new(3, 1);
    let stored = repository_file("crates/milletpath/tests/fixtures/config-log");
    for name in ["control-0.log", "control-1.log", "control-2.log", "gateway-0.state"] {
        std::fs::copy(stored.join(name), installation.file(name)).expect("the fixture can be copied");
    }
    installation
}

#[test]
fn a_gateway_applies_the_stored_state_before_any_control_machine_runs() {
    let mut installation = with_stored_files();
    installation.start_gateway(0);
    let gateway = installation.gateway_status(0);
    assert_eq!(
        (gateway["number"].as_u64(), gateway["digest"].as_u64()),
        (Some(HEAD), Some(DIGEST)),
        "{gateway:#}"
    );
    assert_eq!(installation.call_as_order_and_check(0), (200, 400));
}

#[test]
fn control_machines_read_the_stored_logs_and_take_the_next_change() {
    let mut installation = with_stored_files();
    (0..3).for_each(|machine| installation.start_control(machine, &[]));
    for machine in 0..3 {
        let status = installation.control_status(machine);
        assert_eq!(
            (status["number"].as_u64(), status["digest"].as_u64()),
            (Some(HEAD), Some(DIGEST)),
            "{status:#}"
        );
    }
    installation.start_gateway(0);
    assert!(installation.apply_change("", &["--remove", "packs"]) > HEAD);
    assert_eq!(installation.call_as_order_and_check(0), (400, 200));
}
