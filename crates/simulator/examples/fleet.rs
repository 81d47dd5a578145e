//! Runs a scenario in simulated time with different numbers of gateways and prints means over the seeds: service, fetches
//! from the store, and fetches that the store rejected, among others. The arguments are a scenario file, the number of seeds
//! and numbers of gateways: `cargo run --release -p milletpath-simulator --example fleet -- days/town.hcl 10 1 24`. Each
//! number of gateways is run without shared budgets and, if there are several gateways, also with them.

mod options;

use milletpath_emulator::scenario_file::Scenario;
use milletpath_simulator::{SimulationReport, play};
use options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(Options { scenario, seeds, gateways }) = options::read() else { return ExitCode::from(2) };
    println!("gateways  sharing  service  fetches  refusals    warm  bytes/s  violations");
    let sizes = if gateways.is_empty() { vec![scenario.gateways] } else { gateways };
    for gateways in sizes {
        print_row(&Scenario { gateways, sharing: false, ..scenario.clone() }, seeds);
        if gateways > 1 {
            print_row(&Scenario { gateways, sharing: true, ..scenario.clone() }, seeds);
        }
    }
    ExitCode::SUCCESS
}

fn print_row(scenario: &Scenario, seeds: u64) {
    /// The number of violations that are printed in full.
    const MAX_PRINTED: usize = 3;
    let reports: Vec<_> = (1..=seeds).map(|seed| play(scenario, seed)).collect();
    let mean = |metric: fn(&SimulationReport) -> f64| reports.iter().map(metric).sum::<f64>() / seeds as f64;
    println!(
        "{:>8} {:>8} {:>8.4} {:>8.0} {:>9.0} {:>7.4} {:>8.0} {:>8}",
        scenario.gateways,
        scenario.sharing,
        mean(|report| report.counts.service()),
        mean(|report| report.fetches as f64),
        mean(|report| report.rejected_fetches as f64),
        mean(|report| report.warm_fraction),
        mean(|report| report.bytes_per_second),
        reports.iter().map(|report| report.violations.len()).sum::<usize>(),
    );
    for violation in reports.iter().flat_map(|report| &report.violations).take(MAX_PRINTED) {
        println!("  rule {} at {:.3} s: {}", violation.rule, violation.at, violation.what);
    }
}
