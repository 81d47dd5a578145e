use super::*;
use crate::error::DecodeError;

fn report_of(entries: usize) -> Vec<u8> {
    let usage = vec![FunctionUsage { function: 1, concurrency: 2 }; entries];
    Message { bucket: Some(3), usage, ..Message::default() }.to_bytes().expect("the message can be encoded")
}

#[test]
fn a_list_with_too_many_entries_is_rejected() {
    assert!(Message::from_bytes(&report_of(MAX_ENTRIES)).is_ok());
    let error = Message::from_bytes(&report_of(MAX_ENTRIES + 1)).expect_err("the list is too long");
    assert!(matches!(error, DecodeError::TooManyEntries { length } if length == MAX_ENTRIES + 1), "{error}");
}

#[test]
fn malformed_bytes_are_rejected() {
    for bytes in [&b""[..], b"text", &report_of(2)[..10]] {
        assert!(matches!(Message::from_bytes(bytes), Err(DecodeError::Cbor(_))), "{bytes:?}");
    }
}

/// Later versions may add fields, which this version must skip.
#[test]
fn an_unknown_field_is_skipped() {
    let known = Message { request_number: 7, ..Message::default() };
    let mut bytes = known.to_bytes().expect("the message can be encoded");
    assert_eq!(bytes[0], 0xa7, "a map of seven fields");
    bytes[0] = 0xa8;
    // Field 99 with the value 1.
    bytes.extend([0x18, 99, 1]);
    assert_eq!(Message::from_bytes(&bytes).expect("the message can be decoded"), known);
}

#[test]
fn levels_round_trip_and_are_rounded_to_the_safe_side() {
    let level = 1.234_567_89;
    assert!(round_level_down(level) <= level);
    assert!(level_from_wire(level_to_wire_rounded_up(level)) >= level);
    assert_eq!(level_to_wire(round_level_down(level)), 1_234_567);
}
