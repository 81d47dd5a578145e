//! The state of shared budgets as shown to operators. The JSON keeps its original field names, which operators' scripts
//! read.

use serde::{Deserialize, Serialize};

/// The state of one budget as shown to operators. Amounts are in units, or in units per second for a rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetView {
    /// The name under which the budget was opened.
    pub name: String,
    /// This gateway's quota if all configured gateways are running.
    #[serde(rename = "part")]
    pub quota: f64,
    /// How much this gateway may use now.
    pub allowed: f64,
    /// This gateway's demand, estimated from its recent use.
    #[serde(rename = "need")]
    pub demand: f64,
    /// The total leased to other gateways.
    #[serde(rename = "lent")]
    pub granted: f64,
    /// The total held on lease from other gateways.
    #[serde(rename = "borrowed")]
    pub held: f64,
}

/// Event counts since the start; monotonically increasing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Lease requests sent.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Grants received.
    pub grants: u64,
    /// Messages sent.
    #[serde(rename = "notes")]
    pub messages: u64,
    /// Messages not sent because of the byte limit or the queue limit.
    #[serde(rename = "held_back")]
    pub suppressed: u64,
    /// Received messages that could not be decoded.
    #[serde(rename = "unread")]
    pub unreadable: u64,
}
