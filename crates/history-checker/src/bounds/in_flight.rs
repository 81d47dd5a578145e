//! Attempts in flight at each worker at a time.

use super::BoundReport;
use crate::event::{HistoryEvent, HistoryRecord};
use std::collections::BTreeMap;

/// A change of the attempts in flight at a worker.
struct Change {
    at: f64,
    worker: usize,
    is_start: bool,
}

impl Change {
    /// The change that a record states. The end of an attempt counts earlier than it was observed: the gateway may have
    /// seen it before.
    fn from_record(record: &HistoryRecord, tolerance: f64) -> Option<Self> {
        match record.event {
            HistoryEvent::AttemptFinished { worker, .. } => {
                Some(Self { at: record.at - 2.0 * tolerance, worker, is_start: false })
            }
            HistoryEvent::AttemptReceived { worker, .. } => {
                Some(Self { at: record.at, worker, is_start: true })
            }
            _ => None,
        }
    }
}

/// The bound by the attempts that may be in flight at one worker.
pub(super) fn bound(records: &[HistoryRecord], allowed: f64, tolerance: f64) -> BoundReport {
    let mut changes: Vec<_> =
        records.iter().filter_map(|record| Change::from_record(record, tolerance)).collect();
    changes.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut bound = BoundReport::default();
    let mut in_flight: BTreeMap<usize, f64> = BTreeMap::new();
    for Change { at, worker, is_start } in changes {
        let attempts = in_flight.entry(worker).or_default();
        *attempts += if is_start { 1.0 } else { -1.0 };
        let attempts = *attempts;
        if is_start {
            bound.compare(at, attempts, allowed, || {
                format!("{attempts} attempts in flight at worker {worker}, at most {allowed} allowed")
            });
        }
    }
    bound
}
