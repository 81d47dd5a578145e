use super::{SharedBudgetBounds, bounds};
use crate::event::{HistoryEvent, HistoryRecord, Idempotency};
use crate::rule_parameters::RuleParameters;
use crate::window_limit::WindowLimit;
use test_case::test_case;

fn budgets() -> SharedBudgetBounds {
    let rules = RuleParameters {
        drain_grace: 1.0,
        initial_capacity: 0.2,
        warm_up: 8.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
        load_rate_limit: None,
        tolerance: 0.0,
    };
    SharedBudgetBounds {
        gateways: 2,
        load_rate_limit: Some(WindowLimit { window: 10.0, free: 2.0, per_request: 0.0 }),
        retry_limit: Some(WindowLimit { window: 10.0, free: 3.0, per_request: 0.0 }),
        rate_ceilings: vec![Some(10.0)],
        in_flight: Some(3.0),
        rules,
    }
}

/// How often the named bound is violated.
fn violations(name: &str, mut records: Vec<HistoryRecord>) -> u64 {
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    bounds(&records, &budgets())[name].violations
}

fn record(at: f64, event: HistoryEvent) -> HistoryRecord {
    HistoryRecord { at, event }
}

fn load_requests(times: &[f64]) -> Vec<HistoryRecord> {
    times.iter().map(|at| record(*at, HistoryEvent::LoadRequested { gateway: 0, worker: 0 })).collect()
}

/// A gateway may use what another leaves unused. Together they may use the sum of their quotas, plus one quota for each
/// process that restarts.
#[test]
fn the_load_request_limit_binds_the_whole_fleet() {
    assert_eq!(violations("orders", load_requests(&[1.0, 2.0, 3.0, 4.0])), 0);
    assert_eq!(violations("orders", load_requests(&[1.0, 2.0, 3.0, 4.0, 10.5])), 1);
    assert_eq!(violations("orders", load_requests(&[1.0, 2.0, 3.0, 4.0, 11.5])), 0);
    let mut records = load_requests(&[1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0]);
    records.push(record(4.5, HistoryEvent::GatewayKilled { gateway: 0 }));
    assert_eq!(violations("orders", records), 1);
}

/// A call whose first client attempt causes `attempts` attempts at a worker.
fn call(call: u64, at: f64, attempts: usize) -> Vec<HistoryRecord> {
    let (importance, latency_objective) = (1.0, 1.0);
    let (idempotency, fault) = (Idempotency::Idempotent, None);
    let issued =
        HistoryEvent::RequestIssued { call, group: 0, importance, latency_objective, idempotency, fault };
    let received = HistoryEvent::AttemptReceived { call, attempt: 0, gateway: 0, worker: 0, work: 0.01 };
    let mut records = vec![record(at, issued)];
    records.resize(1 + attempts, record(at, received));
    records
}

#[test_case(5, 1, 0; "one attempt each")]
#[test_case(3, 2, 0; "as many retries as allowed")]
#[test_case(4, 2, 1; "one retry too many")]
fn the_retry_limit_binds_the_whole_fleet(calls: u64, attempts: usize, expected: u64) {
    let records = (0..calls).flat_map(|n| call(n, n as f64, attempts)).collect();
    assert_eq!(violations("retries", records), expected);
}

/// The bound is ten calls per second, a burst of half a second, and one call per gateway.
#[test_case(110, 0; "within the bound")]
#[test_case(116, 2; "beyond the bound")]
fn rate_ceilings_bind_the_whole_fleet(calls: u64, expected: u64) {
    let records = (0..calls).flat_map(|n| call(n, n as f64 / 20.0, 1)).collect();
    assert_eq!(violations("ceiling", records), expected);
}

#[test]
fn attempts_are_in_flight_until_they_finish() {
    let mut records: Vec<_> = (0..4).flat_map(|n| call(n, n as f64, 1)).collect();
    assert_eq!(violations("in-flight", records.clone()), 1);
    records.push(record(2.5, HistoryEvent::AttemptFinished { gateway: 0, worker: 0 }));
    assert_eq!(violations("in-flight", records), 0);
}

/// Many light calls to a worker in slow start stay within the bound by work and exceed the bound by number.
#[test_case(1; "from one gateway")]
#[test_case(24; "from 24 gateways")]
fn light_calls_to_a_warming_worker_are_bounded_by_number(gateways: usize) {
    let received = |n: usize, worker: usize, work: f64| {
        let gateway = n % gateways;
        HistoryEvent::AttemptReceived { call: n as u64, attempt: 0, gateway, worker, work }
    };
    let started = |worker: usize, warm: bool| HistoryEvent::WorkerStarted { worker, capacity: 16.0, warm };
    let mut records = vec![record(0.0, started(0, true)), record(1.0, started(1, false))];
    // 0.2 of its capacity times 2.5 for one second is 8 s of work, or 80 calls of mean work; the bound is 99.9 calls.
    records.extend((0..100_000).map(|n| record(0.5, received(n, 0, 0.1))));
    records.extend((0..99).map(|n| record(1.0, received(n, 1, 0.01))));
    assert_eq!(violations("cold-calls", records.clone()), 0);
    records.extend((99..102).map(|n| record(1.0, received(n, 1, 0.01))));
    assert_eq!(violations("cold", records.clone()), 0);
    assert!(violations("cold-calls", records) > 0);
}
