//! Quotas shared by gateways: this gateway's fraction of them, adjustments by leases, and the demand reported to the
//! lease protocol. `milletpath-shared-budgets` decides how quotas are divided among gateways.

use super::Dispatcher;
use super::messages::QuotaFraction;
use milletpath_policy::Budget;
use milletpath_shared_budgets::{QuotaAdjustment, UsageMeter};
use std::collections::BTreeMap;

impl<T> Dispatcher<T> {
    /// Sets this gateway's fraction of shared quotas. It stays in effect until it is set again.
    pub fn set_quota_fraction(&mut self, quota_fraction: QuotaFraction) {
        let QuotaFraction { likely_gateways, fraction, fraction_after_expiry, valid_until } = quota_fraction;
        self.quota_fraction = Some(quota_fraction);
        self.router.set_quota_fraction(likely_gateways, [fraction, fraction_after_expiry], valid_until);
        if let Some(limit) = &mut self.state.load_rate_limit {
            limit.set_quota_fraction(fraction, fraction_after_expiry, valid_until);
        }
    }

    /// Sets the amount that is added to this gateway's fraction of a budget, or subtracted from it. It stays in
    /// effect until it is set again.
    pub fn grant_quota(&mut self, budget: Budget, adjustment: QuotaAdjustment) {
        self.adjustments.insert(budget, adjustment);
        if let Budget::InFlight(worker) = budget {
            self.worker_adjustments.insert(self.state.worker_table.name(worker), adjustment);
        }
        self.adjust_router_budget(budget, adjustment);
        if let Some(limit) = self.state.load_rate_limit.as_mut().filter(|_| budget == Budget::LoadRequests) {
            let QuotaAdjustment { amount, amount_after_expiry, valid_until } = adjustment;
            limit.set_adjustment(amount, amount_after_expiry, valid_until);
        }
    }

    pub(super) fn adjust_router_budget(&mut self, budget: Budget, adjustment: QuotaAdjustment) {
        let QuotaAdjustment { amount, amount_after_expiry, valid_until } = adjustment;
        self.router.set_lease(budget, [amount, amount_after_expiry], valid_until);
    }

    /// Reapplies the quotas that were in effect before a restart. Adjustments to workers' budgets are applied by name
    /// once an endpoint list is received.
    pub(super) fn restore_quotas(
        &mut self,
        fraction: Option<QuotaFraction>,
        adjustments: BTreeMap<Budget, QuotaAdjustment>,
    ) {
        if let Some(fraction) = fraction {
            self.set_quota_fraction(fraction);
        }
        for (budget, adjustment) in adjustments {
            if !matches!(budget, Budget::InFlight(_)) {
                self.grant_quota(budget, adjustment);
            }
        }
    }

    /// Units of a budget that were requested, denied and are in use. Demand is counted only from the first call of
    /// this method on, as only gateways that share budgets need it.
    pub fn usage(&mut self, now: f64, budget: Budget) -> UsageMeter {
        let usage_meters = self.state.usage_meters.get_or_insert_default();
        let meter = usage_meters.get(&budget).copied().unwrap_or_default();
        let in_use = match budget {
            Budget::LoadRequests => {
                self.state.load_rate_limit.as_mut().map_or(0.0, |limit| limit.in_use(now))
            }
            other => self.router.in_use(now, other),
        };
        UsageMeter { in_use, ..meter }
    }
}
