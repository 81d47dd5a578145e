//! Log lines for what an operator should know of the follower without asking. The follower is looked at once a second, and
//! a line is written when something changed.

use milletpath_config_log::Follower;

/// Whether the applied state is known to be the latest.
#[derive(Clone, Copy, PartialEq)]
enum Freshness {
    /// The process has just started.
    Unknown,
    /// A majority of the control machines confirmed it lately.
    Confirmed,
    /// No majority has confirmed it for a while.
    Stale,
}

/// Counters whose growth is logged.
#[derive(Clone, Copy)]
struct Counts {
    /// Times that control machines contradicted each other.
    conflicts: u64,
    /// Times that the state was collected again, as it was no state of the log.
    rebuilds: u64,
}

/// What was logged last.
pub struct StatusLog {
    logged: Counts,
    freshness: Freshness,
    /// When the follower is looked at next, in seconds on the gateway's clock.
    next_check: f64,
}

impl StatusLog {
    /// Nothing is logged yet; the follower is first looked at from `now` on.
    pub fn new(now: f64) -> Self {
        Self { logged: Counts { conflicts: 0, rebuilds: 0 }, freshness: Freshness::Unknown, next_check: now }
    }

    /// Logs what changed since the last look, at most once a second.
    pub fn update(&mut self, follower: &Follower, now: f64) {
        /// Between two looks.
        const INTERVAL_SECONDS: f64 = 1.0;
        /// Without confirmation for so long the state may not be the latest: several polls, and the choice of another
        /// control machine to follow.
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
            tracing::warn!("the applied configuration state was no state of the log; it was collected again");
        }
        self.logged = counts;
    }
}
