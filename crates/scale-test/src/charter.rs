//! The charters that the gateways of a run go by, alike for hollow and real ones but for their workers; and
//! the entries of hollow workers.

use crate::plan::{Core, Plan};
use crate::wire::Places;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Seconds from the start until a letter of any function; also what every call of a run takes at most.
const CUT_OFF: f64 = 3.0;

/// The name of a gateway, which tells its number.
pub fn name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

/// The number that a name tells.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix("gateway-")?.parse().ok()
}

/// The charter of one gateway, with the workers that it lists.
pub fn text(plan: &Plan, gateway: usize, places: &Places, workers: &[SocketAddr]) -> String {
    let mut text = usual(workers);
    let mut line = |l: String| {
        let _ = writeln!(text, "{l}");
    };
    line(format!("listen = \"127.0.0.1:0\"\ngateways = {}\ncores = 1", plan.gateways));
    line(format!("seed = {}", plan.seed.wrapping_add(gateway as u64) % 9_000_000_000_000_000));
    if plan.has(Core::Budgets) {
        line(format!("client \"all\" {{ quota = {} }}", plan.budgets.quota));
        let (window, free) = (plan.budgets.window, plan.budgets.orders);
        line(format!("limits {{\n  ration {{\n    window = {window}\n    free = {free}\n  }}\n}}"));
    }
    if plan.has(Core::Membership) {
        let seeds: Vec<_> = seeds(plan).into_iter().map(|g| format!("\"{}\"", places.links[g])).collect();
        line(format!("peers {{\n  listen = \"127.0.0.1:0\"\n  advertise = \"{}\"", places.links[gateway]));
        line(format!("  name = \"{}\"\n  seeds = [{}]", name(gateway), seeds.join(", ")));
        let crate::plan::Peers { period, lease, floor } = plan.peers;
        line(format!("  key = \"{}\"\n  period = {period}\n  lease = {lease}", peers_key(places).display()));
        line(format!("  floor = {floor}\n}}"));
    }
    if plan.has(Core::Changes) {
        line(changes(&places.control, places));
        line(format!("  name = \"{}\"\n  listen = \"127.0.0.1:0\"", name(gateway)));
        line(format!("  state = \"{}\"\n}}", state_file(places, gateway).display()));
    }
    text
}

/// The charter of a control machine, which hears at one address and reaches the others at those of the list.
pub fn control_text(control: &[SocketAddr], places: &Places) -> String {
    let none = SocketAddr::from(([127, 0, 0, 1], 9));
    let (usual, changes) = (usual(&[none]), changes(control, places));
    format!("listen = \"127.0.0.1:0\"\n{usual}{changes}\n  name = \"control\"\n}}\n")
}

/// What gateways and control machines have in common.
fn usual(workers: &[SocketAddr]) -> String {
    let mut text = String::new();
    let mut line = |l: String| {
        let _ = writeln!(text, "{l}");
    };
    line(format!("profile \"usual\" {{\n  due = 1\n  cut_off = {CUT_OFF}\n  effect = \"pure\"\n}}"));
    line("functions {\n  lanes = 4\n  memory = 128\n  load = 0.2\n}".into());
    line("workers {\n  kind \"std\" { memory = 4096 }".into());
    for (n, at) in workers.iter().enumerate() {
        line(format!("  worker \"real-{n}\" {{\n    address = \"{at}\"\n    kind = \"std\"\n  }}"));
    }
    line("}".into());
    text
}

/// The beginning of a block of changes.
fn changes(control: &[SocketAddr], places: &Places) -> String {
    let control: Vec<_> = control.iter().map(|at| format!("\"{at}\"")).collect();
    let key = changes_key(places);
    format!("changes {{\n  control = [{}]\n  key = \"{}\"", control.join(", "), key.display())
}

pub fn peers_key(places: &Places) -> PathBuf {
    places.folder.join("peers.key")
}

pub fn changes_key(places: &Places) -> PathBuf {
    places.folder.join("changes.key")
}

/// Where a gateway keeps what is in force.
pub fn state_file(places: &Places, gateway: usize) -> PathBuf {
    places.folder.join(format!("{}.state", name(gateway)))
}

/// Places where others may be found: a gateway of each region, and three at most.
fn seeds(plan: &Plan) -> Vec<usize> {
    const SEEDS: usize = 3;
    let mut seeds = Vec::new();
    for region in 0..plan.regions.len() {
        seeds.extend((0..plan.gateways).find(|g| plan.region_of(*g) == region));
    }
    seeds.truncate(SEEDS);
    seeds
}

/// The zone of a hollow worker, spread as gateways are.
pub fn worker_zone(plan: &Plan, worker: usize) -> usize {
    worker % plan.zones.len()
}

/// A hollow worker as a list tells it; a generation is a process of its name.
pub fn worker(plan: &Plan, worker: usize, generation: u32, state: EndpointStatus) -> EndpointEntry {
    // Of a network for documentation: nobody is there, and nobody is called.
    let [_, a, b, c] = (worker as u32).to_be_bytes();
    let at = SocketAddr::from((Ipv4Addr::new(198, 18 + a, b, c), 9000));
    EndpointEntry {
        name: format!("worker-{worker}"),
        address: at,
        started: (generation > 0).then_some(f64::from(generation) + 1.0),
        size: 1.0,
        kind: "std".into(),
        zone: plan.zones[worker_zone(plan, worker)].name.clone(),
        cell: String::new(),
        state,
    }
}
