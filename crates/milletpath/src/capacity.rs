//! `milletpath capacity`: the tables of docs/CAPACITY.md, printed or written into the page.

use milletpath_capacity_model::{derived, page, scale};
use std::path::Path;
use std::process::ExitCode;

/// Writes the slopes that scale runs give beside them.
fn derive(runs: &Path) -> Result<(), String> {
    for run in derived::derived(&scale::read_all(runs)?) {
        let path = runs.join(format!("{}.json", run.name));
        let text = serde_json::to_string_pretty(&run).map_err(|e| e.to_string())?;
        std::fs::write(&path, text + "\n")
            .map_err(|e| format!("{}: can't be written: {e}", path.display()))?;
    }
    Ok(())
}

pub fn capacity(runs: &Path, page: Option<&Path>, derives: bool) -> ExitCode {
    if derives && let Err(e) = derive(runs) {
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
