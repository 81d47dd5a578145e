//! Rule 5: whenever a gateway sends a load request, its load requests within the window do not exceed the free ones plus
//! those earned by the attempts that it accepted.

use crate::event::{HistoryEvent, HistoryRecord};
use crate::rule_parameters::RuleParameters;
use crate::sliding_window::SlidingWindow;
use crate::violation::Violation;
use crate::window_limit::WindowLimit;
use std::collections::BTreeMap;

const RULE: u8 = 5;

/// The attempts that a gateway accepted and the load requests that it sent, within the window.
#[derive(Default)]
struct GatewayLoadRequests {
    accepted: SlidingWindow,
    load_requests: SlidingWindow,
}

/// Finds all violations of the rule; none if load requests are not limited.
pub(super) fn violations(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let Some(limit) = parameters.load_rate_limit else { return Vec::new() };
    let mut gateways: BTreeMap<usize, GatewayLoadRequests> = BTreeMap::new();
    let mut violations = Vec::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::GatewayKilled { gateway } => {
                gateways.remove(&gateway);
            }
            HistoryEvent::AttemptSent { gateway, .. } => {
                gateways.entry(gateway).or_default().accepted.add(*at);
            }
            HistoryEvent::LoadRequested { gateway, .. } => {
                let state = gateways.entry(gateway).or_default();
                let what = state.on_load_request(*at, gateway, limit, parameters.tolerance);
                violations.extend(what.map(|what| Violation { rule: RULE, at: *at, what }));
            }
            _ => {}
        }
    }
    violations
}

impl GatewayLoadRequests {
    /// Counts a load request; returns a description of the violation if it exceeds the limit.
    fn on_load_request(
        &mut self,
        at: f64,
        gateway: usize,
        limit: WindowLimit,
        tolerance: f64,
    ) -> Option<String> {
        let WindowLimit { window, free, per_request } = limit;
        self.load_requests.add(at);
        // An observation may be late by the tolerance, so the load request may belong to an earlier window.
        let count = self.load_requests.count_within(at, window - tolerance);
        let allowed = free + per_request * self.accepted.count_within(at, window + tolerance);
        (count > allowed).then(|| {
            format!("gateway {gateway} gave {count} orders within {window} s, for {allowed:.1} at most")
        })
    }
}
