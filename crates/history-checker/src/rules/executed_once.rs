//! Rule 2: only calls that are idempotent without a key may be executed more than once, and a rejection means that nothing
//! was executed.

use crate::event::{AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency};
use crate::violation::Violation;
use std::collections::{BTreeMap, BTreeSet};

const RULE: u8 = 2;

#[derive(Default)]
struct ExecutedOnce {
    idempotency: BTreeMap<u64, Idempotency>,
    /// The number of executions of each call.
    executions: BTreeMap<u64, usize>,
    rejected: BTreeSet<u64>,
    /// The number of the last attempt of each call.
    last_attempt: BTreeMap<u64, u32>,
    violations: Vec<Violation>,
}

/// Finds all violations of the rule.
pub(super) fn violations(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut rule = ExecutedOnce::default();
    for HistoryRecord { at, event } in records {
        rule.observe(*at, event);
    }
    rule.violations
}

impl ExecutedOnce {
    fn observe(&mut self, at: f64, event: &HistoryEvent) {
        match *event {
            HistoryEvent::RequestIssued { call, idempotency, .. } => {
                self.idempotency.insert(call, idempotency);
            }
            HistoryEvent::AttemptSent { call, attempt, .. } => {
                self.last_attempt.insert(call, attempt);
            }
            HistoryEvent::RequestExecuted { call, worker } => self.on_executed(at, call, worker),
            HistoryEvent::AttemptEnded { call, outcome: AttemptOutcome::Rejected, .. } => {
                self.on_rejected(at, call);
            }
            _ => {}
        }
    }

    fn report(&mut self, at: f64, what: String) {
        self.violations.push(Violation { rule: RULE, at, what });
    }

    fn on_executed(&mut self, at: f64, call: u64, worker: usize) {
        let idempotency = self.idempotency.get(&call).copied().unwrap_or(Idempotency::NonIdempotent);
        let executions = self.executions.entry(call).or_default();
        *executions += 1;
        let times = *executions;
        if idempotency != Idempotency::Idempotent && times > 1 {
            let name = idempotency.recorded_name();
            self.report(at, format!("{name} call {call} ran for the {times}th time, on worker {worker}"));
        }
        // A later attempt may be executed although the first one was rejected.
        let is_first_attempt = self.last_attempt.get(&call) == Some(&0);
        if idempotency == Idempotency::NonIdempotent && self.rejected.contains(&call) && is_first_attempt {
            self.report(at, format!("effectful call {call} ran on worker {worker} after it was bounced"));
        }
    }

    fn on_rejected(&mut self, at: f64, call: u64) {
        self.rejected.insert(call);
        let non_idempotent = self.idempotency.get(&call) == Some(&Idempotency::NonIdempotent);
        if non_idempotent && self.executions.contains_key(&call) {
            self.report(at, format!("effectful call {call} was bounced though it had run"));
        }
    }
}
