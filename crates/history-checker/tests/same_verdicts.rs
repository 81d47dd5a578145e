//! A recorded history that contains faults of every kind yields the recorded verdicts: violations with their texts, service
//! counts, bounds and membership observations, in the format of `milletpath day --json`. The history is stored in the format
//! of `milletpath day --records`.

use milletpath_history_checker::{
    BoundReport, HistoryRecord, RuleParameters, ServiceCounts, ServiceWeights, SharedBudgetBounds,
    WindowLimit, bounds, check, count_service, latencies, membership_observations,
};
use serde_json::{Value, json};
use std::collections::BTreeMap;

const HISTORY: &str = include_str!("fixtures/faulty_history.jsonl");
const EXPECTED: &str = include_str!("fixtures/faulty_history.expected.json");
const GATEWAYS: usize = 3;

fn history() -> Vec<HistoryRecord> {
    HISTORY.lines().map(|line| serde_json::from_str(line).expect("a record")).collect()
}

fn rules() -> RuleParameters {
    RuleParameters {
        drain_grace: 1.0,
        initial_capacity: 0.2,
        warm_up: 8.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
        load_rate_limit: Some(WindowLimit { window: 4.0, free: 1.0, per_request: 0.02 }),
        tolerance: 0.01,
    }
}

fn shared() -> SharedBudgetBounds {
    SharedBudgetBounds {
        gateways: GATEWAYS,
        load_rate_limit: Some(WindowLimit { window: 4.0, free: 1.0, per_request: 0.005 }),
        retry_limit: Some(WindowLimit { window: 4.0, free: 6.0, per_request: 0.02 }),
        rate_ceilings: vec![None, Some(4.0)],
        in_flight: Some(12.0),
        rules: rules(),
    }
}

fn counts_to_json(counts: &ServiceCounts) -> Value {
    json!({
        "calls": counts.calls, "handled": counts.succeeded, "late": counts.late, "bounced": counts.rejected,
        "terminated": counts.failed, "unanswered": counts.unanswered, "tries": counts.attempts,
        "asked": counts.importance, "earned": counts.earned, "service": counts.service(),
    })
}

/// The times of the first violations of each bound, which printed reports contain and the JSON report omits.
fn violation_times(bounds: &BTreeMap<&'static str, BoundReport>) -> Value {
    let times =
        |bound: &BoundReport| bound.first_violations.iter().map(|violation| violation.at).collect::<Vec<_>>();
    json!(bounds.iter().map(|(name, bound)| (*name, times(bound))).collect::<BTreeMap<_, _>>())
}

fn verdicts(history: &[HistoryRecord]) -> Value {
    let violations: Vec<_> = check(history, &rules())
        .iter()
        .map(|violation| json!({"rule": violation.rule, "at": violation.at, "what": violation.what}))
        .collect();
    let weights = ServiceWeights { late: 0.25, quotas: vec![Some(10.0), None], over_quota: 0.5 };
    let service = count_service(history, &weights);
    let by_fault: BTreeMap<_, _> =
        service.by_fault.iter().map(|(fault, counts)| (fault.to_string(), counts_to_json(counts))).collect();
    let bounds = bounds(history, &shared());
    json!({
        "violations": violations,
        "counts": counts_to_json(&service.all),
        "counts_by_fault": by_fault,
        "latencies": latencies(history, [0.5, 0.99, 0.999]),
        "bounds": bounds,
        "times_of_places": violation_times(&bounds),
        "membership": membership_observations(history, GATEWAYS),
    })
}

#[test]
fn a_faulty_history_gives_the_recorded_verdicts() {
    let expected: Value = serde_json::from_str(EXPECTED).expect("the expected verdicts");
    let verdicts = verdicts(&history());
    assert_eq!(verdicts, expected, "{verdicts:#}");
}

/// The comparison with the recorded verdicts covers a rule or a bound only if the fixture violates it.
#[test]
fn the_faulty_history_violates_every_rule_and_every_bound() {
    let history = history();
    let violations = check(&history, &rules());
    for rule in 1..=5 {
        assert!(violations.iter().any(|violation| violation.rule == rule), "rule {rule}");
    }
    for (name, bound) in bounds(&history, &shared()) {
        assert!(bound.violations > 0, "{name}: {bound:?}");
    }
}

/// Stored histories remain readable, and the format in which they are written does not change.
#[test]
fn stored_records_round_trip_unchanged() {
    for (line, record) in HISTORY.lines().zip(history()) {
        assert_eq!(serde_json::to_string(&record).expect("a line"), line);
    }
    let event_names: std::collections::BTreeSet<_> = HISTORY.lines().filter_map(event_name).collect();
    assert_eq!(event_names.len(), 17, "{event_names:?}");
}

/// The name of the event in a stored line.
fn event_name(line: &str) -> Option<&str> {
    let after = line.split_once("\"saw\":")?.1;
    after.trim_start_matches('{').split('"').nth(1)
}
