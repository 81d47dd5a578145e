//! A gateway's accounting of one budget: its quota, the leases it has granted to other gateways, and the leases it
//! holds from them.
//!
//! - The lender subtracts a lease before the borrower learns of it, and until after it has ended at the borrower. The
//!   borrower measures the duration from when it sent the request; the lender measures it from when it granted the
//!   lease, extended by a margin for clock drift.
//! - A request states an upper bound on what its sender holds of the lender's budget from then on. Budget that is no
//!   longer needed is thus returned immediately, and a delayed grant is capped by all requests sent since the one it
//!   answers.
//! - Units stay in use for up to [`BudgetKind::max_use_duration`] after they were taken. Meanwhile they are not
//!   leased. Leased units return to the lender only once every use of them has ended, or when the borrower states
//!   that it uses no more than it holds.
//!
//! At any time, the gateways together may therefore use at most the sum of their entitlements, even if messages are
//! lost, delayed or duplicated, or processes are paused or killed. `QuotaFraction` in `milletpath-membership` bounds
//! that sum.

mod granted;
mod held;

use crate::budget_kind::BudgetKind;
use crate::entitlement::Entitlement;
use crate::fault_injection::InjectedFaults;
use crate::lease::{GatewayLevel, GrantTerms, IncomingRequest};
use crate::message::round_level_down;
use crate::process_id::ProcessId;
use granted::GrantedLeases;
use held::HeldLeases;
use milletpath_membership::MAX_CLOCK_DRIFT;

/// Factor by which the lender extends the duration of a lease, so that it outlasts the lease of a borrower whose clock
/// runs slower.
const CLOCK_MARGIN: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;

/// Fraction of its quota that a gateway never leases. It is always available without a request, and is all that a new
/// process has while leases granted by its predecessor may still be running. It is small because other gateways cannot
/// use any of it that this gateway does not need.
const RESERVED_FRACTION: f64 = 0.05;

/// Seconds without a request after which a borrower or lender without leases is removed.
const IDLE_TIMEOUT: f64 = 60.0;

/// Parameters of a new [`Ledger`].
pub(crate) struct LedgerConfig {
    /// The id of this process.
    pub own_id: ProcessId,
    pub kind: BudgetKind,
    /// This gateway's quota if all configured gateways are running.
    pub quota: f64,
    /// Duration of a lease, in seconds.
    pub lease_duration: f64,
    pub faults: InjectedFaults,
}

/// A gateway's accounting of one budget.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    own_id: ProcessId,
    kind: BudgetKind,
    quota: f64,
    lease_duration: f64,
    faults: InjectedFaults,
    /// This gateway's estimated demand.
    demand: f64,
    /// Units in use on this gateway.
    in_use: f64,
    granted: GrantedLeases,
    held: HeldLeases,
}

impl Ledger {
    /// Creates a ledger that counts as leased whatever this process's predecessor may have leased.
    pub(crate) fn new(config: LedgerConfig, now: f64) -> Self {
        let LedgerConfig { own_id, kind, quota, lease_duration, faults } = config;
        let mut granted = GrantedLeases::default();
        let reserved = match kind {
            BudgetKind::Rate => Some(RESERVED_FRACTION * quota),
            BudgetKind::InFlight(_) => Some((RESERVED_FRACTION * quota).max(quota.min(1.0))),
            // A new process starts with an empty window and may use its full quota.
            BudgetKind::Window(_) => None,
        };
        if let Some(reserved) = reserved {
            let started_at = if faults.starts_with_full_quota { f64::NEG_INFINITY } else { now };
            let end = started_at + lease_duration * CLOCK_MARGIN + kind.max_use_duration();
            granted.assume_granted_by_predecessor(end, quota - reserved);
        }
        let held = HeldLeases::default();
        Self { own_id, kind, quota, lease_duration, faults, demand: 0.0, in_use: 0.0, granted, held }
    }

    pub(crate) fn kind(&self) -> BudgetKind {
        self.kind
    }

    pub(crate) fn quota(&self) -> f64 {
        self.quota
    }

    pub(crate) fn set_quota(&mut self, quota: f64) {
        self.quota = quota;
    }

    /// Sets this gateway's estimated demand and the units in use.
    pub(crate) fn set_demand(&mut self, demand: f64, in_use: f64) {
        self.demand = demand;
        self.in_use = in_use;
    }

    /// The total currently leased to other gateways.
    pub(crate) fn granted(&self, now: f64) -> f64 {
        self.granted.total(now)
    }

    /// The total held on leases that last until at least the given time.
    pub(crate) fn held(&self, until: f64) -> f64 {
        self.held.total(until)
    }

    /// How much this gateway may use now.
    pub(crate) fn allowed(&self, entitlement: &Entitlement, now: f64) -> f64 {
        (self.entitled(entitlement, now) - self.granted(now) + self.held(now)).max(0.0)
    }

    /// Units in use if the quota is less than one unit, 0 otherwise.
    pub(crate) fn fractional_use(&self) -> f64 {
        if self.has_fractional_quota() { self.in_use } else { 0.0 }
    }

    /// Handles a request for a lease. Returns `None` if a request of this borrower with the same or a higher number has
    /// already arrived.
    pub(crate) fn handle_request(
        &mut self,
        entitlement: &Entitlement,
        now: f64,
        request: IncomingRequest,
    ) -> Option<GrantTerms> {
        let until = now + self.grant_duration();
        let lendable = self.lendable(entitlement, now, until);
        if !self.granted.record_request(now, request) {
            return None;
        }
        let borrower = request.borrower;
        let others = self.granted.total_of_others(now, borrower);
        let current = self.granted.level_of(now, borrower);
        let available = (lendable - others).max(0.0);
        let limit = self.growth_limit(lendable, current, available);
        let fair_share = self.fair_share(now, lendable, borrower);
        let level = round_level_down(request.level.min(fair_share).min(limit).min(available));
        self.granted.grant(borrower, until, level);
        let current = self.granted.level_of(now, borrower);
        Some(GrantTerms { level, spare: round_level_down((lendable - others - current).max(0.0)) })
    }

    /// Records a request sent to a lender: from now on at most `level` is held from that lender.
    pub(crate) fn record_request(&mut self, now: f64, lender: ProcessId, request_number: u64, level: f64) {
        self.held.record_request(now, lender, request_number, level);
    }

    /// Records a grant that answers the given request. The lease lasts `duration` seconds from when the request was
    /// sent.
    pub(crate) fn record_grant(
        &mut self,
        now: f64,
        lender: ProcessId,
        request_number: u64,
        terms: GrantTerms,
        duration: f64,
    ) {
        self.held.record_grant(now, lender, request_number, terms, duration);
    }

    /// The lenders from which leases are held, with the levels held, in descending order of level.
    pub(crate) fn lenders(&self, now: f64) -> Vec<GatewayLevel> {
        self.held.lenders(now)
    }

    /// How much more a lender last reported it could grant; `None` if that is older than half a lease duration.
    pub(crate) fn reported_spare(&self, now: f64, lender: ProcessId) -> Option<f64> {
        self.held.reported_spare(now, lender, self.lease_duration / 2.0)
    }

    /// How much this gateway should hold on lease to meet its demand.
    pub(crate) fn desired_borrowing(&self, entitlement: &Entitlement, now: f64) -> f64 {
        let entitled = self.entitled_throughout(entitlement, now, now + self.lease_duration);
        let own_share = entitled - self.granted(now);
        let desired = if self.demand > 0.0 { self.desired_allowance() } else { self.in_use };
        (desired - own_share.max(0.0)).max(0.0)
    }

    /// The minimum that this gateway must hold on lease to cover the units in use.
    pub(crate) fn required_borrowing(&self, entitlement: &Entitlement, now: f64) -> f64 {
        let own_share = self.entitled(entitlement, now) - self.granted(now);
        (self.in_use - own_share.max(0.0)).max(0.0)
    }

    /// Whether the units in use stay within what this gateway may use once these requests have been sent.
    pub(crate) fn covers_use_after(
        &self,
        entitlement: &Entitlement,
        now: f64,
        requests: &[GatewayLevel],
    ) -> bool {
        let held = self.held.total_after(now, requests);
        self.in_use <= (self.entitled(entitlement, now) - self.granted(now) + held).max(0.0)
    }

    /// The earliest time at which all leases to some borrower have ended; `None` if nothing is leased.
    pub(crate) fn next_grant_end(&self) -> Option<f64> {
        self.granted.next_end()
    }

    /// Removes leases that have ended, and borrowers and lenders without leases and without a request for
    /// [`IDLE_TIMEOUT`].
    pub(crate) fn remove_expired(&mut self, now: f64) {
        self.granted.remove_expired(now, IDLE_TIMEOUT);
        self.held.remove_expired(now, IDLE_TIMEOUT);
    }

    fn has_fractional_quota(&self) -> bool {
        self.kind.has_indivisible_units() && self.quota < 1.0
    }

    /// What this gateway is entitled to at the given time, before leases.
    fn entitled(&self, entitlement: &Entitlement, when: f64) -> f64 {
        self.quota * entitlement.fraction_at(when)
    }

    /// What this gateway is entitled to throughout the period from `now` to `until`.
    fn entitled_throughout(&self, entitlement: &Entitlement, now: f64, until: f64) -> f64 {
        self.entitled(entitlement, now).min(self.entitled(entitlement, until))
    }

    /// How much this gateway wants to be allowed to use, including headroom.
    fn desired_allowance(&self) -> f64 {
        /// Covers the variance of the demand and its growth while a request is in transit.
        const HEADROOM_FACTOR: f64 = 1.25;
        (HEADROOM_FACTOR * self.demand).max(self.in_use)
    }

    /// Seconds for which the lender counts a grant as leased. This covers the last use of a leased unit by the
    /// borrower.
    fn grant_duration(&self) -> f64 {
        if self.faults.grant_ends_with_lease {
            self.lease_duration
        } else {
            self.lease_duration * CLOCK_MARGIN + self.kind.max_use_duration()
        }
    }

    /// The total that may be leased until the given time.
    fn lendable(&self, entitlement: &Entitlement, now: f64, until: f64) -> f64 {
        let entitled = self.entitled_throughout(entitlement, now, until);
        let reserved = match self.kind {
            _ if self.has_fractional_quota() => 0.0,
            // A fraction of an in-flight unit cannot be used, so one whole unit is kept.
            BudgetKind::InFlight(_) => (RESERVED_FRACTION * self.quota).max(1.0),
            BudgetKind::Rate | BudgetKind::Window(_) => RESERVED_FRACTION * self.quota,
        };
        // A gateway with less than one unit competes for it like any other requester: see `fair_share`.
        let desired = if self.has_fractional_quota() { self.in_use } else { self.desired_allowance() };
        (entitled - desired.max(reserved)).max(0.0)
    }

    /// Limits how fast a lease grows: the maximum level for a borrower that currently has `current`. The borrower
    /// keeps its current level, which may be in use. Units with a use duration outlast the lease, so each grant adds
    /// only half of what is available: other gateways may request some at the same time.
    fn growth_limit(&self, lendable: f64, current: f64, available: f64) -> f64 {
        if self.kind.max_use_duration() > 0.0 && lendable >= 1.0 {
            current + 0.5 * (available - current).max(0.0)
        } else {
            available
        }
    }

    /// A borrower's share, given the requests of the other borrowers.
    fn fair_share(&self, now: f64, lendable: f64, borrower: ProcessId) -> f64 {
        if self.kind.has_indivisible_units() && lendable < 1.0 {
            return self.share_of_one_unit(now, lendable, borrower);
        }
        self.granted.max_min_fair_share(now, self.lease_duration, lendable, borrower)
    }

    /// A fraction of a unit is only usable together with fractions from other lenders. It is therefore not divided, but
    /// granted to the requester with the lowest id, an order on which all lenders agree.
    fn share_of_one_unit(&self, now: f64, lendable: f64, borrower: ProcessId) -> f64 {
        let precedes_this_gateway = self.demand == 0.0 || borrower < self.own_id;
        let is_first = self.granted.first_requester(now, self.lease_duration) == Some(borrower);
        if precedes_this_gateway && is_first { lendable } else { 0.0 }
    }
}
