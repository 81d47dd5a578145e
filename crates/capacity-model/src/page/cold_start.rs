//! The section on the cold start: what is left of the target for the gateway, and what makes up its part.

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
        "## The cold start\n\nAsked: {} s for 99 in 100. Less {} s for the load and 150 ms to the \
         farthest region and back, the gateway's own part may be \
         {} ms. It is {} ms (p50) and {} ms (p99), from the arrival of a call whose function stands \
         nowhere that the gateway knows of to its \
         first shot, which begins the load. What makes it up: a worker of which nothing was heard for 1 \
         s is probed first, and with so many \
         workers to a gateway most are such; the call waits for that answer, at most for \
         0.03 of its due time, and is looked at again \
         5 ms later at the latest. Workers 1, 30, 80 and 150 ms away, a quarter each: the ring knows no \
         regions.\n",
        assumptions.target.cold_start_seconds,
        assumptions.value(Parameter::LoadSeconds),
        p99.limit.map_or(String::new(), number),
        number(p50.value),
        number(p99.value),
    )
}
