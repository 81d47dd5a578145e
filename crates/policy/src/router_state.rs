//! All that a router knows, and the parts that decide by it. The steps of a request's way are in [`placement`](crate::placement),
//! [`dispatch`](crate::dispatch) and [`attempt_result`](crate::attempt_result); the events and their
//! order in [`router`](crate::router).

use crate::admission::Admission;
use crate::config::{Charter, Effect, Profile};
use crate::effects::Host;
use crate::fleet_budgets::FleetBudgets;
use crate::function_state::Functions;
use crate::hash_ring::HashRing;
use crate::load_requests::{LoadRequests, Order};
use crate::random::Random;
use crate::rate_limiter::Ration;
use crate::request_state::Activations;
use crate::retry::RetryPolicy;
use crate::slow_start::SlowStart;
use crate::throughput::Throughput;
use crate::worker_set;
use crate::worker_state::Fleet;

pub(crate) struct RouterState {
    pub(crate) random: Random,
    /// Routers that share the workers.
    pub(crate) routers: f64,
    pub(crate) budgets: FleetBudgets,
    pub(crate) profiles: Vec<Profile>,
    pub(crate) admission: Admission,
    pub(crate) retry: RetryPolicy,
    pub(crate) loads: LoadRequests,
    pub(crate) slow_start: SlowStart,
    pub(crate) throughput: Throughput,
    pub(crate) fleet: Fleet,
    pub(crate) ring: HashRing,
    pub(crate) functions: Functions,
    pub(crate) activations: Activations,
    /// Shots that are out can be called off.
    pub(crate) cancels: bool,
    /// A worker without the function answers a miss rather than load it unasked.
    pub(crate) misses: bool,
    /// Changes of the worker list come only when asked for.
    pub(crate) asks: bool,
    /// Workers may be probed.
    pub(crate) probes: bool,
    /// Seconds that an idle instance remains at least.
    pub(crate) keep: f64,
    /// Memory of each kind of worker, in MB.
    pub(crate) memory: Vec<f64>,
    /// Shots that may be out at a worker, of this router's part.
    pub(crate) hand: f64,
    /// A request ends so many seconds before its client gives up: no turn of the clock is missed.
    pub(crate) margin: f64,
    /// When this router was last told what the functions keep busy at others.
    pub(crate) told: f64,
    /// Mean seconds of answers of instances, and of answers that waited for a load.
    pub(crate) latency: f64,
    pub(crate) load: f64,
}

impl RouterState {
    pub(crate) fn new(charter: Charter, now: f64) -> Self {
        /// For a request of no stated profile: the wariest.
        const NONE: Profile = Profile { due: 1.0, effect: Effect::Effectful };
        /// What is at a window's edge, but for a clock's rounding, counts as done but not as taken.
        const HAIR: f64 = 1e-5;
        let routers = charter.routers.max(1) as f64;
        let own_part = |all: Vec<f64>| all.into_iter().map(|figure| figure / routers).collect();
        let sheds = charter.over_share < 1.0;
        let limit = |ration: Option<(f64, f64, f64)>| ration.map(|r| Ration::new(r, HAIR));
        Self {
            random: Random::new(charter.seed),
            routers,
            budgets: FleetBudgets::new(),
            profiles: if charter.profiles.is_empty() { vec![NONE] } else { charter.profiles },
            admission: Admission::new(
                now,
                own_part(charter.quotas),
                own_part(charter.ceilings),
                sheds,
                charter.come_back,
            ),
            retry: RetryPolicy { shots: charter.shots.max(1), retries: limit(charter.retries) },
            loads: LoadRequests::new(charter.orders, charter.order_wait, limit(charter.ration), routers),
            slow_start: SlowStart {
                cold_share: charter.cold_share.clamp(0.0, 1.0),
                warm_up: charter.warm_up,
                tip_multiple: charter.tip_multiple,
                tip_window: charter.tip_window,
            },
            throughput: Throughput::default(),
            fleet: Fleet::default(),
            ring: HashRing::default(),
            functions: Functions::default(),
            activations: Activations::default(),
            cancels: charter.cancels,
            misses: charter.misses,
            asks: charter.asks,
            // What is sent by this router alone needs no probes to be seen.
            probes: charter.probes && charter.routers > 1,
            keep: charter.keep,
            memory: charter.memory,
            hand: charter.hand / routers,
            margin: 2.0 * charter.tick.max(0.001),
            told: f64::NEG_INFINITY,
            latency: 0.3,
            load: 1.0,
        }
    }

    /// How far what other routers said still holds.
    pub(crate) fn faith(&self, now: f64) -> f64 {
        worker_set::faith(now, self.told)
    }

    /// Gives an order to load, where that is allowed.
    pub(crate) fn order(&mut self, now: f64, order: Order, host: &mut dyn Host) {
        if !self.loads.is_wanted(now, order, &self.fleet, &self.functions) {
            return;
        }
        if order.ahead {
            let most = self.loads.most_ahead(self.ring.workers(), self.budgets.part(now));
            if !self.loads.may_load_ahead(now, order, &self.fleet, &self.functions, most) {
                return;
            }
        }
        if self.loads.within_limit(now, &mut self.budgets) {
            self.loads.give(now, order, &mut self.functions, host);
        }
    }
}
