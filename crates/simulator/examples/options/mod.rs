//! What the examples are asked for: a day's file, a number of seeds, and numbers of gateways.

use milletpath_emulator::scenario_file::{self, Scenario};
use std::path::Path;

pub struct Options {
    pub scenario: Scenario,
    pub seeds: u64,
    pub gateways: Vec<usize>,
}

/// Reads the command line and the day; what is wrong is told.
pub fn read() -> Option<Options> {
    let mut asked = std::env::args().skip(1);
    let (Some(file), Some(seeds)) = (asked.next(), asked.next().and_then(|n| n.parse().ok())) else {
        eprintln!("name a day's file, a number of seeds, and numbers of gateways");
        return None;
    };
    match scenario_file::open(Path::new(&file)) {
        Ok(scenario) => {
            Some(Options { scenario, seeds, gateways: asked.filter_map(|n| n.parse().ok()).collect() })
        }
        Err(mistakes) => {
            eprintln!("{mistakes}");
            None
        }
    }
}
