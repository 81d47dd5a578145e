//! Logs state changes of the configuration follower that operators should notice. The follower is checked once a
//! second, and a line is logged when something has changed.

use milletpath_config_log::Follower;

/// Whether the applied state is confirmed to be the latest.
#[derive(Clone, Copy, PartialEq)]
enum Freshness {
    /// Not known yet because the process has just started.
    Unknown,
    /// Confirmed recently by a majority of the control machines.
    Confirmed,
    /// Not confirmed by a majority for some time.
    Stale,
}

/// Counters whose increases are logged.
#[derive(Clone, Copy)]
struct Counts {
    /// Number of times that control machines contradicted each other.
    conflicts: u64,
    /// Number of times that the state was fetched again because it did not match any state of the log.
    rebuilds: u64,
}

/// Remembers what was logged last, so that only changes are logged.
pub struct StatusLog {
    logged: Counts,
    freshness: Freshness,
    /// When the follower is checked next, in seconds on the gateway's clock.
    next_check: f64,
}

impl StatusLog {
    /// Starts with nothing logged; the first check is due at `now`.
    pub fn new(now: f64) -> Self {
        Self { logged: Counts { conflicts: 0, rebuilds: 0 }, freshness: Freshness::Unknown, next_check: now }
    }

    /// Logs what has changed since the last check, at most once a second.
    pub fn update(&mut self, follower: &Follower, now: f64) {
        /// Time between two checks.
        const INTERVAL_SECONDS: f64 = 1.0;
        /// Age of the last confirmation from which the state counts as stale: long enough for several polls and for
        /// switching to another control machine.
        const STALE_AFTER_SECONDS: f64 = 5.0;
        if now < self.next_check {
            return;
        }
        self.next_check = now + INTERVAL_SECONDS;
        let view = follower.view(now);
        let freshness = match view.confirmed_age {
            Some(age) if age < STALE_AFTER_SECONDS => Freshness::Confirmed,
            None if now < STALE_AFTER_SECONDS => Freshness::Unknown,
            _ => Freshness::Stale,
        };
        if freshness != self.freshness {
            let number = view.number;
            match freshness {
                Freshness::Confirmed => {
                    tracing::info!(number, "the applied configuration state is confirmed to be the latest");
                }
                _ => tracing::warn!(
                    number,
                    "no majority of the control machines answers: the applied configuration state stays"
                ),
            }
            self.freshness = freshness;
        }
        let counts = Counts { conflicts: view.conflicts, rebuilds: view.rebuilds };
        if counts.conflicts > self.logged.conflicts {
            let conflicts: Vec<_> =
                view.replicas.iter().map(|replica| (replica.replica, replica.conflicts)).collect();
            tracing::warn!(?conflicts, "a control machine contradicts the others");
        }
        if counts.rebuilds > self.logged.rebuilds {
            tracing::warn!(
                "the applied configuration state did not match any state of the log; it was fetched again"
            );
        }
        self.logged = counts;
    }
}
