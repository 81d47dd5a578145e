//! Bytes on the wire, captured before this package's names changed: what the codecs write equals the stored bytes, and
//! the stored bytes of clients and workers read as they did then.

use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_platform_protocol::lines::{self, Call, ClientMessage};
use milletpath_platform_protocol::{frames, parse_hex_id};
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::InputError;
use milletpath_protocol::registry::EndpointStatus;
use std::fmt::Write as _;

/// One capture a line: its name and the bytes as hex digits.
const CAPTURED: &str = include_str!("wire/captured.txt");

fn captured(name: &str) -> Vec<u8> {
    let line = CAPTURED.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("no capture of {name}"));
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn as_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

/// The bytes that `write` adds to a buffer that holds some already.
fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = b"before".to_vec();
    write(&mut bytes);
    bytes.split_off(b"before".len())
}

/// Everything that the codecs write, by the name of its capture.
fn everything_written() -> Vec<(&'static str, Vec<u8>)> {
    let attempt = |idempotency_key| frames::Attempt {
        id: 0x9b1f_03aa_5c7e_2d41,
        profile: "check",
        function: "7f3a9c21e0b4d655",
        idempotency_key,
        body: b"hi",
    };
    let fault = InputError::new("info.lanes", "is \"out\" of range\n");
    vec![
        ("line-success", written(|to| lines::write_success(to, 7, b"\x00\xffhello"))),
        ("line-success-empty", written(|to| lines::write_success(to, 1, b""))),
        ("line-rejected", written(|to| lines::write_rejected(to, 8, None))),
        ("line-rejected-retry-after", written(|to| lines::write_rejected(to, 9, Some(0.2504)))),
        ("line-failed", written(|to| lines::write_failed(to, 10))),
        ("line-invalid", written(|to| lines::write_invalid(to, Some(11), &fault))),
        ("line-invalid-unnumbered", written(|to| lines::write_invalid(to, None, &fault))),
        ("line-probe-healthy", written(|to| lines::write_health(to, 12, true))),
        ("line-probe-unhealthy", written(|to| lines::write_health(to, 12, false))),
        ("frame-attempt", written(|to| frames::write_attempt(to, &attempt(""), 1.5))),
        ("frame-attempt-key", written(|to| frames::write_attempt(to, &attempt("51c47357e4320fd8"), 0.0001))),
        ("frame-cancel", written(|to| frames::write_cancel(to, 5))),
        ("frame-probe", written(|to| frames::write_probe(to, 6, false))),
        ("frame-probe-load", written(|to| frames::write_probe(to, 6, true))),
        ("frame-load", written(|to| frames::write_load_request(to, u64::MAX, "7f3a9c21e0b4d655", 3))),
        (
            "frame-unload",
            written(|to| frames::write_unload(to, parse_hex_id("7f3a9c21e0b4d655").expect("hex"))),
        ),
        ("events-after", events::subscribe_after(41).into_bytes()),
    ]
}

#[test]
fn what_is_written_equals_the_captured_bytes() {
    for (name, bytes) in everything_written() {
        assert_eq!(as_hex(&bytes), as_hex(&captured(name)), "{name}");
    }
}

#[test]
fn captured_client_lines_read_as_before() {
    let call = Call {
        number: 7,
        id: 0x9b1f_03aa_5c7e_2d41,
        profile: "p".into(),
        client: "acme".into(),
        function: "7f3a9c21e0b4d655".into(),
        timeout: 1.5,
        is_retry: true,
        idempotency_key: "51c4".into(),
        memory: 512.0,
        lanes: 2.0,
        load: Some(0.64),
        body: b"hi".to_vec(),
    };
    assert_eq!(lines::read(&captured("client-call")), Ok(ClientMessage::Call(Box::new(call))));
    let write_cancel = |id, number| Ok(ClientMessage::Cancel { id, number });
    assert_eq!(lines::read(&captured("client-cancel-id")), write_cancel(Some(0x9b1f_03aa_5c7e_2d41), None));
    assert_eq!(lines::read(&captured("client-cancel-number")), write_cancel(None, Some(7)));
    assert_eq!(lines::read(&captured("client-probe")), Ok(ClientMessage::Probe { number: 3 }));
}

#[test]
fn captured_worker_frames_read_as_before() {
    let codes = [
        ("worker-success", Outcome::Succeeded, false),
        ("worker-not-loaded", Outcome::NotLoaded, false),
        ("worker-full", Outcome::Rejected, false),
        ("worker-failed", Outcome::Failed, false),
        ("worker-not-executed", Outcome::NotSent, false),
        ("worker-probe-healthy", Outcome::Succeeded, true),
        ("worker-probe-unhealthy", Outcome::Failed, true),
    ];
    let report = LoadReport {
        in_flight: Some(2.0),
        queued: Some(1.0),
        utilization: Some(0.75),
        memory: Some(0.5),
        loading: Some(3.0),
    };
    for (name, outcome, probe) in codes {
        let bytes = captured(name);
        let frames::Frame { response: answer, length } =
            frames::read(&bytes).expect("valid").expect("complete");
        assert_eq!(
            (answer.outcome, answer.probe, answer.id, length),
            (outcome, probe, 77, bytes.len()),
            "{name}"
        );
        assert_eq!((answer.concurrent_calls, answer.instances, answer.body), (4.0, 2, &b"hi"[..]), "{name}");
        assert_eq!(format!("{:?}", answer.report), format!("{:?}", Some(report)), "{name}");
    }
}

#[test]
fn captured_discovery_lines_read_as_before() {
    let read = events::read(&captured("events-roster")).expect("valid");
    let DiscoveryLine::Event { number: 41, complete: true, entries } = read else { panic!("{read:?}") };
    assert_eq!(entries.len(), 2);
    let first = &entries[0];
    assert_eq!((first.name.as_str(), first.address.to_string()), ("w1", "10.0.0.7:9001".into()));
    assert_eq!((first.started, first.size, first.kind.as_str()), (Some(1700.5), 2.0, "std"));
    assert_eq!(
        (first.zone.as_str(), first.cell.as_str(), first.state),
        ("north", "3", EndpointStatus::Ready)
    );
    assert_eq!((entries[1].name.as_str(), entries[1].state), ("w2", EndpointStatus::Gone));
    assert_eq!(events::read(&captured("events-heartbeat")), Ok(DiscoveryLine::Heartbeat(41)));
}

/// Each row holds a line that is invalid, its number or `-`, and the error that its sender gets.
#[test]
fn invalid_client_lines_get_the_captured_faults() {
    for row in include_str!("wire/faults.txt").lines() {
        let [line, number, fault] = row.split('\t').collect::<Vec<_>>()[..] else { panic!("{row}") };
        let invalid = lines::read(line.as_bytes()).expect_err(line);
        assert_eq!(invalid.number.map_or("-".into(), |n| n.to_string()), number, "{line}");
        assert_eq!(invalid.fault.to_string(), fault, "{line}");
    }
}
