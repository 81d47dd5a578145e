//! Changes of configuration among processes: control machines, gateways and authors, as they are killed, cut
//! off, begun again and set against each other. What a gateway goes by is seen from outside: a call under a
//! profile that its function is not called under is refused.

mod control;
#[path = "changes/stored_files.rs"]
mod stored_files;

use control::authors::{between, proposed};
use control::{Differs, Site};
use nix::sys::signal::Signal;
use std::process::{Output, Stdio};
use std::time::Duration;
use test_case::test_case;

/// "packs" is called under "order" from then on; its charter says "check".
const ORDER: &str = "function \"packs\" {\n  profile = \"order\"\n}\n";

fn lanes(lanes: u32) -> String {
    format!("function \"packs\" {{\n  profile = \"order\"\n  lanes   = {lanes}\n}}\n")
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A change comes into force at five gateways while they run, is seen by its effect, and is taken back.
#[test]
fn a_change_is_in_force_at_all_without_a_restart() {
    let site = Site::running(3, 5);
    for n in 0..5 {
        assert_eq!((site.call(n, "order"), site.call(n, "check")), (400, 200), "{n}");
    }
    let output = site.change(ORDER, &[]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert!(text.starts_with("function packs: number 1\n"), "{text}");
    assert!(text.ends_with("number 1: in force at 5 of 5 gateways\n"), "{text}");
    for n in 0..5 {
        assert_eq!((site.call(n, "order"), site.call(n, "check")), (200, 400), "{n}");
    }
    let known = site.known();
    assert_eq!(known["head"], 1);
    assert!(known["sure_as_of"].as_f64().is_some(), "{known:#}");
    assert_eq!(site.gateways_that(|g| g["state"] == "current" && g["number"] == 1), 5, "{known:#}");
    let here = site.here(3);
    assert_eq!((&here["name"], &here["number"]), (&"gateway-3".into(), &1.into()), "{here:#}");
    assert!(here["cpu"].as_f64().is_some_and(|s| s > 0.0), "{here:#}");
    for n in 0..3 {
        let machine = site.view(n);
        let more = |key: &str| machine[key].as_f64().is_some_and(|figure| figure > 0.0);
        assert!(more("up") && more("cpu") && more("log"), "{machine:#}");
    }
    // Stated again it is so already, and costs no entry.
    let again = site.change(ORDER, &[]);
    assert!(String::from_utf8_lossy(&again.stdout).contains("so already"), "{again:?}");
    assert_eq!(site.changed("", &["--remove", "packs"]), 2);
    for n in 0..5 {
        assert_eq!((site.call(n, "order"), site.call(n, "check")), (400, 200), "{n}");
    }
}

/// The one that leads has taken a change and can't have it accepted, as the others stand still; it is killed;
/// they go on.
#[test]
fn the_machine_that_carries_a_change_is_killed_in_mid_change() {
    let mut site = Site::running(3, 2);
    site.changed(&lanes(2), &[]);
    let leader = site.leader().expect("one leads");
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    let proposals = |s: &Site| s.view(leader)["tally"]["proposals"].as_u64();
    let before = proposals(&site).expect("it answers");
    others.iter().for_each(|n| site.signal_control(*n, Signal::SIGSTOP));
    let mut command = site.change_command(&lanes(7), &["--wait", "30"]);
    let author = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    site.wait("it has taken the proposal", |s| proposals(s).is_some_and(|n| n > before));
    assert_eq!(site.known()["head"], 1, "nothing is committed");
    site.kill_control(leader);
    others.iter().for_each(|n| site.signal_control(*n, Signal::SIGCONT));
    let output = author.wait_with_output().unwrap();
    assert!(output.status.success(), "{output:?}");
    // In force once, at all; and the log goes on.
    let number = site.known()["head"].as_u64().unwrap();
    assert_eq!(site.gateways_that(|g| g["number"] == number && g["state"] == "current"), 2);
    assert!(site.changed(&lanes(8), &[]) > number);
}

/// One after the other is killed, each while a change is on its way, and begun again: every change comes to its end, and all
/// know the same.
#[test]
fn killed_one_after_the_other_while_changes_are_on_their_way() {
    let mut site = Site::running(3, 2);
    let mut last = 0;
    for round in 0..6 {
        let mut command = site.change_command(&lanes(round + 1), &["--wait", "30"]);
        let author = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let n = round as usize % 3;
        site.kill_control(n);
        site.begin_control(n, &[]);
        let output = author.wait_with_output().unwrap();
        assert!(output.status.success(), "round {round}: {output:?}");
        let number = site.known()["head"].as_u64().unwrap();
        assert!(number > last, "round {round}: {number} after {last}");
        last = number;
    }
    site.wait("all know the same", |s| {
        let views: Vec<_> = (0..3).map(|n| s.view(n)).collect();
        let same = |v: &serde_json::Value| v["number"] == last && v["digest"] == views[0]["digest"];
        views.iter().all(same) && s.gateways_that(|g| g["state"] == "current" && g["number"] == last) == 2
    });
    assert_eq!(
        (0..2).map(|n| site.here(n)["digest"].clone()).collect::<Vec<_>>(),
        vec![site.view(0)["digest"].clone(); 2]
    );
}

/// Three of seven are gone, the one that led among them: the other four go on.
#[test]
fn of_seven_control_machines_three_may_be_gone() {
    let mut site = Site::running(7, 3);
    site.changed(&lanes(2), &[]);
    let leader = site.leader().expect("one leads");
    (0..3).for_each(|n| site.kill_control((leader + n) % 7));
    let number = site.changed(ORDER, &["--wait", "30"]);
    assert_eq!(site.gateways_that(|g| g["state"] == "current" && g["number"] == number), 3);
    for n in 0..3 {
        assert_eq!((site.call(n, "order"), site.call(n, "check")), (200, 400), "{n}");
    }
}

/// Begun again from its log it knows all, and counts: with it and one other there is a majority.
#[test]
fn a_control_machine_begins_again_from_its_log() {
    let mut site = Site::running(3, 2);
    site.changed(&lanes(2), &[]);
    site.kill_control(2);
    let number = site.changed(&lanes(3), &[]);
    site.begin_control(2, &[]);
    site.wait("it has what it missed", |s| s.view(2)["number"] == number && s.view(2)["votes"] == true);
    site.kill_control(0);
    assert!(site.changed(&lanes(4), &[]) > number);
    assert_eq!(site.said("control-2", "without a log"), 0);
}

/// With an older copy of its log it misleads nobody: it learns, and no gateway goes back.
#[test]
fn a_control_machine_with_an_older_copy_of_its_log() {
    let mut site = Site::running(3, 3);
    site.changed(&lanes(2), &[]);
    site.wait("it has it", |s| s.view(1)["number"] == 1);
    let log = site.file("control-1.log");
    let older = std::fs::read(&log).unwrap();
    (3..7).for_each(|n| {
        site.changed(&lanes(n), &[]);
    });
    site.kill_control(1);
    std::fs::write(&log, older).unwrap();
    site.begin_control(1, &[]);
    let digest = site.view(0)["digest"].clone();
    site.wait("it has caught up", |s| s.view(1)["number"] == 5 && s.view(1)["digest"] == digest);
    for n in 0..3 {
        let here = site.here(n);
        assert_eq!((&here["number"], &here["digest"], &here["anew"]), (&5.into(), &digest, &0.into()));
    }
    assert_eq!(site.changed(ORDER, &[]), 6);
}

/// Two of three are gone: the author is told that nothing is known, and gateways serve by what is in force.
#[test]
fn a_majority_of_control_machines_is_gone() {
    let mut site = Site::running(3, 2);
    site.changed(ORDER, &[]);
    site.kill_control(0);
    site.kill_control(1);
    let output = site.change("function \"packs\" { profile = \"check\" }", &["--wait", "0"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(told(&output).contains("not known whether it will come into force"), "{output:?}");
    for n in 0..2 {
        assert_eq!((site.call(n, "order"), site.call(n, "check")), (200, 400), "{n}");
    }
    let known = site.known();
    assert_eq!((&known["head"], &known["control"][0]["view"]), (&1.into(), &().into()), "{known:#}");
    assert_eq!(known["control"][2]["view"]["majority"], false);
    site.kill_control(2);
    let output = site.change("function \"packs\" { profile = \"check\" }", &["--wait", "0"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(told(&output).contains("no control machine answers: nothing was proposed"), "{output:?}");
    let output = site.changes("author.hcl", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(told(&output).contains("no control machine answers: are they running"), "{output:?}");
    (0..3).for_each(|n| site.begin_control(n, &[]));
    site.changed("function \"packs\" { profile = \"check\" }", &["--wait", "30"]);
    for n in 0..2 {
        assert_eq!((site.call(n, "order"), site.call(n, "check")), (400, 200), "{n}");
    }
}

/// Ended in order or killed, it goes by its last known state from the first call on, whoever is silent.
#[test_case(Signal::SIGTERM; "told to stop")]
#[test_case(Signal::SIGKILL; "killed")]
fn a_gateway_restarted_while_all_control_machines_are_silent(by: Signal) {
    let mut site = Site::running(3, 2);
    site.changed(ORDER, &[]);
    if by == Signal::SIGKILL {
        site.wait("the state is kept", |s| s.here(0)["kept"] == 1);
    }
    site.end_gateway(0, by);
    (0..3).for_each(|n| site.kill_control(n));
    site.begin_gateway(0);
    assert_eq!((site.call(0, "order"), site.call(0, "check")), (200, 400));
    let here = site.here(0);
    assert_eq!((&here["number"], &here["sure_as_of"]), (&1.into(), &().into()), "{here:#}");
    (0..3).for_each(|n| site.begin_control(n, &[]));
    site.wait("it is known to be the latest", |s| s.here(0)["sure_as_of"].is_number());
    assert_eq!(site.here(0)["anew"], 0);
}

/// A state that rotted on the disk is not gone by: the charter holds until the control machines are heard.
#[test]
fn a_rotten_state_file() {
    let mut site = Site::running(3, 1);
    site.changed(ORDER, &[]);
    site.end_gateway(0, Signal::SIGTERM);
    let state = site.file("gateway-0.state");
    let whole = std::fs::read(&state).unwrap();
    (0..3).for_each(|n| site.kill_control(n));
    for at in [0, whole.len() / 2, whole.len() - 1] {
        let mut rotten = whole.clone();
        rotten[at] ^= 0x10;
        std::fs::write(&state, rotten).unwrap();
        site.begin_gateway(0);
        assert_eq!((site.call(0, "order"), site.call(0, "check")), (400, 200), "byte {at}");
        site.end_gateway(0, Signal::SIGKILL);
    }
    assert_eq!(site.said("gateway-0", "rotten or empty"), 3);
    std::fs::write(&state, &whole[..whole.len() / 2]).unwrap();
    site.begin_gateway(0);
    (0..3).for_each(|n| site.begin_control(n, &[]));
    site.wait("it has what is in force", |s| s.call(0, "order") == 200);
    site.wait("and keeps it", |s| std::fs::read(s.file("gateway-0.state")).is_ok_and(|kept| kept == whole));
}

/// Both have seen that nothing is stated; one is first, and the other learns that he was too late.
#[test]
fn of_two_authors_at_once_one_is_told_that_he_was_too_late() {
    let site = Site::running(3, 2);
    let (at, held, go) = between(&site.at(0));
    site.author(Differs::default(), &[at.to_string()], "");
    let mut command = site.change_command(&lanes(9), &[]);
    let late = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    held.recv_timeout(Duration::from_secs(30)).expect("he proposes");
    let straight: Vec<_> = (0..3).map(|n| site.at(n)).collect();
    site.author(Differs::default(), &straight, "");
    assert_eq!(site.changed(&lanes(2), &[]), 1);
    go.send(()).unwrap();
    let output = late.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(told(&output).contains("another author was first, with number 1"), "{output:?}");
    // Having looked again he may.
    let number = site.changed(&lanes(9), &[]);
    assert_eq!(site.gateways_that(|g| g["number"] == number), 2);
}

/// Refused at the author's own door, with file, line, column and remedy; nothing is proposed.
#[test_case("function \"packs\" {\n  profile = \"late\"\n}\n", ":2:3: ", "\"check\" or \"order\""; "an unknown profile")]
#[test_case("function \"a\" {}\nfunction \"b\" {\n  lanes = 0\n}\n", ":3:3: ", "write lanes = NUMBER"; "a bad figure")]
#[test_case("client \"c\" { quota = 5 }\n", ":1:1: ", "can't carry client"; "a quota")]
fn a_statement_that_the_charter_can_t_take(text: &str, place: &str, words: &str) {
    let mut site = Site::new(1, 0);
    site.begin_control(0, &["--found"]);
    let output = site.change(text, &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(told(&output).contains(place) && told(&output).contains(words), "{output:?}");
    assert_eq!(site.known()["head"], 0);
}

/// The author's charter knows a profile that the control machines' doesn't: they refuse it.
#[test]
fn a_statement_that_the_control_machines_charter_can_t_take() {
    let mut site = Site::new(3, 0);
    (0..3).for_each(|n| site.begin_control(n, &["--found"]));
    let straight: Vec<_> = (0..3).map(|n| site.at(n)).collect();
    let more = "profile \"late\" {\n  due = 9\n  effect = \"pure\"\n}\n";
    site.author(Differs::default(), &straight, more);
    let output = site.change("\nfunction \"packs\" {\n  profile = \"late\"\n}\n", &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let told = told(&output);
    assert!(told.contains(".hcl:3:3: function packs: the control machine refuses it: profile"), "{told}");
    assert!(told.contains("write profile = \"check\" or \"order\""), "{told}");
    assert_eq!(site.known()["head"], 0);
}

/// One gateway's charter lacks the profile: it is told by name with the reason, and goes on as it was.
#[test]
fn a_gateway_that_can_t_apply_a_change_is_told_of() {
    let mut site = Site::running(3, 3);
    site.end_gateway(1, Signal::SIGTERM);
    site.differ(1, Differs { poorer: true, ..Differs::default() });
    site.begin_gateway(1);
    site.wait("it is heard", |s| s.gateways_that(|g| g["state"] == "current") == 3);
    let output = site.change(ORDER, &[]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let told = told(&output);
    assert!(told.contains("gateway-1 could not apply it: 2:3: profile of function \"packs\""), "{told}");
    assert_eq!((site.call(0, "order"), site.call(1, "check"), site.call(2, "order")), (200, 200, 200));
    let refusing =
        |g: &serde_json::Value| g["name"] == "gateway-1" && g["state"] == "refusing" && g["refused"][0] == 1;
    assert_eq!(site.gateways_that(refusing), 1, "{:#}", site.known());
    assert_eq!(site.said("gateway-1", "can't be applied here"), 1);
    // What it can take is in force there, and it refuses nothing any more.
    let number = site.changed("function \"packs\" { lanes = 3 }", &[]);
    assert_eq!((site.call(1, "check"), site.call(0, "check")), (200, 200));
    site.wait("all are current", |s| {
        s.gateways_that(|g| g["state"] == "current" && g["number"] == number) == 3
    });
}

/// With another key one hears nothing and is not heard, and the others go on.
#[test]
fn another_key_is_no_key() {
    let mut site = Site::running(3, 2);
    site.end_gateway(1, Signal::SIGTERM);
    std::fs::remove_file(site.file("gateway-1.state")).ok();
    site.differ(1, Differs { other_key: true, ..Differs::default() });
    site.begin_gateway(1);
    site.wait("the former one counts as silent", |s| s.gateways_that(|g| g["state"] == "silent") == 1);
    site.changed(ORDER, &[]);
    assert_eq!((site.call(0, "order"), site.call(1, "order"), site.call(1, "check")), (200, 400, 200));
    let refused: usize =
        (0..3).map(|n| site.said(&format!("control-{n}"), "its seal is of another key")).sum();
    assert!(refused > 0);
    let straight: Vec<_> = (0..3).map(|n| site.at(n)).collect();
    site.author(Differs { other_key: true, ..Differs::default() }, &straight, "");
    let output = site.change(&lanes(2), &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(told(&output).contains("no control machine answers"), "{output:?}");
}

/// A gateway and a control machine stand still for longer than any term, and go on: they catch up, and nobody
/// else cares.
#[test]
fn stopped_for_longer_than_every_term() {
    let site = Site::running(3, 3);
    site.changed(&lanes(2), &[]);
    site.signal_gateway(0, Signal::SIGSTOP);
    site.signal_control(0, Signal::SIGSTOP);
    site.wait("others know that it is silent", |s| {
        s.gateways_that(|g| g["state"] == "silent" && g["heard"].as_f64() > Some(6.5)) == 1
    });
    let number = site.changed(ORDER, &[]);
    assert_eq!((site.call(1, "order"), site.call(2, "order")), (200, 200));
    site.signal_gateway(0, Signal::SIGCONT);
    site.signal_control(0, Signal::SIGCONT);
    site.wait("all have it", |s| {
        s.gateways_that(|g| g["state"] == "current" && g["number"] == number) == 3
            && s.view(0)["number"] == number
    });
    assert_eq!(site.call(0, "order"), 200);
    assert_eq!((site.here(0)["anew"].as_u64(), site.here(0)["conflicts"].as_u64()), (Some(0), Some(0)));
    assert!(site.changed(&lanes(5), &[]) > number);
}

/// The log of one is rotten: it does not start, says so with the remedy, and by that remedy counts again.
#[test]
fn a_rotten_log_is_not_gone_by() {
    let mut site = Site::running(3, 1);
    site.changed(&lanes(2), &[]);
    let number = site.changed(&lanes(3), &[]);
    site.kill_control(1);
    let log = site.file("control-1.log");
    let mut bytes = std::fs::read(&log).unwrap();
    bytes[60] ^= 1;
    std::fs::write(&log, &bytes).unwrap();
    let output = site.control_command(1, &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let why = told(&output);
    assert!(why.contains("is rotten") && why.contains("move the file away"), "{why}");
    std::fs::remove_file(&log).unwrap();
    site.begin_control(1, &[]);
    site.wait("it was taken in again", |s| s.view(1)["votes"] == true && s.view(1)["number"] == number);
    // A record that a crash cut short is none.
    site.kill_control(1);
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([9, 0, 0]);
    std::fs::write(&log, &bytes).unwrap();
    site.begin_control(1, &[]);
    assert_eq!(site.said("control-1", "cut short is taken off"), 1);
    site.kill_control(0);
    assert!(site.changed(&lanes(4), &["--wait", "30"]) > number);
}

/// A log that has grown is written anew, small again, and holds all: all are killed and begin from what is
/// left.
#[test]
fn a_log_that_has_grown_is_written_anew() {
    let mut site = Site::running(3, 1);
    let number = proposed(&site, 1000);
    site.wait("all have it, and wrote their logs anew", |s| {
        (0..3).all(|n| s.view(n)["number"] == number && s.said(&format!("control-{n}"), "written anew") > 0)
    });
    let digest = site.view(0)["digest"].clone();
    for n in 0..3 {
        site.kill_control(n);
        let size = std::fs::metadata(site.file(&format!("control-{n}.log"))).unwrap().len();
        assert!(size <= (1 << 20) + 10_000, "{n}: {size}");
    }
    (0..3).for_each(|n| site.begin_control(n, &[]));
    site.wait("all know it again", |s| {
        (0..3).all(|n| s.view(n)["number"] == number && s.view(n)["digest"] == digest)
    });
    assert!(site.changed(ORDER, &[]) > number);
    assert_eq!(site.call(0, "order"), 200);
}

#[test]
fn wrong_use_of_a_control_machine() {
    let mut site = Site::new(1, 1);
    let run = |site: &Site, n: usize, how: &[&str]| site.control_command(n, how).output().unwrap();
    let output = run(&site, 1, &[]);
    assert!(output.status.code() == Some(2) && told(&output).contains("write --number 0 to 0"), "{output:?}");
    site.begin_control(0, &["--found"]);
    let output = run(&site, 0, &[]);
    assert!(output.status.code() == Some(1) && told(&output).contains("can't be listened on"), "{output:?}");
    site.begin_gateway(0);
    site.changed(ORDER, &[]);
    site.kill_control(0);
    let output = run(&site, 0, &["--found"]);
    assert!(output.status.code() == Some(2) && told(&output).contains("holds a log already"), "{output:?}");
    let output = site.change("", &[]);
    assert!(output.status.code() == Some(2) && told(&output).contains("nothing to change"), "{output:?}");
    let output = site.change("", &["--remove", "no name"]);
    assert!(
        output.status.code() == Some(2) && told(&output).contains("no statement goes by that"),
        "{output:?}"
    );
    // A gateway that listens nobody knows where can't be asked; one that doesn't run doesn't answer.
    let charter = std::fs::read_to_string(site.file("gateway-0.hcl")).unwrap();
    let own = charter.lines().rfind(|l| l.contains("listen")).unwrap();
    std::fs::write(site.file("any.hcl"), charter.replace(own, "  listen = \"127.0.0.1:0\"")).unwrap();
    let output = site.changes("any.hcl", &["--here"]);
    assert!(output.status.code() == Some(2) && told(&output).contains("has port 0"), "{output:?}");
    site.end_gateway(0, Signal::SIGTERM);
    let output = site.changes("gateway-0.hcl", &["--here"]);
    assert!(output.status.code() == Some(1) && told(&output).contains("does not answer"), "{output:?}");
    std::fs::write(site.file("without.hcl"), charter.split("changes {").next().unwrap()).unwrap();
    let output = site.changes("without.hcl", &[]);
    assert!(output.status.code() == Some(2) && told(&output).contains("has no changes"), "{output:?}");
    std::fs::remove_file(site.file("changes.key")).unwrap();
    let output = run(&site, 0, &[]);
    assert!(output.status.code() == Some(2) && told(&output).contains("key of changes"), "{output:?}");
}
