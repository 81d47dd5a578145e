//! Chooses the core for each new client connection, and has overloaded cores close some of theirs.
//!
//! Clients keep their connections, and some send a thousand times as many requests as others. If only the number of
//! connections were balanced, one core could have most of the requests.

/// A core's load as its supervisor reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreLoad {
    /// Open client connections.
    pub connections: usize,
    /// Requests read since the core's thread started.
    pub requests: u64,
    /// The core is stalled or has no thread: it gets no connections.
    pub stalled: bool,
}

/// Asks an overloaded core to close connections after their next response (`Connection: close`), so that their clients
/// connect anew and reach another core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionShift {
    /// The overloaded core.
    pub core: usize,
    /// How many connections it should close.
    pub connections: usize,
    /// Only connections with at most so many requests a second: a busier client would only overload the next core.
    pub max_request_rate: f64,
}

/// Seconds between two calls of [`ConnectionBalancer::rebalance`]: some hundreds of requests on a core that is worth
/// balancing.
pub const REBALANCE_INTERVAL: f64 = 0.5;

/// Half life of the request rates, in seconds: a client's pause is no reason to move others.
const RATE_HALF_LIFE: f64 = 1.0;

/// A core is overloaded beyond this multiple of the mean rate. At [`MIN_REBALANCED_RATE`] random variation stays well below.
const OVERLOAD_RATIO: f64 = 1.25;

/// Mean requests a second of a core below which none is busy enough to be balanced.
const MIN_REBALANCED_RATE: f64 = 100.0;

/// Consecutive rounds in which a core must be overloaded before it closes connections.
const OVERLOADED_ROUNDS: u32 = 4;

/// Largest fraction of a core's connections that it closes in one round; the effect is measured before more are closed.
const MAX_SHIFT_FRACTION: f64 = 0.125;

/// Requests a second expected of a connection of which none came: more than 0, so that idle connections are spread evenly.
const MIN_CONNECTION_RATE: f64 = 1e-3;

/// What the balancer knows of one core.
#[derive(Clone, Debug, Default)]
struct CoreState {
    load: CoreLoad,
    /// Requests a second, as an exponentially decaying mean.
    request_rate: f64,
    /// The request rate, and that expected of the connections assigned since the last round.
    expected_rate: f64,
    /// Consecutive rounds in which the core was overloaded.
    overloaded_rounds: u32,
}

impl CoreState {
    /// Takes in the load at the end of a round of `elapsed` seconds.
    fn update(&mut self, load: CoreLoad, elapsed: f64) {
        let retained = (-elapsed / RATE_HALF_LIFE).exp2();
        // The count of a restarted core begins at 0 again.
        let requests = load.requests.checked_sub(self.load.requests).unwrap_or(load.requests);
        self.request_rate = retained * self.request_rate + (1.0 - retained) * requests as f64 / elapsed;
        self.expected_rate = self.request_rate;
        self.load = load;
    }

    /// Counts rounds of overload against the mean rate of all cores; whether connections should be closed now.
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

    /// The shift that brings this core to the mean rate, as far as one round may.
    fn shift(&self, core: usize, mean_rate: f64) -> ConnectionShift {
        let excess = self.request_rate - mean_rate;
        let open = self.load.connections as f64;
        let connections = excess / (self.request_rate / open);
        let connections = connections.min(MAX_SHIFT_FRACTION * open).max(1.0) as usize;
        ConnectionShift { core, connections, max_request_rate: excess }
    }
}

/// Balances client connections over the cores of one gateway by the requests that they send.
pub struct ConnectionBalancer {
    cores: Vec<CoreState>,
    rebalanced_at: f64,
}

impl ConnectionBalancer {
    /// A balancer for so many cores, none of which has a connection yet.
    pub fn new(cores: usize, now: f64) -> Self {
        Self { cores: vec![CoreState::default(); cores], rebalanced_at: now }
    }

    /// Chooses the core for a new connection: of the cores that run, the one with the lowest expected request rate, and
    /// of equal ones that with the fewest connections. Where all are stalled, the same order holds among them.
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

    /// Requests a second to expect of a new connection.
    fn mean_connection_rate(&self) -> f64 {
        let connections: usize = self.cores.iter().map(|core| core.load.connections).sum();
        self.total_rate() / connections.max(1) as f64 + MIN_CONNECTION_RATE
    }

    fn total_rate(&self) -> f64 {
        self.cores.iter().map(|core| core.request_rate).sum()
    }

    /// Ends a round: takes in the load of each core and returns the connections to be closed by overloaded ones.
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
