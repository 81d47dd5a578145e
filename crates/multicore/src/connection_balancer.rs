//! Which core gets a new connection, and whom a crowded core asks to come back. Clients keep their connections, and
//! some call a thousand times as often as others: dealt by number alone, one core can have most of the calls.

/// What is seen of a core at one look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreLoad {
    /// Client connections that it has now.
    pub connections: usize,
    /// Calls that it took since its start.
    pub requests: u64,
    /// It stands still or is being started anew: nothing is dealt to it.
    pub stalled: bool,
}

/// What a crowded core is asked to do: to say `close` with the next answers of so many connections, of those that
/// call at most so often a second. Who calls more often would only crowd another core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionShift {
    pub core: usize,
    pub connections: usize,
    pub max_request_rate: f64,
}

/// Seconds between two looks: some hundreds of calls on a core that is worth evening out.
pub const REBALANCE_INTERVAL: f64 = 0.5;

/// Half life of the rates, in seconds: a client's pause is no reason to move others.
const RATE_HALF_LIFE: f64 = 1.0;

/// A core is crowded beyond this multiple of the mean; the spread of chance at `WORTH` is well below.
const OVERLOAD_RATIO: f64 = 1.25;

/// Calls a second on a core below which it is nowhere near busy.
const MIN_REBALANCED_RATE: f64 = 100.0;

/// Looks in a row at which it was crowded.
const OVERLOADED_ROUNDS: u32 = 4;

/// Part of a core's connections that may be sent away at one look: it is looked again before more go.
const MAX_SHIFT_FRACTION: f64 = 0.125;

pub struct ConnectionBalancer {
    /// Calls a second, fading; with what was dealt since the last look at the mean rate of a connection.
    request_rates: Vec<f64>,
    expected_rates: Vec<f64>,
    connections: Vec<usize>,
    stalled: Vec<bool>,
    requests: Vec<u64>,
    overloaded_rounds: Vec<u32>,
    rebalanced_at: f64,
}

impl ConnectionBalancer {
    pub fn new(cores: usize, now: f64) -> Self {
        Self {
            request_rates: vec![0.0; cores],
            expected_rates: vec![0.0; cores],
            connections: vec![0; cores],
            stalled: vec![false; cores],
            requests: vec![0; cores],
            overloaded_rounds: vec![0; cores],
            rebalanced_at: now,
        }
    }

    /// The core for the next connection: the one with the fewest calls to expect, of those alike the one with the
    /// fewest connections. Where all stand still, the one that has least is as good as any.
    pub fn pick_core(&mut self) -> usize {
        let each = self.expected_rate_per_connection();
        let better = |a: &usize, b: &usize| {
            let key = |c: usize| (self.stalled[c], self.expected_rates[c], self.connections[c]);
            let ((sa, la, oa), (sb, lb, ob)) = (key(*a), key(*b));
            sa.cmp(&sb).then(la.total_cmp(&lb)).then(oa.cmp(&ob))
        };
        let core = (0..self.request_rates.len()).min_by(better).unwrap_or(0);
        self.expected_rates[core] += each;
        self.connections[core] += 1;
        core
    }

    /// Calls a second to expect of a connection; a little even where nobody calls, so that they are dealt in turn.
    fn expected_rate_per_connection(&self) -> f64 {
        let open: usize = self.connections.iter().sum();
        self.request_rates.iter().sum::<f64>() / open.max(1) as f64 + 1e-3
    }

    /// Looks at all cores; tells whom to ask for what.
    pub fn rebalance(&mut self, now: f64, loads: &[CoreLoad]) -> Vec<ConnectionShift> {
        let elapsed = now - self.rebalanced_at;
        if elapsed <= 0.0 {
            return Vec::new();
        }
        self.rebalanced_at = now;
        let retained = (-elapsed / RATE_HALF_LIFE).exp2();
        for (core, load) in loads.iter().enumerate().take(self.request_rates.len()) {
            // A core started anew counts from 0 again.
            let requests = load.requests.checked_sub(self.requests[core]).unwrap_or(load.requests);
            self.request_rates[core] =
                retained * self.request_rates[core] + (1.0 - retained) * requests as f64 / elapsed;
            (self.requests[core], self.connections[core], self.stalled[core]) =
                (load.requests, load.connections, load.stalled);
        }
        self.expected_rates.copy_from_slice(&self.request_rates);
        let mean = self.request_rates.iter().sum::<f64>() / self.request_rates.len().max(1) as f64;
        let mut shifts = Vec::new();
        for core in 0..self.request_rates.len() {
            let overloaded = self.request_rates[core] > OVERLOAD_RATIO * mean
                && mean > MIN_REBALANCED_RATE
                && !self.stalled[core];
            self.overloaded_rounds[core] = if overloaded { self.overloaded_rounds[core] + 1 } else { 0 };
            if self.overloaded_rounds[core] < OVERLOADED_ROUNDS || self.connections[core] < 2 {
                continue;
            }
            self.overloaded_rounds[core] = 0;
            let excess = self.request_rates[core] - mean;
            let connections = excess / (self.request_rates[core] / self.connections[core] as f64);
            let connections =
                connections.min(MAX_SHIFT_FRACTION * self.connections[core] as f64).max(1.0) as usize;
            shifts.push(ConnectionShift { core, connections, max_request_rate: excess });
        }
        shifts
    }

    /// Calls a second of each core, for logs.
    pub fn request_rates(&self) -> &[f64] {
        &self.request_rates
    }
}
