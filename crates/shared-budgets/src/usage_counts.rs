//! The concurrency of functions across the fleet: each gateway reports its own concurrency and receives the total of
//! all other gateways.
//!
//! Functions are divided into [`BUCKETS`] by a hash of their names. One gateway aggregates the reports for each
//! bucket, chosen by rendezvous hashing. Thus no gateway receives every report, and the traffic sent by a gateway
//! does not grow with the size of the fleet. An aggregator that does not answer is avoided for a while. A report is
//! valid until the next one from the same sender, or for [`REPORT_LIFETIME`] intervals.

mod aggregators;

use crate::message::{FunctionUsage, MAX_ENTRIES, Message};
use crate::process_id::ProcessId;
use aggregators::Aggregators;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets: small enough that a message carries several functions, large enough to distribute the work.
const BUCKETS: u8 = 16;

/// Mean time between two reports of a gateway, in seconds, in a fleet of up to [`GATEWAYS_AT_FULL_RATE`] gateways.
const REPORT_INTERVAL: f64 = 0.8;

/// Fleet size above which gateways report less often, so that the rate of messages to an aggregator stays constant.
const GATEWAYS_AT_FULL_RATE: f64 = 48.0;

/// Minimum concurrency at which a function is reported.
const MIN_CONCURRENCY: f64 = 0.02;

/// Resolution of concurrency in messages.
const CONCURRENCY_RESOLUTION: f64 = 1e-3;

/// Validity of a report, in report intervals.
const REPORT_LIFETIME: f64 = 3.5;

/// Validity of a total, in report intervals.
const TOTAL_LIFETIME: f64 = 2.5;

/// Report intervals without an answer after which another aggregator is chosen.
const ANSWER_TIMEOUT: f64 = 1.8;

/// The concurrency of one function on one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionConcurrency {
    /// A hash of the function's name, identical on all gateways.
    pub function: u64,
    /// Mean number of concurrent invocations.
    pub concurrency: f64,
}

/// A gateway's latest report for a bucket.
#[derive(Clone, Debug)]
struct Report {
    received_at: f64,
    usage: Vec<FunctionUsage>,
}

/// The total concurrency of a bucket's functions on all gateways except one.
#[derive(Clone, Debug)]
struct BucketTotal {
    received_at: f64,
    /// Number of gateways whose usage is included.
    reporters: u16,
    usage: Vec<FunctionUsage>,
}

/// The concurrency of functions on this gateway and on all other gateways.
#[derive(Clone, Debug)]
pub(crate) struct UsageCounts {
    own_id: ProcessId,
    /// The concurrency on this gateway as of the last report.
    own_usage: Vec<FunctionConcurrency>,
    next_report_at: f64,
    /// Mean time between two reports, in seconds.
    interval: f64,
    /// Reports by bucket and sender, for the buckets that this gateway aggregates. [`Self::record_report`] bounds their
    /// number.
    reports: BTreeMap<(u8, ProcessId), Report>,
    /// Totals of all other gateways, by bucket.
    totals: BTreeMap<u8, BucketTotal>,
    aggregators: Aggregators,
}

/// The bucket of a function.
fn bucket_of(function: u64) -> u8 {
    (xxh3_64(&function.to_le_bytes()) % u64::from(BUCKETS)) as u8
}

impl UsageCounts {
    pub(crate) fn new(own_id: ProcessId, now: f64) -> Self {
        Self {
            own_id,
            own_usage: Vec::new(),
            next_report_at: now,
            interval: REPORT_INTERVAL,
            reports: BTreeMap::new(),
            totals: BTreeMap::new(),
            aggregators: Aggregators::new(own_id),
        }
    }

    /// Sets the other gateways.
    pub(crate) fn set_peers(&mut self, peers: &[ProcessId]) {
        self.aggregators.set_peers(peers);
        self.interval = REPORT_INTERVAL * ((peers.len() + 1) as f64 / GATEWAYS_AT_FULL_RATE).max(1.0);
    }

    /// When [`tick`](Self::tick) is due next.
    pub(crate) fn next_report_at(&self) -> f64 {
        self.next_report_at
    }

    /// The reports to send now, with their recipients; empty before they are due. `jitter` is a random number from 0
    /// to 1; `read_concurrency` returns the concurrency of functions on this gateway.
    pub(crate) fn tick(
        &mut self,
        now: f64,
        jitter: f64,
        read_concurrency: impl FnOnce() -> Vec<FunctionConcurrency>,
    ) -> Vec<(ProcessId, Message)> {
        if now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + self.interval * (0.9 + 0.2 * jitter);
        self.remove_expired(now);
        if self.aggregators.peer_count() == 0 {
            self.totals.clear();
            return Vec::new();
        }
        self.own_usage = read_concurrency();
        self.own_usage.retain(|own| own.concurrency >= MIN_CONCURRENCY);
        (0..BUCKETS).filter_map(|bucket| self.report(now, bucket)).collect()
    }

    fn remove_expired(&mut self, now: f64) {
        let (report_lifetime, total_lifetime) =
            (REPORT_LIFETIME * self.interval, TOTAL_LIFETIME * self.interval);
        self.reports.retain(|_, report| now - report.received_at < report_lifetime);
        self.totals.retain(|_, total| now - total.received_at < total_lifetime);
        self.aggregators.remove_expired(now);
    }

    /// The report for a bucket and the aggregator that receives it; `None` if this gateway is the aggregator.
    fn report(&mut self, now: f64, bucket: u8) -> Option<(ProcessId, Message)> {
        let aggregator = self.aggregators.choose(now, bucket, ANSWER_TIMEOUT * self.interval);
        if aggregator == self.own_id {
            let total = self.total_without(now, bucket, self.own_id);
            self.totals.insert(bucket, total);
            self.aggregators.stop_awaiting(bucket);
            return None;
        }
        self.aggregators.await_answer(now, bucket, aggregator);
        let usage = self.own_usage_of(bucket);
        Some((aggregator, Message { bucket: Some(bucket), usage, ..Message::default() }))
    }

    /// The functions of a bucket with the highest concurrency on this gateway.
    fn own_usage_of(&self, bucket: u8) -> Vec<FunctionUsage> {
        let mut busiest: Vec<_> =
            self.own_usage.iter().filter(|own| bucket_of(own.function) == bucket).collect();
        busiest.sort_by(|a, b| b.concurrency.total_cmp(&a.concurrency).then(a.function.cmp(&b.function)));
        busiest.truncate(MAX_ENTRIES);
        let to_wire = |own: &FunctionConcurrency| FunctionUsage {
            function: own.function,
            concurrency: (own.concurrency / CONCURRENCY_RESOLUTION) as u32,
        };
        busiest.into_iter().map(to_wire).collect()
    }

    /// The functions of a bucket with the highest total concurrency over this gateway and all that reported, without
    /// the excluded one.
    fn total_without(&self, now: f64, bucket: u8, excluded: ProcessId) -> BucketTotal {
        let mut sums: BTreeMap<u64, u32> = BTreeMap::new();
        let mut reporters = 0;
        let mut add = |usage: &[FunctionUsage]| {
            reporters += 1;
            for entry in usage {
                let sum = sums.entry(entry.function).or_default();
                *sum = sum.saturating_add(entry.concurrency);
            }
        };
        let bucket_reports = self.reports.range((bucket, 0)..=(bucket, ProcessId::MAX));
        for (_, report) in bucket_reports.filter(|((_, reporter), _)| *reporter != excluded) {
            add(&report.usage);
        }
        if excluded != self.own_id {
            add(&self.own_usage_of(bucket));
        }
        let mut usage: Vec<_> =
            sums.into_iter().map(|(function, concurrency)| FunctionUsage { function, concurrency }).collect();
        usage.sort_by(|a, b| b.concurrency.cmp(&a.concurrency).then(a.function.cmp(&b.function)));
        usage.truncate(MAX_ENTRIES);
        BucketTotal { received_at: now, reporters, usage }
    }

    /// Records another gateway's report. Returns the answer, which holds the total of all gateways except that one, or
    /// `None` if the bucket does not exist or there are reports from more gateways than the fleet can have.
    pub(crate) fn record_report(
        &mut self,
        now: f64,
        reporter: ProcessId,
        bucket: u8,
        usage: Vec<FunctionUsage>,
    ) -> Option<Message> {
        /// Reporters kept per known peer.
        const REPORTERS_PER_PEER: usize = 2;
        /// Reporters kept in addition, for the time before the peers are known.
        const EXTRA_REPORTERS: usize = 16;
        let capacity =
            (REPORTERS_PER_PEER * self.aggregators.peer_count() + EXTRA_REPORTERS) * usize::from(BUCKETS);
        let is_known = self.reports.contains_key(&(bucket, reporter));
        if bucket >= BUCKETS || self.reports.len() >= capacity && !is_known {
            return None;
        }
        self.reports.insert((bucket, reporter), Report { received_at: now, usage });
        let BucketTotal { reporters, usage: totals, .. } = self.total_without(now, bucket, reporter);
        Some(Message { bucket: Some(bucket), totals, reporters, ..Message::default() })
    }

    /// Records a total if it answers a report from this gateway.
    pub(crate) fn record_total(
        &mut self,
        now: f64,
        aggregator: ProcessId,
        bucket: u8,
        reporters: u16,
        usage: Vec<FunctionUsage>,
    ) {
        if self.aggregators.accept_answer(bucket, aggregator) {
            self.totals.insert(bucket, BucketTotal { received_at: now, reporters, usage });
        }
    }

    /// The total concurrency of functions on all other gateways, by the hash of the function name. `None` unless
    /// there is a valid total for every bucket, or if there is no other gateway.
    pub(crate) fn remote_concurrency(&self, now: f64) -> Option<BTreeMap<u64, f64>> {
        let lifetime = TOTAL_LIFETIME * self.interval;
        let is_fresh = |total: &BucketTotal| now - total.received_at < lifetime && total.reporters > 0;
        let is_known = (0..BUCKETS).all(|bucket| self.totals.get(&bucket).is_some_and(is_fresh));
        let usage = self.totals.values().flat_map(|total| &total.usage);
        let concurrency =
            usage.map(|entry| (entry.function, f64::from(entry.concurrency) * CONCURRENCY_RESOLUTION));
        is_known.then(|| concurrency.collect())
    }
}

#[cfg(test)]
mod tests;
