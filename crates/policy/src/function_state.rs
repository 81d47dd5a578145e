//! What is known of each function: its demand, how long its requests take, and where its instances are believed to be.

use crate::decay::{Fading, RATE_HALF};
use crate::effects::Host;
use crate::events::Arrival;
use std::collections::BTreeMap;

/// Half lives in seconds of the counts behind demand: the long one is for what one of many routers sees too seldom.
pub(crate) const DEMAND_HALVES: [f64; 2] = [RATE_HALF, 15.0];

/// What a router believes of one function on one worker.
#[derive(Default)]
pub(crate) struct Stand {
    pub(crate) worker: usize,
    /// Instances there, until when unless used again.
    pub(crate) copies: f64,
    pub(crate) until: f64,
    /// Until when a load that an order or a shot began may still be under way.
    pub(crate) coming: f64,
    /// Own shots there.
    pub(crate) out: f64,
    /// When it was last found to lack the function.
    pub(crate) missed: f64,
}

impl Stand {
    /// Whether instances are there now.
    pub(crate) fn stands(&self, now: f64) -> bool {
        self.copies > 0.0 && self.until > now
    }
}

/// Instances believed to be on a worker, whether one is on its way there, and own shots there.
#[derive(Clone, Copy)]
pub(crate) struct Standing {
    pub(crate) copies: f64,
    pub(crate) coming: bool,
    pub(crate) out: f64,
}

#[derive(Default)]
pub(crate) struct Function {
    /// What it is called on every router.
    pub(crate) name: u64,
    /// Requests that one instance runs at a time.
    pub(crate) lanes: f64,
    /// Memory of one instance, in MB.
    pub(crate) memory: f64,
    /// Arrivals over a short and a long while, by the half lives of [`DEMAND_HALVES`].
    pub(crate) arrivals: [Fading; 2],
    /// When it first arrived.
    pub(crate) since: f64,
    /// Mean time that its shots are out, over the mean of all functions.
    pub(crate) slow: f64,
    /// Seconds that answers of instances took.
    pub(crate) busy: Fading,
    /// What it keeps busy at other routers, in lanes.
    pub(crate) elsewhere: f64,
    /// Workers in the set, and since when the set could be smaller.
    pub(crate) set: usize,
    pub(crate) roomy_since: f64,
    /// Whether a worker ever handled it: until then its failures may be its own.
    pub(crate) sound: bool,
    /// Requests that are not let go of yet.
    pub(crate) open: usize,
    /// Workers in ring order from the home on, for the ring of that edition.
    pub(crate) walk: Vec<usize>,
    pub(crate) edition: u64,
    pub(crate) stands: Vec<Stand>,
}

impl Function {
    fn new(now: f64, arrival: &Arrival) -> Self {
        Self {
            name: arrival.name,
            memory: arrival.memory.max(0.0),
            since: now,
            slow: 1.0,
            set: 1,
            roomy_since: now,
            ..Self::default()
        }
    }

    /// Its state on a worker, new where nothing is known.
    pub(crate) fn stand(&mut self, worker: usize) -> &mut Stand {
        let at = self.stands.iter().position(|s| s.worker == worker).unwrap_or_else(|| {
            self.stands.push(Stand { worker, missed: f64::NEG_INFINITY, ..Stand::default() });
            self.stands.len() - 1
        });
        &mut self.stands[at]
    }

    pub(crate) fn standing(&self, now: f64, worker: usize) -> Standing {
        let stand = self.stands.iter().find(|s| s.worker == worker);
        stand.map_or(Standing { copies: 0.0, coming: false, out: 0.0 }, |s| Standing {
            copies: if s.until > now { s.copies } else { 0.0 },
            coming: s.coming > now,
            out: s.out,
        })
    }

    /// The process of a worker is another one: it has no instance.
    pub(crate) fn worker_restarted(&mut self, worker: usize) {
        let stands = self.stands.iter_mut().filter(|s| s.worker == worker);
        stands.for_each(|s| (s.copies, s.coming) = (0.0, 0.0));
    }

    /// Requests a second, by the count that says most.
    pub(crate) fn arrival_rate(&self, now: f64) -> f64 {
        let rate = |(count, half): (&Fading, f64)| count.rate(now, half, now - self.since);
        self.arrivals.iter().zip(DEMAND_HALVES).map(rate).fold(0.0, f64::max)
    }

    /// What it keeps busy at this router, in lanes.
    pub(crate) fn busy_here(&self, now: f64) -> f64 {
        self.busy.rate(now, RATE_HALF, now - self.since)
    }

    fn count_arrival(&mut self, now: f64) {
        for (count, half) in self.arrivals.iter_mut().zip(DEMAND_HALVES) {
            count.add(now, half, 1.0);
        }
    }

    /// Whether all that was believed of it has run out, and its demand has faded to that of nothing.
    fn faded(&self, now: f64) -> bool {
        /// Half an arrival in the long count: one-offs go within 15 s, a busy function after minutes.
        const FADED: f64 = 0.5;
        let over = |s: &Stand| s.out == 0.0 && now > s.until && now > s.coming;
        let faded = self.arrivals[1].now(now, DEMAND_HALVES[1]) < FADED;
        self.open == 0 && faded && self.stands.iter().all(over)
    }
}

/// All functions that are asked for, under the host's index.
#[derive(Default)]
pub(crate) struct Functions {
    functions: Vec<Option<Function>>,
    /// Where the round that looks for functions to forget has come to.
    swept: usize,
}

impl Functions {
    /// One more request of a function arrived. A client's repeat is no new demand: counted, it would stretch sets onto cold
    /// workers.
    pub(crate) fn arrived(&mut self, now: f64, arrival: &Arrival) {
        self.functions.resize_with(self.functions.len().max(arrival.function + 1), || None);
        let function = self.functions[arrival.function].get_or_insert_with(|| Function::new(now, arrival));
        function.open += 1;
        function.lanes = if arrival.lanes >= 1.0 { arrival.lanes } else { 1.0 };
        if !arrival.repeat {
            function.count_arrival(now);
        }
    }

    /// Forgets functions that are not asked for any more. Each arrival looks at a few, so that one-off functions can't pile
    /// up.
    pub(crate) fn sweep(&mut self, now: f64, host: &mut dyn Host) {
        /// Above 1, so that the round comes about faster than arrivals can add to it.
        const LOOKS: usize = 2;
        for _ in 0..LOOKS.min(self.functions.len()) {
            self.swept = (self.swept + 1) % self.functions.len();
            if self.functions[self.swept].as_ref().is_some_and(|f| f.faded(now)) {
                self.functions[self.swept] = None;
                host.forget_function(self.swept);
            }
        }
    }

    pub(crate) fn get(&self, key: usize) -> Option<&Function> {
        self.functions.get(key)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: usize) -> Option<&mut Function> {
        self.functions.get_mut(key)?.as_mut()
    }

    /// Takes a function out while its workers are compared; [`put_back`](Self::put_back) ends that.
    pub(crate) fn take(&mut self, key: usize) -> Option<Function> {
        self.functions.get_mut(key)?.take()
    }

    pub(crate) fn put_back(&mut self, key: usize, function: Function) {
        self.functions[key] = Some(function);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Function> {
        self.functions.iter().flatten()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Function> {
        self.functions.iter_mut().flatten()
    }

    /// Whether a function was ever handled; yes where it is not known.
    pub(crate) fn sound(&self, key: usize) -> bool {
        self.get(key).is_none_or(|f| f.sound)
    }

    /// Sets what functions keep busy at other routers, in lanes by name; all else is next to nothing.
    pub(crate) fn elsewhere(&mut self, busy: &BTreeMap<u64, f64>) {
        self.iter_mut().for_each(|f| f.elsewhere = busy.get(&f.name).copied().unwrap_or(0.0));
    }

    /// Memory in MB of the instances on a worker.
    pub(crate) fn memory_on(&self, now: f64, worker: usize) -> f64 {
        self.iter().map(|f| f.memory * f.standing(now, worker).copies).sum()
    }
}
