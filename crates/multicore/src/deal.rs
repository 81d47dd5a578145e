//! Which core gets a new connection, and whom a crowded core asks to come back. Clients keep their connections, and
//! some call a thousand times as often as others: dealt by number alone, one core can have most of the calls.

/// What is seen of a core at one look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Client connections that it has now.
    pub open: usize,
    /// Calls that it took since its start.
    pub calls: u64,
    /// It stands still or is being started anew: nothing is dealt to it.
    pub still: bool,
}

/// What a crowded core is asked to do: to say `close` with the next answers of so many connections, of those that
/// call at most so often a second. Who calls more often would only crowd another core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Away {
    pub core: usize,
    pub connections: usize,
    pub most: f64,
}

/// Seconds between two looks: some hundreds of calls on a core that is worth evening out.
pub const LOOK: f64 = 0.5;

/// Half life of the rates, in seconds: a client's pause is no reason to move others.
const HALF: f64 = 1.0;

/// A core is crowded beyond this multiple of the mean; the spread of chance at `WORTH` is well below.
const CROWDED: f64 = 1.25;

/// Calls a second on a core below which it is nowhere near busy.
const WORTH: f64 = 100.0;

/// Looks in a row at which it was crowded.
const LOOKS: u32 = 4;

/// Part of a core's connections that may be sent away at one look: it is looked again before more go.
const PART: f64 = 0.125;

pub struct Deal {
    /// Calls a second, fading; with what was dealt since the last look at the mean rate of a connection.
    rate: Vec<f64>,
    load: Vec<f64>,
    open: Vec<usize>,
    still: Vec<bool>,
    calls: Vec<u64>,
    crowded: Vec<u32>,
    looked: f64,
}

impl Deal {
    pub fn new(cores: usize, now: f64) -> Self {
        Self {
            rate: vec![0.0; cores],
            load: vec![0.0; cores],
            open: vec![0; cores],
            still: vec![false; cores],
            calls: vec![0; cores],
            crowded: vec![0; cores],
            looked: now,
        }
    }

    /// The core for the next connection: the one with the fewest calls to expect, of those alike the one with the
    /// fewest connections. Where all stand still, the one that has least is as good as any.
    pub fn pick(&mut self) -> usize {
        let each = self.each();
        let better = |a: &usize, b: &usize| {
            let key = |c: usize| (self.still[c], self.load[c], self.open[c]);
            let ((sa, la, oa), (sb, lb, ob)) = (key(*a), key(*b));
            sa.cmp(&sb).then(la.total_cmp(&lb)).then(oa.cmp(&ob))
        };
        let core = (0..self.rate.len()).min_by(better).unwrap_or(0);
        self.load[core] += each;
        self.open[core] += 1;
        core
    }

    /// Calls a second to expect of a connection; a little even where nobody calls, so that they are dealt in turn.
    fn each(&self) -> f64 {
        let open: usize = self.open.iter().sum();
        self.rate.iter().sum::<f64>() / open.max(1) as f64 + 1e-3
    }

    /// Looks at all cores; tells whom to ask for what.
    pub fn look(&mut self, now: f64, seen: &[Seen]) -> Vec<Away> {
        let past = now - self.looked;
        if past <= 0.0 {
            return Vec::new();
        }
        self.looked = now;
        let kept = (-past / HALF).exp2();
        for (core, is) in seen.iter().enumerate().take(self.rate.len()) {
            // A core started anew counts from 0 again.
            let calls = is.calls.checked_sub(self.calls[core]).unwrap_or(is.calls);
            self.rate[core] = kept * self.rate[core] + (1.0 - kept) * calls as f64 / past;
            (self.calls[core], self.open[core], self.still[core]) = (is.calls, is.open, is.still);
        }
        self.load.copy_from_slice(&self.rate);
        let mean = self.rate.iter().sum::<f64>() / self.rate.len().max(1) as f64;
        let mut away = Vec::new();
        for core in 0..self.rate.len() {
            let crowded = self.rate[core] > CROWDED * mean && mean > WORTH && !self.still[core];
            self.crowded[core] = if crowded { self.crowded[core] + 1 } else { 0 };
            if self.crowded[core] < LOOKS || self.open[core] < 2 {
                continue;
            }
            self.crowded[core] = 0;
            let over = self.rate[core] - mean;
            let connections = over / (self.rate[core] / self.open[core] as f64);
            let connections = connections.min(PART * self.open[core] as f64).max(1.0) as usize;
            away.push(Away { core, connections, most: over });
        }
        away
    }

    /// Calls a second of each core, for logs.
    pub fn rates(&self) -> &[f64] {
        &self.rate
    }
}
