//! What the caller tells the dispatcher, and what it is told in return: requests, results of attempts, its fraction of
//! shared quotas, and requests that a restart interrupted.

use milletpath_policy::host::{Found, Outcome, Report};

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
    pub function_config: Option<(f64, f64, Option<f64>)>,
}

/// How an attempt ended, as the caller observed it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The result itself.
    pub outcome: Outcome,
    /// Whether the worker had the function loaded, where it said so.
    pub found: Option<Found>,
    /// Other requests that the worker executed at the same time.
    pub company: f64,
    /// The worker's load, where it reported it.
    pub report: Option<Report>,
    /// The caller answers the client itself whatever the outcome, and the request ends with that answer.
    pub answers_client: bool,
}

impl AttemptResult {
    /// A result of which nothing but the outcome is known.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self { outcome, found: None, company: 0.0, report: None, answers_client: false }
    }
}

/// This gateway's fraction of the quotas that gateways share, as membership reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    /// Number of gateways that likely run.
    pub likely_gateways: f64,
    /// Multiples of the gateway's configured quotas: before `until`, and from then on.
    pub fractions: [f64; 2],
    /// In seconds on the dispatcher's clock.
    pub until: f64,
}
