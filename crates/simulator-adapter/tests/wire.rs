//! Handwritten frames and the adapter's replies to them.

mod wire_rig;

use test_case::test_case;
use wire_rig::{
    RecordBuilder, SETTINGS, action, actions_of_replies, event, frame, list_mode, list_updated, run, start,
    stop, worker_list, worker_state,
};

const SEED: u64 = 9;
const WORKER: u32 = 0x2c90_11f2;

fn ready_worker() -> Vec<u8> {
    wire_rig::entry(WORKER, 0, worker_state::READY)
}

/// A list of one worker, whose entry follows the settings in the tail.
fn list_behind_settings(number: u32) -> Vec<u8> {
    worker_list(number, SETTINGS.len(), 1)
}

fn request_arrived(instance: u16, request: u64) -> Vec<u8> {
    RecordBuilder::new(event::REQUEST_ARRIVED, instance)
        .u64(request)
        .f32(300.0)
        .u32(2_000_000)
        .u16(0)
        .u32(0)
        .f32(2.0)
        .u8(0)
        .f32(0.0)
        .u64(0xabcd)
        .bytes()
}

/// A frame that starts instance 3 with one worker, followed by more events.
fn first_frame(more_events: Vec<Vec<u8>>) -> Vec<u8> {
    let tail = [SETTINGS.as_bytes(), &ready_worker()].concat();
    let first =
        vec![start(3, SEED, SETTINGS), list_behind_settings(0), list_updated(3, list_mode::CACHED, 0)];
    frame(5_000, &[first, more_events].concat(), &tail)
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let output = run(&frame(1, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 8, 0, 0, 0]);
}

#[test]
fn a_request_is_sent_to_the_worker_and_a_not_loaded_outcome_causes_a_load_request() {
    let not_loaded =
        RecordBuilder::new(event::ATTEMPT_ENDED, 3).u64(77).u32(WORKER).u8(0).u8(0).u32(0).u16(204).u16(0);
    let input =
        [first_frame(vec![request_arrived(3, 77)]), frame(6_000, &[not_loaded.bytes()], &[])].concat();
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = actions_of_replies(&output.stdout);
    let attempt = replies[0].iter().find(|a| a[0] == action::SEND_ATTEMPT).expect("an attempt");
    assert_eq!(attempt[1..15], [3, 0, 77, 0, 0, 0, 0, 0, 0, 0, 0xf2, 0x11, 0x90, 0x2c]);
    assert!(replies[0].iter().any(|a| a[0] == action::WATCH_LIST), "it subscribes to the worker list");
    let load = replies[1].iter().find(|a| a[0] == action::REQUEST_LOAD).expect("a load request");
    assert_eq!(load[3..16], [0xf2, 0x11, 0x90, 0x2c, 0xcd, 0xab, 0, 0, 0, 0, 0, 0, 1]);
}

#[test]
fn a_list_applies_to_all_events_of_its_batch() {
    let draining = wire_rig::entry(WORKER, 0, worker_state::DRAINING);
    let events = vec![request_arrived(3, 78), worker_list(1, 0, 1), list_updated(3, list_mode::CACHED, 1)];
    let output = run(&[first_frame(vec![]), frame(6_000, &events, &draining)].concat());
    let replies = actions_of_replies(&output.stdout);
    assert!(replies[1].iter().all(|a| a[0] != action::SEND_ATTEMPT));
}

#[test]
fn instances_are_independent_and_a_stopped_one_does_not_act() {
    let tail = [SETTINGS.as_bytes(), &ready_worker()].concat();
    let events = [
        start(3, SEED, SETTINGS),
        start(4, SEED, SETTINGS),
        list_behind_settings(0),
        list_updated(3, list_mode::CACHED, 0),
        list_updated(4, list_mode::CACHED, 0),
        stop(3),
        request_arrived(3, 1),
        request_arrived(4, 1),
    ];
    let replies = actions_of_replies(&run(&frame(9, &events, &tail)).stdout);
    let senders: Vec<_> = replies[0].iter().filter(|a| a[0] == action::SEND_ATTEMPT).map(|a| a[1]).collect();
    assert_eq!(senders, [4]);
}

#[test_case("\"StartCapacity\":0.2,", "", "Rules.StartCapacity"; "missing")]
#[test_case("\"Balancers\":1", "\"Balancers\":-1", "Balancers"; "out of range")]
#[test_case("\"free\"", "\"dear\"", "Classes[0].Effect"; "unknown effect")]
fn an_invalid_setting_is_named_in_the_fatal_action(from: &str, to: &str, setting: &str) {
    let settings = SETTINGS.replace(from, to);
    let output = run(&frame(1, &[start(3, SEED, &settings)], settings.as_bytes()));
    assert!(output.status.success());
    assert_eq!(actions_of_replies(&output.stdout)[0][0][0], action::FATAL);
    assert!(String::from_utf8_lossy(&output.stdout).contains(setting));
}

#[test_case(vec![9, 0, 0]; "a truncated header")]
#[test_case(frame(1, &[stop(3)], &[])[..40].to_vec(); "a truncated record")]
#[test_case([[16u8, 0, 0, 0, 255, 255, 255, 255].as_slice(), &[0; 8]].concat(); "more records than bytes")]
#[test_case(frame(1, &[RecordBuilder::new(33, 3).bytes()], &[]); "an unknown event code")]
#[test_case(frame(1, &[start(3, SEED, SETTINGS)], &[]); "settings beyond the tail")]
#[test_case(frame(1, &[worker_list(0, 0, 4_000_000_000)], &[]); "a list of impossible length")]
#[test_case(first_frame(vec![list_updated(3, list_mode::CACHED, 7)]); "a list that was never sent")]
fn malformed_input_ends_the_adapter_with_a_one_line_message_and_no_reply(input: Vec<u8>) {
    let output = run(&input);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.starts_with("milletpath-drill: ") && message.lines().count() == 1, "{message}");
}
