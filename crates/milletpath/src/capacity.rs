//! `milletpath capacity`: the tables of docs/CAPACITY.md, printed or written into the page.

use milletpath_capacity_model::{fleet_slopes, page};
use std::path::Path;
use std::process::ExitCode;

pub fn capacity(runs: &Path, page: Option<&Path>, derives: bool) -> ExitCode {
    if derives && let Err(e) = fleet_slopes::write_fleet_slopes(runs) {
        eprintln!("{e}");
        return ExitCode::from(2);
    }
    let tables = match page::tables(runs) {
        Ok(tables) => tables,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let Some(path) = page else {
        println!("{tables}");
        return ExitCode::SUCCESS;
    };
    let place = path.display();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{place}: can't be read: {e}; name a page");
            return ExitCode::from(2);
        }
    };
    let anew = match page::rewrite(&text, &tables) {
        Ok(anew) => anew,
        Err(e) => {
            eprintln!("{place}: {e}");
            return ExitCode::from(2);
        }
    };
    match std::fs::write(path, anew) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{place}: can't be written: {e}");
            ExitCode::FAILURE
        }
    }
}
