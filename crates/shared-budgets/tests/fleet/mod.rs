//! A simulated fleet of gateways that share one budget. Each gateway spends according to the last adjustment it
//! received and meters its use. Their clocks run at different rates. The test decides which messages are delivered or
//! lost and which processes are killed.

#![allow(dead_code, reason = "each test file uses only part of this module")]

use milletpath_shared_budgets::{
    BudgetKind, Entitlement, InjectedFaults, OutgoingMessage, ProcessId, QuotaAdjustment, SharedBudgets,
    UsageMeter,
};

/// Lifetime of entitlement proofs, in seconds.
pub const PROOF_LIFETIME: f64 = 3.0;

/// A message in transit.
#[derive(Clone, Debug)]
pub struct SentMessage {
    pub sender: ProcessId,
    /// Index of the gateway. The message goes to whichever process it is running at delivery.
    pub recipient: usize,
    pub bytes: Vec<u8>,
}

/// A running gateway process.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub shared_budgets: SharedBudgets,
    pub id: ProcessId,
    pub slot: usize,
    /// The last adjustment received.
    adjustment: QuotaAdjustment,
    /// Units per second that its clients request.
    pub demand: f64,
    /// Units requested so far; fractions accumulate.
    requested: f64,
    /// Units denied so far.
    denied: u64,
    last_metered_at: f64,
    /// When units were taken, on the gateway's own clock.
    pub used_at: Vec<f64>,
    /// Rate of the gateway's clock relative to true time.
    clock_rate: f64,
}

/// Gateways that share one budget, and the messages in transit between them.
#[derive(Clone, Debug)]
pub struct SimulatedFleet {
    /// True time, in seconds.
    pub now: f64,
    /// By gateway index; `None` while the gateway has no process.
    pub gateways: Vec<Option<Gateway>>,
    pub messages: Vec<SentMessage>,
    pub kind: BudgetKind,
    /// Each gateway's quota.
    pub quota: f64,
    pub faults: InjectedFaults,
    start_count: u64,
    /// When units were taken by processes that have since been killed, in true time.
    pub past_uses: Vec<f64>,
    /// When processes were restarted, in true time.
    pub restarts: Vec<f64>,
    /// Total size of all messages sent so far, including datagram overhead.
    pub bytes: u64,
}

const ENTITLEMENT: Entitlement =
    Entitlement { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY };

const NO_ADJUSTMENT: QuotaAdjustment =
    QuotaAdjustment { amount: 0.0, amount_after_expiry: 0.0, valid_until: f64::INFINITY };

impl Gateway {
    /// The earliest time at which this gateway's leases to some borrower have all ended, in true time.
    pub fn next_grant_end(&self) -> Option<f64> {
        self.shared_budgets.next_grant_end().map(|at| at / self.clock_rate)
    }
}

impl SimulatedFleet {
    pub fn new(size: usize, kind: BudgetKind, quota: f64, faults: InjectedFaults) -> Self {
        let gateways = (0..size).map(|_| None).collect();
        let (messages, past_uses, restarts) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self {
            now: 0.0,
            gateways,
            messages,
            kind,
            quota,
            faults,
            start_count: 0,
            past_uses,
            restarts,
            bytes: 0,
        };
        (0..size).for_each(|n| fleet.start(n));
        fleet.restarts.clear();
        fleet
    }

    /// The whole budget: the sum of all quotas.
    pub fn total_quota(&self) -> f64 {
        self.quota * self.gateways.len() as f64
    }

    /// The current time on the clock of a gateway.
    pub fn clock(&self, n: usize) -> f64 {
        self.gateways[n].as_ref().map_or(self.now, |gateway| self.now * gateway.clock_rate)
    }

    /// Starts a process for a gateway that has none.
    pub fn start(&mut self, n: usize) {
        self.start_count += 1;
        let id = self.start_count * 100 + n as u64;
        // Clock rates range from the slowest to the fastest that the protocol tolerates.
        let clock_rate = 0.99 + 0.02 * n as f64 / (self.gateways.len() - 1).max(1) as f64;
        let clock = self.now * clock_rate;
        let mut shared_budgets = SharedBudgets::new(id, PROOF_LIFETIME, id, clock);
        shared_budgets.inject_faults(self.faults);
        let slot = shared_budgets.open(clock, "budget", self.kind, self.quota);
        let gateway = Gateway {
            shared_budgets,
            id,
            slot,
            adjustment: NO_ADJUSTMENT,
            demand: 0.0,
            requested: 0.0,
            denied: 0,
            last_metered_at: clock,
            used_at: Vec::new(),
            clock_rate,
        };
        self.gateways[n] = Some(gateway);
        self.restarts.push(self.now);
        self.announce_peers();
        self.deliver_adjustments(n);
    }

    /// Kills the process of a gateway.
    pub fn kill(&mut self, n: usize) {
        if let Some(gateway) = self.gateways[n].take() {
            self.past_uses.extend(gateway.used_at.iter().map(|at| at / gateway.clock_rate));
        }
    }

    /// Tells every process which other processes there are, as membership does.
    fn announce_peers(&mut self) {
        let ids: Vec<u64> = self.gateways.iter().flatten().map(|gateway| gateway.id).collect();
        for n in 0..self.gateways.len() {
            let clock = self.clock(n);
            if let Some(gateway) = self.gateways[n].as_mut() {
                let others = ids.iter().copied().filter(|id| *id != gateway.id).collect();
                gateway.shared_budgets.set_entitlement(clock, ENTITLEMENT, others);
            }
        }
    }

    /// The index of the gateway that runs the process; `None` if the process no longer exists.
    pub fn gateway_of(&self, id: ProcessId) -> Option<usize> {
        self.gateways.iter().position(|gateway| gateway.as_ref().is_some_and(|gateway| gateway.id == id))
    }

    /// How much a gateway may use now according to its last adjustment.
    pub fn allowed(&self, n: usize) -> f64 {
        let clock = self.clock(n);
        let Some(gateway) = &self.gateways[n] else { return 0.0 };
        let adjustment = if clock < gateway.adjustment.valid_until {
            gateway.adjustment.amount
        } else {
            gateway.adjustment.amount_after_expiry
        };
        (self.quota + adjustment).max(0.0)
    }

    /// Units currently in use at a gateway.
    fn in_use(&self, n: usize) -> f64 {
        let (clock, max_use) = (self.clock(n), self.kind.max_use_duration());
        let used = self.gateways[n].iter().flat_map(|gateway| &gateway.used_at);
        used.filter(|at| clock - **at <= max_use).count() as f64
    }

    fn meter(&mut self, n: usize) -> UsageMeter {
        let (clock, in_use) = (self.clock(n), self.in_use(n));
        let Some(gateway) = self.gateways[n].as_mut() else { return UsageMeter::default() };
        gateway.requested += gateway.demand * (clock - gateway.last_metered_at);
        gateway.last_metered_at = clock;
        UsageMeter { requested: gateway.requested as u64, denied: gateway.denied, in_use }
    }

    /// Applies adjustments before sending messages, as [`SharedBudgets`] requires.
    fn deliver_adjustments(&mut self, n: usize) {
        let clock = self.clock(n);
        let Some(gateway) = self.gateways[n].as_mut() else { return };
        for published in gateway.shared_budgets.take_adjustments(clock) {
            gateway.adjustment = published.adjustment;
        }
        let sender = gateway.id;
        let outgoing: Vec<_> = std::iter::from_fn(|| gateway.shared_budgets.next_message()).collect();
        for OutgoingMessage { recipient, bytes } in outgoing {
            self.bytes += bytes.len() as u64 + 120;
            if let Some(recipient) = self.gateway_of(recipient) {
                self.messages.push(SentMessage { sender, recipient, bytes });
            }
        }
    }

    /// Performs the periodic work of a gateway.
    pub fn tick(&mut self, n: usize) {
        let (clock, meter) = (self.clock(n), self.meter(n));
        if let Some(gateway) = self.gateways[n].as_mut() {
            gateway.shared_budgets.record_usage(clock, gateway.slot, meter);
            gateway.shared_budgets.tick(clock);
        }
        self.deliver_adjustments(n);
    }

    /// Delivers a message to the current process of its recipient.
    pub fn deliver(&mut self, message: SentMessage) {
        let SentMessage { sender, recipient, bytes } = message;
        let (clock, meter) = (self.clock(recipient), self.meter(recipient));
        if let Some(gateway) = self.gateways[recipient].as_mut() {
            gateway.shared_budgets.record_usage(clock, gateway.slot, meter);
            gateway.shared_budgets.receive(clock, sender, &bytes, &mut |_| Some(meter));
        }
        self.deliver_adjustments(recipient);
    }

    /// Uses one unit at a gateway if allowed. Returns whether it was.
    pub fn try_use_one(&mut self, n: usize) -> bool {
        let is_allowed = self.in_use(n) + 1.0 <= self.allowed(n) + 1e-9;
        let clock = self.clock(n);
        if let Some(gateway) = self.gateways[n].as_mut() {
            gateway.requested += 1.0;
            if is_allowed {
                gateway.used_at.push(clock);
            } else {
                gateway.denied += 1;
            }
        }
        is_allowed
    }

    /// By how much the gateways together exceed the budget. In a window, each restart allows one additional quota, as
    /// a new process starts with an empty window.
    pub fn excess(&self) -> f64 {
        match self.kind {
            BudgetKind::Rate => {
                (0..self.gateways.len()).map(|n| self.allowed(n)).sum::<f64>() - self.total_quota()
            }
            BudgetKind::Window(window) => {
                // The length of the window on the fastest clock, in true time.
                let since = self.now - window / 1.01;
                let live = self
                    .gateways
                    .iter()
                    .flatten()
                    .flat_map(|gateway| gateway.used_at.iter().map(|at| at / gateway.clock_rate));
                let used = live.chain(self.past_uses.iter().copied()).filter(|at| *at > since).count() as f64;
                let restarts = self.restarts.iter().filter(|at| **at > since - PROOF_LIFETIME).count() as f64;
                used - self.total_quota() - self.quota * restarts
            }
            // Units in flight are released after their maximum duration, or when their process exits.
            BudgetKind::InFlight(_) => {
                (0..self.gateways.len()).map(|n| self.in_use(n)).sum::<f64>() - self.total_quota()
            }
        }
    }

    /// When the next tick of a gateway is due, in true time.
    pub fn next_tick(&self, n: usize) -> f64 {
        // Adds a small delay, as a tick that is early because of rounding would do nothing.
        self.gateways[n]
            .as_ref()
            .map_or(f64::INFINITY, |gateway| gateway.shared_budgets.next_tick() / gateway.clock_rate + 1e-6)
    }
}

/// Decides what happens to a message, given its send time, sender and recipient. Returns the delays after which it
/// arrives: several if it is duplicated, none if it is lost.
pub type DeliveryRule<'r> = &'r mut dyn FnMut(f64, usize, usize) -> Vec<f64>;

impl SimulatedFleet {
    /// Runs the fleet for the given number of seconds. Units are used as soon as possible. Panics if the gateways
    /// together exceed the budget.
    pub fn run(&mut self, seconds: f64, delivery: DeliveryRule<'_>) {
        let until = self.now + seconds;
        let mut in_transit: Vec<(f64, SentMessage)> = Vec::new();
        loop {
            for sent in std::mem::take(&mut self.messages) {
                if let Some(from) = self.gateway_of(sent.sender) {
                    let delays = delivery(self.now, from, sent.recipient);
                    in_transit.extend(delays.into_iter().map(|delay| (self.now + delay, sent.clone())));
                }
            }
            let excess = self.excess();
            assert!(excess < 1e-6, "exceeded by {excess} at {:.3} s", self.now);
            let next_delivery =
                (0..in_transit.len()).min_by(|a, b| in_transit[*a].0.total_cmp(&in_transit[*b].0));
            let next_gateway =
                (0..self.gateways.len()).min_by(|a, b| self.next_tick(*a).total_cmp(&self.next_tick(*b)));
            let (delivery_at, tick_at) = (
                next_delivery.map_or(f64::INFINITY, |message| in_transit[message].0),
                next_gateway.map_or(f64::INFINITY, |n| self.next_tick(n)),
            );
            if delivery_at.min(tick_at) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(delivery_at.min(tick_at));
            match (next_delivery, next_gateway) {
                (Some(message), _) if delivery_at <= tick_at => {
                    let (_, sent) = in_transit.swap_remove(message);
                    self.deliver(sent);
                }
                (_, Some(n)) => self.tick(n),
                _ => return,
            }
            if self.kind != BudgetKind::Rate {
                for n in 0..self.gateways.len() {
                    while self.gateways[n].as_ref().is_some_and(|gateway| gateway.demand > 0.0)
                        && self.try_use_one(n)
                    {}
                }
            }
        }
    }

    /// Sets how many units per second the clients of a gateway request.
    pub fn set_demand(&mut self, n: usize, demand: f64) {
        self.gateways[n].iter_mut().for_each(|gateway| gateway.demand = demand);
    }
}
