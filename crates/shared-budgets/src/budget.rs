//! One budget of a gateway: its ledger, its demand estimate, the last published quota adjustment, and the backoff after
//! unsuccessful requests.

use crate::adjustment::{QuotaAdjustment, UNIT_EPSILON};
use crate::demand::{DemandEstimate, UsageMeter};
use crate::entitlement::Entitlement;
use crate::lease::GatewayLevel;
use crate::ledger::{Ledger, LedgerConfig};
use crate::process_id::ProcessId;
use crate::request_plan::plan_requests;
use crate::view::BudgetView;
use oorandom::Rand64;

/// Number of consecutive rounds with leases for only a fraction of a unit, after which requests are paused.
const MAX_UNSUCCESSFUL_ROUNDS: u32 = 3;

/// Mean of the random part of a pause, in seconds.
const MEAN_PAUSE: f64 = 1.0;

/// One budget of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    /// Identifies the budget in messages.
    pub key: u64,
    pub ledger: Ledger,
    name: String,
    demand: DemandEstimate,
    /// The last published adjustment; `None` before the first.
    published: Option<QuotaAdjustment>,
    /// Consecutive rounds in which the leases held did not add up to one usable unit.
    unsuccessful_rounds: u32,
    paused_until: f64,
    /// [`Ledger::fractional_use`] in the previous round.
    previous_use: f64,
}

impl Budget {
    pub(crate) fn new(key: u64, name: &str, config: LedgerConfig, now: f64) -> Self {
        Self {
            key,
            name: name.to_owned(),
            demand: DemandEstimate::new(config.kind, now),
            ledger: Ledger::new(config, now),
            published: None,
            unsuccessful_rounds: 0,
            paused_until: now,
            previous_use: 0.0,
        }
    }

    /// Updates the demand estimate from a meter reading. Returns whether units were denied since the last sample.
    pub(crate) fn record_usage(&mut self, now: f64, meter: UsageMeter) -> bool {
        let was_denied = self.demand.observe(now, meter);
        self.ledger.set_demand(self.demand.estimate(), meter.in_use);
        was_denied
    }

    /// Starts a round of requests. Returns the level to request from each lender.
    pub(crate) fn next_requests(
        &mut self,
        entitlement: &Entitlement,
        peers: &[ProcessId],
        now: f64,
        rng: &mut Rand64,
    ) -> Vec<GatewayLevel> {
        self.ledger.remove_expired(now);
        self.update_pause(entitlement, now, rng);
        let is_paused = now < self.paused_until;
        let desired = if is_paused { 0.0 } else { self.ledger.desired_borrowing(entitlement, now) };
        let required = self.ledger.required_borrowing(entitlement, now);
        plan_requests(&self.ledger, peers, now, desired.max(required))
    }

    /// Pauses requests that cannot succeed for a random time. A fraction of a unit cannot be used, and gateways that
    /// request units concurrently could each hold a fraction forever (livelock). A gateway that fails to obtain a
    /// whole unit therefore returns its leases and pauses. With a quota below one unit, a gateway also pauses after
    /// it has used a unit, so that other gateways get the unit next.
    fn update_pause(&mut self, entitlement: &Entitlement, now: f64, rng: &mut Rand64) {
        let holds_something = self.ledger.held(now) > 0.0;
        let holds_fraction = self.ledger.kind().has_indivisible_units()
            && holds_something
            && self.ledger.allowed(entitlement, now) + UNIT_EPSILON < 1.0;
        self.unsuccessful_rounds = if holds_fraction { self.unsuccessful_rounds + 1 } else { 0 };
        let current_use = self.ledger.fractional_use();
        let has_used_unit = self.previous_use < current_use;
        self.previous_use = current_use;
        if self.unsuccessful_rounds >= MAX_UNSUCCESSFUL_ROUNDS || has_used_unit {
            self.unsuccessful_rounds = 0;
            let use_duration = if has_used_unit { self.ledger.kind().max_use_duration() } else { 0.0 };
            self.paused_until = now + (use_duration + MEAN_PAUSE * 2.0 * rng.rand_float());
        }
    }

    /// Returns the current quota adjustment and marks it as published, or `None` if the last published one still
    /// applies.
    pub(crate) fn publish_adjustment(&mut self, granted: f64, now: f64) -> Option<QuotaAdjustment> {
        let until = QuotaAdjustment::valid_until_from(now);
        let held = self.ledger.held(until);
        let new =
            QuotaAdjustment::from_leases(granted, held, self.ledger.kind().has_indivisible_units(), until);
        let last = self.published.unwrap_or(QuotaAdjustment::NONE);
        if last.still_covers(&new, now) {
            return None;
        }
        self.published = Some(new);
        Some(new)
    }

    /// Invalidates the published adjustment, so that the next one is published even if it is the same.
    pub(crate) fn invalidate_published(&mut self) {
        self.published = Some(QuotaAdjustment::UNKNOWN);
    }

    /// When the published adjustment is due for renewal; infinite if none was published.
    pub(crate) fn renew_at(&self) -> f64 {
        self.published.map_or(f64::INFINITY, |published| published.renew_at())
    }

    /// The state of the budget as shown to operators.
    pub(crate) fn view(&self, entitlement: &Entitlement, now: f64) -> BudgetView {
        BudgetView {
            name: self.name.clone(),
            quota: self.ledger.quota(),
            allowed: self.ledger.allowed(entitlement, now),
            demand: self.demand.estimate(),
            granted: self.ledger.granted(now),
            held: self.ledger.held(now),
        }
    }
}
