//! Generates the tables of `docs/CAPACITY.md` from the runs, the assumptions and the scale tests alone, and replaces
//! the part of the page between two markers by them.

mod assumption_table;
mod cold_start;
mod role_tables;
mod run_table;
mod scale_tables;
mod shortfall_tables;

use crate::assumptions::Assumptions;
use crate::error::CapacityError;
use crate::fitted_runs::FittedRuns;
use crate::number::number;
use crate::projection::MAX_SIZE_FACTOR;
use crate::roles::projections;
use crate::run;
use crate::scale;
use crate::shortfalls::{rank, shortfalls};
use std::path::Path;

/// The line after which the generated part of the page begins.
pub const BEGIN_MARKER: &str =
    "<!-- made by `milletpath capacity --page`; nothing between these marks is written by hand -->";

/// The line before which the generated part of the page ends.
pub const END_MARKER: &str = "<!-- end of what is made -->";

/// Name of the assumptions file in the folder of runs.
pub const ASSUMPTIONS_FILE: &str = "assumptions.json";

/// Generates all tables from a folder of runs.
///
/// # Errors
/// The assumptions, a run or a scale test cannot be read or is invalid.
pub fn tables(folder: &Path) -> Result<String, CapacityError> {
    let assumptions = Assumptions::read(&folder.join(ASSUMPTIONS_FILE))?;
    let fitted_runs = FittedRuns::new(run::read_all(folder)?);
    let scale_runs = scale::read_all(folder)?;
    let projections = projections(&assumptions, &fitted_runs);
    let ranked = rank(&projections, &shortfalls(&assumptions, &scale_runs));
    let sections = [
        assumption_table::section(&assumptions, &fitted_runs, &scale_runs),
        role_tables::sections(&projections),
        cold_start::section(&assumptions, &projections),
        scale_tables::scale_runs(&assumptions.target, &scale_runs),
        scale_tables::config_changes(&assumptions.target, &scale_runs),
        shortfall_tables::section(&projections, &ranked),
        run_table::section(&fitted_runs),
    ];
    Ok(sections.join("\n"))
}

/// Returns the page with its generated part replaced.
///
/// # Errors
/// The page lacks one of the markers.
pub fn rewrite(page: &str, tables: &str) -> Result<String, CapacityError> {
    let begin = page.find(BEGIN_MARKER).ok_or(CapacityError::MissingBeginMarker { marker: BEGIN_MARKER })?;
    let end = page
        .find(END_MARKER)
        .filter(|end| *end > begin)
        .ok_or(CapacityError::MissingEndMarker { marker: END_MARKER })?;
    Ok(format!("{}{BEGIN_MARKER}\n\n{tables}\n{}", &page[..begin], &page[end..]))
}

/// Formats a breaking point for the page.
fn breaking_point_text(breaking_point: Option<f64>, below_measured: bool) -> String {
    match breaking_point {
        Some(size) if below_measured && size > 0.0 => {
            format!("{} (below the smallest measured size)", number(size))
        }
        Some(0.0) => "any size".into(),
        Some(size) => number(size),
        None => format!("over {MAX_SIZE_FACTOR}"),
    }
}
