//! Values that the parts of the lease protocol pass to each other, in units of the budget.

use crate::process_id::ProcessId;

/// A request for a lease, as it arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IncomingRequest {
    pub borrower: ProcessId,
    /// Grows from request to request of a borrower.
    pub number: u64,
    /// What the borrower wants to hold; it holds no more from now on.
    pub level: f64,
    /// Nor does it use more: what was granted beyond is free at once.
    pub releases: bool,
}

/// What a lender grants to a borrower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GrantTerms {
    /// What the borrower may hold.
    pub level: f64,
    /// What the lender could grant beside.
    pub spare: f64,
}

/// A level of a budget at one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GatewayLevel {
    pub gateway: ProcessId,
    pub level: f64,
}

/// Sorts levels, the highest first; equal ones by the gateways' ids.
pub(crate) fn sort_by_level(levels: &mut [GatewayLevel]) {
    levels.sort_by(|a, b| b.level.total_cmp(&a.level).then(a.gateway.cmp(&b.gateway)));
}
