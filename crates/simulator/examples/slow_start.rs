//! Compares the load that all gateways together send to warming workers with the workers' limits: the fullest window of each
//! run, over the seeds. The arguments are a scenario file, the number of seeds and numbers of gateways:
//! `cargo run --release -p milletpath-simulator --example slow_start -- days/cold-fleet.hcl 200 20 30`.

mod options;

use milletpath_emulator::scenario_file::Scenario;
use milletpath_simulator::{SlowStartReport, play, slow_start_report};
use options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(Options { scenario, seeds, gateways }) = options::read() else { return ExitCode::from(2) };
    println!(
        "gateways  service  fraction of budget: median      p90   max      of bound: median      p90   max exceeded"
    );
    for gateways in gateways {
        let scenario = Scenario { gateways, ..scenario.clone() };
        print_row(&scenario, seeds);
    }
    ExitCode::SUCCESS
}

fn print_row(scenario: &Scenario, seeds: u64) {
    let mut service = 0.0;
    let mut slow_starts: Vec<SlowStartReport> = Vec::new();
    for seed in 1..=seeds {
        let report = play(scenario, seed);
        service += report.counts.service();
        slow_starts.push(slow_start_report(scenario, &report.records));
    }
    let [budget_median, budget_p90, budget_max] =
        quantiles(slow_starts.iter().map(|slow_start| slow_start.budget_fraction));
    let [bound_median, bound_p90, bound_max] =
        quantiles(slow_starts.iter().map(|slow_start| slow_start.bound_fraction));
    let past_bound = slow_starts.iter().filter(|slow_start| slow_start.bound_fraction > 1.0).count();
    let (gateways, service) = (scenario.gateways, service / seeds as f64);
    println!(
        "{gateways:>8} {service:>8.4} {budget_median:>27.3} {budget_p90:>8.3} {budget_max:>5.3} \
         {bound_median:>21.3} {bound_p90:>8.3} {bound_max:>5.3} {past_bound:>8}",
    );
}

/// The median, the 90th percentile and the maximum.
fn quantiles(values: impl Iterator<Item = f64>) -> [f64; 3] {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    [0.5, 0.9, 1.0].map(|quantile| values[(quantile * (values.len() - 1) as f64) as usize])
}
