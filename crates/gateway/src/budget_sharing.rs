//! Connects `milletpath-shared-budgets` to the dispatcher: opens the budgets, samples their usage, and applies leases
//! to the dispatcher's quotas. Every method runs under the dispatcher's lock, so that a granted lease is subtracted
//! from this gateway's own quota before the next decision and before the message that grants it is sent.

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
    /// Its index in [`SharedBudgets`].
    slot: usize,
    /// False for a worker's budget once the worker has left the endpoint list; it is then closed as soon as no lease on
    /// it is granted.
    listed: bool,
}

/// This gateway's share of the limit on requests in flight at one worker.
#[derive(Clone, Copy)]
struct InFlightLimit {
    /// Number of requests in flight; not finite if there is no limit.
    quota: f64,
    /// Seconds after which an attempt has certainly ended.
    longest_attempt: f64,
}

/// The shared budgets of one gateway as shown to operators.
pub struct BudgetSharingView {
    /// The budgets with the highest demand or the largest leases, in descending order.
    pub budgets: Vec<BudgetView>,
    /// Counts of messages, lease requests and grants since the start.
    pub counters: Counters,
}

/// The shared budgets of one gateway. Its share of each follows from the number of gateways and from leases.
pub struct BudgetSharing {
    shared_budgets: SharedBudgets,
    open: Vec<OpenBudget>,
    /// The endpoint list revision for which worker budgets were last opened.
    revision: EndpointRevision,
    /// When the dispatcher was last updated with the functions' concurrency at other gateways, in seconds.
    remote_concurrency_set_at: f64,
    in_flight_limit: InFlightLimit,
}

impl BudgetSharing {
    /// Opens all limited budgets of the configuration except those of workers, which are opened with the endpoint list.
    ///
    /// `lease` is the duration of a lease in seconds, `now` is in seconds on the gateway's clock, and `instance_id`
    /// identifies this process.
    pub fn new(config: &GatewayConfig, instance_id: u64, lease: f64, now: f64) -> Self {
        /// Seconds past its deadline after which an attempt has certainly ended.
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

    /// Returns when [`tick`](Self::tick) is due next, in seconds on the gateway's clock.
    pub fn next_deadline(&self) -> f64 {
        self.shared_budgets.next_tick().min(self.shared_budgets.next_usage_report())
    }

    /// Opens the budgets of workers that were added to the endpoint list, and marks those of removed workers for
    /// closing.
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

    /// Samples the current usage of each budget.
    fn record_usage<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        for open in self.open.iter().filter(|open| open.listed) {
            self.shared_budgets.record_usage(now, open.slot, dispatcher.usage(now, open.budget));
        }
    }

    /// Performs the work that is due: samples usage, requests and returns leases, and applies grants to the dispatcher.
    ///
    /// `quota` is this gateway's fraction according to the number of gateways. `others` are the instance ids of the
    /// processes that can be asked for a lease.
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

    /// Reports the functions' concurrency at this gateway to the other gateways, and theirs to the dispatcher.
    fn exchange_concurrency<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        /// Minimum time between two updates of the dispatcher.
        const INTERVAL_SECONDS: f64 = 0.5;
        let concurrency_of = |(function, concurrency)| FunctionConcurrency { function, concurrency };
        self.shared_budgets.report_usage(now, || {
            dispatcher.local_concurrency(now).into_iter().map(concurrency_of).collect()
        });
        if self.remote_concurrency_set_at == f64::NEG_INFINITY {
            // A gateway that has just started has no estimate of its own concurrency; multiplied by the number of
            // gateways it would spread every function over all workers. Until the first report arrives, or if none
            // arrives in time, the other gateways are assumed to have no concurrency.
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

    /// Handles a message about shared budgets from another process. A malformed message is counted and dropped.
    pub fn receive<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64, instance_id: u64, message: &[u8]) {
        let open = &self.open;
        self.shared_budgets.receive(now, instance_id, message, &mut |slot| {
            let open = open.iter().find(|open| open.slot == slot && open.listed)?;
            Some(dispatcher.usage(now, open.budget))
        });
        self.apply_adjustments(dispatcher, now);
    }

    /// Applies to the dispatcher's quotas what leases have added to or subtracted from them.
    fn apply_adjustments<T>(&mut self, dispatcher: &mut Dispatcher<T>, now: f64) {
        for SlotAdjustment { slot, adjustment } in self.shared_budgets.take_adjustments(now) {
            if let Some(open) = self.open.iter().find(|open| open.slot == slot && open.listed) {
                dispatcher.grant_quota(open.budget, adjustment);
            }
        }
    }

    /// Returns the next message to send, or `None` if there are no more.
    pub fn next_message(&mut self) -> Option<OutgoingMessage> {
        self.shared_budgets.next_message()
    }

    /// Returns the view for operators, with the up to 48 budgets that have the highest demand or the largest leases.
    pub fn view(&mut self, now: f64) -> BudgetSharingView {
        /// Limits a status report to a few datagrams; with many workers there are thousands of budgets.
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
