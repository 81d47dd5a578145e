//! Latencies of successful attempts.

use crate::event::{AttemptOutcome, HistoryEvent, HistoryRecord};
use std::collections::BTreeMap;

/// Seconds from sending an attempt to its successful answer, at each of the given quantiles (0.5 is the median); `None` if no
/// attempt succeeded.
pub fn latencies<const N: usize>(records: &[HistoryRecord], quantiles: [f64; N]) -> Option<[f64; N]> {
    let mut sent_at = BTreeMap::new();
    let mut seconds = Vec::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::AttemptSent { call, attempt, .. } => {
                sent_at.insert((call, attempt), *at);
            }
            HistoryEvent::AttemptEnded { call, attempt, outcome: AttemptOutcome::Succeeded, .. } => {
                seconds.extend(sent_at.remove(&(call, attempt)).map(|sent_at| at - sent_at));
            }
            _ => {}
        }
    }
    seconds.sort_by(f64::total_cmp);
    let last = seconds.len().checked_sub(1)?;
    Some(quantiles.map(|quantile| seconds[(quantile * last as f64).round() as usize]))
}
