//! The quantities of each role: the runs that they are computed from, the positions on the axes, and the limits.

mod control_machine;
mod endpoint_list;
pub mod gateway;
mod store;
mod worker;

use crate::assumptions::Assumptions;
use crate::fitted_runs::FittedRuns;
use crate::projection::{Projection, project};
use crate::quantity::Quantity;

/// Converts milliseconds of CPU per second into percent of one core.
const PERCENT_PER_MILLISECOND: f64 = 0.1;

const PERCENT_OF_CORE: &str = "% of a core";

const KILOBYTES_PER_SECOND: &str = "kB/s";

/// All quantities evaluated at the target size, in the order of the page.
pub fn projections(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Vec<Projection> {
    let quantities: Vec<Quantity> = [
        gateway::quantities(assumptions, fitted_runs),
        worker::quantities(assumptions),
        control_machine::quantities(assumptions),
        endpoint_list::quantities(assumptions),
        store::quantities(assumptions),
    ]
    .concat();
    quantities.iter().map(|quantity| project(quantity, fitted_runs)).collect()
}
