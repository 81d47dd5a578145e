//! Types exchanged with the caller: requests, results of attempts, the fraction of shared quotas, and requests
//! interrupted by a restart.

use milletpath_policy::{InstanceState, LoadReport, Outcome};

/// A request as sent by a client.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Name of the function.
    pub function: &'a str,
    /// Index of the profile in the configuration; must be valid.
    pub profile: usize,
    /// Index of the client group in the configuration; any other number for a client that belongs to none.
    pub client: usize,
    /// Seconds until the client gives up.
    pub timeout: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Resources of an instance of the function, if the request states them; otherwise those of the configuration
    /// apply.
    pub resources: Option<FunctionResources>,
}

/// Resources that an instance of a function needs, and the concurrency it offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionResources {
    /// Number of requests that an instance executes concurrently.
    pub lanes: f64,
    /// Memory of an instance, in MB.
    pub memory: f64,
    /// Typical time to load an instance, in seconds, if known.
    pub load_time: Option<f64>,
}

/// The result of an attempt, as observed by the caller.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the worker had the function loaded, if it reported that.
    pub instance_state: Option<InstanceState>,
    /// Number of other requests that the worker was executing at the same time.
    pub concurrent_requests: f64,
    /// The worker's load, if it reported it.
    pub report: Option<LoadReport>,
    /// Whether the caller responds to the client with this result whatever the outcome, which ends the request.
    pub answers_client: bool,
}

impl AttemptResult {
    /// A result that states only the outcome.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self { outcome, instance_state: None, concurrent_requests: 0.0, report: None, answers_client: false }
    }
}

/// This gateway's fraction of the quotas shared by all gateways, as reported by membership.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    /// Estimated number of running gateways.
    pub likely_gateways: f64,
    /// Factor applied to the gateway's configured quotas until `valid_until`.
    pub fraction: f64,
    /// Factor applied from `valid_until` on.
    pub fraction_after_expiry: f64,
    /// When `fraction` expires, in seconds on the dispatcher's clock.
    pub valid_until: f64,
}

/// A request that was open when the dispatcher was restarted. Its client still waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest<T> {
    /// The caller's context.
    pub context: T,
    /// Whether the request may have been executed in part, so that a retry by the client may not be safe.
    pub may_have_run: bool,
}
