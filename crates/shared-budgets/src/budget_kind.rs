//! The kinds of budgets, and the key that identifies a budget in messages between gateways.

use xxhash_rust::xxh3::xxh3_64;

/// How the use of a budget is counted. All times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetKind {
    /// Units per second.
    Rate,
    /// Units within a sliding window of this length: a unit counts as in use for this long after it was taken. A new
    /// process starts with an empty window, so its full quota is available.
    Window(f64),
    /// Concurrently used units, each used for at most this long. They are released when the process that uses them
    /// exits.
    InFlight(f64),
}

impl BudgetKind {
    /// Maximum time that a unit stays in use after it was taken, in seconds; 0 for a rate.
    #[must_use]
    pub fn max_use_duration(self) -> f64 {
        match self {
            Self::Rate => 0.0,
            Self::Window(seconds) | Self::InFlight(seconds) => seconds,
        }
    }

    /// Whether the budget is counted in indivisible units, so that a fraction of a unit cannot be used.
    #[must_use]
    pub fn has_indivisible_units(self) -> bool {
        !matches!(self, Self::Rate)
    }

    /// The key of a budget of this kind and name in messages: a hash of both, identical on all gateways.
    pub(crate) fn budget_key(self, name: &str) -> u64 {
        let kind_prefix = match self {
            Self::Rate => "rate".to_owned(),
            Self::Window(seconds) => format!("window {seconds}"),
            // The prefix "hand" is this kind's original name; the hash is on the wire, so it cannot change.
            Self::InFlight(seconds) => format!("hand {seconds}"),
        };
        xxh3_64(format!("{kind_prefix}/{name}").as_bytes())
    }
}
