//! Gateways that share one budget, as their decisions see it: a level that they are told, meters that they show, and notes
//! under way between them. Clocks run apart. Whoever plays decides what comes, what is lost and who is killed.

#![allow(dead_code)]

use milletpath_shared_budgets::{
    BudgetKind, Entitlement, InjectedFaults, OutgoingMessage, QuotaAdjustment, SharedBudgets, UsageMeter,
};

/// The lease that loans are derived from.
pub const PROOF_LIFETIME: f64 = 3.0;

/// One note under way: from which life, to which gateway, what.
pub type SentMessage = (u64, usize, Vec<u8>);

#[derive(Clone, Debug)]
pub struct Gateway {
    pub shared_budgets: SharedBudgets,
    pub id: u64,
    pub slot: usize,
    /// What the decisions were told last.
    adjustment: QuotaAdjustment,
    /// What this gateway would use a second, and what came of it.
    pub demand: f64,
    requested: f64,
    denied: u64,
    last_metered_at: f64,
    /// When units were used, on its own clock.
    pub used_at: Vec<f64>,
    started_at: f64,
    clock_rate: f64,
}

#[derive(Clone, Debug)]
pub struct SimulatedFleet {
    pub now: f64,
    pub gateways: Vec<Option<Gateway>>,
    pub messages: Vec<SentMessage>,
    pub kind: BudgetKind,
    /// Each gateway's part by the count.
    pub quota: f64,
    pub faults: InjectedFaults,
    last_id: u64,
    /// Units used by processes that are gone, and when processes began that took the place of others, in true time.
    pub past_use: Vec<f64>,
    pub restarts: Vec<f64>,
    /// Bytes of notes sent so far.
    pub bytes: u64,
}

const NO_ADJUSTMENT: QuotaAdjustment =
    QuotaAdjustment { amount: 0.0, amount_after_expiry: 0.0, valid_until: f64::INFINITY };

impl Gateway {
    /// When the next of its loans ends for it, in true time.
    pub fn next_grant_end(&self) -> Option<f64> {
        self.shared_budgets.next_grant_end().map(|at| at / self.clock_rate)
    }
}

impl SimulatedFleet {
    pub fn new(size: usize, kind: BudgetKind, quota: f64, faults: InjectedFaults) -> Self {
        let gateways = (0..size).map(|_| None).collect();
        let (messages, past_use, restarts) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self {
            now: 0.0,
            gateways,
            messages,
            kind,
            quota,
            faults,
            last_id: 0,
            past_use,
            restarts,
            bytes: 0,
        };
        (0..size).for_each(|n| fleet.start(n));
        fleet.restarts.clear();
        fleet
    }

    /// What all together may use.
    pub fn total_quota(&self) -> f64 {
        self.quota * self.gateways.len() as f64
    }

    pub fn clock(&self, n: usize) -> f64 {
        self.gateways[n].as_ref().map_or(self.now, |gateway| self.now * gateway.clock_rate)
    }

    pub fn start(&mut self, n: usize) {
        self.last_id += 1;
        let id = self.last_id * 100 + n as u64;
        // The first is slow, the last is fast, by what the fleet allows for.
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
            started_at: clock,
            clock_rate,
        };
        self.gateways[n] = Some(gateway);
        self.restarts.push(self.now);
        self.announce_peers();
        self.deliver_adjustments(n);
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(gateway) = self.gateways[n].take() {
            self.past_use.extend(gateway.used_at.iter().map(|at| at / gateway.clock_rate));
        }
    }

    /// All know who is there, as by their links.
    fn announce_peers(&mut self) {
        let ids: Vec<u64> = self.gateways.iter().flatten().map(|n| n.id).collect();
        for n in 0..self.gateways.len() {
            let clock = self.clock(n);
            if let Some(gateway) = self.gateways[n].as_mut() {
                let others = ids.iter().copied().filter(|id| *id != gateway.id).collect();
                gateway.shared_budgets.set_entitlement(
                    clock,
                    Entitlement { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY },
                    others,
                );
            }
        }
    }

    pub fn gateway_of(&self, id: u64) -> Option<usize> {
        self.gateways.iter().position(|n| n.as_ref().is_some_and(|n| n.id == id))
    }

    /// What a gateway's decisions may use at this moment, by what they were told.
    pub fn level(&self, n: usize) -> f64 {
        let clock = self.clock(n);
        let Some(gateway) = &self.gateways[n] else { return 0.0 };
        let adjusted_by = if clock < gateway.adjustment.valid_until {
            gateway.adjustment.amount
        } else {
            gateway.adjustment.amount_after_expiry
        };
        (self.quota + adjusted_by).max(0.0)
    }

    /// Units of a gateway in use now.
    fn in_use(&self, n: usize) -> f64 {
        let (clock, hold) = (self.clock(n), self.kind.hold());
        let used = self.gateways[n].iter().flat_map(|gateway| &gateway.used_at);
        used.filter(|at| clock - **at <= hold).count() as f64
    }

    fn meter(&mut self, n: usize) -> UsageMeter {
        let (clock, in_use) = (self.clock(n), self.in_use(n));
        let Some(gateway) = self.gateways[n].as_mut() else { return UsageMeter::default() };
        gateway.requested += gateway.demand * (clock - gateway.last_metered_at);
        gateway.last_metered_at = clock;
        UsageMeter { requested: gateway.requested as u64, denied: gateway.denied, in_use }
    }

    /// The decisions are told before any note goes out.
    fn deliver_adjustments(&mut self, n: usize) {
        let clock = self.clock(n);
        let Some(gateway) = self.gateways[n].as_mut() else { return };
        for published in gateway.shared_budgets.take_adjustments(clock) {
            gateway.adjustment = published.adjustment;
        }
        let id = gateway.id;
        let out: Vec<_> = std::iter::from_fn(|| gateway.shared_budgets.next_message()).collect();
        for OutgoingMessage { recipient, bytes } in out {
            self.bytes += bytes.len() as u64 + 120;
            if let Some(to) = self.gateway_of(recipient) {
                self.messages.push((id, to, bytes));
            }
        }
    }

    pub fn tick(&mut self, n: usize) {
        let (clock, meter) = (self.clock(n), self.meter(n));
        if let Some(gateway) = self.gateways[n].as_mut() {
            gateway.shared_budgets.record_usage(clock, gateway.slot, meter);
            gateway.shared_budgets.tick(clock);
        }
        self.deliver_adjustments(n);
    }

    /// A note comes to whoever is there now.
    pub fn deliver(&mut self, (from, to, bytes): SentMessage) {
        let (clock, meter) = (self.clock(to), self.meter(to));
        if let Some(gateway) = self.gateways[to].as_mut() {
            gateway.shared_budgets.record_usage(clock, gateway.slot, meter);
            gateway.shared_budgets.receive(clock, from, &bytes, &mut |_| Some(meter));
        }
        self.deliver_adjustments(to);
    }

    /// A gateway uses one unit if it may; whether it did.
    pub fn try_use_one(&mut self, n: usize) -> bool {
        let is_allowed = self.in_use(n) + 1.0 <= self.level(n) + 1e-9;
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

    /// By how much all use more than there is; what is allowed for processes that began with empty accounts is in it.
    pub fn excess(&self) -> f64 {
        match self.kind {
            BudgetKind::Rate => {
                (0..self.gateways.len()).map(|n| self.level(n)).sum::<f64>() - self.total_quota()
            }
            BudgetKind::Window(hold) => {
                // A window as the fastest clock has it.
                let since = self.now - hold / 1.01;
                let live =
                    self.gateways.iter().flatten().flat_map(|n| n.used_at.iter().map(|at| at / n.clock_rate));
                let used = live.chain(self.past_use.iter().copied()).filter(|at| *at > since).count() as f64;
                let restarts = self.restarts.iter().filter(|at| **at > since - PROOF_LIFETIME).count() as f64;
                used - self.total_quota() - self.quota * restarts
            }
            // What was sent ends by itself, and ends with its process.
            BudgetKind::InFlight(_) => {
                (0..self.gateways.len()).map(|n| self.in_use(n)).sum::<f64>() - self.total_quota()
            }
        }
    }

    pub fn next_tick(&self, n: usize) -> f64 {
        // A hair later: a turn that rounding makes too early does nothing.
        self.gateways[n]
            .as_ref()
            .map_or(f64::INFINITY, |gateway| gateway.shared_budgets.next_tick() / gateway.clock_rate + 1e-6)
    }
}

/// What befalls one note: the delays after which it comes, none where it is lost.
pub type DeliveryRule<'r> = &'r mut dyn FnMut(f64, usize, usize) -> Vec<f64>;

impl SimulatedFleet {
    /// Plays on for so many seconds; units are used as soon as they may be. Fails where all use more than there is.
    pub fn run(&mut self, seconds: f64, delivery: DeliveryRule<'_>) {
        let until = self.now + seconds;
        let mut in_transit: Vec<(f64, SentMessage)> = Vec::new();
        loop {
            for sent in std::mem::take(&mut self.messages) {
                if let Some(from) = self.gateway_of(sent.0) {
                    let delays = delivery(self.now, from, sent.1);
                    in_transit.extend(delays.into_iter().map(|d| (self.now + d, sent.clone())));
                }
            }
            let excess = self.excess();
            assert!(excess < 1e-6, "{excess} too much at {:.3} s", self.now);
            let next_delivery =
                (0..in_transit.len()).min_by(|a, b| in_transit[*a].0.total_cmp(&in_transit[*b].0));
            let next_turn =
                (0..self.gateways.len()).min_by(|a, b| self.next_tick(*a).total_cmp(&self.next_tick(*b)));
            let (delivery_at, tick_at) = (
                next_delivery.map_or(f64::INFINITY, |c| in_transit[c].0),
                next_turn.map_or(f64::INFINITY, |n| self.next_tick(n)),
            );
            if delivery_at.min(tick_at) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(delivery_at.min(tick_at));
            match (next_delivery, next_turn) {
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

    pub fn demand(&mut self, n: usize, demand: f64) {
        self.gateways[n].iter_mut().for_each(|gateway| gateway.demand = demand);
    }
}
