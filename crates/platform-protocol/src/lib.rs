//! Codecs for the platform's protocols, without sockets or state: the messages between clients and a router ([`lines`])
//! and between a router and workers ([`frames`]), the events of the discovery service ([`events`]), and the bootstrap
//! file of a router ([`bootstrap`]). The names and numeric codes of the wire formats stay inside this crate.

pub mod bootstrap;
pub mod events;
pub mod frames;
mod hex_id;
pub mod lines;

pub use hex_id::parse_hex_id;
