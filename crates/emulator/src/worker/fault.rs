//! Faults of a worker.

use crate::corrupting_stream::Corruption;

/// Rejections of one client group as if the worker were full.
#[derive(Clone, Copy, Debug)]
pub struct FalseRejection {
    /// The group's number.
    pub group: usize,
    /// The fraction of its requests.
    pub fraction: f64,
}

/// Responses that are corrupted on the wire after the work is done.
#[derive(Clone, Copy, Debug)]
pub struct ResponseCorruption {
    /// The fraction of the responses.
    pub fraction: f64,
    /// What happens to them.
    pub corruption: Corruption,
}

/// What is wrong with a worker at present. The default is nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFault {
    /// The fraction of requests that fail at once and do not run.
    pub failed_fraction: f64,
    /// Whether it takes requests and responds to none; health checks are answered.
    pub unresponsive: bool,
    /// The fraction of responses that are lost after the work is done.
    pub lost_response_fraction: f64,
    /// Responses that are corrupted.
    pub corrupted_responses: Option<ResponseCorruption>,
    /// Rejections although there is room.
    pub false_rejection: Option<FalseRejection>,
}
