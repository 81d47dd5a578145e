//! Measures the slopes of docs/CAPACITY.md, by the thread's own clock and on one thread: the cores as they
//! are, in simulated time. `cargo bench -p milletpath-capacity-model --bench slopes -- GROUP... [--seed N] [--out
//! FOLDER]` writes a JSON file for each slope, to docs/capacity where nothing is said; without a group it
//! names them.

mod axes;
mod desk;
mod list;
mod measure;
mod peers;
mod registry;
mod shares;
mod town;

use measure::Asked;
use std::path::Path;
use std::process::ExitCode;

/// Measures a group and writes its slopes.
type Group = fn(&Asked);

const GROUPS: [(&str, Group); 16] = [
    ("list", list::measure),
    ("registry", registry::measure),
    ("desk", desk::workers),
    ("desk-flat", desk::workers_flat),
    ("desk-cold", desk::cold),
    ("desk-functions", axes::functions),
    ("desk-calls", axes::calls),
    ("desk-gateways", axes::gateways),
    ("desk-instances", axes::instances),
    ("desk-changes", axes::changes),
    ("proof", peers::proof),
    ("peers", peers::fleet),
    ("counts", shares::counts),
    ("counts-functions", shares::functions),
    ("budgets", shares::budgets),
    ("town", town::measure),
];

fn main() -> ExitCode {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity");
    let mut asked = Asked { groups: Vec::new(), seed: 1, folder };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--seed" => asked.seed = words.next().and_then(|n| n.parse().ok()).unwrap_or(asked.seed),
            "--out" => asked.folder = words.next().map_or(asked.folder, Into::into),
            // Cargo's own.
            "--bench" => {}
            _ => asked.groups.push(word),
        }
    }
    let names = GROUPS.map(|(name, _)| name).join(", ");
    let unknown = asked.groups.iter().find(|g| GROUPS.iter().all(|(name, _)| name != g));
    if let Some(group) = unknown {
        eprintln!("{group} is no group; name some of {names}");
        return ExitCode::from(2);
    }
    if asked.groups.is_empty() {
        println!("name some of {names}");
    }
    for (name, measure) in GROUPS {
        if asked.groups.iter().any(|g| g == name) {
            measure(&asked);
        }
    }
    ExitCode::SUCCESS
}
