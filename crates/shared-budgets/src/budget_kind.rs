//! How a budget is counted, and the key by which gateways name it to each other.

use xxhash_rust::xxh3::xxh3_64;

/// In what a budget is counted. All times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetKind {
    /// Units a second.
    Rate,
    /// Units within a sliding window of this length: a unit is in use for that long once it was used, and then free
    /// again. A process that starts begins with an empty window, so it has its full quota.
    Window(f64),
    /// Units in use at the same time, each for at most this long; they end with the process that uses them.
    InFlight(f64),
}

impl BudgetKind {
    /// Seconds for which a unit that is taken stays in use at most; 0 for a rate.
    #[must_use]
    pub fn max_use_duration(self) -> f64 {
        match self {
            Self::Rate => 0.0,
            Self::Window(seconds) | Self::InFlight(seconds) => seconds,
        }
    }

    /// Whether the budget is counted in indivisible units: a fraction of one can't be used by itself.
    #[must_use]
    pub fn has_indivisible_units(self) -> bool {
        !matches!(self, Self::Rate)
    }

    /// The key of a budget of this kind and name in messages: a hash of both, the same at all gateways.
    pub(crate) fn budget_key(self, name: &str) -> u64 {
        let kind = match self {
            Self::Rate => "rate".to_owned(),
            Self::Window(seconds) => format!("window {seconds}"),
            // On the wire since the first version, when this kind had another name.
            Self::InFlight(seconds) => format!("hand {seconds}"),
        };
        xxh3_64(format!("{kind}/{name}").as_bytes())
    }
}
