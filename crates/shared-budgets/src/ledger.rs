//! One budget of the fleet as one gateway accounts for it: its quota, what it has leased to others, and what it holds on
//! lease from others.
//!
//! - What is leased is subtracted before the borrower learns of it, and until after the lease has ended there: the borrower
//!   counts from when it sent its request, the lender from when it granted it, and longer by what clocks may drift apart.
//! - A request states how much its sender holds of the lender's at most from then on. So what is not needed any more is
//!   returned at once, and a grant that arrives late is worth what the requests since then leave of it.
//! - Units that were used are in use for a while ([`BudgetKind::max_use_duration`]). They are not leased meanwhile, and leased units
//!   return only once all that was used of them has ended, or when the borrower states that it uses no more than it holds.
//!
//! So at every moment what all gateways may use is at most the sum of what they are entitled to, whatever is lost, late or
//! repeated, and whoever is paused or killed. That sum is proven elsewhere (`QuotaFraction` of `milletpath-membership`).

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

/// The factor by which the lender's wait is longer, so that it outlasts the borrower's on a clock that runs slower.
const CLOCK_MARGIN: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;

/// The fraction of its quota that a gateway never leases: what a process has that starts while leases of its predecessor
/// still run, and what it always has at once. Small, as what nobody needs of it is lost to the others.
const RESERVED_FRACTION: f64 = 0.05;

/// Seconds after which a borrower that requests nothing, or a lender that grants nothing, is forgotten.
const IDLE_TIMEOUT: f64 = 60.0;

/// What a ledger is created from.
pub(crate) struct LedgerConfig {
    /// The id of this process.
    pub own_id: ProcessId,
    pub kind: BudgetKind,
    /// This gateway's quota among all gateways of the configuration.
    pub quota: f64,
    /// Seconds for which leases hold.
    pub lease_duration: f64,
    pub faults: InjectedFaults,
}

/// One budget as one gateway accounts for it.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    own_id: ProcessId,
    kind: BudgetKind,
    quota: f64,
    lease_duration: f64,
    faults: InjectedFaults,
    /// What this gateway needs itself, as estimated.
    demand: f64,
    /// Units in use at this gateway.
    in_use: f64,
    granted: GrantedLeases,
    held: HeldLeases,
}

impl Ledger {
    /// A ledger from whose quota all that a predecessor of this process may have leased counts as leased.
    pub(crate) fn new(config: LedgerConfig, now: f64) -> Self {
        let LedgerConfig { own_id, kind, quota, lease_duration, faults } = config;
        let mut granted = GrantedLeases::default();
        let reserved = match kind {
            BudgetKind::Rate => Some(RESERVED_FRACTION * quota),
            BudgetKind::InFlight(_) => Some((RESERVED_FRACTION * quota).max(quota.min(1.0))),
            // A process starts with an empty window.
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

    /// Sets what this gateway needs and what is in use here.
    pub(crate) fn set_demand(&mut self, demand: f64, in_use: f64) {
        self.demand = demand;
        self.in_use = in_use;
    }

    /// What is leased to others now.
    pub(crate) fn granted(&self, now: f64) -> f64 {
        self.granted.total(now)
    }

    /// What is held on lease from others until a time at least.
    pub(crate) fn held(&self, until: f64) -> f64 {
        self.held.total(until)
    }

    /// What this gateway may use now.
    pub(crate) fn allowed(&self, entitlement: &Entitlement, now: f64) -> f64 {
        (self.entitled(entitlement, now) - self.granted(now) + self.held(now)).max(0.0)
    }

    /// Units in use where the quota is less than one unit; otherwise 0.
    pub(crate) fn fractional_use(&self) -> f64 {
        if self.has_fractional_quota() { self.in_use } else { 0.0 }
    }

    /// Handles a request for a lease; none where a later request of the same borrower came before.
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

    /// Records a request that is sent to a lender: from now on at most `level` of the lender's is held.
    pub(crate) fn record_request(&mut self, now: f64, lender: ProcessId, request_number: u64, level: f64) {
        self.held.record_request(now, lender, request_number, level);
    }

    /// Records a grant, in answer to the request of that number, which holds for `duration` seconds from the request.
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

    /// Lenders from which something is held, and how much: most first.
    pub(crate) fn lenders(&self, now: f64) -> Vec<GatewayLevel> {
        self.held.lenders(now)
    }

    /// What a lender last stated that it could grant beside; none where that is older than half a lease.
    pub(crate) fn reported_spare(&self, now: f64, lender: ProcessId) -> Option<f64> {
        self.held.reported_spare(now, lender, self.lease_duration / 2.0)
    }

    /// What this gateway should hold on lease, by its demand.
    pub(crate) fn desired_borrowing(&self, entitlement: &Entitlement, now: f64) -> f64 {
        let entitled = self.entitled_throughout(entitlement, now, now + self.lease_duration);
        let own_share = entitled - self.granted(now);
        let desired = if self.demand > 0.0 { self.desired_allowance() } else { self.in_use };
        (desired - own_share.max(0.0)).max(0.0)
    }

    /// What this gateway must hold on lease at least, for the units in use.
    pub(crate) fn required_borrowing(&self, entitlement: &Entitlement, now: f64) -> f64 {
        let own_share = self.entitled(entitlement, now) - self.granted(now);
        (self.in_use - own_share.max(0.0)).max(0.0)
    }

    /// Whether what is in use is within what is held once these requests are sent.
    pub(crate) fn covers_use_after(
        &self,
        entitlement: &Entitlement,
        now: f64,
        requests: &[GatewayLevel],
    ) -> bool {
        let held = self.held.total_after(now, requests);
        self.in_use <= (self.entitled(entitlement, now) - self.granted(now) + held).max(0.0)
    }

    /// When the next lease that was granted ends here; none where nothing is leased.
    pub(crate) fn next_grant_end(&self) -> Option<f64> {
        self.granted.next_end()
    }

    /// Forgets leases that have ended, and borrowers and lenders that sent nothing for [`IDLE_TIMEOUT`].
    pub(crate) fn remove_expired(&mut self, now: f64) {
        self.granted.remove_expired(now, IDLE_TIMEOUT);
        self.held.remove_expired(now, IDLE_TIMEOUT);
    }

    fn has_fractional_quota(&self) -> bool {
        self.kind.has_indivisible_units() && self.quota < 1.0
    }

    /// What this gateway is entitled to at a time, before leases.
    fn entitled(&self, entitlement: &Entitlement, when: f64) -> f64 {
        self.quota * entitlement.fraction_at(when)
    }

    /// What this gateway is entitled to both now and until a time.
    fn entitled_throughout(&self, entitlement: &Entitlement, now: f64, until: f64) -> f64 {
        self.entitled(entitlement, now).min(self.entitled(entitlement, until))
    }

    /// What this gateway wants for itself, with room to grow.
    fn desired_allowance(&self) -> f64 {
        /// Covers the variance of the demand, and its growth while a request is under way.
        const HEADROOM_FACTOR: f64 = 1.25;
        (HEADROOM_FACTOR * self.demand).max(self.in_use)
    }

    /// Seconds for which a grant counts as leased here: until after the last unit that the borrower used of it.
    fn grant_duration(&self) -> f64 {
        if self.faults.grant_ends_with_lease {
            self.lease_duration
        } else {
            self.lease_duration * CLOCK_MARGIN + self.kind.max_use_duration()
        }
    }

    /// What could be leased in all until a time.
    fn lendable(&self, entitlement: &Entitlement, now: f64, until: f64) -> f64 {
        let entitled = self.entitled_throughout(entitlement, now, until);
        let reserved = match self.kind {
            _ if self.has_fractional_quota() => 0.0,
            // A fraction of a unit in flight can't be used: one complete unit stays here.
            BudgetKind::InFlight(_) => (RESERVED_FRACTION * self.quota).max(1.0),
            BudgetKind::Rate | BudgetKind::Window(_) => RESERVED_FRACTION * self.quota,
        };
        // For a fraction of a unit this gateway is one requester among others: see `fair_share`.
        let desired = if self.has_fractional_quota() { self.in_use } else { self.desired_allowance() };
        (entitled - desired.max(reserved)).max(0.0)
    }

    /// What one borrower may have in all, by how fast a lease may grow. It keeps what it has, as that may be in use there.
    /// Units that do not return within a lease are granted by halves of what is free: others may request some at the same
    /// time.
    fn growth_limit(&self, lendable: f64, current: f64, available: f64) -> f64 {
        if self.kind.max_use_duration() > 0.0 && lendable >= 1.0 {
            current + 0.5 * (available - current).max(0.0)
        } else {
            available
        }
    }

    /// What one borrower may have beside the others that request something.
    fn fair_share(&self, now: f64, lendable: f64, borrower: ProcessId) -> f64 {
        if self.kind.has_indivisible_units() && lendable < 1.0 {
            return self.share_of_one_unit(now, lendable, borrower);
        }
        self.granted.max_min_fair_share(now, self.lease_duration, lendable, borrower)
    }

    /// Less than a unit is of use only together with others' fractions. So it is not divided, but goes to the first
    /// requester by an order that is the same at all lenders: that of the ids.
    fn share_of_one_unit(&self, now: f64, lendable: f64, borrower: ProcessId) -> f64 {
        let precedes_this_gateway = self.demand == 0.0 || borrower < self.own_id;
        let is_first = self.granted.first_requester(now, self.lease_duration) == Some(borrower);
        if precedes_this_gateway && is_first { lendable } else { 0.0 }
    }
}
