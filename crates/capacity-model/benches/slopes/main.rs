//! Measures the runs of the capacity model on a single thread, with the thread's CPU clock and in simulated time.
//!
//! `cargo bench -p milletpath-capacity-model --bench slopes -- GROUP... [--seed N] [--out FOLDER]` writes one JSON file
//! per run, by default to docs/capacity. Without a group it lists the groups.

mod dispatcher;
mod dispatcher_axes;
mod dispatcher_simulation;
mod endpoint_list;
mod endpoint_list_codec;
mod event_queue;
mod fleet_load;
mod measure;
mod membership;
mod membership_proof;
mod shared_budgets;
mod simulated_cluster;
mod simulated_workers;
mod usage_reports;

use measure::Options;
use std::path::Path;
use std::process::ExitCode;

/// Runs that are measured together.
struct Group {
    /// The name on the command line and in the commands that runs record.
    name: &'static str,
    /// Measures the runs and writes their files.
    measure: fn(&Options),
}

const GROUPS: [Group; 16] = [
    Group { name: "list", measure: endpoint_list::measure },
    Group { name: "registry", measure: endpoint_list_codec::measure },
    Group { name: "desk", measure: dispatcher::measure_workers },
    Group { name: "desk-flat", measure: dispatcher::measure_workers_flat },
    Group { name: "desk-cold", measure: dispatcher::measure_cold_starts },
    Group { name: "desk-functions", measure: dispatcher_axes::measure_functions },
    Group { name: "desk-calls", measure: dispatcher_axes::measure_calls },
    Group { name: "desk-gateways", measure: dispatcher_axes::measure_gateways },
    Group { name: "desk-instances", measure: dispatcher_axes::measure_instances },
    Group { name: "desk-changes", measure: dispatcher_axes::measure_list_updates },
    Group { name: "proof", measure: membership_proof::measure },
    Group { name: "peers", measure: membership::measure },
    Group { name: "counts", measure: usage_reports::measure_gateways },
    Group { name: "counts-functions", measure: usage_reports::measure_functions },
    Group { name: "budgets", measure: shared_budgets::measure },
    Group { name: "town", measure: simulated_cluster::measure },
];

fn main() -> ExitCode {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity");
    let mut options = Options { groups: Vec::new(), seed: 1, folder };
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--seed" => {
                options.seed = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(options.seed);
            }
            "--out" => options.folder = arguments.next().map_or(options.folder, Into::into),
            // Passed by cargo.
            "--bench" => {}
            _ => options.groups.push(argument),
        }
    }
    run(&options)
}

fn run(options: &Options) -> ExitCode {
    let names = GROUPS.map(|group| group.name);
    if let Some(unknown) = options.groups.iter().find(|name| !names.contains(&name.as_str())) {
        eprintln!("unknown group {unknown}; available groups: {}", names.join(", "));
        return ExitCode::from(2);
    }
    if options.groups.is_empty() {
        println!("available groups: {}", names.join(", "));
    }
    for group in GROUPS.iter().filter(|group| options.groups.iter().any(|name| name == group.name)) {
        (group.measure)(options);
    }
    ExitCode::SUCCESS
}
