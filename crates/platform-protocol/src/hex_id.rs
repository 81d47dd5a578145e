//! Ids as the wire writes them: 16 lower-case hex digits.

/// Digits of an id.
const DIGITS: usize = 16;

/// An id of 16 lower-case hex digits as a number; none where the text is anything else.
#[must_use]
pub fn parse_hex_id(text: &str) -> Option<u64> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != DIGITS || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
