//! What the examples are asked for: a day's file, a number of seeds, and numbers of gateways.

use milletpath_emulator::script::{self, Day};
use std::path::Path;

pub struct Asked {
    pub day: Day,
    pub seeds: u64,
    pub gateways: Vec<usize>,
}

/// Reads the command line and the day; what is wrong is told.
pub fn read() -> Option<Asked> {
    let mut asked = std::env::args().skip(1);
    let (Some(file), Some(seeds)) = (asked.next(), asked.next().and_then(|n| n.parse().ok())) else {
        eprintln!("name a day's file, a number of seeds, and numbers of gateways");
        return None;
    };
    match script::open(Path::new(&file)) {
        Ok(day) => Some(Asked { day, seeds, gateways: asked.filter_map(|n| n.parse().ok()).collect() }),
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{mistake}"));
            None
        }
    }
}
