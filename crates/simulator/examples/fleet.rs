//! Plays a day in simulated time with other numbers of gateways: service, fetches, refusals of the store, over seeds from 1.
//! `cargo run --release -p milletpath-simulator --example fleet -- days/town.hcl 10 1 24`: a day, seeds, numbers of gateways. Each
//! is played sharing nothing and, where there are several, sharing.

mod options;

use milletpath_simulator::play;
use options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(Options { scenario, seeds, gateways }) = options::read() else { return ExitCode::from(2) };
    println!("gateways  sharing  service  fetches  refusals  warm    bytes/s  rules broken");
    let sizes = if gateways.is_empty() { vec![scenario.gateways] } else { gateways };
    let both =
        sizes.into_iter().flat_map(|n| if n > 1 { vec![(n, false), (n, true)] } else { vec![(n, false)] });
    for (gateways, sharing) in both {
        let came: Vec<_> = (1..=seeds)
            .map(|seed| {
                let mut scenario = scenario.clone();
                (scenario.gateways, scenario.sharing) = (gateways, sharing);
                play(&scenario, seed, None)
            })
            .collect();
        let mean = |of: &dyn Fn(&milletpath_simulator::SimulationReport) -> f64| {
            came.iter().map(of).sum::<f64>() / seeds as f64
        };
        println!(
            "{gateways:>8} {sharing:>8} {:>8.4} {:>8.0} {:>9.0} {:>7.4} {:>8.0} {:>8}",
            mean(&|c| c.whole.service()),
            mean(&|c| c.fetches as f64),
            mean(&|c| c.refusals as f64),
            mean(&|c| c.warm),
            mean(&|c| c.bytes),
            came.iter().map(|c| c.broken.len()).sum::<usize>(),
        );
        for b in came.iter().flat_map(|c| &c.broken).take(3) {
            println!("  rule {} at {:.3} s: {}", b.rule, b.at, b.what);
        }
    }
    ExitCode::SUCCESS
}
