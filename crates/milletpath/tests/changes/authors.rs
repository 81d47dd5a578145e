//! Authors of changes: concurrent authors, rejected changes, and invalid use of the commands.

use crate::{SET_ORDER_PROFILE, set_lanes, stderr};
use milletpath_test_support::control_rig::{ConfigDifference, Installation, hold_back_first_proposal};
use nix::sys::signal::Signal;
use std::process::{Output, Stdio};
use std::time::Duration;
use test_case::test_case;

/// Both authors have read that the function has no change yet. The change of one is committed first, and the proposal
/// of the other, which is based on an outdated state, is rejected.
#[test]
fn the_later_of_two_concurrent_authors_is_rejected() {
    let installation = Installation::running(3, 2);
    let proposal = hold_back_first_proposal(&installation.control_address(0));
    installation.configure_author(ConfigDifference::default(), &[proposal.address.to_string()], "");
    let mut command = installation.change_command(&set_lanes(9), &[]);
    let late = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    proposal.held.recv_timeout(Duration::from_secs(30)).expect("the proposal is held back");
    let control = installation.control_addresses();
    installation.configure_author(ConfigDifference::default(), &control, "");
    assert_eq!(installation.apply_change(&set_lanes(2), &[]), 1);
    proposal.release.send(()).unwrap();
    let output = late.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(stderr(&output).contains("another author was first, with number 1"), "{output:?}");
    // A new run of the command reads the current state, so the same change is accepted.
    let number = installation.apply_change(&set_lanes(9), &[]);
    assert_eq!(installation.count_gateways(|g| g["number"] == number), 2);
}

/// The change is rejected before anything is proposed, with the file, line, column and remedy.
#[test_case("function \"packs\" {\n  profile = \"late\"\n}\n", ":2:3: ", "\"check\" or \"order\""; "an unknown profile")]
#[test_case("function \"a\" {}\nfunction \"b\" {\n  lanes = 0\n}\n", ":3:3: ", "write lanes = NUMBER"; "a value out of bounds")]
#[test_case("client \"c\" { quota = 5 }\n", ":1:1: ", "can't set client"; "a quota")]
fn a_change_that_the_author_configuration_rejects_is_not_proposed(text: &str, place: &str, remedy: &str) {
    let mut installation = Installation::new(1, 0);
    installation.start_control(0, &["--initialize"]);
    let output = installation.change(text, &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(stderr(&output).contains(place) && stderr(&output).contains(remedy), "{output:?}");
    assert_eq!(installation.status()["head"], 0);
}

/// The change names a profile that only the author's configuration has: the control machines reject it.
#[test]
fn a_change_that_the_control_machine_configuration_rejects_is_not_made() {
    let mut installation = Installation::new(3, 0);
    (0..3).for_each(|n| installation.start_control(n, &["--initialize"]));
    let control = installation.control_addresses();
    let profile = "profile \"late\" {\n  due = 9\n  effect = \"pure\"\n}\n";
    installation.configure_author(ConfigDifference::default(), &control, profile);
    let output = installation.change("\nfunction \"packs\" {\n  profile = \"late\"\n}\n", &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let message = stderr(&output);
    assert!(
        message.contains(".hcl:3:3: function packs: the control machine refuses it: profile"),
        "{message}"
    );
    assert!(message.contains("write profile = \"check\" or \"order\""), "{message}");
    assert_eq!(installation.status()["head"], 0);
}

/// Asserts that the program exited with this code and that its standard error contains this text.
fn assert_failed(output: &Output, code: i32, text: &str) {
    assert!(output.status.code() == Some(code) && stderr(output).contains(text), "{output:?}");
}

#[test]
fn invalid_uses_of_control_are_rejected() {
    let mut installation = Installation::new(1, 1);
    let run = |installation: &Installation, n: usize, arguments: &[&str]| {
        installation.control_command(n, arguments).output().unwrap()
    };
    assert_failed(&run(&installation, 1, &[]), 2, "write --number 0 to 0");
    installation.start_control(0, &["--initialize"]);
    assert_failed(&run(&installation, 0, &[]), 1, "can't be listened on");
    installation.start_gateway(0);
    installation.apply_change(SET_ORDER_PROFILE, &[]);
    installation.kill_control(0);
    assert_failed(&run(&installation, 0, &["--initialize"]), 2, "holds a log already");
    std::fs::remove_file(installation.file("changes.key")).unwrap();
    assert_failed(&run(&installation, 0, &[]), 2, "key of changes");
}

#[test]
fn invalid_uses_of_change_are_rejected() {
    let mut installation = Installation::new(1, 1);
    installation.start_control(0, &["--initialize"]);
    installation.start_gateway(0);
    installation.apply_change(SET_ORDER_PROFILE, &[]);
    installation.kill_control(0);
    assert_failed(&installation.change("", &[]), 2, "nothing to change");
    assert_failed(&installation.change("", &["--remove", "no name"]), 2, "there is no such statement");
}

/// `changes --here` fails when the gateway's port is not fixed in its configuration or the gateway does not run, and
/// `changes` fails when the configuration has no `changes` section.
#[test]
fn invalid_uses_of_changes_are_rejected() {
    let mut installation = Installation::new(1, 1);
    installation.start_control(0, &["--initialize"]);
    installation.start_gateway(0);
    let configuration = std::fs::read_to_string(installation.file("gateway-0.hcl")).unwrap();
    let listen = configuration.lines().rfind(|line| line.contains("listen")).unwrap();
    let any_port = configuration.replace(listen, "  listen = \"127.0.0.1:0\"");
    std::fs::write(installation.file("any-port.hcl"), any_port).unwrap();
    assert_failed(&installation.changes("any-port.hcl", &["--here"]), 2, "has port 0");
    installation.end_gateway(0, Signal::SIGTERM);
    assert_failed(&installation.changes("gateway-0.hcl", &["--here"]), 1, "does not answer");
    let without = configuration.split("changes {").next().unwrap();
    std::fs::write(installation.file("without.hcl"), without).unwrap();
    assert_failed(&installation.changes("without.hcl", &[]), 2, "has no changes");
}
