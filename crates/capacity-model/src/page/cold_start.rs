//! The section on cold starts: the part of the target that is left for the gateway, and the part that it takes.

use crate::assumptions::{Assumptions, Parameter};
use crate::number::number;
use crate::projection::Projection;

pub(super) fn section(assumptions: &Assumptions, projections: &[Projection]) -> String {
    let percentile = |name: &str| {
        projections.iter().find(|projection| {
            projection.description.starts_with("cold start") && projection.description.ends_with(name)
        })
    };
    let (Some(p50), Some(p99)) = (percentile("p50"), percentile("p99")) else { return String::new() };
    format!(
        "## Cold start\n\nTarget: {} s at the 99th percentile. Without {} s for the load and 150 ms for the round \
         trip to the farthest region, {} ms are left for the gateway. It takes {} ms (p50) and {} ms (p99), from \
         the arrival of a call whose function is not known to be loaded anywhere to its first attempt, which \
         starts the load. The cause: a worker that has not reported for 1 s gets a health check first, and with \
         so many workers per gateway most have not; the call waits for the answer, for up to 0.03 of its latency \
         objective, and is placed at most 5 ms later. Workers are 1, 30, 80 and 150 ms away, a quarter each: the \
         hash ring does not consider regions.\n",
        assumptions.target.cold_start_seconds,
        assumptions.value(Parameter::LoadSeconds),
        p99.limit.map_or(String::new(), number),
        number(p50.value),
        number(p99.value),
    )
}
