//! Faults in a worker.

use crate::corrupting_stream::Corruption;

/// Rejection of one client group's requests as if the worker were full.
#[derive(Clone, Copy, Debug)]
pub struct FalseRejection {
    /// The group's number.
    pub group: usize,
    /// The fraction of its requests that is rejected.
    pub fraction: f64,
}

/// Corruption of responses on the wire, after the work is done.
#[derive(Clone, Copy, Debug)]
pub struct ResponseCorruption {
    /// The fraction of the responses that is corrupted.
    pub fraction: f64,
    /// How they are corrupted.
    pub corruption: Corruption,
}

/// The faults currently injected into a worker. The default is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFault {
    /// The fraction of requests that fail immediately and do not run.
    pub failed_fraction: f64,
    /// Whether it accepts requests but responds to none; health checks are still answered.
    pub unresponsive: bool,
    /// The fraction of responses that are lost after the work is done.
    pub lost_response_fraction: f64,
    /// Corruption of responses.
    pub corrupted_responses: Option<ResponseCorruption>,
    /// Rejections despite free capacity.
    pub false_rejection: Option<FalseRejection>,
}
