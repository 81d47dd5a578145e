//! Control machines and gateways as processes whose disk is full: a limit on the size of their files.

use crate::control::authors::{proposed, proposed_at};
use crate::control::{FileLimit, Site};
use nix::sys::signal::Signal;

/// A control machine, begun with such a limit, among two without.
fn with_limit(limit: FileLimit) -> Site {
    let mut site = Site::new(3, 1);
    [0, 2].into_iter().for_each(|n| site.begin_control(n, &["--found"]));
    site.begin_limited_control(1, limit, &["--found"]);
    site.begin_gateway(0);
    site.wait("the gateway is heard", |s| s.gateways_that(|g| g["state"] == "current") == 1);
    site
}

/// Its log hits the limit again and again: each time it votes again once a fresh file, which is small, holds all. It
/// counts for a majority, and nothing is lost after a kill.
#[test]
fn a_log_that_can_t_grow_is_written_anew() {
    let mut site = with_limit(FileLimit(64));
    let number = proposed(&site, 60);
    assert!(site.runs(1), "its process goes on");
    site.wait("it has all, and votes", |s| s.view(1)["number"] == number && s.view(1)["votes"] == true);
    assert!(site.said("control-1", "can't be written") > 0);
    assert!(site.said("control-1", "it votes again") > 0);
    site.kill_control(1);
    site.begin_control(1, &[]);
    site.kill_control(0);
    assert_eq!(site.changed("function \"packs\" {\n  lanes = 2\n}\n", &["--wait", "30"]), number + 1);
    assert_eq!(site.view(1)["digest"], site.view(2)["digest"]);
}

/// There is no room for a fresh file either: it passes changes on and learns, and does not vote until there is room.
#[test]
fn without_room_a_control_machine_relays_and_does_not_vote() {
    let mut site = with_limit(FileLimit(1));
    let number = proposed(&site, 3);
    site.wait("it has all", |s| s.view(1)["number"] == number);
    assert_eq!(site.view(1)["votes"], false);
    let number = proposed_at(&site, 1, 4..=5, number);
    assert!(site.runs(1), "its process goes on");
    assert!(site.view(1)["log_error"].is_string(), "{:#}", site.view(1));
    assert_eq!(site.view(1)["votes"], false);
    site.lift_limit(1);
    site.wait("it votes again", |s| s.view(1)["votes"] == true);
    site.kill_control(0);
    assert_eq!(site.changed("function \"packs\" {\n  lanes = 3\n}\n", &["--wait", "30"]), number + 1);
    site.kill_control(1);
    site.begin_control(1, &[]);
    site.wait("it has all again", |s| s.view(1)["number"] == number + 1 && s.view(1)["votes"] == true);
    // Begun on a full disk it knows what it had, and binds nobody by it before it is in a fresh file.
    site.kill_control(1);
    site.begin_limited_control(1, FileLimit(1), &[]);
    assert_eq!((&site.view(1)["number"], &site.view(1)["votes"]), (&(number + 1).into(), &false.into()));
    site.lift_limit(1);
    site.wait("it votes once more", |s| s.view(1)["votes"] == true);
}

/// A gateway that can't keep its last known state serves on, with what is in force.
#[test]
fn a_gateway_whose_state_can_t_be_kept_serves_on() {
    let mut site = Site::new(1, 1);
    site.begin_control(0, &["--found"]);
    proposed(&site, 1);
    site.begin_limited_gateway(0, FileLimit(1));
    site.wait("the state can't be kept", |s| s.here(0)["not_kept"].as_u64() > Some(0));
    assert_eq!(site.call(0, "check"), 200);
    assert_eq!(site.here(0)["number"], 1);
    assert_eq!(site.here(0)["kept"], 0);
    site.end_gateway(0, Signal::SIGTERM);
    site.begin_gateway(0);
    site.wait("with room it is kept", |s| s.here(0)["kept"] == 1);
}
