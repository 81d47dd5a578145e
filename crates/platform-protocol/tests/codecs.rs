//! Tests for the platform's codecs: valid input is read completely, the error for invalid input names the field,
//! nothing is allocated for a length that a header merely claims, and arbitrary bytes never cause a panic.

use milletpath_platform_protocol::bootstrap;
use milletpath_platform_protocol::events::{self, DiscoveryLine};
use milletpath_platform_protocol::frames;
use milletpath_platform_protocol::lines::{self, ClientMessage};
use milletpath_policy::Outcome;
use milletpath_test_support::worker_frames::frame;
use proptest::prelude::*;
use test_case::test_case;

fn call(change: &str) -> String {
    let call = r#"{"jsonrpc":"2.0","id":7,"method":"p","params":{"i":"9b1f03aa5c7e2d41","d":1500,"t":"acme","r":1,"o":"7f3a9c21e0b4d655","info":"memory_mb:512;lanes:2;load_ms:640","content":"aGk="}}"#;
    let (from, to) = change.split_once("=>").unwrap_or(("", ""));
    call.replacen(from, to, 1)
}

#[test]
fn a_call_is_read_with_all_its_fields() {
    let Ok(ClientMessage::Call(call)) = lines::read(call("").as_bytes()) else { panic!("should be valid") };
    assert_eq!((call.number, call.id, call.profile.as_str()), (7, 0x9b1f_03aa_5c7e_2d41, "p"));
    assert_eq!((call.client.as_str(), call.function.as_str()), ("acme", "7f3a9c21e0b4d655"));
    assert_eq!((call.timeout, call.is_retry, &call.body[..]), (1.5, true, &b"hi"[..]));
    assert_eq!((call.memory, call.lanes, call.load), (512.0, 2.0, Some(0.64)));
}

#[test_case(r#""id":7=>"id":0"#, "id"; "a line number of 0")]
#[test_case(r#""id":7=>"id":"7""#, "id"; "a line number that is a string")]
#[test_case("9b1f=>9B1F", "i"; "an id in capitals")]
#[test_case("9b1f=>9b1", "i"; "a short id")]
#[test_case("7f3a=>zzzz", "o"; "a function that is not hexadecimal")]
#[test_case("1500=>-1", "d"; "a negative timeout")]
#[test_case("1500=>1e300", "d"; "a timeout past its limit")]
#[test_case("lanes:2=>lanes:NaN", "info.lanes"; "not a number")]
#[test_case("512=>1e99", "info.memory_mb"; "a number out of range")]
#[test_case("lanes:2=>lanes:0", "info.lanes"; "no request at a time")]
#[test_case("lanes:2=>lanes", "info"; "a setting without a value")]
#[test_case("load_ms:640=>hint:many", "info.hint"; "anticipated work that is not a number")]
#[test_case("load_ms:640=>hint:-12000", "info.hint"; "negative anticipated work")]
#[test_case("load_ms:640=>hint:inf", "info.hint"; "infinite anticipated work")]
#[test_case("aGk==>a", "content"; "invalid base64")]
#[test_case(r#""r":1=>"r":[]"#, "r"; "a retry flag that is an array")]
#[test_case(r#""r":1=>"k":7"#, "k"; "an idempotency key that is not a string")]
#[test_case(r#""r":1=>"k":"a,queue=q""#, "k"; "an idempotency key that would start another field")]
#[test_case(r#""r":1=>"k":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0""#, "k"; "an idempotency key that is too long")]
#[test_case("2.0=>1.0", "jsonrpc"; "an unsupported protocol version")]
#[test_case("{=>", "line"; "invalid json")]
// Regression test: settings out of range, or without a number, were once passed over and the call was served.
fn an_invalid_call_is_rejected_with_its_field(change: &str, field: &str) {
    let Err(invalid) = lines::read(call(change).as_bytes()) else { panic!("should be invalid") };
    assert_eq!(invalid.fault.location, field);
}

/// A router that rejects a call whatever it contains reads its number only. Other lines are read as usual.
#[test_case("", Some(7); "a call")]
#[test_case("9b1f=>9B1F", Some(7); "a call with an invalid parameter")]
#[test_case(r#""p"=>"probe""#, None; "a health check")]
#[test_case(r#""p"=>"giveUp""#, None; "a cancellation")]
#[test_case(r#""id":7=>"id":0"#, None; "a line number of 0")]
#[test_case("2.0=>1.0", None; "an unsupported protocol version")]
#[test_case("{=>", None; "invalid json")]
fn only_the_number_of_a_call_is_read_for_its_rejection(change: &str, number: Option<u64>) {
    let line = call(change);
    let expected =
        number.map_or_else(|| lines::read(line.as_bytes()), |n| Ok(ClientMessage::UnreadCall { number: n }));
    assert_eq!(lines::read_for_rejection(line.as_bytes()), expected);
}

/// Regression test: attempts were once sent without the idempotency key, so workers could not recognize retries.
#[test_case(r#""r":1=>"k":"51c47357e4320fd8""#, ",uniq=51c47357e4320fd8"; "with a key")]
#[test_case("", ""; "without a key")]
fn the_idempotency_key_is_passed_to_the_worker(change: &str, field: &str) {
    let Ok(ClientMessage::Call(call)) = lines::read(call(change).as_bytes()) else {
        panic!("should be valid")
    };
    let lines::Call { id, profile, function, idempotency_key, body, .. } = &*call;
    let mut frame_bytes = Vec::new();
    frames::write_attempt(
        &mut frame_bytes,
        &frames::Attempt { id: *id, profile, function, idempotency_key, body },
        1.5,
    );
    let fields = usize::from(u16::from_be_bytes([frame_bytes[2], frame_bytes[3]]));
    let expected = format!("queue=p,path=7f3a9c21e0b4d655,budget=1500{field}");
    assert_eq!(std::str::from_utf8(&frame_bytes[16..16 + fields]), Ok(expected.as_str()));
}

#[test_case(lines::MAX_REQUEST_BODY, true; "at the limit")]
#[test_case(lines::MAX_REQUEST_BODY + 1, false; "one byte over the limit")]
fn request_bodies_are_limited(length: usize, is_accepted: bool) {
    use base64::Engine;
    let body = base64::engine::general_purpose::STANDARD.encode(vec![b'x'; length]);
    assert_eq!(lines::read(call(&format!("aGk==>{body}")).as_bytes()).is_ok(), is_accepted);
}

/// Valid calls stay valid: the settings of a function are optional, and those that the router does not know are ignored.
#[test_case("lanes:2=>lanes:1;hint:12000"; "anticipated work")]
#[test_case("lanes:2=>hint:4294967295"; "the largest anticipated work")]
#[test_case("lanes:2=>key:a1"; "an unknown setting")]
#[test_case("memory_mb:512;lanes:2;load_ms:640=>"; "no setting")]
#[test_case("load_ms:640=>load_ms:640;"; "a separator at the end")]
fn a_call_with_usual_function_settings_is_read(change: &str) {
    assert!(lines::read(call(change).as_bytes()).is_ok());
}

#[test]
fn deep_nesting_is_rejected() {
    assert!(lines::read(&b"[".repeat(lines::MAX_LINE)).is_err());
}

/// A response that claims 3 GB must be rejected by its header, before the receiver buffers any of it.
#[test_case(&[127, 200, 0, 0, 0xc0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8]; "three gigabytes")]
#[test_case(&[127, 200, 0xff, 0xff, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8]; "long fields")]
#[test_case(&[126]; "a frame of a router")]
#[test_case(&[127, 1]; "an unknown code")]
fn an_invalid_header_is_rejected_before_the_frame_is_complete(bytes: &[u8]) {
    assert!(frames::read(bytes).is_err());
}

#[test]
fn implausible_numbers_are_ignored() {
    let bytes = frame(200, 5, "same=-3,use=q:NaN;x0:0.5;x1:-1,later=1", b"");
    let response = frames::read(&bytes).expect("valid").expect("complete").response;
    let report = response.report.expect("a report");
    assert_eq!(
        (response.concurrent_calls, report.queued, report.memory, report.loading),
        (0.0, None, Some(0.5), None)
    );
}

#[test_case("17", Some(DiscoveryLine::Heartbeat(17)); "a number alone")]
#[test_case(r#"{"no":17}"#, Some(DiscoveryLine::Heartbeat(17)); "a number in an object")]
#[test_case(r#"{"no":41,"roster":{"members":[{"id":"a","phase":"gone"}]}}"#, None; "an unknown state")]
#[test_case(r#"{"no":41,"roster":{"members":[{"id":"a","phase":"active"}]}}"#, None; "no address")]
#[test_case(r#"{"no":41,"roster":"#, None; "a truncated event")]
fn discovery_lines_are_read_or_rejected(line: &str, expected: Option<DiscoveryLine>) {
    assert_eq!(events::read(line.as_bytes()).ok(), expected);
}

proptest! {
    #[test]
    fn responses_are_read_complete_or_not_at_all(
        id: u64,
        concurrent_calls in 0u8..30,
        body in prop::collection::vec(any::<u8>(), 0..200),
        corrupted_byte: prop::sample::Index,
    ) {
        let bytes = frame(200, id, &format!("same={concurrent_calls}"), &body);
        for end in 0..bytes.len() {
            prop_assert!(matches!(frames::read(&bytes[..end]), Ok(None)));
        }
        let twice = [&bytes[..], &bytes[..]].concat();
        let frames::Frame { response, length } = frames::read(&twice).unwrap().unwrap();
        prop_assert_eq!((response.id, response.outcome, response.body, length), (id, Outcome::Succeeded, &body[..], bytes.len()));
        prop_assert_eq!(response.concurrent_calls, f64::from(concurrent_calls));
        // A flipped bit after the header is always detected.
        let position = 16 + corrupted_byte.index(bytes.len() - 16);
        let mut corrupted = bytes.clone();
        corrupted[position] ^= 1;
        prop_assert!(frames::read(&corrupted).is_err());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), from_worker: bool) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| from_worker) {
            *first = 127;
        }
        let _ = frames::read(&bytes);
        let _ = events::read(&bytes);
        let _ = milletpath_platform_protocol::bootstrap::read(&bytes);
        prop_assert!(lines::read(&bytes).is_err());
    }
}

/// Reloading the file takes over the discovery address and names all other changes, except for the known workers and the
/// seed, which differ in every file.
#[test_case("", &[]; "no other change")]
#[test_case(r#""no":1=>"no":9"#, &[]; "more known events")]
#[test_case(r#""memory_mb":64=>"memory_mb":32"#, &["limits.memory_mb"]; "a changed limit")]
#[test_case(r#""Tick":1000=>"Tock":1000"#, &["settings.Tick", "settings.Tock"]; "a renamed key")]
#[test_case(r#""Effect":"free"=>"Effect":"single_shot""#, &["settings.Classes"]; "a changed effect")]
fn a_reloaded_file_reports_ignored_changes(change: &str, paths: &[&str]) {
    let original = r#"{"listen":"127.0.0.1:1","seed":"5","bulletin":"127.0.0.1:2","known":{"no":1},"limits":{"memory_mb":64},
        "settings":{"Classes":[{"Name":"p","Effect":"free"}],"Tick":1000}}"#;
    let (from, to) = change.split_once("=>").unwrap_or(("", ""));
    let changed = original.replacen(from, to, 1).replace("127.0.0.1:2", "127.0.0.1:3");
    let bootstrap::ReloadedBootstrap { discovery, ignored_changes } =
        bootstrap::reload(changed.as_bytes(), original.as_bytes()).expect("valid");
    assert_eq!(
        (discovery.port(), ignored_changes.iter().map(String::as_str).collect::<Vec<_>>()),
        (3, paths.to_vec())
    );
    assert!(bootstrap::reload(&changed.as_bytes()[..40], original.as_bytes()).is_err());
}
