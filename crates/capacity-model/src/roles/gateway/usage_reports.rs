//! Limits of the usage reports, from which gateways learn the concurrency of a function in the whole fleet.

use super::measured;
use crate::assumptions::{Assumptions, Parameter};
use crate::fitted_runs::FittedRuns;
use crate::popularity::Popularity;
use crate::quantity::{Quantity, Resource, Role};
use crate::roles::KILOBYTES_PER_SECOND;

/// Mean execution time of a call at its worker, in seconds.
const MEAN_CALL_SECONDS: f64 = 0.06;

/// Number of buckets of functions; the reports for each are aggregated by one gateway. Same as in
/// `milletpath_shared_budgets::usage_counts`.
const BUCKETS: f64 = 16.0;

/// Interval between the reports of a gateway, in seconds, in a fleet of up to [`GATEWAYS_AT_FULL_RATE`]. In larger
/// fleets it grows in proportion to their size.
const REPORT_INTERVAL_SECONDS: f64 = 0.8;
const GATEWAYS_AT_FULL_RATE: f64 = 48.0;

/// A function with a lower concurrency at a gateway is not reported by it.
const MIN_REPORTED_CONCURRENCY: f64 = 0.02;

/// Bytes that a datagram adds to its message, bytes per entry, and maximum number of entries. Same as in
/// `milletpath_shared_budgets::message`.
const ENVELOPE_BYTES: f64 = 150.0;
const ENTRY_BYTES: f64 = 20.0;
const MAX_ENTRIES: f64 = 48.0;

/// Limit on the messages of a gateway, in kB per second. Same as in `milletpath_shared_budgets::outbox`.
const MAX_KILOBYTES_PER_SECOND: f64 = 10.0;

pub(super) fn quantities(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Vec<Quantity> {
    vec![
        smallest_reported(assumptions),
        functions_received(assumptions, fitted_runs),
        aggregator_answers(assumptions),
    ]
}

/// The concurrency in the whole fleet below which a function is not reported. The limit is the concurrency of one
/// instance, as only functions that need more than one instance have to be reported.
fn smallest_reported(assumptions: &Assumptions) -> Quantity {
    let gateways = assumptions.target.gateways;
    Quantity::calculated(
        Role::Gateway,
        Resource::State,
        "concurrency in the fleet below which a function is not reported",
        "0.02 calls at a gateway (`shared_budgets::usage_counts`)",
        "calls",
        move |size| MIN_REPORTED_CONCURRENCY * gateways * size,
    )
    .with_limit(assumptions.value(Parameter::ConcurrentCallsPerInstance))
}

/// The number of functions that keep more than one instance busy in the whole fleet, by the fraction of the target
/// size.
fn functions_on_several_instances(assumptions: &Assumptions) -> impl Fn(f64) -> f64 + 'static {
    let (functions, calls) = (assumptions.target.functions, assumptions.target.calls_per_second);
    let zipf = assumptions.value(Parameter::ZipfExponent);
    let concurrency = assumptions.value(Parameter::ConcurrentCallsPerInstance);
    move |size| {
        let fraction = concurrency / (calls * size * MEAN_CALL_SECONDS);
        Popularity::new(functions * size, zipf).functions_above(fraction) as f64
    }
}

/// The number of those functions whose concurrency a gateway receives.
fn functions_received(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Quantity {
    const RUN: &str = "counts-functions";
    let needed = functions_on_several_instances(assumptions)(1.0);
    let received = fitted_runs.get(RUN).map_or(f64::NAN, |fitted| fitted.run.interpolate(needed));
    let description =
        format!("functions whose usage is received, of {needed} that keep more than one instance busy");
    measured(Resource::State, description, RUN, needed, "functions").with_formula(move |_, _| received)
}

/// Traffic of the answers that the aggregator of one bucket sends to the gateways that report to it. The limit is that
/// on the messages of a gateway.
fn aggregator_answers(assumptions: &Assumptions) -> Quantity {
    let gateways = assumptions.target.gateways;
    let functions = functions_on_several_instances(assumptions);
    let kilobytes_per_second = move |size: f64| {
        let reports_per_second = (gateways * size).min(GATEWAYS_AT_FULL_RATE) / REPORT_INTERVAL_SECONDS;
        let entries = (functions(size) / BUCKETS).min(MAX_ENTRIES);
        reports_per_second * (ENVELOPE_BYTES + ENTRY_BYTES * entries) / 1e3
    };
    Quantity::calculated(
        Role::Gateway,
        Resource::Messages,
        "answers of a gateway that sums one bucket",
        "usage reports to one gateway per bucket, within the limit on its messages \
         (`shared_budgets::usage_counts`, `shared_budgets::outbox`); see counts-functions for the effect",
        KILOBYTES_PER_SECOND,
        kilobytes_per_second,
    )
    .with_limit(MAX_KILOBYTES_PER_SECOND)
}
