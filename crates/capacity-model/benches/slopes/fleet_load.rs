//! The fleet size and the load of a simulated dispatcher.

/// The size of the fleet and the load on one gateway.
#[derive(Clone, Copy)]
pub struct FleetLoad {
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// Number of workers in the fleet.
    pub workers: usize,
    /// Number of distinct functions.
    pub functions: usize,
    /// Exponent of the Zipf distribution of calls over functions.
    pub zipf_exponent: f64,
    /// Calls per second at this gateway.
    pub calls_per_second: f64,
    /// Updates of the endpoint list per second: a worker starts to drain, and with the next update it is ready again.
    pub list_updates_per_second: f64,
    /// Seconds after which an idle instance is evicted.
    pub idle_timeout: f64,
}

/// The load of one of 1,100 gateways at the target size. With this exponent most functions are rarely called.
pub const TARGET_LOAD: FleetLoad = FleetLoad {
    gateways: 1_100,
    workers: 9_100,
    functions: 33_000,
    zipf_exponent: 1.6,
    calls_per_second: 145.0,
    list_updates_per_second: 0.0,
    idle_timeout: 60.0,
};
