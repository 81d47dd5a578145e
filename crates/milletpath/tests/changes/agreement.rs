//! Consensus on configuration changes while control machines and gateways are killed or paused.

use crate::{SET_ORDER_PROFILE, set_lanes, stderr};
use milletpath_test_support::control_rig::Installation;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::process::Stdio;

/// A change is applied at five running gateways, takes effect on their calls, and is reverted by removing it.
#[test]
fn a_change_is_in_force_at_all_gateways_without_a_restart() {
    let installation = Installation::running(3, 5);
    for n in 0..5 {
        assert_eq!(installation.call_as_order_and_check(n), (400, 200), "{n}");
    }
    let output = installation.change(SET_ORDER_PROFILE, &[]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert!(text.starts_with("function packs: number 1\n"), "{text}");
    assert!(text.ends_with("number 1: in force at 5 of 5 gateways\n"), "{text}");
    for n in 0..5 {
        assert_eq!(installation.call_as_order_and_check(n), (200, 400), "{n}");
    }
    let status = installation.status();
    assert_eq!(status["head"], 1);
    assert!(status["sure_as_of"].as_f64().is_some(), "{status:#}");
    assert_eq!(installation.count_gateways(|g| g["state"] == "current" && g["number"] == 1), 5, "{status:#}");
    let gateway = installation.gateway_status(3);
    assert_eq!((&gateway["name"], &gateway["number"]), (&"gateway-3".into(), &1.into()), "{gateway:#}");
    assert!(gateway["cpu"].as_f64().is_some_and(|seconds| seconds > 0.0), "{gateway:#}");
    for n in 0..3 {
        let machine = installation.control_status(n);
        let is_positive = |key: &str| machine[key].as_f64().is_some_and(|figure| figure > 0.0);
        assert!(is_positive("up") && is_positive("cpu") && is_positive("log"), "{machine:#}");
    }
    // Proposing the same change again adds no entry to the log: the removal below gets the next number.
    let again = installation.change(SET_ORDER_PROFILE, &[]);
    assert!(String::from_utf8_lossy(&again.stdout).contains("already in force"), "{again:?}");
    assert_eq!(installation.apply_change("", &["--remove", "packs"]), 2);
    for n in 0..5 {
        assert_eq!(installation.call_as_order_and_check(n), (400, 200), "{n}");
    }
}

/// The leader has received a proposal that it cannot commit because the other control machines are paused. It is
/// killed, and the others resume and commit the change.
#[test]
fn a_leader_is_killed_before_its_change_is_accepted() {
    let mut installation = Installation::running(3, 2);
    installation.apply_change(&set_lanes(2), &[]);
    let leader = installation.leader().expect("the control machines have a leader");
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    let proposals = |i: &Installation| i.control_status(leader)["tally"]["proposals"].as_u64();
    let before = proposals(&installation).expect("the leader reports its proposals");
    others.iter().for_each(|n| installation.control(*n).signal(Signal::SIGSTOP));
    let mut command = installation.change_command(&set_lanes(7), &["--wait", "30"]);
    let author = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    installation
        .wait_until("the leader has received the proposal", |i| proposals(i).is_some_and(|n| n > before));
    assert_eq!(installation.status()["head"], 1, "no change is committed without a majority");
    installation.kill_control(leader);
    others.iter().for_each(|n| installation.control(*n).signal(Signal::SIGCONT));
    let output = author.wait_with_output().unwrap();
    assert!(output.status.success(), "{output:?}");
    // The change is in force at all gateways, and the log accepts further changes.
    let number = installation.status()["head"].as_u64().unwrap();
    assert_eq!(installation.count_gateways(|g| g["number"] == number && g["state"] == "current"), 2);
    assert!(installation.apply_change(&set_lanes(8), &[]) > number);
}

/// The control machines are killed and restarted in turn, each while a change is being committed: every change is
/// applied, and all control machines end up with the same log.
#[test]
fn control_machines_are_killed_in_turn_while_changes_are_proposed() {
    let mut installation = Installation::running(3, 2);
    let mut last = 0;
    for round in 0..6 {
        let mut command = installation.change_command(&set_lanes(round + 1), &["--wait", "30"]);
        let author = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let n = round as usize % 3;
        installation.kill_control(n);
        installation.start_control(n, &[]);
        let output = author.wait_with_output().unwrap();
        assert!(output.status.success(), "round {round}: {output:?}");
        let number = installation.status()["head"].as_u64().unwrap();
        assert!(number > last, "round {round}: {number} after {last}");
        last = number;
    }
    installation.wait_until("all control machines have the same log", |i| {
        let statuses: Vec<_> = (0..3).map(|n| i.control_status(n)).collect();
        let has_latest =
            |status: &Value| status["number"] == last && status["digest"] == statuses[0]["digest"];
        statuses.iter().all(has_latest)
            && i.count_gateways(|g| g["state"] == "current" && g["number"] == last) == 2
    });
    assert_eq!(
        (0..2).map(|n| installation.gateway_status(n)["digest"].clone()).collect::<Vec<_>>(),
        vec![installation.control_status(0)["digest"].clone(); 2]
    );
}

/// Three of seven control machines are killed, the leader among them: the remaining four still commit changes.
#[test]
fn four_of_seven_control_machines_are_a_majority() {
    let mut installation = Installation::running(7, 3);
    installation.apply_change(&set_lanes(2), &[]);
    let leader = installation.leader().expect("the control machines have a leader");
    (0..3).for_each(|n| installation.kill_control((leader + n) % 7));
    let number = installation.apply_change(SET_ORDER_PROFILE, &["--wait", "30"]);
    assert_eq!(installation.count_gateways(|g| g["state"] == "current" && g["number"] == number), 3);
    for n in 0..3 {
        assert_eq!(installation.call_as_order_and_check(n), (200, 400), "{n}");
    }
}

/// Two of three control machines are killed: the author is told that the outcome of its change is unknown, and gateways
/// keep serving with the configuration in force.
#[test]
fn without_a_majority_nothing_is_known_of_a_change_and_gateways_go_on() {
    let mut installation = Installation::running(3, 2);
    installation.apply_change(SET_ORDER_PROFILE, &[]);
    installation.kill_control(0);
    installation.kill_control(1);
    let output = installation.change("function \"packs\" { profile = \"check\" }", &["--wait", "0"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(stderr(&output).contains("not known whether it will come into force"), "{output:?}");
    for n in 0..2 {
        assert_eq!(installation.call_as_order_and_check(n), (200, 400), "{n}");
    }
    let status = installation.status();
    assert_eq!((&status["head"], &status["control"][0]["view"]), (&1.into(), &().into()), "{status:#}");
    assert_eq!(status["control"][2]["view"]["majority"], false);
    installation.kill_control(2);
    let output = installation.change("function \"packs\" { profile = \"check\" }", &["--wait", "0"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no control machine answers: nothing was proposed"), "{output:?}");
    let output = installation.changes("author.hcl", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no control machine answers: are they running"), "{output:?}");
    (0..3).for_each(|n| installation.start_control(n, &[]));
    installation.apply_change("function \"packs\" { profile = \"check\" }", &["--wait", "30"]);
    for n in 0..2 {
        assert_eq!(installation.call_as_order_and_check(n), (400, 200), "{n}");
    }
}

/// A gateway and a control machine are paused for longer than every lease: the others continue meanwhile, and the
/// paused processes catch up when they resume.
#[test]
fn processes_that_were_paused_longer_than_every_lease_catch_up() {
    let installation = Installation::running(3, 3);
    installation.apply_change(&set_lanes(2), &[]);
    installation.gateway(0).signal(Signal::SIGSTOP);
    installation.control(0).signal(Signal::SIGSTOP);
    installation.wait_until("the paused gateway is reported as silent", |i| {
        i.count_gateways(|g| g["state"] == "silent" && g["heard"].as_f64() > Some(6.5)) == 1
    });
    let number = installation.apply_change(SET_ORDER_PROFILE, &[]);
    assert_eq!((installation.call(1, "order"), installation.call(2, "order")), (200, 200));
    installation.gateway(0).signal(Signal::SIGCONT);
    installation.control(0).signal(Signal::SIGCONT);
    installation.wait_until("all processes have the change", |i| {
        i.count_gateways(|g| g["state"] == "current" && g["number"] == number) == 3
            && i.control_status(0)["number"] == number
    });
    assert_eq!(installation.call(0, "order"), 200);
    let gateway = installation.gateway_status(0);
    assert_eq!((gateway["anew"].as_u64(), gateway["conflicts"].as_u64()), (Some(0), Some(0)));
    assert!(installation.apply_change(&set_lanes(5), &[]) > number);
}
