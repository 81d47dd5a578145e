//! Concurrent attempts in flight at each worker.

use super::BoundReport;
use crate::event::{HistoryEvent, HistoryRecord};
use std::collections::BTreeMap;

/// A change in the number of attempts in flight at a worker.
struct Change {
    at: f64,
    worker: usize,
    is_start: bool,
}

impl Change {
    /// The change that a record describes, if any. The end of an attempt counts as earlier than observed, because the
    /// gateway may have seen it before the checker did.
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

/// Checks the number of attempts in flight at each worker.
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
