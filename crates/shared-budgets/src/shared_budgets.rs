//! All shared budgets of one gateway: meters their use, requests missing budget from other gateways, and leases spare
//! budget to them.
//!
//! The caller must pass the adjustments that result from [`SharedBudgets::receive`] or [`SharedBudgets::tick`]
//! ([`SharedBudgets::take_adjustments`]) to the code that spends the budgets before it sends any message
//! ([`SharedBudgets::next_message`]). Otherwise units leased to other gateways could still be spent locally.

use crate::adjustment::QuotaAdjustment;
use crate::budget::Budget;
use crate::budget_kind::BudgetKind;
use crate::clock::MonotonicClock;
use crate::demand::UsageMeter;
use crate::entitlement::Entitlement;
use crate::error::CloseError;
use crate::fault_injection::InjectedFaults;
use crate::lease::{GrantTerms, IncomingRequest};
use crate::ledger::LedgerConfig;
use crate::message::{
    LeaseGrant, LeaseRequest, MAX_ENTRIES, Message, level_from_wire, level_to_wire, level_to_wire_rounded_up,
};
use crate::outbox::Outbox;
use crate::process_id::ProcessId;
use crate::usage_counts::{FunctionConcurrency, UsageCounts};
use crate::view::{BudgetView, Counters};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Mean time between two rounds of requests, in seconds.
const REQUEST_INTERVAL: f64 = 0.4;

/// Minimum time between two rounds of requests after units were denied, in seconds and subject to the jitter of the
/// round interval.
const MIN_REQUEST_INTERVAL: f64 = 0.05;

/// Maximum duration of a lease, in rounds of requests. With 30% of the messages lost, one lease in four is renewed at
/// the first request and one in seven not in time.
const MAX_LEASE_ROUNDS: f64 = 5.0;

/// Ratio of the lifetime of an entitlement proof to the duration of a lease. Leases are shorter than proofs, so that
/// most leases can be granted from an entitlement that is proved until the lease ends.
const PROOF_TO_LEASE_RATIO: f64 = 1.5;

/// Minimum duration of a lease, in seconds.
const MIN_LEASE_DURATION: f64 = 0.2;

/// A message to another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiving process. The message must not be delivered to a restarted process of the same gateway.
    pub recipient: ProcessId,
    /// The encoded message, to be passed to the recipient's [`SharedBudgets::receive`].
    pub bytes: Vec<u8>,
}

/// A quota adjustment for one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotAdjustment {
    /// The budget's slot, as returned by [`SharedBudgets::open`].
    pub slot: usize,
    /// The adjustment in effect from now on.
    pub adjustment: QuotaAdjustment,
}

/// All shared budgets of one gateway. Times are in seconds on the caller's clock, which may start at any value but
/// should not go backwards.
#[derive(Clone, Debug)]
pub struct SharedBudgets {
    own_id: ProcessId,
    /// Duration of a lease, in seconds.
    lease_duration: f64,
    clock: MonotonicClock,
    entitlement: Entitlement,
    /// Budgets by slot. Slots of closed budgets are empty until reused, so that the length is the largest number of
    /// budgets open at the same time.
    budgets: Vec<Option<Budget>>,
    /// Slots by budget key.
    slots: BTreeMap<u64, usize>,
    /// The other gateways, from which leases can be requested.
    peers: Vec<ProcessId>,
    last_request_number: u64,
    outbox: Outbox,
    next_round_at: f64,
    /// When the next adjustment is due for renewal.
    next_renewal_at: f64,
    /// Whether units were denied since the last round of requests.
    was_denied: bool,
    rng: Rand64,
    usage: UsageCounts,
    counters: Counters,
    faults: InjectedFaults,
}

impl SharedBudgets {
    /// Creates an instance without open budgets. `proof_lifetime` is the lifetime of entitlement proofs in seconds,
    /// from which the shorter duration of leases is derived. `seed` initializes the random jitter of requests.
    #[must_use]
    pub fn new(own_id: ProcessId, proof_lifetime: f64, seed: u64, now: f64) -> Self {
        let max_lease_duration = MAX_LEASE_ROUNDS * REQUEST_INTERVAL;
        Self {
            own_id,
            lease_duration: (proof_lifetime / PROOF_TO_LEASE_RATIO)
                .clamp(MIN_LEASE_DURATION, max_lease_duration),
            clock: MonotonicClock::new(now),
            entitlement: Entitlement::FULL_QUOTA,
            budgets: Vec::new(),
            slots: BTreeMap::new(),
            peers: Vec::new(),
            last_request_number: 0,
            outbox: Outbox::new(now),
            next_round_at: now,
            next_renewal_at: f64::INFINITY,
            was_denied: false,
            rng: Rand64::new(u128::from(seed)),
            usage: UsageCounts::new(own_id, now),
            counters: Counters::default(),
            faults: InjectedFaults::default(),
        }
    }

    /// Injects faults into subsequent operations and into budgets opened from now on.
    #[doc(hidden)]
    pub fn inject_faults(&mut self, faults: InjectedFaults) {
        self.faults = faults;
    }

    /// Duration of a lease, in seconds.
    #[must_use]
    pub fn lease_duration(&self) -> f64 {
        self.lease_duration
    }

    /// Event counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Sets the fraction of its quotas to which this gateway is entitled, and the other gateways.
    pub fn set_entitlement(&mut self, now: f64, entitlement: Entitlement, peers: Vec<ProcessId>) {
        self.clock.advance(now);
        let valid_until = self.clock.monotonic_time(entitlement.valid_until);
        self.entitlement = Entitlement { valid_until, ..entitlement };
        self.usage.set_peers(&peers);
        self.peers = peers;
    }

    /// Opens a budget and returns its slot. Name and kind together identify the budget and must be the same on all
    /// gateways. `quota` is this gateway's quota if all configured gateways are running. Reopening an open budget
    /// keeps its slot and leases and sets the new quota.
    pub fn open(&mut self, now: f64, name: &str, kind: BudgetKind, quota: f64) -> usize {
        let now = self.clock.advance(now);
        let key = kind.budget_key(name);
        if let Some(&slot) = self.slots.get(&key) {
            if let Some(budget) = self.budget_mut(slot) {
                budget.ledger.set_quota(quota);
            }
            return slot;
        }
        let (own_id, lease_duration, faults) = (self.own_id, self.lease_duration, self.faults);
        let budget =
            Budget::new(key, name, LedgerConfig { own_id, kind, quota, lease_duration, faults }, now);
        let slot = self.free_slot();
        self.budgets[slot] = Some(budget);
        self.slots.insert(key, slot);
        slot
    }

    /// Closes a budget that this gateway no longer uses. Closing an empty slot has no effect.
    ///
    /// # Errors
    /// [`CloseError::Leased`] while part of the budget is leased to other gateways; the budget then stays open.
    pub fn close(&mut self, now: f64, slot: usize) -> Result<(), CloseError> {
        let now = self.clock.advance(now);
        let granted = self.budget_mut(slot).map_or(0.0, |budget| budget.ledger.granted(now));
        if granted > 0.0 {
            return Err(CloseError::Leased { granted });
        }
        if let Some(budget) = self.budgets.get_mut(slot).and_then(Option::take) {
            self.slots.remove(&budget.key);
        }
        Ok(())
    }

    /// Makes the next call of [`take_adjustments`](Self::take_adjustments) return the adjustments of all budgets. To be
    /// called when the code that spends the budgets has lost them.
    pub fn resend_adjustments(&mut self) {
        self.budgets.iter_mut().flatten().for_each(Budget::invalidate_published);
    }

    /// Records a meter reading of a budget.
    pub fn record_usage(&mut self, now: f64, slot: usize, meter: UsageMeter) {
        let now = self.clock.advance(now);
        self.observe(now, slot, meter);
    }

    /// When [`tick`](Self::tick), followed by [`take_adjustments`](Self::take_adjustments), is due next.
    #[must_use]
    pub fn next_tick(&self) -> f64 {
        let early_round_at = if self.was_denied { self.earliest_round_at() } else { f64::INFINITY };
        self.clock.caller_time(self.next_round_at.min(early_round_at).min(self.next_renewal_at))
    }

    /// Handles a message from another gateway. `read_meter` returns the current meter reading of a slot, or `None`
    /// for a budget that this gateway no longer uses.
    pub fn receive(
        &mut self,
        now: f64,
        sender: ProcessId,
        bytes: &[u8],
        read_meter: &mut dyn FnMut(usize) -> Option<UsageMeter>,
    ) {
        let now = self.clock.advance(now);
        let Ok(mut message) = Message::from_bytes(bytes) else {
            self.counters.unreadable += 1;
            return;
        };
        self.receive_usage(now, sender, &mut message);
        self.receive_grants(now, sender, &message);
        self.answer_requests(now, sender, &message, read_meter);
    }

    /// Removes and returns the next message to send, if any.
    #[must_use]
    pub fn next_message(&mut self) -> Option<OutgoingMessage> {
        let (recipient, message) = self.outbox.pop()?;
        self.counters.messages += 1;
        message.to_bytes().map(|bytes| OutgoingMessage { recipient, bytes })
    }

    /// Reports the concurrency of functions to the other gateways if a report is due. `read_concurrency` returns the
    /// concurrency of the functions in use on this gateway.
    pub fn report_usage(&mut self, now: f64, read_concurrency: impl FnOnce() -> Vec<FunctionConcurrency>) {
        let now = self.clock.advance(now);
        let jitter = self.rng.rand_float();
        for (recipient, message) in self.usage.tick(now, jitter, read_concurrency) {
            self.enqueue(recipient, message);
        }
    }

    /// When [`report_usage`](Self::report_usage) is due next.
    #[must_use]
    pub fn next_usage_report(&self) -> f64 {
        self.clock.caller_time(self.usage.next_report_at())
    }

    /// The total concurrency of functions on all other gateways, by the hash of the function name; `None` while
    /// unknown.
    pub fn usage_elsewhere(&mut self, now: f64) -> Option<BTreeMap<u64, f64>> {
        let now = self.clock.advance(now);
        self.usage.remote_concurrency(now)
    }

    /// Starts a round of requests if one is due: removes leases that have ended, and sends requests to lenders.
    pub fn tick(&mut self, now: f64) {
        let now = self.clock.advance(now);
        let is_early_round = self.was_denied && now >= self.earliest_round_at();
        if now < self.next_round_at && !is_early_round {
            return;
        }
        self.was_denied = false;
        self.next_round_at = now + REQUEST_INTERVAL * (0.9 + 0.2 * self.rng.rand_float());
        let requests = self.collect_requests(now);
        self.send_requests(now, &requests);
    }

    /// Returns the quota adjustments that have changed since the last call or are due for renewal.
    #[must_use]
    pub fn take_adjustments(&mut self, now: f64) -> Vec<SlotAdjustment> {
        let now = self.clock.advance(now);
        let mut adjustments = Vec::new();
        self.next_renewal_at = f64::INFINITY;
        for (slot, budget) in self.budgets.iter_mut().enumerate() {
            let Some(budget) = budget else { continue };
            let granted = if self.faults.grants_not_subtracted { 0.0 } else { budget.ledger.granted(now) };
            if let Some(adjustment) = budget.publish_adjustment(granted, now) {
                let valid_until = self.clock.caller_time(adjustment.valid_until);
                let adjustment = QuotaAdjustment { valid_until, ..adjustment };
                adjustments.push(SlotAdjustment { slot, adjustment });
            }
            self.next_renewal_at = self.next_renewal_at.min(budget.renew_at());
        }
        adjustments
    }

    /// How much of a budget this gateway may use now; 0 for an empty slot.
    #[must_use]
    pub fn allowed(&mut self, now: f64, slot: usize) -> f64 {
        let now = self.clock.advance(now);
        let entitlement = self.entitlement;
        self.budget_mut(slot).map_or(0.0, |budget| budget.ledger.allowed(&entitlement, now))
    }

    /// The earliest time at which this gateway's leases to some borrower have all ended. For tests that check the
    /// state at that time.
    #[doc(hidden)]
    #[must_use]
    pub fn next_grant_end(&self) -> Option<f64> {
        let ends = self.budgets.iter().flatten().filter_map(|budget| budget.ledger.next_grant_end());
        ends.min_by(f64::total_cmp).map(|end| self.clock.caller_time(end))
    }

    /// The state of all open budgets as shown to operators.
    #[must_use]
    pub fn view(&mut self, now: f64) -> Vec<BudgetView> {
        let now = self.clock.advance(now);
        self.budgets.iter().flatten().map(|budget| budget.view(&self.entitlement, now)).collect()
    }

    fn budget_mut(&mut self, slot: usize) -> Option<&mut Budget> {
        self.budgets.get_mut(slot)?.as_mut()
    }

    fn budget_by_key(&mut self, key: u64) -> Option<&mut Budget> {
        let slot = *self.slots.get(&key)?;
        self.budget_mut(slot)
    }

    /// The first empty slot; appends one if there is none.
    fn free_slot(&mut self) -> usize {
        let slot = self.budgets.iter().position(Option::is_none).unwrap_or(self.budgets.len());
        if slot == self.budgets.len() {
            self.budgets.push(None);
        }
        slot
    }

    /// The earliest time at which the next round may begin if units were denied. Based on the jittered time of the next
    /// regular round.
    fn earliest_round_at(&self) -> f64 {
        (self.next_round_at - REQUEST_INTERVAL) + MIN_REQUEST_INTERVAL
    }

    fn observe(&mut self, now: f64, slot: usize, meter: UsageMeter) {
        if let Some(budget) = self.budget_mut(slot) {
            let was_denied = budget.record_usage(now, meter);
            self.was_denied |= was_denied;
        }
    }

    /// Queues a message. Returns `false` and counts it as suppressed if it exceeds the limits of the outbox.
    fn enqueue(&mut self, recipient: ProcessId, message: Message) -> bool {
        let is_queued = self.outbox.try_push(self.clock.now(), recipient, message);
        if !is_queued {
            self.counters.suppressed += 1;
        }
        is_queued
    }

    /// Handles a usage report from another gateway, or the answer to a report from this gateway.
    fn receive_usage(&mut self, now: f64, sender: ProcessId, message: &mut Message) {
        let Some(bucket) = message.bucket else { return };
        if message.reporters > 0 {
            let totals = std::mem::take(&mut message.totals);
            self.usage.record_total(now, sender, bucket, message.reporters, totals);
            return;
        }
        let usage = std::mem::take(&mut message.usage);
        if let Some(answer) = self.usage.record_report(now, sender, bucket, usage) {
            self.enqueue(sender, answer);
        }
    }

    fn receive_grants(&mut self, now: f64, lender: ProcessId, message: &Message) {
        // All gateways are configured alike, so a longer duration than this gateway's own is not accepted.
        let duration = (f64::from(message.duration_ms) / 1e3).min(self.lease_duration);
        for grant in &message.grants {
            let Some(budget) = self.budget_by_key(grant.budget_key) else { continue };
            let terms =
                GrantTerms { level: level_from_wire(grant.level), spare: level_from_wire(grant.spare) };
            budget.ledger.record_grant(now, lender, message.request_number, terms, duration);
            self.counters.grants += 1;
        }
    }

    fn answer_requests(
        &mut self,
        now: f64,
        borrower: ProcessId,
        message: &Message,
        read_meter: &mut dyn FnMut(usize) -> Option<UsageMeter>,
    ) {
        let mut grants = Vec::new();
        for request in &message.requests {
            let Some(&slot) = self.slots.get(&request.budget_key) else { continue };
            // Reads the meter before granting, so that units taken since the last reading are not leased.
            if let Some(meter) = read_meter(slot) {
                self.observe(now, slot, meter);
            }
            grants.extend(self.answer_request(now, slot, borrower, message.request_number, request));
        }
        if !grants.is_empty() {
            let (request_number, duration_ms) = (message.request_number, (self.lease_duration * 1e3) as u32);
            self.enqueue(borrower, Message { request_number, grants, duration_ms, ..Message::default() });
        }
    }

    fn answer_request(
        &mut self,
        now: f64,
        slot: usize,
        borrower: ProcessId,
        number: u64,
        request: &LeaseRequest,
    ) -> Option<LeaseGrant> {
        let entitlement = self.entitlement;
        let budget = self.budget_mut(slot)?;
        let (level, releases) = (level_from_wire(request.level), request.releases);
        let incoming = IncomingRequest { borrower, number, level, releases };
        let terms = budget.ledger.handle_request(&entitlement, now, incoming)?;
        Some(LeaseGrant {
            budget_key: request.budget_key,
            level: level_to_wire(terms.level),
            spare: level_to_wire(terms.spare),
        })
    }

    /// The requests of this round, by lender.
    fn collect_requests(&mut self, now: f64) -> BTreeMap<ProcessId, Vec<LeaseRequest>> {
        let mut requests: BTreeMap<ProcessId, Vec<LeaseRequest>> = BTreeMap::new();
        for budget in self.budgets.iter_mut().flatten() {
            let planned = budget.next_requests(&self.entitlement, &self.peers, now, &mut self.rng);
            let releases = self.faults.releases_units_in_use
                || budget.ledger.covers_use_after(&self.entitlement, now, &planned);
            for request in planned {
                let level = level_to_wire_rounded_up(request.level);
                let lease_request = LeaseRequest { budget_key: budget.key, level, releases };
                requests.entry(request.gateway).or_default().push(lease_request);
            }
        }
        requests
    }

    /// Queues requests, starting with a random lender, so that the byte limit does not always suppress requests to
    /// the same lenders.
    fn send_requests(&mut self, now: f64, requests: &BTreeMap<ProcessId, Vec<LeaseRequest>>) {
        let lenders: Vec<ProcessId> = requests.keys().copied().collect();
        let first = self.rng.rand_range(0..lenders.len() as u64 + 1) as usize;
        for lender in lenders[first..].iter().chain(&lenders[..first]) {
            for chunk in requests[lender].chunks(MAX_ENTRIES) {
                self.send_request(now, *lender, chunk);
            }
        }
    }

    fn send_request(&mut self, now: f64, lender: ProcessId, requests: &[LeaseRequest]) {
        self.last_request_number += 1;
        let request_number = self.last_request_number;
        let message = Message { request_number, requests: requests.to_vec(), ..Message::default() };
        if !self.enqueue(lender, message) {
            return;
        }
        self.counters.requests += requests.len() as u64;
        for request in requests {
            if let Some(budget) = self.budget_by_key(request.budget_key) {
                let level = level_from_wire(request.level);
                budget.ledger.record_request(now, lender, request_number, level);
            }
        }
    }
}
