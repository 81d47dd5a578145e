//! Membership of the gateways. Its settings should be the same in all files of a fleet. The defaults detect a failed
//! gateway within a few seconds at about 2 kB/s of traffic, and suit dozens of gateways (`docs/design/membership.md`).

use super::address::{name_of_address, parse_address};
use super::identity::{gateway_name, key_file};
use crate::document::Section;
use crate::model::MembershipConfig;

/// Minimum lease in probe periods. A shorter lease could expire between two successful probes.
const MIN_LEASE_PERIODS: f64 = 4.0;

/// Reads the settings of the membership; `None` if a required setting is missing or invalid.
pub fn read(top: &Section<'_>, section: &Section<'_>, gateways: usize) -> Option<MembershipConfig> {
    let listen = section.parsed("listen", "\"10.0.0.3:7400\"", parse_address);
    if !section.has("listen") {
        section.report_missing("listen", "\"10.0.0.3:7400\"");
    }
    let advertise = section.parsed("advertise", "\"10.0.0.3:7400\"", parse_address);
    if advertise.is_none() && listen.is_some_and(|address| address.ip().is_unspecified()) {
        section.report_missing("advertise", "\"10.0.0.3:7400\" (where others reach it)");
    }
    let name = gateway_name(section, milletpath_membership::datagram::MAX_NAME_BYTES);
    let key_file = key_file(section, "peers.key");
    let defaults = milletpath_membership::MembershipConfig::default();
    let period = section.number("period", "seconds", 0.05..=60.0).unwrap_or(defaults.period);
    let lease = section.number("lease", "seconds", 0.1..=600.0).unwrap_or(defaults.lease);
    check_lease(section, period, lease);
    let floor = section.number("floor", "the quota", 0.0..=1.0).unwrap_or(defaults.floor);
    let seeds = section.list("seeds", "[\"10.0.0.1:7400\"]", parse_address).unwrap_or_default();
    if gateways < 2 {
        let remedy = "add gateways = NUMBER, the maximum number of gateways";
        top.report(section.offset, "peers is set, but gateways allows for one only", remedy);
    }
    let (listen, key_file) = (listen?, key_file?);
    let advertise = advertise.unwrap_or(listen);
    let name = name.unwrap_or_else(|| name_of_address(advertise));
    Some(MembershipConfig { listen, advertise, name, seeds, key_file, period, lease, floor })
}

fn check_lease(section: &Section<'_>, period: f64, lease: f64) {
    let min_lease = MIN_LEASE_PERIODS * period;
    if lease < min_lease {
        let problem = format!("lease of peers is shorter than four periods of {period}");
        section.report(section.offset_of("lease"), problem, format!("make it {min_lease} or more"));
    }
}
