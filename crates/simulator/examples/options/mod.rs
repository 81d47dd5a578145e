//! The command line of the examples: a scenario file, the number of seeds, and numbers of gateways.

use milletpath_emulator::scenario_file::{self, Scenario};
use std::path::Path;

/// The runs that an example performs.
pub struct Options {
    /// The scenario.
    pub scenario: Scenario,
    /// The scenario is run with the seeds from 1 to this number.
    pub seeds: u64,
    /// The numbers of gateways with which the scenario is run.
    pub gateways: Vec<usize>,
}

/// Reads the command line and the scenario; prints errors and returns `None` if either is invalid.
pub fn read() -> Option<Options> {
    let mut arguments = std::env::args().skip(1);
    let file = arguments.next();
    let seeds = arguments.next().and_then(|number| number.parse().ok());
    let (Some(file), Some(seeds)) = (file, seeds) else {
        eprintln!("arguments: a scenario file, the number of seeds, numbers of gateways");
        return None;
    };
    let gateways = arguments.filter_map(|number| number.parse().ok()).collect();
    match scenario_file::open(Path::new(&file)) {
        Ok(scenario) => Some(Options { scenario, seeds, gateways }),
        Err(errors) => {
            eprintln!("{errors}");
            None
        }
    }
}
