//! Rule 3: after a gateway is notified that a worker is draining or gone, it sends the worker no attempt and no load request
//! once the grace period has passed.

use crate::event::{HistoryEvent, HistoryRecord};
use crate::rule_parameters::RuleParameters;
use crate::violation::Violation;
use std::collections::BTreeMap;

const RULE: u8 = 3;

#[derive(Default)]
struct DrainRespected {
    /// Time at which each gateway was first notified that a worker is not ready, by gateway and worker.
    notified_at: BTreeMap<(usize, usize), f64>,
    violations: Vec<Violation>,
}

/// Finds all violations of the rule.
pub(super) fn violations(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let mut rule = DrainRespected::default();
    let latest = parameters.drain_grace + parameters.tolerance;
    for HistoryRecord { at, event } in records {
        rule.observe(*at, event, latest);
    }
    rule.violations
}

impl DrainRespected {
    fn observe(&mut self, at: f64, event: &HistoryEvent, latest: f64) {
        match *event {
            HistoryEvent::EndpointNotified { gateway, worker, ready: true } => {
                self.notified_at.remove(&(gateway, worker));
            }
            HistoryEvent::EndpointNotified { gateway, worker, ready: false } => {
                self.notified_at.entry((gateway, worker)).or_insert(at);
            }
            // A new process has not received the notifications sent to its predecessor.
            HistoryEvent::GatewayKilled { gateway } => {
                self.notified_at.retain(|(other, _), _| *other != gateway);
            }
            HistoryEvent::AttemptReceived { gateway, worker, .. } => {
                self.on_received(at, gateway, worker, "a shot", latest);
            }
            HistoryEvent::LoadRequested { gateway, worker } => {
                self.on_received(at, gateway, worker, "an order", latest);
            }
            _ => {}
        }
    }

    /// Checks a message that a worker received; `kind` is its name in the report.
    fn on_received(&mut self, at: f64, gateway: usize, worker: usize, kind: &str, latest: f64) {
        let Some(notified_at) = self.notified_at.get(&(gateway, worker)) else { return };
        let late = at - notified_at;
        if late > latest {
            let what =
                format!("{kind} of gateway {gateway} came to worker {worker}, {late:.3} s after its drain");
            self.violations.push(Violation { rule: RULE, at, what });
        }
    }
}
