//! The fleet and the calls that a simulated dispatcher sees.

/// The fleet and the calls that the dispatcher sees.
#[derive(Clone, Copy)]
pub struct FleetLoad {
    /// Gateways of the fleet.
    pub gateways: usize,
    /// Workers of the fleet.
    pub workers: usize,
    /// Distinct functions.
    pub functions: usize,
    /// Exponent of the Zipf distribution of calls over functions.
    pub zipf_exponent: f64,
    /// Calls per second at this gateway.
    pub calls_per_second: f64,
    /// Updates of the endpoint list: a worker drains, and at the next update it is ready again.
    pub list_updates_per_second: f64,
    /// Seconds after which an idle instance is evicted.
    pub idle_timeout: f64,
}

/// One of 1,100 gateways, with calls of which most functions receive few.
pub const TARGET_LOAD: FleetLoad = FleetLoad {
    gateways: 1_100,
    workers: 9_100,
    functions: 33_000,
    zipf_exponent: 1.6,
    calls_per_second: 145.0,
    list_updates_per_second: 0.0,
    idle_timeout: 60.0,
};
