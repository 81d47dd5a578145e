use super::*;
use crate::{Idempotency, RuleParameters, bounds};
use test_case::test_case;

fn shared() -> SharedBudgetBounds {
    let terms = RuleParameters {
        grace: 1.0,
        initial_capacity: 0.2,
        warm_up: 8.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
        load_rate_limit: None,
        lag: 0.0,
    };
    SharedBudgetBounds {
        gateways: 2,
        load_rate_limit: Some((10.0, 2.0, 0.0)),
        retries: Some((10.0, 3.0, 0.0)),
        ceilings: vec![Some(10.0)],
        in_flight: Some(3.0),
        rules: terms,
        lag: 0.0,
    }
}

fn broken(name: &str, mut records: Vec<HistoryRecord>) -> u64 {
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    bounds(&records, &shared())[name].broken
}

fn ordered(times: &[f64]) -> Vec<HistoryRecord> {
    times
        .iter()
        .map(|at| HistoryRecord { at: *at, event: HistoryEvent::LoadRequested { gateway: 0, worker: 0 } })
        .collect()
}

fn killed(at: f64) -> HistoryRecord {
    HistoryRecord { at, event: HistoryEvent::GatewayKilled { gateway: 0 } }
}

/// One may use what the other leaves; together they have no more than their sum, and one part more for each process
/// that begins anew.
#[test]
fn orders_count_for_the_fleet() {
    assert_eq!(broken("orders", ordered(&[1.0, 2.0, 3.0, 4.0])), 0);
    assert_eq!(broken("orders", ordered(&[1.0, 2.0, 3.0, 4.0, 10.5])), 1);
    assert_eq!(broken("orders", ordered(&[1.0, 2.0, 3.0, 4.0, 11.5])), 0);
    let mut records = ordered(&[1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0]);
    records.push(killed(4.5));
    assert_eq!(broken("orders", records), 1);
}

fn call(call: u64, at: f64, shots: usize) -> Vec<HistoryRecord> {
    let (importance, due, fault, effect) = (1.0, 1.0, None, Idempotency::Idempotent);
    let mut event = vec![HistoryEvent::RequestIssued { call, group: 0, importance, due, effect, fault }];
    event.resize(
        1 + shots,
        HistoryEvent::AttemptReceived { call, attempt: 0, gateway: 0, worker: 0, work: 0.01 },
    );
    event.into_iter().map(|event| HistoryRecord { at, event }).collect()
}

#[test_case(5, 1, 0; "one shot each")]
#[test_case(3, 2, 0; "as many further shots as there may be")]
#[test_case(4, 2, 1; "one more")]
fn further_shots_count_for_the_fleet(calls: u64, shots: usize, wrong: u64) {
    let records = (0..calls).flat_map(|n| call(n, n as f64, shots)).collect();
    assert_eq!(broken("retries", records), wrong);
}

/// Ten a second with half a second at once, and one call of each gateway.
#[test_case(110, 0; "as many as there may be")]
#[test_case(116, 2; "more")]
fn calls_under_a_ceiling_count_for_the_fleet(calls: u64, wrong: u64) {
    let records = (0..calls).flat_map(|n| call(n, n as f64 / 20.0, 1)).collect();
    assert_eq!(broken("ceiling", records), wrong);
}

#[test]
fn shots_at_a_worker_count_until_they_are_over() {
    let mut records: Vec<_> = (0..4).flat_map(|n| call(n, n as f64, 1)).collect();
    assert_eq!(broken("in-flight", records.clone()), 1);
    records.push(HistoryRecord { at: 2.5, event: HistoryEvent::AttemptFinished { gateway: 0, worker: 0 } });
    assert_eq!(broken("in-flight", records), 0);
}

/// Many light calls at a worker in slow start: within its bound by work, and past the one by calls.
#[test_case(1; "of one gateway")]
#[test_case(24; "of two dozen gateways")]
fn light_calls_at_a_cold_worker_count(gateways: usize) {
    let at = |at: f64, event: HistoryEvent| HistoryRecord { at, event };
    let came = |n: usize, worker: usize, work: f64| {
        let gateway = n % gateways;
        HistoryEvent::AttemptReceived { call: n as u64, attempt: 0, gateway, worker, work }
    };
    let started = |worker: usize, warm: bool| HistoryEvent::WorkerStarted { worker, capacity: 16.0, warm };
    let mut records = vec![at(0.0, started(0, true)), at(1.0, started(1, false))];
    // 0.2 of its capacity, two and a half times for a second: 8 s of work, or 80 calls of the mean; 99.9 with the bound.
    records.extend((0..100_000).map(|n| at(0.5, came(n, 0, 0.1))));
    records.extend((0..99).map(|n| at(1.0, came(n, 1, 0.01))));
    assert_eq!(broken("cold-calls", records.clone()), 0);
    records.extend((99..102).map(|n| at(1.0, came(n, 1, 0.01))));
    assert_eq!(broken("cold", records.clone()), 0);
    assert!(broken("cold-calls", records) > 0);
}
