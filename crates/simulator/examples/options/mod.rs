//! The command line of the examples: a scenario's file, a number of seeds, and numbers of gateways.

use milletpath_emulator::scenario_file::{self, Scenario};
use std::path::Path;

/// What an example plays.
pub struct Options {
    /// The scenario.
    pub scenario: Scenario,
    /// It is played with the seeds from 1 to this one.
    pub seeds: u64,
    /// Numbers of gateways with which it is played.
    pub gateways: Vec<usize>,
}

/// Reads the command line and the scenario; prints what is wrong with them.
pub fn read() -> Option<Options> {
    let mut arguments = std::env::args().skip(1);
    let file = arguments.next();
    let seeds = arguments.next().and_then(|number| number.parse().ok());
    let (Some(file), Some(seeds)) = (file, seeds) else {
        eprintln!("arguments: a scenario's file, a number of seeds, numbers of gateways");
        return None;
    };
    let gateways = arguments.filter_map(|number| number.parse().ok()).collect();
    match scenario_file::open(Path::new(&file)) {
        Ok(scenario) => Some(Options { scenario, seeds, gateways }),
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            None
        }
    }
}
