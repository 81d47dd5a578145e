//! Types passed between the modules of the lease protocol. Levels are in units of the budget.

use crate::process_id::ProcessId;

/// A received request for a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IncomingRequest {
    pub borrower: ProcessId,
    /// Increases with each request of a borrower.
    pub number: u64,
    /// The level that the borrower wants to hold; from this request on it holds no more.
    pub level: f64,
    /// Whether the borrower also uses no more than `level`, so that anything granted above it is available immediately.
    pub releases: bool,
}

/// The terms of a lease that a lender grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GrantTerms {
    /// The level that the borrower may hold.
    pub level: f64,
    /// How much more the lender could grant.
    pub spare: f64,
}

/// A level to request, held from, or available at one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GatewayLevel {
    pub gateway: ProcessId,
    pub level: f64,
}

/// Sorts by level in descending order, and by gateway id where levels are equal.
pub(crate) fn sort_by_level(levels: &mut [GatewayLevel]) {
    levels.sort_by(|a, b| b.level.total_cmp(&a.level).then(a.gateway.cmp(&b.gateway)));
}
