//! All replicas that a follower knows: which of them it follows, and when it polls them.

use super::source::Source;
use std::cmp::Reverse;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Number of replicas that a follower follows. With one of them silent and one faulty, the silent one is soon replaced by
/// the next in order of preference, which together with the third confirms what it reports.
const FOLLOWED_REPLICAS: usize = 3;

/// Number of replicas whose reports must be identical; one if there is only one replica.
const REQUIRED_REPORTS: usize = 2;

/// Seconds between two polls of a silent replica that is not followed, to notice when it is back.
const SILENT_PROBE_INTERVAL: f64 = 5.0;

/// All replicas, and the order in which this follower prefers them.
#[derive(Clone, Debug)]
pub(super) struct Sources {
    /// By index of the replica.
    pub all: Vec<Source>,
    /// Indexes of the replicas in this follower's order of preference.
    preference_order: Vec<usize>,
    /// Number of replicas whose reports must be identical.
    pub required_reports: usize,
}

impl Sources {
    /// The order of preference comes from rendezvous hashing and differs between followers, so that when a replica falls
    /// silent its followers spread evenly over the others.
    pub fn new(name: &str, replicas: Vec<SocketAddr>, now: f64) -> Self {
        let weight = |replica: &usize| xxh3_64(format!("{name} {}", replicas[*replica]).as_bytes());
        let mut preference_order: Vec<usize> = (0..replicas.len()).collect();
        preference_order.sort_by_key(|replica| Reverse(weight(replica)));
        let required_reports = replicas.len().min(REQUIRED_REPORTS);
        let all = replicas.into_iter().map(|address| Source::new(address, now)).collect();
        Self { all, preference_order, required_reports }
    }

    /// The replicas to follow, by preference: first those that are neither silent nor distrusted, then silent ones, and
    /// distrusted ones last.
    pub fn followed(&self, now: f64) -> Vec<usize> {
        let mut order = self.preference_order.clone();
        order.sort_by_key(|replica| {
            let source = &self.all[*replica];
            (source.is_distrusted(now), source.is_silent)
        });
        order.truncate(FOLLOWED_REPLICAS);
        order
    }

    pub fn position(&self, address: SocketAddr) -> Option<usize> {
        self.all.iter().position(|source| source.address == address)
    }

    /// Marks replicas as silent that have not answered for `timeout` seconds.
    pub fn mark_silent(&mut self, now: f64, timeout: f64) {
        for source in &mut self.all {
            source.is_silent |= source.unanswered_since.is_some_and(|since| now >= since + timeout);
        }
    }

    /// Restarts the silence timeouts after a pause of this process, during which no reply could be received.
    pub fn reset_after_pause(&mut self, now: f64) {
        let unanswered = self.all.iter_mut().filter(|source| source.unanswered_since.is_some());
        unanswered.for_each(|source| source.unanswered_since = Some(now));
    }

    /// The replicas to poll now: followed ones, and occasionally silent ones.
    pub fn due(&self, now: f64) -> Vec<usize> {
        let followed = self.followed(now);
        (0..self.all.len()).filter(|replica| self.poll_time(*replica, &followed) <= now).collect()
    }

    fn poll_time(&self, replica: usize, followed: &[usize]) -> f64 {
        let source = &self.all[replica];
        if followed.contains(&replica) {
            source.poll_at
        } else if source.is_silent {
            source.last_polled_at + SILENT_PROBE_INTERVAL
        } else {
            f64::INFINITY
        }
    }

    /// When the next poll is due.
    pub fn next_poll(&self, now: f64) -> f64 {
        let followed = self.followed(now);
        let times = (0..self.all.len()).map(|replica| self.poll_time(replica, &followed));
        times.fold(f64::INFINITY, f64::min)
    }

    /// When the next replica becomes silent unless it answers.
    pub fn next_silence(&self, timeout: f64) -> f64 {
        let waiting = self.all.iter().filter(|source| !source.is_silent);
        let since = waiting.filter_map(|source| source.unanswered_since);
        since.map(|since| since + timeout).fold(f64::INFINITY, f64::min)
    }

    /// Polls the followed replicas `delay` seconds after their last poll, unless they are polled earlier anyway.
    pub fn poll_soon(&mut self, now: f64, delay: f64) {
        for replica in self.followed(now) {
            let source = &mut self.all[replica];
            source.poll_at = source.poll_at.min((source.last_polled_at + delay).max(now));
        }
    }

    /// Discards what a replica reported and distrusts it for a while.
    pub fn distrust(&mut self, replica: usize, now: f64) {
        self.all[replica].distrust(now);
    }

    /// Drops reported entries up to `head`, which are applied.
    pub fn discard_through(&mut self, head: u64) {
        for source in &mut self.all {
            source.entries = source.entries.split_off(&(head + 1));
        }
    }
}
