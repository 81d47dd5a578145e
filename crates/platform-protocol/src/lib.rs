//! The platform's protocol as codecs, with no sockets and no state of its own: what passes between clients and a router
//! ([`lines`]), between a router and workers ([`frames`]), what the discovery service sends ([`events`]), and the file
//! that a router starts from ([`bootstrap`]). Names and numbers of the wire end here.

pub mod bootstrap;
pub mod events;
pub mod frames;
mod hex_id;
pub mod lines;

pub use hex_id::parse_hex_id;
