//! Rule 1: every attempt that a gateway accepts receives exactly one final answer within the client's timeout, and nothing
//! is sent to a worker for it afterwards. After the client has closed its connection or timed out, an attempt at a worker
//! may still start for 0.1 s, whatever the tolerance for late observations. If the gateway was killed in the meantime, no
//! answer is required and the client has to retry.

use crate::event::{AttemptOutcome, HistoryEvent, HistoryRecord};
use crate::rule_parameters::RuleParameters;
use crate::violation::Violation;
use std::collections::BTreeMap;

const RULE: u8 = 1;

/// Seconds for which an attempt at a worker may still start after the client has closed its connection or timed out.
const CLIENT_GONE_GRACE: f64 = 0.1;

/// The call, and the number of the client's attempt within it.
type AttemptKey = (u64, u32);

struct Attempt {
    sent_at: f64,
    end: Option<AttemptEnd>,
}

#[derive(Clone, Copy)]
struct AttemptEnd {
    at: f64,
    outcome: AttemptOutcome,
}

#[derive(Default)]
struct AnsweredOnce {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Time at which each gateway was last killed.
    killed_at: BTreeMap<usize, f64>,
    /// Time at which each gateway last resumed after a pause; infinity while it is paused.
    resumed_at: BTreeMap<usize, f64>,
    violations: Vec<Violation>,
}

/// Finds all violations of the rule.
pub(super) fn violations(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let mut rule = AnsweredOnce::default();
    for HistoryRecord { at, event } in records {
        rule.observe(*at, event, parameters);
    }
    rule.report_open_attempts(records.last().map_or(0.0, |record| record.at));
    rule.violations
}

impl AnsweredOnce {
    fn observe(&mut self, at: f64, event: &HistoryEvent, parameters: &RuleParameters) {
        match *event {
            HistoryEvent::GatewayKilled { gateway } => {
                self.killed_at.insert(gateway, at);
            }
            HistoryEvent::GatewayPaused { gateway } => {
                self.resumed_at.insert(gateway, f64::INFINITY);
            }
            HistoryEvent::GatewayResumed { gateway } => {
                self.resumed_at.insert(gateway, at);
            }
            HistoryEvent::AttemptSent { call, attempt, .. } => self.on_sent(at, (call, attempt)),
            HistoryEvent::AttemptEnded { call, attempt, gateway, outcome } => {
                self.on_ended((call, attempt), gateway, AttemptEnd { at, outcome }, parameters);
            }
            HistoryEvent::AttemptReceived { call, attempt, gateway, worker, .. } => {
                self.on_received(at, (call, attempt), gateway, worker, parameters);
            }
            _ => {}
        }
    }

    fn report(&mut self, at: f64, what: String) {
        self.violations.push(Violation { rule: RULE, at, what });
    }

    fn on_sent(&mut self, at: f64, key: AttemptKey) {
        let (call, attempt) = key;
        if self.attempts.insert(key, Attempt { sent_at: at, end: None }).is_some() {
            self.report(at, format!("call {call}.{attempt} asked twice"));
        }
    }

    fn on_ended(&mut self, key: AttemptKey, gateway: usize, end: AttemptEnd, parameters: &RuleParameters) {
        let (call, attempt) = key;
        let AttemptEnd { at, outcome } = end;
        let name = outcome.recorded_name();
        let Some(attempt_state) = self.attempts.get_mut(&key) else {
            return self.report(at, format!("call {call}.{attempt} ended unasked"));
        };
        let sent_at = attempt_state.sent_at;
        if let Some(previous) = attempt_state.end.replace(end) {
            let previous = previous.outcome.recorded_name();
            self.report(at, format!("call {call}.{attempt} ended as {previous} and again as {name}"));
        }
        if self.answer_is_missing(gateway, sent_at, end, parameters) {
            self.report(at, format!("call {call}.{attempt} at gateway {gateway} got no answer: {name}"));
        }
    }

    /// Whether an attempt ended unanswered although its gateway was able to answer.
    fn answer_is_missing(
        &self,
        gateway: usize,
        sent_at: f64,
        end: AttemptEnd,
        parameters: &RuleParameters,
    ) -> bool {
        if !matches!(end.outcome, AttemptOutcome::Unanswered | AttemptOutcome::ConnectionLost) {
            return false;
        }
        let tolerance = parameters.tolerance;
        let was_killed = self.killed_at.get(&gateway).is_some_and(|killed| *killed >= sent_at - tolerance);
        // A paused process cannot answer, and answers that became due during the pause are late when it resumes.
        let was_paused = end.outcome == AttemptOutcome::Unanswered
            && self.resumed_at.get(&gateway).is_some_and(|resumed| *resumed >= end.at - 2.0 * tolerance);
        !was_killed && !was_paused
    }

    fn on_received(
        &mut self,
        at: f64,
        key: AttemptKey,
        gateway: usize,
        worker: usize,
        parameters: &RuleParameters,
    ) {
        let Some(end) = self.attempts.get(&key).and_then(|attempt| attempt.end) else { return };
        let allowed = match end.outcome {
            AttemptOutcome::Abandoned | AttemptOutcome::Unanswered => {
                parameters.tolerance.min(CLIENT_GONE_GRACE)
            }
            _ => parameters.tolerance,
        };
        let late = at - end.at;
        if late > allowed {
            let ((call, attempt), name) = (key, end.outcome.recorded_name());
            let what = format!(
                "call {call}.{attempt} was {name}, and {late:.3} s later gateway {gateway} sent it to worker {worker}"
            );
            self.report(at, what);
        }
    }

    /// Reports the attempts that are still open at the end of the history.
    fn report_open_attempts(&mut self, at: f64) {
        let open = self.attempts.iter().filter(|(_, attempt)| attempt.end.is_none());
        let open: Vec<_> = open.map(|(key, attempt)| (*key, attempt.sent_at)).collect();
        for ((call, attempt), sent_at) in open {
            self.report(at, format!("call {call}.{attempt} of {sent_at:.3} s has no end"));
        }
    }
}
