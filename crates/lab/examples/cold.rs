//! What all gateways together send cold workers, against what those can take: the largest sum of any window in each day,
//! beyond the budget, in parts of what is put down to chance. `cargo run --release -p milletpath-lab --example cold --
//! days/cold-fleet.hcl 200 20 30`: a day, seeds, numbers of gateways.

use milletpath_lab::{Cold, cold, play};
use milletpath_standin::script;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut asked = std::env::args().skip(1);
    let (Some(file), Some(seeds)) = (asked.next(), asked.next().and_then(|n| n.parse::<u64>().ok())) else {
        eprintln!("name a day's file, a number of seeds, and numbers of gateways");
        return ExitCode::from(2);
    };
    let day = match script::open(Path::new(&file)) {
        Ok(day) => day,
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{mistake}"));
            return ExitCode::from(2);
        }
    };
    println!(
        "gateways  service  part of the budget: median  9 in 10  most  of the bound: median  9 in 10  most  past it"
    );
    for gateways in asked.filter_map(|n| n.parse::<usize>().ok()) {
        let mut day = day.clone();
        day.gateways = gateways;
        let mut service = 0.0;
        let mut worst: Vec<Cold> = Vec::new();
        for seed in 1..=seeds {
            let came = play(&day, seed, None);
            service += came.whole.service();
            worst.push(cold(&day, &came.records));
        }
        let sorted = |of: &dyn Fn(&Cold) -> f64| {
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
