//! The size of each datagram between gateways, and the bytes per second that each gateway sends.

use super::BoundReport;
use crate::event::{HistoryEvent, HistoryRecord};
use crate::sliding_window::SlidingWindow;
use std::collections::BTreeMap;

const MAX_DATAGRAM_BYTES: f64 = 1400.0;
const MAX_BYTES_PER_SECOND: f64 = 20_000.0;

/// Seconds over which the rate is averaged.
const WINDOW: f64 = 10.0;

/// Checks the size of each datagram and each gateway's byte rate.
pub(super) fn bounds(records: &[HistoryRecord]) -> (BoundReport, BoundReport) {
    let (mut size, mut rate) = (BoundReport::default(), BoundReport::default());
    let mut sent: BTreeMap<usize, SlidingWindow> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        let HistoryEvent::DatagramSent { gateway, bytes } = *event else { continue };
        let window = sent.entry(gateway).or_default();
        window.add_weighted(*at, bytes as f64);
        window.expire(*at, WINDOW);
        let bytes_per_second = window.sum() / WINDOW;
        size.compare(*at, bytes as f64, MAX_DATAGRAM_BYTES, || {
            format!("gateway {gateway} sent a datagram of {bytes} bytes")
        });
        rate.compare(*at, bytes_per_second, MAX_BYTES_PER_SECOND, || {
            format!("gateway {gateway} sent {bytes_per_second:.0} bytes a second")
        });
    }
    (size, rate)
}
