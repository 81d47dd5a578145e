//! Pending requests and probes.

/// Maximum number of recorded requests: those of about half a minute, so that late acks can still be matched.
pub(crate) const MAX_PENDING_REQUESTS: usize = 512;

/// Maximum number of pending probes on behalf of other members; the oldest is dropped beyond that.
pub(crate) const MAX_INDIRECT_PROBES: usize = 64;

/// A request that was sent and may still be answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub request_id: u64,
    /// The member to which it was sent.
    pub instance_id: u64,
    pub sent_at: f64,
}

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub instance_id: u64,
    pub started_at: f64,
    pub pings_sent: u32,
    /// When the next ping is due; infinite after the last ping or an ack.
    pub retry_at: f64,
    pub answered: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndirectProbe {
    /// Request id of the requester's ping request.
    pub request_id: u64,
    /// Request id of the ping that this process sent to the subject.
    pub own_request_id: u64,
    pub requester: u64,
}

/// The slowest recent round trip.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowestRoundTrip {
    /// Seconds from request to ack.
    pub round_trip: f64,
    /// When the ack was received.
    pub received_at: f64,
}
