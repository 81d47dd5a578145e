//! What operators see of shared budgets. Field names in JSON are those of the first version: operators' scripts read them.

use serde::{Deserialize, Serialize};

/// One budget as an operator sees it. Amounts are in units, or in units a second for a rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetView {
    /// The name under which the budget was opened.
    pub name: String,
    /// This gateway's quota among all gateways of the configuration.
    #[serde(rename = "part")]
    pub quota: f64,
    /// What this gateway may use now.
    pub allowed: f64,
    /// What this gateway needs, estimated from its use of late.
    #[serde(rename = "need")]
    pub demand: f64,
    /// What it has leased to others.
    #[serde(rename = "lent")]
    pub granted: f64,
    /// What it holds on lease from others.
    #[serde(rename = "borrowed")]
    pub held: f64,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests for leases that were sent.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Grants that were received.
    pub grants: u64,
    /// Messages that were sent.
    #[serde(rename = "notes")]
    pub messages: u64,
    /// Messages that were not sent, as the bytes a second and the queue are bounded.
    #[serde(rename = "held_back")]
    pub suppressed: u64,
    /// Messages that were received and can't be read.
    #[serde(rename = "unread")]
    pub unreadable: u64,
}
