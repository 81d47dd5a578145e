//! Rule 5: at each load request of a gateway, its load requests within the window are at most the free ones and those that
//! the attempts it accepted have earned.

use crate::event::{HistoryEvent, HistoryRecord};
use crate::rule_parameters::RuleParameters;
use crate::sliding_window::SlidingWindow;
use crate::violation::Violation;
use crate::window_limit::WindowLimit;
use std::collections::BTreeMap;

const RULE: u8 = 5;

/// What one gateway accepted and requested within the window.
#[derive(Default)]
struct GatewayLoadRequests {
    accepted: SlidingWindow,
    load_requests: SlidingWindow,
}

/// All violations of the rule; none where load requests are not limited.
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
    /// Counts one more load request; gives the violation's text where it is beyond the limit.
    fn on_load_request(
        &mut self,
        at: f64,
        gateway: usize,
        limit: WindowLimit,
        tolerance: f64,
    ) -> Option<String> {
        let WindowLimit { window, free, per_request } = limit;
        self.load_requests.add(at);
        // A late observation may have been sent up to so much earlier, within another window.
        let count = self.load_requests.count_within(at, window - tolerance);
        let allowed = free + per_request * self.accepted.count_within(at, window + tolerance);
        (count > allowed).then(|| {
            format!("gateway {gateway} gave {count} orders within {window} s, for {allowed:.1} at most")
        })
    }
}
