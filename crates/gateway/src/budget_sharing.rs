//! Connects the core of `milletpath-shared-budgets` with the dispatcher: which budgets there are, how much of each is used,
//! and what the decisions are granted. Every method runs under the dispatcher's lock, so that a granted lease is subtracted
//! from this gateway's own quota before the next decision and before the message of it is sent.

use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{Dispatcher, EndpointRevision};
use milletpath_membership::QuotaFraction;
use milletpath_policy::{Budget, RequestBudget};
use milletpath_shared_budgets::{
    BudgetKind, BudgetView, Counters, Entitlement, FunctionConcurrency, OutgoingMessage, SharedBudgets,
    SlotAdjustment,
};
use std::collections::BTreeMap;

/// One open budget.
struct OpenBudget {
    budget: Budget,
    /// Its index in the shared budgets.
    slot: usize,
    /// False for a worker's budget once the worker left the endpoint list: it is closed when no lease on it is granted.
    listed: bool,
}

/// This gateway's part of the requests that may be in flight at one worker.
#[derive(Clone, Copy)]
struct InFlightLimit {
    /// Requests in flight; not finite where the number is not limited.
    quota: f64,
    /// Seconds after which an attempt has ended for certain.
    longest_attempt: f64,
}

/// The shared budgets of one gateway as an operator sees them.
pub struct BudgetSharingView {
    /// The budgets with the highest demand or the largest leases, those first.
    pub budgets: Vec<BudgetView>,
    /// Messages, requests and grants since the start.
    pub counters: Counters,
}

/// The shared budgets of one gateway: its part of each, by number of gateways and by leases.
pub struct BudgetSharing {
    shared_budgets: SharedBudgets,
    open: Vec<OpenBudget>,
    /// The endpoint list by which workers' budgets were last opened.
    revision: EndpointRevision,
    /// When the dispatcher was last given the functions' concurrency at other gateways, in seconds.
    remote_concurrency_set_at: f64,
    in_flight_limit: InFlightLimit,
}

impl BudgetSharing {
    /// Opens all budgets that the configuration limits but those of workers, which come with the endpoint list.
    ///
    /// `lease` and `now` are in seconds, `now` on the gateway's clock; `instance_id` is that of this process.
    pub fn new(config: &GatewayConfig, instance_id: u64, lease: f64, now: f64) -> Self {
        /// Seconds past its deadline after which an attempt has ended for certain.
        const END_MARGIN_SECONDS: f64 = 0.5;
        let mut shared_budgets = SharedBudgets::new(instance_id, lease, instance_id, now);
        let (policy, gateways) = (&config.policy, config.policy.routers.max(1) as f64);
        let mut open = Vec::new();
        let mut add = |budget, name: String, kind, quota: f64| {
            if quota.is_finite() && quota > 0.0 {
                open.push(OpenBudget {
                    budget,
                    slot: shared_budgets.open(now, &name, kind, quota),
                    listed: true,
                });
            }
        };
        for (client, name) in config.clients.iter().enumerate() {
            add(
                Budget::Quota(client),
                format!("quota {name}"),
                BudgetKind::Rate,
                policy.quotas[client] / gateways,
            );
            add(
                Budget::RateLimit(client),
                format!("ceiling {name}"),
                BudgetKind::Rate,
                policy.rate_limits[client] / gateways,
            );
        }
        if let Some(RequestBudget { window, free, .. }) = policy.load_budget {
            add(Budget::LoadRequests, "orders".into(), BudgetKind::Window(window), free);
        }
        if let Some(RequestBudget { window, free, .. }) = policy.retry_budget {
            add(Budget::Retries, "retries".into(), BudgetKind::Window(window), free);
        }
        let longest = config.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max);
        Self {
            shared_budgets,
            open,
            revision: EndpointRevision::default(),
            remote_concurrency_set_at: f64::NEG_INFINITY,
            in_flight_limit: InFlightLimit {
                quota: policy.max_in_flight / gateways,
                longest_attempt: longest + END_MARGIN_SECONDS,
            },
        }
    }

    /// When [`tick`](Self::tick) is due next, in seconds on the gateway's clock.
    pub fn next_deadline(&self) -> f64 {
        self.shared_budgets.next_tick().min(self.shared_budgets.next_usage_report())
    }

    /// Opens budgets of workers that were added to the endpoint list, and marks those of removed workers for closing.
    fn update_worker_budgets<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        let revision = dispatcher.endpoint_revision();
        if revision == self.revision {
            return;
        }
        if revision.generation != self.revision.generation {
            self.shared_budgets.resend_adjustments();
        }
        self.revision = revision;
        let InFlightLimit { quota, longest_attempt } = self.in_flight_limit;
        if !quota.is_finite() {
            return;
        }
        self.open.iter_mut().for_each(|open| open.listed = !matches!(open.budget, Budget::InFlight(_)));
        for (worker, name) in dispatcher.workers() {
            let slot = self.shared_budgets.open(
                now,
                &format!("in flight {name}"),
                BudgetKind::InFlight(longest_attempt),
                quota,
            );
            let budget = Budget::InFlight(worker);
            match self.open.iter_mut().find(|open| open.slot == slot) {
                Some(existing) => (existing.budget, existing.listed) = (budget, true),
                None => self.open.push(OpenBudget { budget, slot, listed: true }),
            }
        }
    }

    /// Samples how much of each budget is used now.
    fn record_usage<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        for open in self.open.iter().filter(|open| open.listed) {
            self.shared_budgets.record_usage(now, open.slot, dispatcher.usage(now, open.budget));
        }
    }

    /// Does what is due: samples usage, requests and returns leases, applies grants to the dispatcher.
    ///
    /// `quota` is this gateway's fraction by the number of gateways; `others` are the processes that can be asked for a
    /// lease.
    pub fn tick<T>(
        &mut self,
        dispatcher: &mut Dispatcher<T>,
        now: f64,
        quota: &QuotaFraction,
        others: Vec<u64>,
    ) {
        self.update_worker_budgets(dispatcher, now);
        let QuotaFraction { fraction, floor_fraction, valid_until, .. } = *quota;
        self.shared_budgets.set_entitlement(
            now,
            Entitlement { fraction, floor_fraction, valid_until },
            others,
        );
        self.record_usage(dispatcher, now);
        self.shared_budgets.tick(now);
        self.exchange_concurrency(dispatcher, now);
        let shared_budgets = &mut self.shared_budgets;
        self.open.retain(|open| open.listed || shared_budgets.close(now, open.slot).is_err());
        self.apply_adjustments(dispatcher, now);
    }

    /// Reports the functions' concurrency here to other gateways, and theirs to the dispatcher.
    fn exchange_concurrency<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        /// Seconds between two updates of the dispatcher.
        const INTERVAL_SECONDS: f64 = 0.5;
        let concurrency_of = |(function, concurrency)| FunctionConcurrency { function, concurrency };
        self.shared_budgets.report_usage(now, || {
            dispatcher.local_concurrency(now).into_iter().map(concurrency_of).collect()
        });
        if self.remote_concurrency_set_at == f64::NEG_INFINITY {
            // A gateway that has just started has no estimate of its own; multiplied by the number of gateways it would
            // spread every function over all workers. Until the first report comes, or none came in time, others count
            // as needing nothing.
            dispatcher.set_remote_concurrency(now, &BTreeMap::new());
            self.remote_concurrency_set_at = now;
        }
        if now < self.remote_concurrency_set_at + INTERVAL_SECONDS {
            return;
        }
        if let Some(concurrency) = self.shared_budgets.usage_elsewhere(now) {
            self.remote_concurrency_set_at = now;
            dispatcher.set_remote_concurrency(now, &concurrency);
        }
    }

    /// Handles a message of another process on shared budgets; one that can't be read is counted and dropped.
    pub fn receive<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64, instance_id: u64, message: &[u8]) {
        let open = &self.open;
        self.shared_budgets.receive(now, instance_id, message, &mut |slot| {
            let open = open.iter().find(|open| open.slot == slot && open.listed)?;
            Some(dispatcher.usage(now, open.budget))
        });
        self.apply_adjustments(dispatcher, now);
    }

    /// Grants the dispatcher what leases added to or took from its quotas.
    fn apply_adjustments<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        for SlotAdjustment { slot, adjustment } in self.shared_budgets.take_adjustments(now) {
            if let Some(open) = self.open.iter().find(|open| open.slot == slot && open.listed) {
                dispatcher.grant_quota(open.budget, adjustment);
            }
        }
    }

    /// The next message to send; none once all were taken.
    pub fn next_message(&mut self) -> Option<OutgoingMessage> {
        self.shared_budgets.next_message()
    }

    /// The budgets for operators: those with the highest demand or the largest leases, 48 at most.
    pub fn view(&mut self, now: f64) -> BudgetSharingView {
        /// Keeps a status within some datagrams; with many workers there are thousands of budgets.
        const MAX_VIEWED: usize = 48;
        let mut budgets = self.shared_budgets.view(now);
        budgets.sort_by(|a, b| {
            let activity =
                |budget: &BudgetView| budget.demand / budget.quota.max(1e-9) + budget.granted + budget.held;
            activity(b).total_cmp(&activity(a)).then(a.name.cmp(&b.name))
        });
        budgets.truncate(MAX_VIEWED);
        BudgetSharingView { budgets, counters: self.shared_budgets.counters() }
    }
}
