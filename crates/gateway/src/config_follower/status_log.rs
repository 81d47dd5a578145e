//! Log lines for what an operator should know of the follower without asking: looked at once a second, told when it changes.

use milletpath_config_log::Follower;

/// Whether the control machines were heard lately, as the log was told last.
#[derive(Clone, Copy, PartialEq)]
enum Freshness {
    Unknown,
    Confirmed,
    Stale,
}

/// Counts whose growth is worth a line.
#[derive(Clone, Copy)]
struct Counts {
    /// Times that control machines contradicted each other.
    conflicts: u64,
    /// Times that the state was gathered anew, as it was no state of the log.
    rebuilds: u64,
}

/// What the log was told last.
pub struct StatusLog {
    logged: Counts,
    freshness: Freshness,
    /// When the follower is looked at next.
    next_check: f64,
}

impl StatusLog {
    /// Nothing is told yet; the follower is first looked at from `now` on.
    pub fn new(now: f64) -> Self {
        Self { logged: Counts { conflicts: 0, rebuilds: 0 }, freshness: Freshness::Unknown, next_check: now }
    }

    /// Tells the log what an operator should know without asking.
    pub fn update(&mut self, follower: &Follower, now: f64) {
        /// Seconds between two looks.
        const INTERVAL_SECONDS: f64 = 1.0;
        /// Seconds after which what is in force here may not be the latest: several polls, and a change of
        /// whom it follows.
        const SILENCE_SECONDS: f64 = 5.0;
        if now < self.next_check {
            return;
        }
        self.next_check = now + INTERVAL_SECONDS;
        let view = follower.view(now);
        let freshness = match view.sure_as_of {
            Some(age) if age < SILENCE_SECONDS => Freshness::Confirmed,
            None if now < SILENCE_SECONDS => Freshness::Unknown,
            _ => Freshness::Stale,
        };
        if freshness != self.freshness {
            let number = view.number;
            match freshness {
                Freshness::Confirmed => {
                    tracing::info!(number, "what is in force here is known to be the latest")
                }
                _ => tracing::warn!(
                    number,
                    "the control machines are silent, or no majority of them is: what is in force stays"
                ),
            }
            self.freshness = freshness;
        }
        let counts = Counts { conflicts: view.conflicts, rebuilds: view.anew };
        if counts.conflicts > self.logged.conflicts {
            let conflicts: Vec<_> = view.replicas.iter().map(|r| (r.replica, r.conflicts)).collect();
            tracing::warn!(?conflicts, "a control machine tells other than the others do, by number");
        }
        if counts.rebuilds > self.logged.rebuilds {
            tracing::warn!("what was in force here was no state of the log; it was gathered anew");
        }
        self.logged = counts;
    }
}
