//! Chooses a core for each new client connection, and makes overloaded cores close some of their connections.
//!
//! Clients keep their connections, and some send a thousand times as many requests as others. If only the number of
//! connections were balanced, one core could receive most of the requests.

/// A core's load, as read by the supervisor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreLoad {
    /// Number of open client connections.
    pub connections: usize,
    /// Number of requests read since the core's thread started.
    pub requests: u64,
    /// Whether the core is stalled or has no thread. Such a core gets no connections while another core runs.
    pub stalled: bool,
}

/// Tells an overloaded core to close connections after their next response (`Connection: close`), so that their clients
/// reconnect and are assigned to another core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionShift {
    /// The overloaded core.
    pub core: usize,
    /// Number of connections to close.
    pub connections: usize,
    /// Highest request rate of a connection to close, per second: a busier client would overload its next core as well.
    pub max_request_rate: f64,
}

/// Seconds between calls of [`ConnectionBalancer::rebalance`]. In this time, a core that is busy enough to be balanced
/// receives some hundreds of requests.
pub const REBALANCE_INTERVAL: f64 = 0.5;

/// Half-life of the request rates, in seconds: long enough that a client's pause does not move other connections.
const RATE_HALF_LIFE: f64 = 1.0;

/// A core is overloaded if its request rate exceeds this multiple of the mean. At [`MIN_REBALANCED_RATE`], random
/// variation stays well below it.
const OVERLOAD_RATIO: f64 = 1.25;

/// Mean requests per second of a core below which connections are not rebalanced.
const MIN_REBALANCED_RATE: f64 = 100.0;

/// Number of consecutive rounds in which a core must be overloaded before it closes connections.
const OVERLOADED_ROUNDS: u32 = 4;

/// Largest fraction of a core's connections that it closes in one round. The effect is measured before it closes more.
const MAX_SHIFT_FRACTION: f64 = 0.125;

/// Added to the expected request rate of a connection, per second. Because it is above 0, idle connections are spread
/// evenly too.
const MIN_CONNECTION_RATE: f64 = 1e-3;

/// The balancer's view of one core.
#[derive(Clone, Debug, Default)]
struct CoreState {
    load: CoreLoad,
    /// Requests per second, as an exponentially decaying mean.
    request_rate: f64,
    /// The request rate plus the expected rate of connections assigned since the last round.
    expected_rate: f64,
    /// Number of consecutive rounds in which the core was overloaded.
    overloaded_rounds: u32,
}

impl CoreState {
    /// Updates the rates with the load at the end of a round of `elapsed` seconds.
    fn update(&mut self, load: CoreLoad, elapsed: f64) {
        let retained = (-elapsed / RATE_HALF_LIFE).exp2();
        // A restarted core counts from 0 again.
        let requests = load.requests.checked_sub(self.load.requests).unwrap_or(load.requests);
        self.request_rate = retained * self.request_rate + (1.0 - retained) * requests as f64 / elapsed;
        self.expected_rate = self.request_rate;
        self.load = load;
    }

    /// Updates the number of overloaded rounds and returns whether the core should close connections now. `mean_rate`
    /// is the mean rate of all cores.
    fn should_shift(&mut self, mean_rate: f64) -> bool {
        let overloaded = self.request_rate > OVERLOAD_RATIO * mean_rate
            && mean_rate > MIN_REBALANCED_RATE
            && !self.load.stalled;
        self.overloaded_rounds = if overloaded { self.overloaded_rounds + 1 } else { 0 };
        if self.overloaded_rounds < OVERLOADED_ROUNDS || self.load.connections < 2 {
            return false;
        }
        self.overloaded_rounds = 0;
        true
    }

    /// Returns the shift that reduces this core's rate to the mean, limited to what one round may close.
    fn shift(&self, core: usize, mean_rate: f64) -> ConnectionShift {
        let excess = self.request_rate - mean_rate;
        let open = self.load.connections as f64;
        let connections = excess / (self.request_rate / open);
        let connections = connections.min(MAX_SHIFT_FRACTION * open).max(1.0) as usize;
        ConnectionShift { core, connections, max_request_rate: excess }
    }
}

/// Balances client connections between the cores of one gateway by their request rates.
pub struct ConnectionBalancer {
    cores: Vec<CoreState>,
    rebalanced_at: f64,
}

impl ConnectionBalancer {
    /// Creates a balancer for `cores` cores without connections.
    pub fn new(cores: usize, now: f64) -> Self {
        Self { cores: vec![CoreState::default(); cores], rebalanced_at: now }
    }

    /// Chooses the core for a new connection: the running core with the lowest expected request rate, with ties broken
    /// by the fewest connections. If all cores are stalled, the same order applies to them.
    pub fn pick_core(&mut self) -> usize {
        let rate = self.mean_connection_rate();
        let least_loaded = self.cores.iter_mut().enumerate().min_by(|(_, a), (_, b)| {
            let by_stall = a.load.stalled.cmp(&b.load.stalled);
            let by_rate = a.expected_rate.total_cmp(&b.expected_rate);
            by_stall.then(by_rate).then(a.load.connections.cmp(&b.load.connections))
        });
        let Some((core, state)) = least_loaded else { return 0 };
        state.expected_rate += rate;
        state.load.connections += 1;
        core
    }

    /// Returns the expected requests per second of a new connection.
    fn mean_connection_rate(&self) -> f64 {
        let connections: usize = self.cores.iter().map(|core| core.load.connections).sum();
        self.total_rate() / connections.max(1) as f64 + MIN_CONNECTION_RATE
    }

    fn total_rate(&self) -> f64 {
        self.cores.iter().map(|core| core.request_rate).sum()
    }

    /// Ends a round: records the load of each core and returns which overloaded cores should close connections.
    pub fn rebalance(&mut self, now: f64, loads: &[CoreLoad]) -> Vec<ConnectionShift> {
        let elapsed = now - self.rebalanced_at;
        if elapsed <= 0.0 {
            return Vec::new();
        }
        self.rebalanced_at = now;
        for (core, load) in self.cores.iter_mut().zip(loads) {
            core.update(*load, elapsed);
        }
        let mean_rate = self.total_rate() / self.cores.len().max(1) as f64;
        let mut shifts = Vec::new();
        for (core, state) in self.cores.iter_mut().enumerate() {
            if state.should_shift(mean_rate) {
                shifts.push(state.shift(core, mean_rate));
            }
        }
        shifts
    }
}
