//! The log of configuration changes: the control machines that replicate it, and how this gateway follows it.

use super::address::{is_reachable, name_of_address, parse_address};
use super::control_machines;
use super::identity::{gateway_name, key_file};
use crate::document::Section;
use crate::model::{ConfigLogConfig, MembershipConfig};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

const DEFAULT_STATE_FILE: &str = "changes.state";

/// Reads the settings of the configuration log; `None` if a required setting is missing or invalid.
///
/// If the section has no name, the gateway has its name in the membership, or else the address on which clients reach it.
pub fn read(
    section: &Section<'_>,
    client_listen: SocketAddr,
    membership: Option<&MembershipConfig>,
) -> Option<ConfigLogConfig> {
    let control = control_machines::read(section);
    let key_file = key_file(section, "changes.key");
    let listen = listen(section, &control);
    let state_file = PathBuf::from(section.text("state").unwrap_or(DEFAULT_STATE_FILE));
    let name = gateway_name(section, milletpath_config_log::message::MAX_FOLLOWER_NAME_BYTES);
    // A wildcard address, or one with port 0, does not identify a gateway.
    let address = Some(client_listen).filter(is_reachable).map(name_of_address);
    let name = name.or(membership.map(|membership| membership.name.clone())).or(address);
    if name.is_none() && !section.has("name") {
        let example =
            "\"gateway-1\" (unique among the gateways, as listen is a wildcard address or has port 0)";
        section.report_missing("name", example);
    }
    Some(ConfigLogConfig { control, key_file: key_file?, listen, state_file, name: name? })
}

/// The address on which datagrams are received. The default is the wildcard address of the control machines' address
/// family, with a port that the system selects.
fn listen(section: &Section<'_>, control: &[SocketAddr]) -> SocketAddr {
    let wildcard = match control.first() {
        Some(SocketAddr::V6(_)) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        _ => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
    };
    let listen = section.parsed("listen", "\"0.0.0.0:0\"", parse_address).unwrap_or(wildcard);
    if control.first().is_some_and(|address| address.is_ipv4() != listen.is_ipv4()) {
        let problem = "listen of changes can't reach the control machines";
        let remedy = format!("write listen = \"{wildcard}\", or leave it out");
        section.report(section.offset_of("listen"), problem, remedy);
    }
    listen
}
