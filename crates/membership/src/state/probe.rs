//! Requests and probes under way.

/// Requests remembered: about half a minute of them, so that late answers still count.
pub(crate) const MAX_PENDING_REQUESTS: usize = 512;

/// Probes on behalf of others at a time; beyond that the oldest is dropped.
pub(crate) const MAX_INDIRECT_PROBES: usize = 64;

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub request_id: u64,
    /// The member that it was sent to.
    pub instance_id: u64,
    pub sent_at: f64,
}

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub instance_id: u64,
    pub started_at: f64,
    pub pings_sent: u32,
    /// When the next try is due; infinite after the last one or an answer.
    pub retry_at: f64,
    pub answered: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndirectProbe {
    /// Request id that the requester chose.
    pub request_id: u64,
    /// Request id of the ping that this process sent for it.
    pub own_request_id: u64,
    pub requester: u64,
}

/// The slowest answer of late.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowestRoundTrip {
    /// Seconds from request to answer.
    pub round_trip: f64,
    /// When the answer came.
    pub received_at: f64,
}
