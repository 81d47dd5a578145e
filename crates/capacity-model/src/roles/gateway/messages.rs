//! Control traffic of a gateway, sent and received, in kB per second.

use super::measured;
use crate::assumptions::Assumptions;
use crate::quantity::{Quantity, Resource};
use crate::roles::KILOBYTES_PER_SECOND;

/// The runs measure what a gateway sends; it receives as much.
const DIRECTIONS: f64 = 2.0;

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    let limit = assumptions.target.kilobytes_per_second;
    let (gateways, workers) = (assumptions.target.gateways, assumptions.workers());
    let membership = kilobytes("membership datagrams, settled, sent and received", "peers-bytes", gateways)
        .scaled(DIRECTIONS);
    let usage_reports =
        kilobytes("usage reports, sent and received", "counts-bytes", gateways).scaled(DIRECTIONS);
    let updates = list_updates(
        "endpoint list updates, an ordinary day",
        workers,
        assumptions.list_updates_per_second(),
    );
    let config_changes = kilobytes(
        "configuration changes followed, one per second, sent and received",
        "changes-bytes",
        gateways,
    );
    let total = Quantity::sum(
        "messages for control, total",
        "the four above",
        &[&membership, &usage_reports, &updates, &config_changes],
    );
    let starting = kilobytes(
        "membership datagrams, first 10 s after all gateways started, sent and received",
        "peers-bytes-starting",
        gateways,
    )
    .scaled(DIRECTIONS);
    let zone_recovery = list_updates(
        "endpoint list updates while a zone's workers return",
        workers,
        assumptions.list_updates_per_second_in_zone_recovery(),
    );
    vec![
        membership,
        usage_reports,
        updates,
        config_changes,
        total.with_limit(limit),
        starting.with_limit(limit),
        zone_recovery.with_limit(limit),
    ]
}

fn kilobytes(description: &str, run: &'static str, size: f64) -> Quantity {
    measured(Resource::Messages, description, run, size, KILOBYTES_PER_SECOND)
}

/// Traffic of endpoint list updates of one entry each, whose rate grows with the fleet.
fn list_updates(description: &str, workers: f64, updates_per_second: f64) -> Quantity {
    kilobytes(description, "list-entry", workers)
        .with_formula(move |size, values| values[0] * updates_per_second * size / 1e3)
}
