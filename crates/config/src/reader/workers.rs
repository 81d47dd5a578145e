//! Workers: their kinds, and either a list of their endpoints or the registry that provides it.

use super::address::parse_address;
use crate::document::Section;
use crate::model::WorkerSource;
use milletpath_protocol::is_name;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// The kinds of workers, in the order of the file.
#[derive(Default)]
pub struct WorkerKinds {
    pub names: Vec<String>,
    /// Memory of a worker of each kind, in MB.
    pub memory: Vec<f64>,
}

/// Reads the kinds of workers.
pub fn read_kinds(workers: &Section<'_>) -> WorkerKinds {
    let mut kinds = WorkerKinds::default();
    for section in workers.blocks("kind", true) {
        if !section.has("memory") {
            section.report_missing("memory", "8192 (MB)");
        }
        kinds.memory.push(section.number("memory", "MB", 1.0..=1e9).unwrap_or(f64::INFINITY));
        kinds.names.push(section.label.clone());
    }
    kinds
}

/// Reads the source of the worker list: either a list in the file or a registry.
pub fn read_source(workers: &Section<'_>, kinds: &[String]) -> WorkerSource {
    let list = read_list(workers, kinds);
    match workers.parsed("registry", "\"127.0.0.1:9000\"", parse_address) {
        Some(_) if !list.is_empty() => {
            let problem = "workers has both a list and a registry";
            workers.report(workers.offset_of("registry"), problem, "keep either the list or the registry");
            WorkerSource::List(list)
        }
        Some(address) => WorkerSource::Registry(address),
        None => {
            if list.is_empty() && !workers.has("registry") {
                let remedy = "add worker \"w1\" { ... } or registry = \"...\"";
                workers.report(workers.offset, "workers has no worker", remedy);
            }
            WorkerSource::List(list)
        }
    }
}

fn read_list(workers: &Section<'_>, kinds: &[String]) -> Vec<EndpointEntry> {
    let mut list: Vec<EndpointEntry> = Vec::new();
    for section in workers.blocks("worker", true) {
        let address = section.parsed("address", "\"127.0.0.1:9001\"", parse_address);
        if !section.has("address") {
            section.report_missing("address", "\"127.0.0.1:9001\"");
        }
        if list.iter().any(|other| Some(other.address) == address) {
            let problem = format!("{} has the address of another worker", section.title);
            section.report(section.offset_of("address"), problem, "give each worker an address of its own");
        }
        list.push(read_worker(&section, address, kinds));
    }
    list
}

fn read_worker(section: &Section<'_>, address: Option<SocketAddr>, kinds: &[String]) -> EndpointEntry {
    let parse_kind = |text: &str| kinds.iter().any(|kind| kind == text).then(|| text.to_owned());
    let location = |key| {
        let parse = |text: &str| is_name(text).then(|| text.to_owned());
        section.parsed(key, "a name of letters, digits and -._~:", parse).unwrap_or_default()
    };
    EndpointEntry {
        name: section.label.clone(),
        address: address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        started: None,
        size: section.number("size", "", 0.001..=1e6).unwrap_or(1.0),
        kind: section.parsed("kind", "the name of a kind above", parse_kind).unwrap_or_default(),
        zone: location("zone"),
        cell: location("cell"),
        state: EndpointStatus::Ready,
    }
}
