//! A correct record, and for each rule records that must be rejected: the correct one, broken in one place.

use milletpath_history_checker::{
    AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency, RuleParameters, ServiceWeights, check,
    count_service, latencies,
};
use test_case::test_case;

const TERMS: RuleParameters = RuleParameters {
    grace: 1.0,
    initial_capacity: 0.2,
    warm_up: 10.0,
    overload_multiple: 2.0,
    overload_window: 1.0,
    load_rate_limit: Some((10.0, 1.0, 0.5)),
    lag: 0.05,
};

fn call(call: u64, effect: Idempotency) -> HistoryEvent {
    HistoryEvent::RequestIssued { call, group: 0, importance: 1.0, due: 1.0, effect, fault: None }
}

fn asked(call: u64, attempt: u32) -> HistoryEvent {
    HistoryEvent::AttemptSent { call, attempt, gateway: 0, patience: 3.0 }
}

fn came(call: u64, worker: usize) -> HistoryEvent {
    HistoryEvent::AttemptReceived { call, attempt: 0, gateway: 0, worker, work: 0.1 }
}

fn ended(call: u64, how: AttemptOutcome) -> HistoryEvent {
    HistoryEvent::AttemptEnded { call, attempt: 0, gateway: 0, how }
}

/// Two workers, the second started at 0.5 s and drained at 5 s; three calls of each effect, all in order.
fn correct() -> Vec<HistoryRecord> {
    let started = |worker, warm| HistoryEvent::WorkerStarted { worker, capacity: 2.0, warm };
    let told = |worker, ready| HistoryEvent::EndpointNotified { gateway: 0, worker, ready };
    let mut day =
        vec![(0.0, started(0, true)), (0.0, told(0, true)), (0.5, started(1, false)), (0.6, told(1, true))];
    for (n, effect) in [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent]
        .into_iter()
        .enumerate()
    {
        let (n, at) = (n as u64, 1.0 + n as f64);
        day.extend([
            (at, call(n, effect)),
            (at, asked(n, 0)),
            (at + 0.01, came(n, 1)),
            (at + 0.1, HistoryEvent::RequestExecuted { call: n, worker: 1 }),
            (at + 0.2, ended(n, AttemptOutcome::Succeeded)),
        ]);
    }
    day.extend([(4.0, HistoryEvent::LoadRequested { gateway: 0, worker: 1 }), (5.0, told(1, false))]);
    day.into_iter().map(|(at, event)| HistoryRecord { at, event }).collect()
}

fn with(more: Vec<(f64, HistoryEvent)>) -> Vec<HistoryRecord> {
    let mut day = correct();
    day.extend(more.into_iter().map(|(at, event)| HistoryRecord { at, event }));
    day.sort_by(|a, b| a.at.total_cmp(&b.at));
    day
}

#[test]
fn a_correct_day_breaks_nothing() {
    assert_eq!(check(&correct(), &TERMS), []);
}

#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, asked(9, 0))]; "a call without an end")]
#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, asked(9, 0)), (9.0, ended(9, AttemptOutcome::Unanswered))]; "an end without an answer")]
#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, asked(9, 0)), (6.1, ended(9, AttemptOutcome::ConnectionLost))]; "a broken connection")]
#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, asked(9, 0)), (6.5, HistoryEvent::GatewayPaused { gateway: 0 }), (7.0, HistoryEvent::GatewayResumed { gateway: 0 }), (9.0, ended(9, AttemptOutcome::Unanswered))]; "no answer long after it stood still")]
#[test_case(1, vec![(1.3, ended(0, AttemptOutcome::Rejected))]; "two answers")]
#[test_case(1, vec![(1.5, came(0, 0))]; "a shot after the answer")]
#[test_case(1, vec![(6.0, ended(77, AttemptOutcome::Succeeded))]; "an answer to nothing")]
#[test_case(2, vec![(2.15, HistoryEvent::RequestExecuted { call: 1, worker: 0 })]; "a receipted call runs twice")]
#[test_case(2, vec![(3.15, HistoryEvent::RequestExecuted { call: 2, worker: 0 })]; "an effectful call runs twice")]
#[test_case(2, vec![(6.0, call(9, Idempotency::NonIdempotent)), (6.0, asked(9, 0)), (6.1, HistoryEvent::RequestExecuted { call: 9, worker: 0 }), (6.2, ended(9, AttemptOutcome::Rejected))]; "a bounce of what has run")]
#[test_case(2, vec![(6.0, call(9, Idempotency::NonIdempotent)), (6.0, asked(9, 0)), (6.1, ended(9, AttemptOutcome::Rejected)), (6.12, HistoryEvent::RequestExecuted { call: 9, worker: 0 })]; "a bounce of what runs later")]
#[test_case(3, vec![(6.2, came(2, 1))]; "a shot after the grace")]
#[test_case(3, vec![(6.2, HistoryEvent::LoadRequested { gateway: 0, worker: 1 })]; "an order after the grace")]
#[test_case(4, (0..40).map(|n| (0.7 + 0.001 * f64::from(n), came(90, 1))).collect(); "a crowd at a cold worker")]
#[test_case(5, vec![(4.1, HistoryEvent::LoadRequested { gateway: 0, worker: 0 }), (4.2, HistoryEvent::LoadRequested { gateway: 0, worker: 0 })]; "orders beyond the ration")]
fn each_rule_has_records_that_it_rejects(rule: u8, more: Vec<(f64, HistoryEvent)>) {
    let broken = check(&with(more), &TERMS);
    assert!(broken.iter().any(|b| b.rule == rule), "{broken:?}");
}

/// A day on which stand-ins may be two seconds late: of a client that closed, an attempt over 0.1 s later is found all the
/// same; of one that was answered it may have been on its way.
#[test_case(AttemptOutcome::Abandoned, 0.15, true; "the client closed")]
#[test_case(AttemptOutcome::Unanswered, 0.15, true; "the client gave up")]
#[test_case(AttemptOutcome::Abandoned, 0.05, false; "the client closed a moment ago")]
#[test_case(AttemptOutcome::Succeeded, 0.15, false; "the client was answered")]
fn an_attempt_for_a_client_that_has_gone_is_found_on_every_day(how: AttemptOutcome, later: f64, found: bool) {
    let day = with(vec![
        (6.0, call(9, Idempotency::Idempotent)),
        (6.0, asked(9, 0)),
        (6.5, ended(9, how)),
        (6.5 + later, came(9, 0)),
    ]);
    let broken = check(&day, &RuleParameters { lag: 2.0, ..TERMS });
    let late = |b: &milletpath_history_checker::Violation| b.rule == 1 && b.what.contains("s later gateway");
    assert_eq!(broken.iter().any(late), found, "{broken:?}");
}

/// A cold worker that is allowed 64 calls of mean work, by any number of gateways: one call over the bound is found,
/// also where the calls that it is sent are light ones.
#[test_case(1, 0.01, 82, false; "one gateway, as many light calls as there may be")]
#[test_case(1, 0.01, 83, true; "one gateway, one light call more")]
#[test_case(24, 0.01, 83, true; "two dozen gateways, one light call more")]
#[test_case(300, 0.01, 83, true; "three hundred gateways, one light call more")]
#[test_case(1, 0.1, 66, false; "one gateway, as many calls of mean work as there may be")]
#[test_case(1, 0.1, 69, true; "one gateway, calls of mean work past chance")]
fn a_cold_worker_s_calls_are_counted_however_few_gateways_there_are(
    gateways: usize,
    work: f64,
    calls: usize,
    found: bool,
) {
    let terms = RuleParameters { initial_capacity: 0.2, warm_up: 1e9, overload_multiple: 2.0, ..TERMS };
    let at = |at: f64, event: HistoryEvent| HistoryRecord { at, event };
    let mut day = vec![at(0.0, HistoryEvent::WorkerStarted { worker: 0, capacity: 1e3, warm: true })];
    // Thousands of calls elsewhere, so that the mean work is known to a hundredth: 0.1 s.
    let elsewhere =
        |n: u64| HistoryEvent::AttemptReceived { call: n, attempt: 0, gateway: 0, worker: 0, work: 0.1 };
    day.extend((0..200_000).map(|n| at(0.1, elsewhere(n))));
    day.push(at(1.0, HistoryEvent::WorkerStarted { worker: 1, capacity: 16.0, warm: false }));
    let cold = |n: usize| HistoryEvent::AttemptReceived {
        call: n as u64,
        attempt: 0,
        gateway: n % gateways,
        worker: 1,
        work,
    };
    day.extend((0..calls).map(|n| at(1.0 + n as f64 / 1e3, cold(n))));
    let broken = check(&day, &terms);
    assert_eq!(broken.iter().any(|b| b.rule == 4), found, "{broken:?}");
}

/// The limit of the standing test: N + 2 x root of N + 2, under thirty N + 3 x root of N + 3.
#[test_case(0.0, 3.0)]
#[test_case(4.0, 13.0)]
#[test_case(25.0, 43.0)]
#[test_case(36.0, 50.0)]
#[test_case(100.0, 122.0)]
fn the_limit_of_a_slow_start(allowed: f64, limit: f64) {
    assert!((milletpath_history_checker::slow_start_limit(allowed) - limit).abs() < 1e-9);
}

/// What looks like a broken rule and is none.
#[test_case(vec![(6.0, asked(9, 0)), (6.0, call(9, Idempotency::Idempotent)), (7.0, HistoryEvent::GatewayKilled { gateway: 0 }), (7.1, ended(9, AttemptOutcome::ConnectionLost))]; "its gateway was killed")]
#[test_case(vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, asked(9, 0)), (8.0, HistoryEvent::GatewayPaused { gateway: 0 }), (9.0, ended(9, AttemptOutcome::Unanswered)), (9.5, HistoryEvent::GatewayResumed { gateway: 0 })]; "its gateway stands still")]
#[test_case(vec![(5.9, came(2, 1))]; "a shot within the grace, for a call that is over")]
#[test_case(vec![(6.0, HistoryEvent::EndpointNotified { gateway: 0, worker: 1, ready: true }), (7.2, HistoryEvent::LoadRequested { gateway: 0, worker: 1 })]; "the worker is back")]
#[test_case(vec![(1.15, HistoryEvent::RequestExecuted { call: 0, worker: 0 })]; "a pure call runs twice")]
#[test_case((0..40).map(|n| (0.7 + 0.001 * f64::from(n), came(90, 0))).collect(); "a crowd at a warm worker")]
fn what_breaks_no_other_rule(more: Vec<(f64, HistoryEvent)>) {
    let broken = check(&with(more), &TERMS);
    assert!(broken.iter().all(|b| b.rule == 1 && b.what.contains("later gateway")), "{broken:?}");
}

/// A client's further try counts with its first: answered by then, the call was waited for since the first.
#[test]
fn service_counts_from_the_first_try() {
    let day = |second: f64| {
        let at = |at, event| HistoryRecord { at, event };
        let again = HistoryEvent::AttemptSent { call: 1, attempt: 1, gateway: 0, patience: 3.0 };
        let handled =
            HistoryEvent::AttemptEnded { call: 1, attempt: 1, gateway: 0, how: AttemptOutcome::Succeeded };
        vec![
            at(0.0, call(1, Idempotency::Idempotent)),
            at(0.0, asked(1, 0)),
            at(0.5, ended(1, AttemptOutcome::Rejected)),
            at(0.6, again),
            at(second, handled),
        ]
    };
    let account = ServiceWeights { late: 0.1, quotas: vec![], over_share: 1.0 };
    let service = |second| count_service(&day(second), &account).0.service();
    assert_eq!((service(0.9), service(1.2)), (1.0, 0.1));
}

#[test]
fn calls_beyond_a_share_count_less() {
    let records: Vec<_> =
        (0..10).map(|n| HistoryRecord { at: 0.01, event: call(n, Idempotency::Idempotent) }).collect();
    let account = ServiceWeights { late: 0.0, quotas: vec![Some(4.0)], over_share: 0.5 };
    let (whole, _) = count_service(&records, &account);
    assert_eq!((whole.asked, whole.unanswered), (4.0 + 6.0 * 0.5, 10));
}

/// Of a call that was tried twice the handled try counts, from when it was sent.
#[test]
fn latencies_are_of_handled_tries() {
    let at = |at, event| HistoryRecord { at, event };
    let again = HistoryEvent::AttemptSent { call: 1, attempt: 1, gateway: 0, patience: 3.0 };
    let handled =
        HistoryEvent::AttemptEnded { call: 1, attempt: 1, gateway: 0, how: AttemptOutcome::Succeeded };
    let mut records = vec![
        at(0.0, asked(1, 0)),
        at(0.5, ended(1, AttemptOutcome::Rejected)),
        at(1.0, again),
        at(1.25, handled),
    ];
    assert_eq!(latencies(&records, [0.0, 1.0]), Some([0.25, 0.25]));
    records.truncate(2);
    assert_eq!(latencies(&records, [0.5]), None);
}
