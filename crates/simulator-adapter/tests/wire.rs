//! Frames written by hand, and what the drill makes of them.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

const SETTINGS: &str = r#"{"Balancers":1,"Tick":4000,"Novelty":[1],"RegistryMode":"subscribe",
 "Classes":[{"Effect":"free","Objective":1000000,"HardLimit":3000000}],
 "Limits":{"MaxAttempts":4,"MayDuplicate":true,"Cancelling":true},
 "FamilyInfo":{"PlacementCalls":true,"MissMode":"miss","KeepAlive":9000000,"LoadWait":10000000},
 "Rules":{"DrainGrace":500000,"StartCapacity":0.2,"WarmUp":15000000,"TipMultiple":2.5,"OverloadFor":2000000}}"#;

/// A frame of events, each a code and its fields, with a tail.
fn frame(clock: u64, events: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = (16 + 48 * events.len() + tail.len()) as u32;
    let mut bytes = [length.to_le_bytes(), (events.len() as u32).to_le_bytes()].concat();
    bytes.extend(clock.to_le_bytes());
    for event in events {
        bytes.extend(event);
        bytes.resize(bytes.len() + 48 - event.len(), 0);
    }
    bytes.extend(tail);
    bytes
}

fn span(at: usize, length: usize) -> Vec<u8> {
    [(at as u32).to_le_bytes(), (length as u32).to_le_bytes()].concat()
}

fn start(instance: u8, settings: &str) -> Vec<u8> {
    [vec![10, instance, 0, 9, 0, 0, 0, 0, 0, 0, 0], span(0, settings.len())].concat()
}

/// A list of one ready worker, 0x2c9011f2, behind the settings in the tail.
fn list(number: u8) -> Vec<u8> {
    [vec![120, number, 0, 0, 0], span(SETTINGS.len(), 1)].concat()
}

fn entry() -> Vec<u8> {
    let mut entry = vec![0xf2, 0x11, 0x90, 0x2c];
    entry.resize(14, 0);
    entry.extend(1f32.to_le_bytes());
    entry.extend([0, 1, 0]);
    entry
}

fn roster(instance: u8, number: u8) -> Vec<u8> {
    let mut event = vec![20, instance, 0, 2];
    event.resize(12, 0);
    event.push(number);
    event
}

fn inbound(instance: u8, rid: u64) -> Vec<u8> {
    let mut event = vec![30, instance, 0];
    event.extend(rid.to_le_bytes());
    event.extend(300f32.to_le_bytes());
    event.extend(2_000_000u32.to_le_bytes());
    event.extend([0; 6]);
    event.extend(2f32.to_le_bytes());
    event.extend([0; 5]);
    event.extend(0xabcdu64.to_le_bytes());
    event
}

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_milletpath-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the drill starts");
    child.stdin.take().expect("it was piped").write_all(input).expect("the drill reads");
    child.wait_with_output().expect("the drill ends")
}

/// The codes of the actions of each reply.
fn actions(mut output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut replies = Vec::new();
    while !output.is_empty() {
        let field =
            |at: usize| u32::from_le_bytes(output[at..at + 4].try_into().expect("four bytes")) as usize;
        let (count, length) = (field(0), field(4));
        replies.push((0..count).map(|n| output[8 + 24 * n..32 + 24 * n].to_vec()).collect());
        output = &output[length..];
    }
    replies
}

fn opening(extra: Vec<Vec<u8>>) -> Vec<u8> {
    let tail = [SETTINGS.as_bytes(), &entry()].concat();
    frame(5_000, &[vec![start(3, SETTINGS), list(0), roster(3, 0)], extra].concat(), &tail)
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let output = play(&frame(1, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 8, 0, 0, 0]);
}

#[test]
fn an_activation_is_handed_to_the_worker_and_a_miss_is_ordered_there() {
    let mut miss = vec![50, 3, 0];
    miss.extend(77u64.to_le_bytes());
    miss.extend([0xf2, 0x11, 0x90, 0x2c, 0, 0, 0, 0, 0, 0, 204, 0, 0, 0, 0]);
    let input = [opening(vec![inbound(3, 77)]), frame(6_000, &[miss], &[])].concat();
    let output = play(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = actions(&output.stdout);
    let send = replies[0].iter().find(|a| a[0] == 80).expect("a shot");
    assert_eq!(send[1..15], [3, 0, 77, 0, 0, 0, 0, 0, 0, 0, 0xf2, 0x11, 0x90, 0x2c]);
    assert!(replies[0].iter().any(|a| a[0] == 130), "it subscribes");
    let hold = replies[1].iter().find(|a| a[0] == 70).expect("an order");
    assert_eq!(hold[3..16], [0xf2, 0x11, 0x90, 0x2c, 0xcd, 0xab, 0, 0, 0, 0, 0, 0, 1]);
}

#[test]
fn a_list_counts_for_all_that_happens_in_its_batch() {
    let mut draining = entry();
    draining[19] = 2;
    let events =
        [vec![inbound(3, 78)], vec![[vec![120, 1, 0, 0, 0], span(0, 1)].concat(), roster(3, 1)]].concat();
    let replies = actions(&play(&[opening(vec![]), frame(6_000, &events, &draining)].concat()).stdout);
    assert!(replies[1].iter().all(|a| a[0] != 80));
}

#[test]
fn instances_share_nothing_and_a_stopped_one_says_nothing() {
    let stop = vec![100, 3, 0];
    let tail = [SETTINGS.as_bytes(), &entry()].concat();
    let events = [
        start(3, SETTINGS),
        start(4, SETTINGS),
        list(0),
        roster(3, 0),
        roster(4, 0),
        stop,
        inbound(3, 1),
        inbound(4, 1),
    ];
    let replies = actions(&play(&frame(9, &events, &tail)).stdout);
    let sends: Vec<_> = replies[0].iter().filter(|a| a[0] == 80).map(|a| a[1]).collect();
    assert_eq!(sends, [4]);
}

#[test_case("\"StartCapacity\":0.2,", "", "Rules.StartCapacity"; "missing")]
#[test_case("\"Balancers\":1", "\"Balancers\":-1", "Balancers"; "senseless")]
#[test_case("\"free\"", "\"dear\"", "Classes[0].Effect"; "unknown effect")]
fn a_bad_setting_is_named_through_the_failure_action(from: &str, to: &str, named: &str) {
    let settings = SETTINGS.replace(from, to);
    let output = play(&frame(1, &[start(3, &settings)], settings.as_bytes()));
    assert!(output.status.success());
    assert_eq!(actions(&output.stdout)[0][0][0], 120);
    assert!(String::from_utf8_lossy(&output.stdout).contains(named));
}

#[test_case(vec![9, 0, 0]; "a header cut short")]
#[test_case(frame(1, &[vec![100, 3, 0]], &[])[..40].to_vec(); "a record cut short")]
#[test_case([[16u8, 0, 0, 0, 255, 255, 255, 255].as_slice(), &[0; 8]].concat(); "more records than bytes")]
#[test_case(frame(1, &[vec![33, 3, 0]], &[]); "an unknown code")]
#[test_case(frame(1, &[start(3, SETTINGS)], &[]); "settings beyond the tail")]
#[test_case(frame(1, &[[vec![120, 0, 0, 0, 0], span(0, 4_000_000_000)].concat()], &[]); "an impossible list")]
#[test_case(opening(vec![roster(3, 7)]); "a list never given")]
fn malformed_input_ends_it_with_a_plain_message_and_no_reply(input: Vec<u8>) {
    let output = play(&input);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.starts_with("milletpath-drill: ") && said.lines().count() == 1, "{said}");
}
