//! Ids in their wire format: 16 lower-case hexadecimal digits.

/// Number of digits in an id.
const DIGITS: usize = 16;

/// Parses an id of exactly 16 lower-case hexadecimal digits; returns `None` for any other text.
#[must_use]
pub fn parse_hex_id(text: &str) -> Option<u64> {
    let is_lowercase_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != DIGITS || !text.bytes().all(is_lowercase_hex_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
