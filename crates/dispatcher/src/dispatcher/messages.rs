//! What the caller passes to the dispatcher, and what it gets in return: requests, results of attempts, its fraction of
//! shared quotas, and requests that a restart interrupted.

use milletpath_policy::{InstanceState, LoadReport, Outcome};

/// A request as a client sent it.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Name of the function.
    pub function: &'a str,
    /// Index of the profile in the configuration; must be one of them.
    pub profile: usize,
    /// Index of the client group in the configuration; any other number for clients of none.
    pub client: usize,
    /// Seconds until the client gives up.
    pub timeout: f64,
    /// Whether the client sent the request before.
    pub is_retry: bool,
    /// What an instance of the function needs, where the request states it; otherwise the configuration holds.
    pub resources: Option<FunctionResources>,
}

/// What an instance of a function needs and offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionResources {
    /// Requests that an instance executes at a time.
    pub lanes: f64,
    /// Memory of an instance, in MB.
    pub memory: f64,
    /// Seconds that loading an instance usually takes, where known.
    pub load_time: Option<f64>,
}

/// How an attempt ended, as the caller observed it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The result itself.
    pub outcome: Outcome,
    /// Whether the worker had the function loaded, where it reported that.
    pub instance_state: Option<InstanceState>,
    /// Other requests that the worker executed at the same time.
    pub concurrent_requests: f64,
    /// The worker's load, where it reported it.
    pub report: Option<LoadReport>,
    /// The caller answers the client itself whatever the outcome, and the request ends with that answer.
    pub answers_client: bool,
}

impl AttemptResult {
    /// A result of which nothing but the outcome is known.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self { outcome, instance_state: None, concurrent_requests: 0.0, report: None, answers_client: false }
    }
}

/// This gateway's fraction of the quotas that gateways share, as membership reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    /// Number of gateways that likely run.
    pub likely_gateways: f64,
    /// Multiple of the gateway's configured quotas that holds before `valid_until`.
    pub fraction: f64,
    /// Multiple that holds from `valid_until` on.
    pub fraction_after_expiry: f64,
    /// In seconds on the dispatcher's clock.
    pub valid_until: f64,
}

/// A request that was open when the dispatcher was restarted. Its client still waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest<T> {
    /// What the caller stored with the request.
    pub context: T,
    /// Whether parts of it may have been executed, so that the client may not retry without harm.
    pub may_have_run: bool,
}
