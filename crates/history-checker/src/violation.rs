//! A violation of a rule, as reports print it.

/// One place of a history where a rule is violated.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The number of the rule, from 1 to 5.
    pub rule: u8,
    /// When, in seconds of the history's clock.
    pub at: f64,
    /// What happened. The texts are part of the JSON report and stay as users know them.
    pub what: String,
}
