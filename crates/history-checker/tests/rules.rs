//! A correct history violates no rule. For each rule there are histories that violate it: the correct one with one injected
//! fault.

mod correct_history;
mod records;

use correct_history::{
    PARAMETERS, correct_history, correct_history_with, endpoint_notified, executed, load_requested, received,
    started,
};
use milletpath_history_checker::{
    AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency, RuleParameters, Violation, check,
    slow_start_limit,
};
use records::{call, ended, record, sent};
use test_case::test_case;

#[test]
fn a_correct_history_violates_nothing() {
    assert_eq!(check(&correct_history(), &PARAMETERS), []);
}

#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, sent(9, 0))]; "a call without an end")]
#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, sent(9, 0)), (9.0, ended(9, AttemptOutcome::Unanswered))]; "an end without an answer")]
#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, sent(9, 0)), (6.1, ended(9, AttemptOutcome::ConnectionLost))]; "a broken connection")]
#[test_case(1, vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, sent(9, 0)), (6.5, HistoryEvent::GatewayPaused { gateway: 0 }), (7.0, HistoryEvent::GatewayResumed { gateway: 0 }), (9.0, ended(9, AttemptOutcome::Unanswered))]; "no answer long after a pause")]
#[test_case(1, vec![(1.3, ended(0, AttemptOutcome::Rejected))]; "two answers")]
#[test_case(1, vec![(1.5, received(0, 0))]; "an attempt after the answer")]
#[test_case(1, vec![(6.0, ended(77, AttemptOutcome::Succeeded))]; "an answer without an attempt")]
#[test_case(2, vec![(2.15, executed(1, 0))]; "a call with an idempotency key is executed twice")]
#[test_case(2, vec![(3.15, executed(2, 0))]; "a call that is not idempotent is executed twice")]
#[test_case(2, vec![(6.0, call(9, Idempotency::NonIdempotent)), (6.0, sent(9, 0)), (6.1, executed(9, 0)), (6.2, ended(9, AttemptOutcome::Rejected))]; "a rejection after the execution")]
#[test_case(2, vec![(6.0, call(9, Idempotency::NonIdempotent)), (6.0, sent(9, 0)), (6.1, ended(9, AttemptOutcome::Rejected)), (6.12, executed(9, 0))]; "a rejection before the execution")]
#[test_case(3, vec![(6.2, received(2, 1))]; "an attempt after the grace period")]
#[test_case(3, vec![(6.2, load_requested(1))]; "a load request after the grace period")]
#[test_case(4, (0..40).map(|n| (0.7 + 0.001 * f64::from(n), received(90, 1))).collect(); "a burst at a warming worker")]
#[test_case(5, vec![(4.1, load_requested(0)), (4.2, load_requested(0))]; "load requests beyond the limit")]
fn each_rule_has_histories_that_violate_it(rule: u8, more: Vec<(f64, HistoryEvent)>) {
    let violations = check(&correct_history_with(more), &PARAMETERS);
    assert!(violations.iter().any(|violation| violation.rule == rule), "{violations:?}");
}

/// With a tolerance of two seconds for late observations, an attempt sent more than 0.1 s after the client left is still
/// detected. After an answer it is not reported, because the attempt may already have been under way.
#[test_case(AttemptOutcome::Abandoned, 0.15, true; "the client closed")]
#[test_case(AttemptOutcome::Unanswered, 0.15, true; "the client timed out")]
#[test_case(AttemptOutcome::Abandoned, 0.05, false; "the client has only just closed")]
#[test_case(AttemptOutcome::Succeeded, 0.15, false; "the client was answered")]
fn an_attempt_for_a_client_that_has_gone_is_found_despite_tolerance(
    outcome: AttemptOutcome,
    later: f64,
    found: bool,
) {
    let history = correct_history_with(vec![
        (6.0, call(9, Idempotency::Idempotent)),
        (6.0, sent(9, 0)),
        (6.5, ended(9, outcome)),
        (6.5 + later, received(9, 0)),
    ]);
    let violations = check(&history, &RuleParameters { tolerance: 2.0, ..PARAMETERS });
    let is_late = |violation: &Violation| violation.rule == 1 && violation.what.contains("s later gateway");
    assert_eq!(violations.iter().any(is_late), found, "{violations:?}");
}

/// Events that resemble violations of rules 2 to 5 are not reported. Some of the cases send an attempt after its answer,
/// which violates rule 1 only.
#[test_case(vec![(6.0, sent(9, 0)), (6.0, call(9, Idempotency::Idempotent)), (7.0, HistoryEvent::GatewayKilled { gateway: 0 }), (7.1, ended(9, AttemptOutcome::ConnectionLost))]; "its gateway was killed")]
#[test_case(vec![(6.0, call(9, Idempotency::Idempotent)), (6.0, sent(9, 0)), (8.0, HistoryEvent::GatewayPaused { gateway: 0 }), (9.0, ended(9, AttemptOutcome::Unanswered)), (9.5, HistoryEvent::GatewayResumed { gateway: 0 })]; "its gateway is paused")]
#[test_case(vec![(5.9, received(2, 1))]; "an attempt within the grace period, for a call that has ended")]
#[test_case(vec![(6.0, endpoint_notified(1, true)), (7.2, load_requested(1))]; "the worker is ready again")]
#[test_case(vec![(1.15, executed(0, 0))]; "an idempotent call is executed twice")]
#[test_case((0..40).map(|n| (0.7 + 0.001 * f64::from(n), received(90, 0))).collect(); "a burst at a warm worker")]
fn lookalikes_violate_no_rule_but_the_first(more: Vec<(f64, HistoryEvent)>) {
    let violations = check(&correct_history_with(more), &PARAMETERS);
    assert!(violations.iter().all(|v| v.rule == 1 && v.what.contains("later gateway")), "{violations:?}");
}

/// A warming worker may be sent 64 requests of mean work by any number of gateways. One request beyond the bound is
/// detected, even if the requests are light.
#[test_case(1, 0.01, 82, false; "one gateway, as many light calls as allowed")]
#[test_case(1, 0.01, 83, true; "one gateway, one light call too many")]
#[test_case(24, 0.01, 83, true; "24 gateways, one light call too many")]
#[test_case(300, 0.01, 83, true; "300 gateways, one light call too many")]
#[test_case(1, 0.1, 66, false; "one gateway, as many calls of mean work as allowed")]
#[test_case(1, 0.1, 69, true; "one gateway, too many calls of mean work")]
fn overload_of_a_warming_worker_is_found_for_any_number_of_gateways(
    gateways: usize,
    work: f64,
    calls: usize,
    found: bool,
) {
    let parameters =
        RuleParameters { initial_capacity: 0.2, warm_up: 1e9, overload_multiple: 2.0, ..PARAMETERS };
    let violations = check(&warming_worker_history(gateways, work, calls), &parameters);
    assert_eq!(violations.iter().any(|violation| violation.rule == 4), found, "{violations:?}");
}

/// Worker 1 starts at 1 s and is sent `calls` calls within a fraction of a second.
fn warming_worker_history(gateways: usize, work: f64, calls: usize) -> Vec<HistoryRecord> {
    let mut history = vec![record(0.0, started(0, 1e3, true))];
    // Many calls to another worker keep the mean work within a hundredth of 0.1 s.
    history.extend((0..200_000).map(|call| record(0.1, received(call, 0))));
    history.push(record(1.0, started(1, 16.0, false)));
    let warming = |n: usize| {
        let (call, gateway) = (n as u64, n % gateways);
        HistoryEvent::AttemptReceived { call, attempt: 0, gateway, worker: 1, work }
    };
    history.extend((0..calls).map(|n| record(1.0 + n as f64 / 1e3, warming(n))));
    history
}

/// The limit is N + 2 √N + 2, or N + 3 √N + 3 below 30.
#[test_case(0.0, 3.0)]
#[test_case(4.0, 13.0)]
#[test_case(25.0, 43.0)]
#[test_case(36.0, 50.0)]
#[test_case(100.0, 122.0)]
fn the_slow_start_limit_includes_its_margin(allowed: f64, limit: f64) {
    assert!((slow_start_limit(allowed) - limit).abs() < 1e-9);
}
