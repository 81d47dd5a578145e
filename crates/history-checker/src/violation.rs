//! A violation of a rule, as shown in reports.

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The number of the rule, from 1 to 5.
    pub rule: u8,
    /// Time in seconds of the history's clock.
    pub at: f64,
    /// Description of the violation. The texts are part of the JSON report and must stay stable for its users.
    pub what: String,
}
