//! Compatibility tests against recorded bytes: the codecs still write exactly the recorded bytes, and still read
//! recorded input from clients, workers and the discovery service to the same values. The bytes were recorded before
//! names in this crate changed, so a rename that changes the wire format fails here.

use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_platform_protocol::lines::{self, Call, ClientMessage};
use milletpath_platform_protocol::{frames, parse_hex_id};
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::InputError;
use milletpath_protocol::registry::EndpointStatus;
use std::fmt::Write as _;

/// One capture per line: its name and its bytes in hexadecimal.
const CAPTURED: &str = include_str!("wire/captured.txt");

fn captured(name: &str) -> Vec<u8> {
    let line = CAPTURED.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("no capture of {name}"));
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
}

fn as_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

/// Returns the bytes that `write` appends to a non-empty buffer.
fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = b"before".to_vec();
    write(&mut bytes);
    bytes.split_off(b"before".len())
}

/// Outputs of all write functions, each with the name of its capture.
fn all_outputs() -> Vec<(&'static str, Vec<u8>)> {
    let attempt = |idempotency_key| frames::Attempt {
        id: 0x9b1f_03aa_5c7e_2d41,
        profile: "check",
        function: "7f3a9c21e0b4d655",
        idempotency_key,
        body: b"hi",
    };
    let error = InputError::new("info.lanes", "is \"out\" of range\n");
    vec![
        ("line-success", written(|out| lines::write_success(out, 7, b"\x00\xffhello"))),
        ("line-success-empty", written(|out| lines::write_success(out, 1, b""))),
        ("line-rejected", written(|out| lines::write_rejected(out, 8, None))),
        ("line-rejected-retry-after", written(|out| lines::write_rejected(out, 9, Some(0.2504)))),
        ("line-failed", written(|out| lines::write_failed(out, 10))),
        ("line-invalid", written(|out| lines::write_invalid(out, Some(11), &error))),
        ("line-invalid-unnumbered", written(|out| lines::write_invalid(out, None, &error))),
        ("line-probe-healthy", written(|out| lines::write_health(out, 12, true))),
        ("line-probe-unhealthy", written(|out| lines::write_health(out, 12, false))),
        ("frame-attempt", written(|out| frames::write_attempt(out, &attempt(""), 1.5))),
        (
            "frame-attempt-key",
            written(|out| frames::write_attempt(out, &attempt("51c47357e4320fd8"), 0.0001)),
        ),
        ("frame-cancel", written(|out| frames::write_cancel(out, 5))),
        ("frame-probe", written(|out| frames::write_probe(out, 6, false))),
        ("frame-probe-load", written(|out| frames::write_probe(out, 6, true))),
        ("frame-load", written(|out| frames::write_load_request(out, u64::MAX, "7f3a9c21e0b4d655", 3))),
        (
            "frame-unload",
            written(|out| frames::write_unload(out, parse_hex_id("7f3a9c21e0b4d655").expect("hex"))),
        ),
        ("events-after", events::subscribe_after(41).into_bytes()),
    ]
}

#[test]
fn outputs_equal_the_captured_bytes() {
    for (name, bytes) in all_outputs() {
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
    let cancel = |id, number| Ok(ClientMessage::Cancel { id, number });
    assert_eq!(lines::read(&captured("client-cancel-id")), cancel(Some(0x9b1f_03aa_5c7e_2d41), None));
    assert_eq!(lines::read(&captured("client-cancel-number")), cancel(None, Some(7)));
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
        let frames::Frame { response, length } = frames::read(&bytes).expect("valid").expect("complete");
        assert_eq!(
            (response.outcome, response.probe, response.id, length),
            (outcome, probe, 77, bytes.len()),
            "{name}"
        );
        assert_eq!(
            (response.concurrent_calls, response.instances, response.body),
            (4.0, 2, &b"hi"[..]),
            "{name}"
        );
        assert_eq!(format!("{:?}", response.report), format!("{:?}", Some(report)), "{name}");
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

/// Each row consists of an invalid line, its number or `-`, and the error message that the client receives.
#[test]
fn invalid_client_lines_get_the_captured_errors() {
    for row in include_str!("wire/faults.txt").lines() {
        let [line, number, message] = row.split('\t').collect::<Vec<_>>()[..] else { panic!("{row}") };
        let invalid = lines::read(line.as_bytes()).expect_err(line);
        assert_eq!(invalid.number.map_or("-".into(), |n| n.to_string()), number, "{line}");
        assert_eq!(invalid.fault.to_string(), message, "{line}");
    }
}
