//! An entry of the endpoint list, for the benchmarks that need one.

use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// The entry of the worker with this number.
pub fn entry(number: usize, state: EndpointStatus) -> EndpointEntry {
    EndpointEntry {
        name: format!("w{number}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + number as u16)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: "z".into(),
        cell: String::new(),
        state,
    }
}
