//! Gateways that follow the log: restarts, a corrupt state file, a change that one gateway cannot apply, and a wrong
//! key.

use crate::{SET_ORDER_PROFILE, set_lanes, stderr};
use milletpath_test_support::control_rig::{ConfigDifference, Installation};
use nix::sys::signal::Signal;
use serde_json::Value;
use test_case::test_case;

/// A gateway that was shut down or killed applies its stored state from the first call on, even when no control machine
/// answers.
#[test_case(Signal::SIGTERM; "shut down")]
#[test_case(Signal::SIGKILL; "killed")]
fn a_gateway_restarts_from_its_last_known_state(signal: Signal) {
    let mut installation = Installation::running(3, 2);
    installation.apply_change(SET_ORDER_PROFILE, &[]);
    if signal == Signal::SIGKILL {
        installation.wait_until("the state file is written", |i| i.gateway_status(0)["kept"] == 1);
    }
    installation.end_gateway(0, signal);
    (0..3).for_each(|n| installation.kill_control(n));
    installation.start_gateway(0);
    assert_eq!(installation.call_as_order_and_check(0), (200, 400));
    let gateway = installation.gateway_status(0);
    assert_eq!((&gateway["number"], &gateway["sure_as_of"]), (&1.into(), &().into()), "{gateway:#}");
    (0..3).for_each(|n| installation.start_control(n, &[]));
    installation.wait_until("the state is confirmed as the latest", |i| {
        i.gateway_status(0)["sure_as_of"].is_number()
    });
    assert_eq!(installation.gateway_status(0)["anew"], 0);
}

/// A corrupt state file is ignored: the configuration file applies until the control machines answer.
#[test]
fn a_corrupt_state_file_is_ignored() {
    let mut installation = Installation::running(3, 1);
    installation.apply_change(SET_ORDER_PROFILE, &[]);
    installation.end_gateway(0, Signal::SIGTERM);
    let state = installation.file("gateway-0.state");
    let complete = std::fs::read(&state).unwrap();
    (0..3).for_each(|n| installation.kill_control(n));
    for at in [0, complete.len() / 2, complete.len() - 1] {
        let mut corrupt = complete.clone();
        corrupt[at] ^= 0x10;
        std::fs::write(&state, corrupt).unwrap();
        installation.start_gateway(0);
        assert_eq!(installation.call_as_order_and_check(0), (400, 200), "byte {at}");
        installation.end_gateway(0, Signal::SIGKILL);
    }
    assert_eq!(installation.count_log_lines("gateway-0", "corrupt or empty"), 3);
    std::fs::write(&state, &complete[..complete.len() / 2]).unwrap();
    installation.start_gateway(0);
    (0..3).for_each(|n| installation.start_control(n, &[]));
    installation.wait_until("the gateway applies the change in force", |i| i.call(0, "order") == 200);
    installation.wait_until("the gateway writes its state file", |i| {
        std::fs::read(i.file("gateway-0.state")).is_ok_and(|stored| stored == complete)
    });
}

/// One gateway's configuration lacks the profile: the author is told its name and the reason, and it keeps its previous
/// configuration.
#[test]
fn a_gateway_that_can_not_apply_a_change_is_named() {
    let mut installation = Installation::running(3, 3);
    installation.end_gateway(1, Signal::SIGTERM);
    installation
        .configure_gateway(1, ConfigDifference { lacks_profile: true, ..ConfigDifference::default() });
    installation.start_gateway(1);
    installation
        .wait_until("all gateways are current", |i| i.count_gateways(|g| g["state"] == "current") == 3);
    let output = installation.change(SET_ORDER_PROFILE, &[]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let message = stderr(&output);
    assert!(
        message.contains("gateway-1 could not apply it: 2:3: profile of function \"packs\""),
        "{message}"
    );
    let statuses =
        [(0, "order"), (1, "check"), (2, "order")].map(|(n, profile)| installation.call(n, profile));
    assert_eq!(statuses, [200, 200, 200]);
    let is_refusing =
        |g: &Value| g["name"] == "gateway-1" && g["state"] == "refusing" && g["refused"][0] == 1;
    assert_eq!(installation.count_gateways(is_refusing), 1, "{:#}", installation.status());
    assert_eq!(installation.count_log_lines("gateway-1", "can't be applied here"), 1);
    // A later change that it can apply is in force there, and its error is cleared.
    let number = installation.apply_change("function \"packs\" { lanes = 3 }", &[]);
    assert_eq!((installation.call(1, "check"), installation.call(0, "check")), (200, 200));
    installation.wait_until("all gateways are current again", |i| {
        i.count_gateways(|g| g["state"] == "current" && g["number"] == number) == 3
    });
}

/// A gateway with another key gets no changes, its datagrams are rejected, and the other gateways are not affected.
#[test]
fn a_gateway_with_another_key_is_ignored() {
    let mut installation = Installation::running(3, 2);
    installation.end_gateway(1, Signal::SIGTERM);
    std::fs::remove_file(installation.file("gateway-1.state")).ok();
    installation.configure_gateway(1, ConfigDifference { other_key: true, ..ConfigDifference::default() });
    installation.start_gateway(1);
    installation.wait_until("the former process of the gateway is reported as silent", |i| {
        i.count_gateways(|g| g["state"] == "silent") == 1
    });
    installation.apply_change(SET_ORDER_PROFILE, &[]);
    assert_eq!((installation.call(0, "order"), installation.call_as_order_and_check(1)), (200, (400, 200)));
    let rejected: usize = (0..3)
        .map(|n| installation.count_log_lines(&format!("control-{n}"), "its seal is of another key"))
        .sum();
    assert!(rejected > 0);
    let control = installation.control_addresses();
    let other_key = ConfigDifference { other_key: true, ..ConfigDifference::default() };
    installation.configure_author(other_key, &control, "");
    let output = installation.change(&set_lanes(2), &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no control machine answers"), "{output:?}");
}
