//! The byte layout of datagrams, and the rejection of invalid ones.

use milletpath_sealed_datagram::{Key, MAX_DATAGRAM_LEN, OpenError, SealError, body_unverified};

const SECRET: &[u8] = b"an example secret of 32 bytes...";
const CONTEXT: &str = "milletpath 2026-12 letters between gateways";
const BODY: &[u8] = b"a body";

fn datagram() -> Vec<u8> {
    Key::new(CONTEXT, SECRET).seal(1, BODY).expect("it is small enough")
}

#[test]
fn a_datagram_keeps_its_bytes() {
    let hex: String = datagram().iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "017a8deb06b118a925bd5d1553066e17236120626f6479");
}

#[test]
fn the_body_can_be_read_with_and_without_the_key() {
    assert_eq!(Key::new(CONTEXT, SECRET).open(&datagram()), Ok(BODY));
    assert_eq!(body_unverified(&datagram()), Some(BODY));
    assert_eq!(body_unverified(&datagram()[..16]), None);
}

#[test]
fn another_secret_or_context_is_rejected() {
    for key in [Key::new(CONTEXT, b"another"), Key::new("another", SECRET)] {
        assert_eq!(key.open(&datagram()), Err(OpenError::InvalidTag));
    }
}

#[test]
fn a_change_of_any_byte_is_rejected() {
    let key = Key::new(CONTEXT, SECRET);
    for index in 0..datagram().len() {
        let mut changed = datagram();
        changed[index] ^= 1;
        let expected = if index == 0 { OpenError::UnsupportedVersion(0) } else { OpenError::InvalidTag };
        assert_eq!(key.open(&changed), Err(expected), "byte {index}");
    }
}

#[test]
fn invalid_sizes_are_rejected() {
    let key = Key::new(CONTEXT, SECRET);
    let largest_body = MAX_DATAGRAM_LEN - (datagram().len() - BODY.len());
    assert_eq!(key.seal(1, &vec![0; largest_body]).map(|d| d.len()), Ok(MAX_DATAGRAM_LEN));
    assert_eq!(
        key.seal(1, &vec![0; largest_body + 1]),
        Err(SealError::BodyTooLarge { len: largest_body + 1 })
    );
    assert_eq!(key.open(&vec![1; MAX_DATAGRAM_LEN + 1]), Err(OpenError::InvalidSize));
    assert_eq!(key.open(&datagram()[..datagram().len() - BODY.len()]), Err(OpenError::InvalidSize));
}

#[test]
fn debug_output_hides_the_key() {
    assert_eq!(format!("{:?}", Key::new(CONTEXT, SECRET)), "Key(..)");
}
