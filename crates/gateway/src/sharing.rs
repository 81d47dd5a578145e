//! Budgets that the gateways share, between the core of `milletpath-shared-budgets` and the desk: which there are, what of them is
//! wanted and in use, what the decisions are allotted. Each method is called inside the desk: what is lent is subtracted
//! there before anything else is decided, and before any note of it goes out.

use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{Dispatcher, EndpointRevision};
use milletpath_membership::QuotaFraction;
use milletpath_policy::Budget;
use milletpath_shared_budgets::{
    BudgetKind, BudgetView, Counters, Entitlement, FunctionConcurrency, SharedBudgets, SlotAdjustment,
};
use std::collections::BTreeMap;

/// One budget that is open.
struct Open {
    what: Budget,
    slot: usize,
    /// A worker's, while it is listed.
    here: bool,
}

pub struct Sharing {
    shares: SharedBudgets,
    open: Vec<Open>,
    /// The list by which workers' budgets were last opened.
    edition: EndpointRevision,
    /// When the decisions were last told what functions keep busy elsewhere.
    counted: f64,
    /// Of a worker's: this gateway's part of the shots that may be out there, and seconds that one may be out.
    hand: (f64, f64),
}

impl Sharing {
    /// All budgets that the charter bounds, but those of workers, which come with the list.
    pub fn new(house: &GatewayConfig, life: u64, lease: f64, now: f64) -> Self {
        /// Seconds past its cut-off after which a shot has ended for certain.
        const LATE: f64 = 0.5;
        let mut shares = SharedBudgets::new(life, lease, life, now);
        let (policy, gateways) = (&house.policy, house.policy.routers.max(1) as f64);
        let mut open = Vec::new();
        let mut add = |what, name: String, form, part: f64| {
            if part.is_finite() && part > 0.0 {
                open.push(Open { what, slot: shares.open(now, &name, form, part), here: true });
            }
        };
        for (n, name) in house.clients.iter().enumerate() {
            add(Budget::Quota(n), format!("quota {name}"), BudgetKind::Rate, policy.quotas[n] / gateways);
            add(
                Budget::RateLimit(n),
                format!("ceiling {name}"),
                BudgetKind::Rate,
                policy.rate_limits[n] / gateways,
            );
        }
        if let Some((window, free, _)) = policy.load_budget {
            add(Budget::LoadRequests, "orders".into(), BudgetKind::Window(window), free);
        }
        if let Some((window, free, _)) = policy.retry_budget {
            add(Budget::Retries, "retries".into(), BudgetKind::Window(window), free);
        }
        let longest = house.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max);
        Self {
            shares,
            open,
            edition: EndpointRevision::default(),
            counted: f64::NEG_INFINITY,
            hand: (policy.max_in_flight / gateways, longest + LATE),
        }
    }

    /// When [`turn`](Self::turn) is wanted next.
    pub fn next(&self) -> f64 {
        self.shares.next_tick().min(self.shares.next_usage_report())
    }

    /// Opens budgets of workers that came, closes those of workers that are gone.
    fn follow<T>(&mut self, desk: &mut Dispatcher<T>, now: f64) {
        let edition = desk.endpoint_revision();
        if edition == self.edition {
            return;
        }
        if edition.generation != self.edition.generation {
            self.shares.resend_adjustments();
        }
        self.edition = edition;
        let (part, longest) = self.hand;
        if !part.is_finite() {
            return;
        }
        self.open.iter_mut().for_each(|o| o.here = !matches!(o.what, Budget::InFlight(_)));
        for (worker, name) in desk.workers() {
            let slot =
                self.shares.open(now, &format!("in flight {name}"), BudgetKind::InFlight(longest), part);
            let what = Budget::InFlight(worker);
            match self.open.iter_mut().find(|o| o.slot == slot) {
                Some(known) => (known.what, known.here) = (what, true),
                None => self.open.push(Open { what, slot, here: true }),
            }
        }
    }

    fn meter<T>(&mut self, desk: &mut Dispatcher<T>, now: f64) {
        for open in self.open.iter().filter(|o| o.here) {
            self.shares.record_usage(now, open.slot, desk.usage(now, open.what));
        }
    }

    /// Does what is due, with what is one's own by the count and those who can be asked.
    pub fn turn<T>(&mut self, desk: &mut Dispatcher<T>, now: f64, quota: &QuotaFraction, others: Vec<u64>) {
        self.follow(desk, now);
        let QuotaFraction { fraction: part, floor, valid_until: until, .. } = *quota;
        self.shares.set_entitlement(
            now,
            Entitlement { fraction: part, floor_fraction: floor, valid_until: until },
            others,
        );
        self.meter(desk, now);
        self.shares.tick(now);
        self.count(desk, now);
        let shares = &mut self.shares;
        self.open.retain(|o| o.here || shares.close(now, o.slot).is_err());
        self.tell(desk, now);
    }

    /// Tells others what functions keep busy here, and the decisions what they do elsewhere.
    fn count<T>(&mut self, desk: &mut Dispatcher<T>, now: f64) {
        /// Seconds between two words to the decisions.
        const AGAIN: f64 = 0.5;
        let concurrency_of = |(function, concurrency)| FunctionConcurrency { function, concurrency };
        self.shares
            .report_usage(now, || desk.local_concurrency(now).into_iter().map(concurrency_of).collect());
        if self.counted == f64::NEG_INFINITY {
            // Whoever has just begun sees little and knows nothing of how long things take: times the count that would stretch
            // sets over all workers. Until the first word comes, or time has passed without one, others have what they need.
            desk.set_remote_concurrency(now, &BTreeMap::new());
            self.counted = now;
        }
        if now < self.counted + AGAIN {
            return;
        }
        if let Some(busy) = self.shares.usage_elsewhere(now) {
            self.counted = now;
            desk.set_remote_concurrency(now, &busy);
        }
    }

    /// A note came of another process.
    pub fn heard<T>(&mut self, desk: &mut Dispatcher<T>, now: f64, life: u64, note: &[u8]) {
        let open = &self.open;
        self.shares.receive(now, life, note, &mut |slot| {
            let open = open.iter().find(|o| o.slot == slot && o.here)?;
            Some(desk.usage(now, open.what))
        });
        self.tell(desk, now);
    }

    fn tell<T>(&mut self, desk: &mut Dispatcher<T>, now: f64) {
        for SlotAdjustment { slot, adjustment } in self.shares.take_adjustments(now) {
            if let Some(open) = self.open.iter().find(|o| o.slot == slot && o.here) {
                desk.grant_quota(open.what, adjustment);
            }
        }
    }

    /// What to send next, and to which process.
    pub fn out(&mut self) -> Option<(u64, Vec<u8>)> {
        self.shares.next_message().map(|message| (message.recipient, message.bytes))
    }

    /// Budgets as an operator sees them: those of which something is wanted, lent or borrowed come first.
    pub fn view(&mut self, now: f64) -> (Vec<BudgetView>, Counters) {
        /// Budgets that are told.
        const TOLD: usize = 48;
        let mut seen = self.shares.view(now);
        seen.sort_by(|a, b| {
            let moved = |s: &BudgetView| s.demand / s.quota.max(1e-9) + s.granted + s.held;
            moved(b).total_cmp(&moved(a)).then(a.name.cmp(&b.name))
        });
        seen.truncate(TOLD);
        (seen, self.shares.counters())
    }
}
