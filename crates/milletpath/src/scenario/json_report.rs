//! The report of a scenario as JSON. JSON field names are kept for compatibility where they differ from the names of
//! the fields here.

use milletpath_emulator::scenario::ScenarioReport;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::{BoundReport, MembershipObservations, ServiceCounts};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The quantiles of the latencies that are reported.
pub const PERCENTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// The complete report.
#[derive(Serialize)]
struct JsonReport<'a> {
    /// Name of the scenario.
    #[serde(rename = "day")]
    scenario: &'a str,
    seed: u64,
    /// Outcomes of all requests.
    #[serde(rename = "whole")]
    total: RequestCounts,
    #[serde(rename = "troubles")]
    faults: Vec<FaultReport<'a>>,
    /// Number of fetches from the store.
    fetches: u64,
    /// Fraction of requests that found a loaded instance.
    #[serde(rename = "warm")]
    warm_fraction: f64,
    /// Number of fetches that the store rejected.
    #[serde(rename = "refusals")]
    rejected_fetches: u64,
    #[serde(rename = "broken")]
    violations: Vec<RuleViolation<'a>>,
    /// Latencies of successful attempts at [`PERCENTILES`], in seconds.
    latencies: Option<[f64; PERCENTILES.len()]>,
    #[serde(flatten)]
    fleet: Option<FleetReport<'a>>,
}

/// Observations of gateways that are members of one fleet; absent if the gateways run without membership.
#[derive(Serialize)]
struct FleetReport<'a> {
    bounds: &'a BTreeMap<&'static str, BoundReport>,
    #[serde(rename = "peers")]
    membership: &'a MembershipObservations,
}

/// Outcomes of requests.
#[derive(Serialize)]
struct RequestCounts {
    calls: u64,
    service: f64,
    #[serde(rename = "handled")]
    succeeded: u64,
    late: u64,
    #[serde(rename = "bounced")]
    rejected: u64,
    #[serde(rename = "terminated")]
    failed: u64,
    unanswered: u64,
}

/// Outcomes of the requests that were sent during a fault.
#[derive(Serialize)]
struct FaultReport<'a> {
    #[serde(rename = "trouble")]
    fault: &'a str,
    counts: RequestCounts,
}

/// A violation of one of the rules.
#[derive(Serialize)]
struct RuleViolation<'a> {
    rule: u8,
    /// Seconds since the start of the scenario.
    at: f64,
    what: &'a str,
}

impl From<&ServiceCounts> for RequestCounts {
    fn from(counts: &ServiceCounts) -> Self {
        Self {
            calls: counts.calls,
            service: counts.service(),
            succeeded: counts.succeeded,
            late: counts.late,
            rejected: counts.rejected,
            failed: counts.failed,
            unanswered: counts.unanswered,
        }
    }
}

/// Returns the report of a scenario that was run.
pub fn to_json(scenario: &Scenario, report: &ScenarioReport) -> Value {
    let faults = report
        .by_fault
        .iter()
        .map(|(index, counts)| FaultReport { fault: &scenario.faults[*index].name, counts: counts.into() });
    let violations = report.violations.iter().map(|violation| RuleViolation {
        rule: violation.rule,
        at: violation.at,
        what: &violation.what,
    });
    let fleet =
        report.membership.as_ref().map(|membership| FleetReport { bounds: &report.bounds, membership });
    let json_report = JsonReport {
        scenario: &scenario.name,
        seed: scenario.seed,
        total: (&report.counts).into(),
        faults: faults.collect(),
        fetches: report.fetches,
        warm_fraction: report.warm_fraction,
        rejected_fetches: report.rejected_fetches,
        violations: violations.collect(),
        latencies: milletpath_history_checker::latencies(&report.records, PERCENTILES),
        fleet,
    };
    serde_json::json!(json_report)
}

#[cfg(test)]
mod tests;
