//! The number of functions for which a gateway holds state.

use crate::assumptions::{Assumptions, Parameter};
use crate::popularity::Popularity;

/// Number of functions that the sweep for unused functions checks at each call. Same as in
/// `milletpath_policy::function_state`.
const SWEPT_PER_CALL: f64 = 2.0;

/// Fixed-point iterations; fewer suffice for convergence.
const ITERATIONS: usize = 8;

/// The calls that arrive at one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayCalls {
    /// Number of distinct functions that may be called.
    pub functions: f64,
    /// Exponent of the Zipf distribution of calls over functions.
    pub zipf_exponent: f64,
    /// Calls per second at the gateway.
    pub calls_per_second: f64,
    /// Idle time after which an instance is evicted, in seconds.
    pub idle_timeout_seconds: f64,
}

impl GatewayCalls {
    /// The calls at a gateway of the busiest region.
    pub fn at_target(assumptions: &Assumptions) -> Self {
        Self {
            functions: assumptions.target.functions,
            zipf_exponent: assumptions.value(Parameter::ZipfExponent),
            calls_per_second: assumptions.calls_per_second_at_gateway(),
            idle_timeout_seconds: assumptions.value(Parameter::IdleTimeoutSeconds),
        }
    }

    /// The number of functions for which the gateway holds state at a time: those that were called within the idle
    /// timeout plus the delay until the sweep reaches them.
    pub fn known_functions(&self) -> f64 {
        let popularity = Popularity::new(self.functions, self.zipf_exponent);
        let known_within = |seconds: f64| popularity.distinct_functions(self.calls_per_second * seconds);
        let mut known = known_within(self.idle_timeout_seconds);
        for _ in 0..ITERATIONS {
            // On average the sweep reaches a function after half a pass over all known functions.
            let sweep_delay = known / (SWEPT_PER_CALL * self.calls_per_second) / 2.0;
            known = known_within(self.idle_timeout_seconds + sweep_delay);
        }
        known
    }
}
