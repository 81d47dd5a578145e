//! CPU that a gateway spends on control and on routing decisions, in percent of one core.

use super::{IDLE_PROOF_CHECKS_PER_SECOND, measured};
use crate::assumptions::{Assumptions, Parameter};
use crate::fitted_runs::FittedRuns;
use crate::quantity::{Quantity, Resource, RunInput};
use crate::roles::{PERCENT_OF_CORE, PERCENT_PER_MILLISECOND};

/// Checks of the quorum proof per second and gateway in the measured fleet.
const MEASURED_PROOF_CHECKS_PER_SECOND: f64 = 10.0;

/// Size of a membership datagram in a large fleet: it carries the assertions of thirty other gateways.
const DATAGRAM_BYTES: f64 = 700.0;

pub(super) fn quantities(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Vec<Quantity> {
    let mut quantities = control(assumptions, fitted_runs);
    quantities.extend(decisions(assumptions));
    quantities.extend(start_and_recovery(assumptions));
    quantities
}

/// A quantity equal to a run that measured milliseconds of CPU per second.
fn from_milliseconds(description: &str, run: &'static str, size: f64) -> Quantity {
    percent(description, run, size).scaled(PERCENT_PER_MILLISECOND)
}

fn percent(description: &str, run: &'static str, size: f64) -> Quantity {
    measured(Resource::Cpu, description, run, size, PERCENT_OF_CORE)
}

/// CPU for control in a settled fleet, for each mechanism and in total.
fn control(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Vec<Quantity> {
    let (gateways, workers) = (assumptions.target.gateways, assumptions.workers());
    let membership =
        from_milliseconds("membership datagrams and quorum proof, settled", "peers-cpu", gateways);
    let opening = datagram_opening(gateways, fitted_runs);
    let proof_checks = proof_checks(gateways);
    let usage_reports = from_milliseconds("usage reports", "counts-cpu", gateways);
    let worker_budgets = from_milliseconds(
        "budgets of attempts at workers (only where `in_flight` is set)",
        "budgets-cpu",
        workers,
    );
    let updates = list_updates(
        "endpoint list updates, an ordinary day",
        workers,
        assumptions.list_updates_per_second(),
    );
    let config_changes =
        from_milliseconds("configuration changes followed, one per second", "changes-cpu", gateways);
    let total = Quantity::sum(
        "CPU for control, total",
        "those above without budgets of attempts, which few configurations set",
        &[&membership, &opening, &proof_checks, &usage_reports, &updates, &config_changes],
    );
    let all =
        [membership, opening, proof_checks, usage_reports, worker_budgets, updates, config_changes, total];
    all.into_iter().map(|quantity| quantity.with_limit(assumptions.target.cpu_percent)).collect()
}

/// CPU for authenticating and decoding received datagrams, whose size does not depend on that of the fleet.
fn datagram_opening(gateways: f64, fitted_runs: &FittedRuns) -> Quantity {
    let microseconds = fitted_runs.value_or_zero("letter-open", DATAGRAM_BYTES);
    percent("membership datagrams received: authenticated and decoded", "letter-open", DATAGRAM_BYTES)
        .with_inputs(vec![
            RunInput::new("peers-letters", gateways),
            RunInput::new("letter-open", DATAGRAM_BYTES),
        ])
        .with_formula(move |_, values| values[0] * microseconds / 1e3 * PERCENT_PER_MILLISECOND)
}

/// CPU for checking the quorum proof after each datagram and every 50 ms, without the checks that are included in the
/// measurement of the fleet.
fn proof_checks(gateways: f64) -> Quantity {
    percent(
        "quorum proof checked after each datagram and each 50 ms, beyond what was measured",
        "peers-proof",
        gateways,
    )
    .with_inputs(vec![RunInput::new("peers-proof", gateways), RunInput::new("peers-letters", gateways)])
    .with_formula(|_, values| {
        let checks = values[1] + IDLE_PROOF_CHECKS_PER_SECOND - MEASURED_PROOF_CHECKS_PER_SECOND;
        values[0] * checks.max(0.0) * PERCENT_PER_MILLISECOND
    })
}

/// CPU for updates of the endpoint list, whose rate grows with the fleet.
fn list_updates(description: &str, workers: f64, updates_per_second: f64) -> Quantity {
    percent(description, "list-join", workers)
        .with_formula(move |size, values| values[0] * updates_per_second * size * PERCENT_PER_MILLISECOND)
}

/// CPU for routing decisions, with two distributions of calls over functions.
fn decisions(assumptions: &Assumptions) -> Vec<Quantity> {
    let limit = assumptions.value(Parameter::DecisionCpuPercent);
    let calls = assumptions.calls_per_second_at_gateway();
    let of_run = |description: &str, run| {
        percent(description, run, assumptions.workers())
            .scaled(calls * PERCENT_PER_MILLISECOND / 1e3)
            .with_limit(limit)
    };
    vec![
        of_run("routing decisions on its calls, Zipf exponent 1.6", "call-workers"),
        of_run("routing decisions on its calls, Zipf exponent 1.1", "call-workers-flat"),
    ]
}

/// CPU for control while all gateways start, and while the workers of a zone rejoin.
fn start_and_recovery(assumptions: &Assumptions) -> Vec<Quantity> {
    let limit = assumptions.value(Parameter::RecoveryCpuPercent);
    let starting = from_milliseconds(
        "membership datagrams and quorum proof, first 10 s after all gateways started",
        "peers-cpu-starting",
        assumptions.target.gateways,
    );
    let zone_recovery = list_updates(
        "endpoint list updates while a zone's workers return within a minute",
        assumptions.workers(),
        assumptions.list_updates_per_second_in_zone_recovery(),
    );
    vec![starting.with_limit(limit), zone_recovery.with_limit(limit)]
}
