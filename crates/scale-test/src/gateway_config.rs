//! The configuration texts of a run's gateways and control machines. Hollow and real gateways have the same, except for
//! their workers.

use crate::host_protocol::AddressMap;
use crate::plan::{Component, Plan};
use milletpath_config::document::ConfigError;
use milletpath_config::{GatewayConfig, WorkerSource};
use std::fmt::{self, Display, Formatter, Write};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Deadline of a request to any function, in seconds.
const REQUEST_DEADLINE_SECONDS: f64 = 3.0;

/// The largest seed that a configuration may state, and one.
const SEED_BOUND: u64 = 9_000_000_000_000_000;

/// An address where nobody listens, for configurations that need a worker and use none.
const UNUSED_WORKER_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// A configuration text that this package wrote was not accepted, with every error in it.
#[derive(Debug)]
pub struct InvalidConfig(Vec<ConfigError>);

impl Display for InvalidConfig {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the configuration is not valid")?;
        self.0.iter().try_for_each(|error| write!(f, "; {error}"))
    }
}

impl std::error::Error for InvalidConfig {}

/// Reads a configuration text.
///
/// # Errors
///
/// The text is not valid.
pub fn parse(text: &str) -> Result<GatewayConfig, InvalidConfig> {
    milletpath_config::read(text).map_err(InvalidConfig)
}

/// The name of a gateway, which contains its number.
pub fn gateway_name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

/// The number in the name of a gateway; none if it is not a name of this fleet.
pub fn gateway_number(name: &str) -> Option<usize> {
    name.strip_prefix("gateway-")?.parse().ok()
}

/// The configuration text of a gateway whose endpoint list consists of these workers.
pub fn gateway_text(plan: &Plan, gateway: usize, addresses: &AddressMap, workers: &[SocketAddr]) -> String {
    let mut text = common_sections(workers);
    let seed = plan.seed.wrapping_add(gateway as u64) % SEED_BOUND;
    text += &format!("listen = \"127.0.0.1:0\"\ngateways = {}\ncores = 1\nseed = {seed}\n", plan.gateways);
    if plan.runs(Component::Budgets) {
        text += &budget_sections(plan);
    }
    if plan.runs(Component::Membership) {
        text += &peers_section(plan, gateway, addresses);
    }
    if plan.runs(Component::ConfigChanges) {
        text += &changes_section_start(&addresses.control_machines, addresses);
        let (name, state) = (gateway_name(gateway), state_file(addresses, gateway));
        text += &format!("  name = \"{name}\"\n  listen = \"127.0.0.1:0\"\n");
        text += &format!("  state = \"{}\"\n}}\n", state.display());
    }
    text
}

/// The configuration of a hollow gateway: that of a real one with an empty endpoint list, which its host fills.
///
/// # Errors
///
/// The text is not valid: the plan and the reader of configurations disagree.
pub fn hollow_gateway_config(
    plan: &Plan,
    gateway: usize,
    addresses: &AddressMap,
) -> Result<GatewayConfig, InvalidConfig> {
    let text = gateway_text(plan, gateway, addresses, &[SocketAddr::from(UNUSED_WORKER_ADDRESS)]);
    let mut config = parse(&text)?;
    config.source = WorkerSource::List(Vec::new());
    Ok(config)
}

/// The configuration text of a control machine, or of a client of the control machines at these addresses.
pub fn control_text(control_machines: &[SocketAddr], addresses: &AddressMap) -> String {
    let common = common_sections(&[SocketAddr::from(UNUSED_WORKER_ADDRESS)]);
    let changes = changes_section_start(control_machines, addresses);
    format!("listen = \"127.0.0.1:0\"\n{common}{changes}  name = \"control\"\n}}\n")
}

/// What gateways and control machines have in common.
fn common_sections(workers: &[SocketAddr]) -> String {
    let deadline = REQUEST_DEADLINE_SECONDS;
    let mut text =
        format!("profile \"usual\" {{\n  due = 1\n  cut_off = {deadline}\n  effect = \"pure\"\n}}\n");
    text += "functions {\n  lanes = 4\n  memory = 128\n  load = 0.2\n}\n";
    text += "workers {\n  kind \"std\" { memory = 4096 }\n";
    for (number, address) in workers.iter().enumerate() {
        let _ = writeln!(
            text,
            "  worker \"real-{number}\" {{\n    address = \"{address}\"\n    kind = \"std\"\n  }}"
        );
    }
    text += "}\n";
    text
}

fn budget_sections(plan: &Plan) -> String {
    let crate::plan::BudgetParameters { quota, load_window, load_requests } = plan.budgets;
    format!(
        "client \"all\" {{ quota = {quota} }}\n\
         limits {{\n  ration {{\n    window = {load_window}\n    free = {load_requests}\n  }}\n}}\n"
    )
}

fn peers_section(plan: &Plan, gateway: usize, addresses: &AddressMap) -> String {
    let crate::plan::MembershipParameters { period, lease, floor } = plan.membership;
    let seeds = seed_gateways(plan).into_iter().map(|seed| addresses.gateways[seed]);
    format!(
        "peers {{\n  listen = \"127.0.0.1:0\"\n  advertise = \"{}\"\n  name = \"{}\"\n  seeds = [{}]\n  \
         key = \"{}\"\n  period = {period}\n  lease = {lease}\n  floor = {floor}\n}}\n",
        addresses.gateways[gateway],
        gateway_name(gateway),
        quoted_list(seeds),
        peers_key(addresses).display(),
    )
}

/// The section `changes` without its end.
fn changes_section_start(control_machines: &[SocketAddr], addresses: &AddressMap) -> String {
    let control = quoted_list(control_machines.iter().copied());
    let key = changes_key(addresses);
    format!("changes {{\n  control = [{control}]\n  key = \"{}\"\n", key.display())
}

fn quoted_list(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let quoted_list: Vec<String> = addresses.map(|address| format!("\"{address}\"")).collect();
    quoted_list.join(", ")
}

/// Writes the keys of the membership links and of the control machines.
///
/// # Errors
///
/// A file can't be written.
pub fn write_keys(addresses: &AddressMap, seed: u64) -> io::Result<()> {
    let secret = format!("the secret of a scale run on loopback, with the seed {seed}");
    std::fs::write(peers_key(addresses), &secret)?;
    std::fs::write(changes_key(addresses), &secret)
}

fn peers_key(addresses: &AddressMap) -> PathBuf {
    addresses.folder.join("peers.key")
}

fn changes_key(addresses: &AddressMap) -> PathBuf {
    addresses.folder.join("changes.key")
}

/// The file in which a gateway keeps the configuration changes that it applied.
pub fn state_file(addresses: &AddressMap, gateway: usize) -> PathBuf {
    addresses.folder.join(format!("{}.state", gateway_name(gateway)))
}

/// Gateways by which others join the cluster: the first of each region, for three regions at most.
fn seed_gateways(plan: &Plan) -> Vec<usize> {
    const MAX_SEEDS: usize = 3;
    let first_of = |region| (0..plan.gateways).find(|gateway| plan.region_of(*gateway) == region);
    (0..plan.regions.len()).filter_map(first_of).take(MAX_SEEDS).collect()
}

#[cfg(test)]
mod tests;
