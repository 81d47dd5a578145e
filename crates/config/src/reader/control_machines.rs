//! The addresses of the control machines. They must be able to reach each other and to form a majority.

use super::address::{is_reachable, parse_address};
use crate::document::Section;
use std::net::SocketAddr;

const EXAMPLE: &str = "[\"10.0.0.1:7500\", \"10.0.1.1:7500\", \"10.0.2.1:7500\"]";

/// Maximum number of control machines. With seven, three may fail; more would send more messages without being safer
/// against the loss of a zone.
const MAX_CONTROL_MACHINES: usize = 7;

/// Reads the addresses; empty if they are missing or one of them can't be parsed.
pub fn read(section: &Section<'_>) -> Vec<SocketAddr> {
    let control = section.list("control", EXAMPLE, parse_address);
    if !section.has("control") {
        section.report_missing("control", EXAMPLE);
    }
    let control = control.unwrap_or_default();
    check_count(section, &control);
    check_addresses(section, &control);
    control
}

fn check_count(section: &Section<'_>, control: &[SocketAddr]) {
    if section.has("control") && !(1..=MAX_CONTROL_MACHINES).contains(&control.len()) {
        let problem = format!("changes has {} control machines", control.len());
        let remedy = format!("name 1 to {MAX_CONTROL_MACHINES}; an odd number, as more than half must agree");
        section.report(section.offset_of("control"), problem, remedy);
    }
}

fn check_addresses(section: &Section<'_>, control: &[SocketAddr]) {
    let offset = section.offset_of("control");
    if let Some(unreachable) = control.iter().find(|address| !is_reachable(address)) {
        let problem = format!("{unreachable} can't be the address of a control machine");
        section.report(offset, problem, "name the address and port at which the others reach it");
    }
    if control.iter().any(|address| address.is_ipv4() != control[0].is_ipv4()) {
        let problem = "control mixes IPv4 and IPv6 addresses";
        section.report(offset, problem, "name all by IPv4 or all by IPv6 addresses");
    }
    if let Some(duplicate) = (1..control.len()).find(|n| control[..*n].contains(&control[*n])) {
        let problem = format!("{} is listed as two control machines", control[duplicate]);
        section.report(offset, problem, "name each once");
    }
}
