//! The platform's protocol as codecs, with no sockets and no state of its own: what clients say ([`lines`]), what
//! passes between router and workers ([`frames`]), what the bulletin tells ([`events`]) and the file that a router
//! starts from ([`told`]). Names and numbers of the wire end here.

pub mod events;
pub mod frames;
pub mod lines;
pub mod told;

/// A name of 16 hex digits as a number; none where it is anything else.
pub fn hex(name: &str) -> Option<u64> {
    let digits = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
    Some(name)
        .filter(|n| n.len() == 16 && n.bytes().all(digits))
        .and_then(|n| u64::from_str_radix(n, 16).ok())
}
