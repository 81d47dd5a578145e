//! What functions keep busy over all gateways: each tells what they do there, in lanes, and hears what they do elsewhere.
//!
//! Functions fall into [`BUCKETS`] by their names. Of each bucket one gateway adds up what all report, the first by a hash
//! over those who are there; so nobody hears all from all, and what a gateway sends does not grow with their number. One
//! that does not answer is passed over for a while. A report counts until the next of its sender, or for a few periods.

use crate::message::{FunctionUsage, MAX_ENTRIES, Message};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Few enough that a letter carries several functions, enough that the work is spread.
pub const BUCKETS: u8 = 16;

/// Seconds between two reports of up to so many gateways; more report less often, so that who adds up hears no more.
const REPORT_INTERVAL: f64 = 0.8;
const GATEWAYS_AT_FULL_RATE: f64 = 48.0;

/// Lanes below which a function is not worth a word.
const MIN_CONCURRENCY: f64 = 0.02;

/// Lanes are told in thousandths.
const CONCURRENCY_RESOLUTION: f64 = 1e-3;

/// Periods for which a report counts, and for which a sum does.
const REPORT_LIFETIME: f64 = 3.5;
const TOTAL_LIFETIME: f64 = 2.5;

/// Periods without an answer after which another is asked, and seconds for which it then is.
const ANSWER_TIMEOUT: f64 = 1.8;
const AVOIDANCE_SECONDS: f64 = 10.0;

/// What one gateway reported of a bucket, and when.
type Report = (f64, Vec<FunctionUsage>);

#[derive(Clone, Debug)]
pub struct UsageCounts {
    own_id: u64,
    /// What functions keep busy here.
    own_usage: Vec<(u64, f64)>,
    peers: Vec<u64>,
    next_report_at: f64,
    interval: f64,
    /// Reports by bucket and sender, where this one adds up.
    reports: BTreeMap<(u8, u64), Report>,
    /// What functions of a bucket keep busy elsewhere, how many reported that, and when.
    totals: BTreeMap<u8, (f64, u16, Vec<FunctionUsage>)>,
    /// Who was asked for a bucket, since when it has not answered; and who is passed over until when.
    awaiting: BTreeMap<u8, (u64, f64)>,
    avoided: BTreeMap<u64, f64>,
}

fn bucket_of(function: u64) -> u8 {
    (xxh3_64(&function.to_le_bytes()) % u64::from(BUCKETS)) as u8
}

impl UsageCounts {
    pub fn new(own_id: u64, now: f64) -> Self {
        Self {
            own_id,
            own_usage: Vec::new(),
            peers: Vec::new(),
            next_report_at: now,
            interval: REPORT_INTERVAL,
            reports: BTreeMap::new(),
            totals: BTreeMap::new(),
            awaiting: BTreeMap::new(),
            avoided: BTreeMap::new(),
        }
    }

    /// Those who are there beside this one.
    pub fn set_peers(&mut self, peers: &[u64]) {
        self.peers = peers.to_vec();
        self.interval = REPORT_INTERVAL * ((peers.len() + 1) as f64 / GATEWAYS_AT_FULL_RATE).max(1.0);
    }

    /// When a report is wanted next.
    pub fn next_report_at(&self) -> f64 {
        self.next_report_at
    }

    /// Who adds up a bucket.
    fn aggregator(&self, now: f64, bucket: u8) -> u64 {
        let avoided = |peer: &u64| self.avoided.get(peer).is_some_and(|until| now < *until);
        let candidates = self.peers.iter().copied().filter(|peer| !avoided(peer)).chain([self.own_id]);
        candidates
            .max_by_key(|peer| xxh3_64_with_seed(&peer.to_le_bytes(), bucket.into()))
            .unwrap_or(self.own_id)
    }

    /// Reports, where that is due: to whom, and what. `busy` is what functions keep busy here, in lanes by name.
    pub fn tick(
        &mut self,
        now: f64,
        jitter: f64,
        busy: impl FnOnce() -> Vec<(u64, f64)>,
    ) -> Vec<(u64, Message)> {
        if now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + self.interval * (0.9 + 0.2 * jitter);
        let (reports, totals) = (REPORT_LIFETIME * self.interval, TOTAL_LIFETIME * self.interval);
        self.reports.retain(|_, (at, _)| now - *at < reports);
        self.totals.retain(|_, (at, ..)| now - *at < totals);
        self.avoided.retain(|_, until| now < *until);
        if self.peers.is_empty() {
            self.totals.clear();
            return Vec::new();
        }
        self.own_usage = busy();
        self.own_usage.retain(|(_, concurrency)| *concurrency >= MIN_CONCURRENCY);
        let mut messages = Vec::new();
        for bucket in 0..BUCKETS {
            if let Some((unresponsive, since)) = self.awaiting.get(&bucket).copied()
                && now - since > ANSWER_TIMEOUT * self.interval
            {
                self.awaiting.remove(&bucket);
                self.avoided.insert(unresponsive, now + AVOIDANCE_SECONDS);
            }
            let aggregator = self.aggregator(now, bucket);
            let usage = self.own_usage_of(bucket);
            if aggregator == self.own_id {
                let (reporters, totals) = self.total(bucket, self.own_id);
                self.totals.insert(bucket, (now, reporters, totals));
                self.awaiting.remove(&bucket);
                continue;
            }
            let pending = self.awaiting.get(&bucket).filter(|(peer, _)| *peer == aggregator);
            let since = pending.map_or(now, |(_, since)| *since);
            self.awaiting.insert(bucket, (aggregator, since));
            messages.push((aggregator, Message { bucket: Some(bucket), usage, ..Message::default() }));
        }
        messages
    }

    /// The busiest functions of a bucket here.
    fn own_usage_of(&self, bucket: u8) -> Vec<FunctionUsage> {
        let mut own_usage: Vec<_> =
            self.own_usage.iter().filter(|(name, _)| bucket_of(*name) == bucket).collect();
        own_usage.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        own_usage.truncate(MAX_ENTRIES);
        let count = |(function, concurrency): &(u64, f64)| FunctionUsage {
            function: *function,
            concurrency: (concurrency / CONCURRENCY_RESOLUTION) as u32,
        };
        own_usage.into_iter().map(count).collect()
    }

    /// What functions of a bucket keep busy at all but one gateway, and how many of these reported.
    fn total(&self, bucket: u8, excluded: u64) -> (u16, Vec<FunctionUsage>) {
        let mut totals: BTreeMap<u64, u32> = BTreeMap::new();
        let mut add = |usage: &[FunctionUsage]| {
            for count in usage {
                let total = totals.entry(count.function).or_default();
                *total = total.saturating_add(count.concurrency);
            }
        };
        let mut reporter_count = 0;
        for (_, (_, usage)) in
            self.reports.range((bucket, 0)..=(bucket, u64::MAX)).filter(|((_, l), _)| *l != excluded)
        {
            add(usage);
            reporter_count += 1;
        }
        if excluded != self.own_id {
            add(&self.own_usage_of(bucket));
            reporter_count += 1;
        }
        let mut totals: Vec<_> = totals
            .into_iter()
            .map(|(function, concurrency)| FunctionUsage { function, concurrency })
            .collect();
        totals.sort_by(|a, b| b.concurrency.cmp(&a.concurrency).then(a.function.cmp(&b.function)));
        totals.truncate(MAX_ENTRIES);
        (reporter_count, totals)
    }

    /// A report came of another gateway; gives what it is to be told, if it is one that can be there.
    pub fn record_report(
        &mut self,
        now: f64,
        peer: u64,
        bucket: u8,
        usage: Vec<FunctionUsage>,
    ) -> Option<Message> {
        /// Gateways of which reports are kept at most, times those that are there, and some.
        const REPORTERS_PER_PEER: usize = 2;
        let capacity = (REPORTERS_PER_PEER * self.peers.len() + 16) * usize::from(BUCKETS);
        if bucket >= BUCKETS || self.reports.len() >= capacity && !self.reports.contains_key(&(bucket, peer))
        {
            return None;
        }
        self.reports.insert((bucket, peer), (now, usage));
        let (reporters, totals) = self.total(bucket, peer);
        Some(Message { bucket: Some(bucket), totals, reporters, ..Message::default() })
    }

    /// A sum came, which this gateway asked for.
    pub fn record_total(
        &mut self,
        now: f64,
        peer: u64,
        bucket: u8,
        reporters: u16,
        totals: Vec<FunctionUsage>,
    ) {
        if self.awaiting.get(&bucket).is_some_and(|(aggregator, _)| *aggregator == peer) {
            self.awaiting.remove(&bucket);
            self.totals.insert(bucket, (now, reporters, totals));
        }
    }

    /// What functions keep busy elsewhere, in lanes by name; none while that is not known of all of them, or nobody else
    /// is there.
    pub fn elsewhere(&self, now: f64) -> Option<BTreeMap<u64, f64>> {
        let fresh = |(at, reporters, _): &(f64, u16, Vec<FunctionUsage>)| {
            now - at < TOTAL_LIFETIME * self.interval && *reporters > 0
        };
        let known = (0..BUCKETS).all(|b| self.totals.get(&b).is_some_and(fresh));
        let usage = self.totals.values().flat_map(|(_, _, usage)| usage);
        known
            .then(|| usage.map(|c| (c.function, f64::from(c.concurrency) * CONCURRENCY_RESOLUTION)).collect())
    }
}

#[cfg(test)]
mod tests;
