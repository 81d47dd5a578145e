//! What all gateways together send cold workers, against what those can take: the largest sum of any window in each day,
//! beyond the budget, in parts of what is put down to chance. `cargo run --release -p milletpath-simulator --example cold --
//! days/cold-fleet.hcl 200 20 30`: a day, seeds, numbers of gateways.

mod options;

use milletpath_simulator::{SlowStartReport, play, slow_start_report};
use options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(Options { scenario, seeds, gateways }) = options::read() else { return ExitCode::from(2) };
    println!(
        "gateways  service  part of the budget: median  9 in 10  most  of the bound: median  9 in 10  most  past it"
    );
    for gateways in gateways {
        let mut scenario = scenario.clone();
        scenario.gateways = gateways;
        let mut service = 0.0;
        let mut worst: Vec<SlowStartReport> = Vec::new();
        for seed in 1..=seeds {
            let came = play(&scenario, seed, None);
            service += came.whole.service();
            worst.push(slow_start_report(&scenario, &came.records));
        }
        let sorted = |of: &dyn Fn(&SlowStartReport) -> f64| {
            let mut all: Vec<f64> = worst.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            let at = |part: f64| all[(part * (all.len() - 1) as f64) as usize];
            [at(0.5), at(0.9), at(1.0)]
        };
        let (budget, bound) = (sorted(&|c| c.of_budget), sorted(&|c| c.of_bound));
        let past = worst.iter().filter(|c| c.of_bound > 1.0).count();
        println!(
            "{gateways:>8} {:>8.4} {:>27.3} {:>8.3} {:>5.3} {:>21.3} {:>8.3} {:>5.3} {past:>8}",
            service / seeds as f64,
            budget[0],
            budget[1],
            budget[2],
            bound[0],
            bound[1],
            bound[2],
        );
    }
    ExitCode::SUCCESS
}
