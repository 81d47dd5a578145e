//! All budgets of one gateway: what it needs is metered, what it lacks is asked for, what it can spare is lent.
//!
//! Whoever carries this out keeps one order: what [`Shares::heard`] or [`Shares::turn`] change is told to the decisions
//! ([`Shares::changes`]) before any note goes out ([`Shares::out`]).

use crate::demand::DemandEstimate;
use crate::ledger::{BudgetKind, Entitlement, LEVEL_RESOLUTION, Ledger};
use crate::message::{ENTRY_BYTES, ENVELOPE_BYTES, LeaseGrant, LeaseRequest, MAX_ENTRIES, Message};
use crate::usage_counts::UsageCounts;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What a budget was wanted for lately, as metered where it is used. `wanted` only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageMeter {
    /// Times that it was requested, and of these the times that it was not to be had.
    pub requested: u64,
    pub denied: u64,
    /// Units in use now.
    pub in_use: f64,
}

/// What a gateway has beside its own part of a budget: until then, and from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAdjustment {
    pub amount: f64,
    pub amount_after_expiry: f64,
    pub valid_until: f64,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    #[serde(rename = "asks")]
    pub requests: u64,
    pub grants: u64,
    #[serde(rename = "notes")]
    pub messages: u64,
    /// Notes not sent, as bytes a second are bounded; notes that can't be read.
    #[serde(rename = "held_back")]
    pub suppressed: u64,
    #[serde(rename = "unread")]
    pub unreadable: u64,
}

/// One budget as an operator sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetView {
    pub name: String,
    /// This gateway's part by the count alone, what it may use now, what it needs.
    #[serde(rename = "part")]
    pub quota: f64,
    pub allowed: f64,
    #[serde(rename = "need")]
    pub demand: f64,
    #[serde(rename = "lent")]
    pub granted: f64,
    #[serde(rename = "borrowed")]
    pub held: f64,
}

#[derive(Clone, Debug)]
struct Budget {
    budget_key: u64,
    name: String,
    ledger: Ledger,
    demand: DemandEstimate,
    published: Option<QuotaAdjustment>,
    /// Rounds in which units were asked for in vain, and until when that rests.
    unsuccessful_rounds: u32,
    paused_until: f64,
    /// Units in use at the last look, of a part of less than one.
    previous_use: f64,
}

/// Seconds between two rounds of asks; after a lack the next comes so soon. A loan lasts for five of them: with thirty of
/// a hundred letters lost one in four is renewed at the first ask, and one in seven not in time.
const REQUEST_INTERVAL: f64 = 0.4;
const MIN_REQUEST_INTERVAL: f64 = 0.05;

/// Bytes a second that all notes of a gateway may have: half of what a gateway may send to others.
const MAX_BYTES_PER_SECOND: f64 = 10_000.0;

/// Seconds for which what the decisions are told holds at most: they are told anew in half of it.
const ADJUSTMENT_VALIDITY: f64 = 0.3;

/// What a level of units is told higher by where some of it is borrowed. Units are whole and so is a budget of them: less
/// than a thousand gateways together get no unit out of it.
const UNIT_EPSILON: f64 = 1e-3;

/// Notes that wait at most.
const MAX_QUEUED_MESSAGES: usize = 512;

#[derive(Clone, Debug)]
pub struct SharedBudgets {
    own_id: u64,
    /// Seconds that a loan lasts.
    lease_duration: f64,
    now: f64,
    /// What this clock is ahead of the caller's, which may have gone back.
    clock_offset: f64,
    entitlement: Entitlement,
    budgets: Vec<Option<Budget>>,
    slots: BTreeMap<u64, usize>,
    /// Processes that can be asked.
    peers: Vec<u64>,
    last_request_number: u64,
    outbox: VecDeque<(u64, Message)>,
    next_round_at: f64,
    /// When something that the decisions were told must be told anew.
    next_renewal_at: f64,
    was_denied: bool,
    byte_allowance: (f64, f64),
    rng: Rand64,
    usage: UsageCounts,
    counters: Counters,
    faults: InjectedFaults,
}

/// What tests leave out, to see that it is found.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedFaults {
    /// What is lent is not subtracted.
    pub grants_not_subtracted: bool,
    /// A loan ends at the lender when it does at the borrower.
    pub grant_ends_with_lease: bool,
    /// A process that begins has its whole part at once.
    pub starts_with_whole_quota: bool,
    /// What is not held any more counts as not in use.
    pub releases_units_in_use: bool,
}

impl SharedBudgets {
    /// `me` is this process's own number of chance. `lease` is how long words count as proof; a loan is shorter, so that most can be given out of what is proven.
    pub fn new(own_id: u64, lease: f64, seed: u64, now: f64) -> Self {
        let lease_duration = (lease / 1.5).clamp(0.2, 5.0 * REQUEST_INTERVAL);
        Self {
            own_id,
            lease_duration,
            now,
            clock_offset: 0.0,
            entitlement: Entitlement { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY },
            budgets: Vec::new(),
            slots: BTreeMap::new(),
            peers: Vec::new(),
            last_request_number: 0,
            outbox: VecDeque::new(),
            next_round_at: now,
            next_renewal_at: f64::INFINITY,
            was_denied: false,
            byte_allowance: (MAX_BYTES_PER_SECOND, now),
            rng: Rand64::new(u128::from(seed)),
            usage: UsageCounts::new(own_id, now),
            counters: Counters::default(),
            faults: InjectedFaults::default(),
        }
    }

    /// Leaves something out.
    #[doc(hidden)]
    pub fn inject_faults(&mut self, faults: InjectedFaults) {
        self.faults = faults;
    }

    pub fn lease_duration(&self) -> f64 {
        self.lease_duration
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn advance_clock(&mut self, now: f64) -> f64 {
        let adjusted = now + self.clock_offset;
        if adjusted < self.now {
            self.clock_offset = self.now - now;
        } else {
            self.now = adjusted;
        }
        self.now
    }

    /// What of the parts by the count is one's own, on the caller's clock; and who can be asked for more.
    pub fn set_entitlement(&mut self, now: f64, entitlement: Entitlement, peers: Vec<u64>) {
        self.advance_clock(now);
        self.entitlement =
            Entitlement { valid_until: entitlement.valid_until + self.clock_offset, ..entitlement };
        self.usage.set_peers(&peers);
        self.peers = peers;
    }

    /// Opens a budget of which this gateway's part by the count is so much; gives its slot. The name tells budgets apart,
    /// together with their form.
    pub fn open(&mut self, now: f64, name: &str, kind: BudgetKind, quota: f64) -> usize {
        let now = self.advance_clock(now);
        let budget_key = budget_key(name, kind);
        if let Some(&slot) = self.slots.get(&budget_key) {
            self.budget(slot).into_iter().for_each(|budget| budget.ledger.set_quota(quota));
            return slot;
        }
        let started_at = if self.faults.starts_with_whole_quota { f64::NEG_INFINITY } else { now };
        let budget = Budget {
            budget_key,
            name: name.to_owned(),
            ledger: Ledger::new(self.own_id, kind, quota, self.lease_duration, started_at),
            demand: DemandEstimate::new(kind, now),
            published: None,
            unsuccessful_rounds: 0,
            paused_until: now,
            previous_use: 0.0,
        };
        let slot = self.budgets.iter().position(Option::is_none).unwrap_or(self.budgets.len());
        if slot == self.budgets.len() {
            self.budgets.push(None);
        }
        self.budgets[slot] = Some(budget);
        self.slots.insert(budget_key, slot);
        slot
    }

    /// Closes a budget that is not used here any more; not while something of it is lent, as that must stay subtracted
    /// until it has ended, whoever opens it again. Tells whether it is closed.
    pub fn close(&mut self, now: f64, slot: usize) -> bool {
        let now = self.advance_clock(now);
        let granted = self.budget(slot).map(|budget| budget.ledger.granted(now));
        if granted.is_some_and(|granted| granted > 0.0) {
            return false;
        }
        if let Some(budget) = self.budgets.get_mut(slot).and_then(Option::take) {
            self.slots.remove(&budget.budget_key);
        }
        true
    }

    /// Whoever carries out the decisions has forgotten what it was told: all of it is told anew.
    pub fn resend_adjustments(&mut self) {
        // Not the same as anything.
        let unknown =
            QuotaAdjustment { amount: f64::NAN, amount_after_expiry: 0.0, valid_until: f64::INFINITY };
        self.budgets.iter_mut().flatten().for_each(|budget| budget.published = Some(unknown));
    }

    fn budget(&mut self, slot: usize) -> Option<&mut Budget> {
        self.budgets.get_mut(slot)?.as_mut()
    }

    /// What the meters of a budget show now.
    pub fn record_usage(&mut self, now: f64, slot: usize, meter: UsageMeter) {
        let now = self.advance_clock(now);
        let Some(budget) = self.budget(slot) else { return };
        let was_denied = budget.demand.observe(now, meter);
        budget.ledger.set_demand(budget.demand.estimate(), meter.in_use);
        self.was_denied |= was_denied;
    }

    /// When [`turn`](Self::turn) and then [`changes`](Self::changes) are wanted next, on the caller's clock.
    pub fn next_tick(&self) -> f64 {
        let next = if self.was_denied {
            self.next_round_at.min(self.last_round_at() + MIN_REQUEST_INTERVAL)
        } else {
            self.next_round_at
        };
        next.min(self.next_renewal_at) - self.clock_offset
    }

    fn last_round_at(&self) -> f64 {
        self.next_round_at - REQUEST_INTERVAL
    }

    /// A note came from another process. `meters` is asked for what is in use of a slot at this moment.
    pub fn receive(
        &mut self,
        now: f64,
        peer: u64,
        bytes: &[u8],
        read_meter: &mut dyn FnMut(usize) -> Option<UsageMeter>,
    ) {
        let now = self.advance_clock(now);
        let Some(message) = Message::from_bytes(bytes) else {
            self.counters.unreadable += 1;
            return;
        };
        match message.bucket {
            Some(bucket) if message.reporters == 0 => {
                let answer = self.usage.record_report(now, peer, bucket, message.usage);
                answer.into_iter().for_each(|answer| _ = self.enqueue(peer, answer));
            }
            Some(bucket) => self.usage.record_total(now, peer, bucket, message.reporters, message.totals),
            None => {}
        }
        let duration = (f64::from(message.duration_ms) / 1e3).min(self.lease_duration);
        for grant in &message.grants {
            let terms = (grant.level as f64 * LEVEL_RESOLUTION, grant.spare as f64 * LEVEL_RESOLUTION);
            if let Some(budget) = self.slots.get(&grant.budget_key).and_then(|s| self.budgets[*s].as_mut()) {
                budget.ledger.record_grant(now, peer, message.request_number, terms, duration);
                self.counters.grants += 1;
            }
        }
        let mut grants = Vec::new();
        for request in &message.requests {
            let Some(&slot) = self.slots.get(&request.budget_key) else { continue };
            if let Some(meter) = read_meter(slot) {
                self.record_usage(now - self.clock_offset, slot, meter);
            }
            let (entitlement, lease_duration, faults) = (self.entitlement, self.lease_duration, self.faults);
            let Some(budget) = self.budget(slot) else { continue };
            let asked =
                (peer, message.request_number, request.level as f64 * LEVEL_RESOLUTION, request.releases);
            let granted = budget.ledger.handle_request(&entitlement, now, lease_duration, asked, faults);
            let Some((level, spare)) = granted else { continue };
            let to_wire = |figure: f64| (figure / LEVEL_RESOLUTION).round() as u64;
            grants.push(LeaseGrant {
                budget_key: request.budget_key,
                level: to_wire(level),
                spare: to_wire(spare),
            });
        }
        if !grants.is_empty() {
            let duration_ms = (self.lease_duration * 1e3) as u32;
            self.enqueue(
                peer,
                Message { request_number: message.request_number, grants, duration_ms, ..Message::default() },
            );
        }
    }

    /// What to send next: to whom, and the note's bytes.
    pub fn next_message(&mut self) -> Option<(u64, Vec<u8>)> {
        let (peer, message) = self.outbox.pop_front()?;
        self.counters.messages += 1;
        message.to_bytes().map(|bytes| (peer, bytes))
    }

    /// Puts a note into the post, within the bytes that may be sent.
    fn enqueue(&mut self, peer: u64, message: Message) -> bool {
        let (available, refilled_at) = self.byte_allowance;
        let available =
            (available + MAX_BYTES_PER_SECOND * (self.now - refilled_at).max(0.0)).min(MAX_BYTES_PER_SECOND);
        let entry_count =
            message.requests.len() + message.grants.len() + message.usage.len() + message.totals.len();
        let cost = ENVELOPE_BYTES + ENTRY_BYTES * entry_count as f64;
        let fits = available >= cost && self.outbox.len() < MAX_QUEUED_MESSAGES;
        self.byte_allowance = (if fits { available - cost } else { available }, self.now);
        if fits {
            self.outbox.push_back((peer, message));
        } else {
            self.counters.suppressed += 1;
        }
        fits
    }

    /// Reports what functions keep busy here, in lanes by the hash of their names, where that is due.
    pub fn report_usage(&mut self, now: f64, busy: impl FnOnce() -> Vec<(u64, f64)>) {
        let now = self.advance_clock(now);
        let jitter = self.rng.rand_float();
        for (peer, message) in self.usage.tick(now, jitter, busy) {
            self.enqueue(peer, message);
        }
    }

    /// When [`report`](Self::report) is wanted next.
    pub fn next_usage_report(&self) -> f64 {
        self.usage.next_report_at() - self.clock_offset
    }

    /// What functions keep busy at all other gateways; none while that is not known.
    pub fn usage_elsewhere(&mut self, now: f64) -> Option<BTreeMap<u64, f64>> {
        let now = self.advance_clock(now);
        self.usage.elsewhere(now)
    }

    /// Does what is due: a round of asks, and forgetting what has ended.
    pub fn tick(&mut self, now: f64) {
        let now = self.advance_clock(now);
        let is_early = self.was_denied && now >= self.last_round_at() + MIN_REQUEST_INTERVAL;
        if now < self.next_round_at && !is_early {
            return;
        }
        self.was_denied = false;
        self.next_round_at = now + REQUEST_INTERVAL * (0.9 + 0.2 * self.rng.rand_float());
        let mut requests: BTreeMap<u64, Vec<LeaseRequest>> = BTreeMap::new();
        for slot in 0..self.budgets.len() {
            let (entitlement, lease_duration, faults) = (self.entitlement, self.lease_duration, self.faults);
            let Some(budget) = self.budgets[slot].as_mut() else { continue };
            budget.ledger.forget_expired(now);
            budget.update_pause(&entitlement, now, &mut self.rng);
            let desired = if now < budget.paused_until {
                0.0
            } else {
                budget.ledger.desired_borrowing(&entitlement, now, lease_duration)
            };
            let desired = desired.max(budget.ledger.required_borrowing(&entitlement, now));
            let targets = plan_requests(&budget.ledger, &self.peers, now, lease_duration, desired);
            let releases =
                faults.releases_units_in_use || budget.ledger.covers_use_after(&entitlement, now, &targets);
            for (peer, level) in targets {
                let level = (level / LEVEL_RESOLUTION).ceil() as u64;
                requests.entry(peer).or_default().push(LeaseRequest {
                    budget_key: budget.budget_key,
                    level,
                    releases,
                });
            }
        }
        // From a place of chance on: where bytes don't suffice, each has its turn.
        let recipients: Vec<u64> = requests.keys().copied().collect();
        let first = self.rng.rand_range(0..recipients.len() as u64 + 1) as usize;
        for peer in recipients[first..].iter().chain(&recipients[..first]) {
            for chunk in requests[peer].chunks(MAX_ENTRIES) {
                self.send_requests(*peer, chunk);
            }
        }
    }

    fn send_requests(&mut self, peer: u64, requests: &[LeaseRequest]) {
        self.last_request_number += 1;
        let request_number = self.last_request_number;
        if !self.enqueue(peer, Message { request_number, requests: requests.to_vec(), ..Message::default() })
        {
            return;
        }
        self.counters.requests += requests.len() as u64;
        let now = self.now;
        for request in requests {
            if let Some(budget) = self.slots.get(&request.budget_key).and_then(|s| self.budgets[*s].as_mut())
            {
                budget.ledger.record_request(
                    now,
                    peer,
                    request_number,
                    request.level as f64 * LEVEL_RESOLUTION,
                );
            }
        }
    }

    /// Budgets of which something else is to be told to the decisions than they were told last, or what they were told
    /// ends soon: slot, and what there is beside the part by the count. On the caller's clock.
    pub fn take_adjustments(&mut self, now: f64) -> Vec<(usize, QuotaAdjustment)> {
        let now = self.advance_clock(now);
        let (until, clock_offset) = (now + ADJUSTMENT_VALIDITY, self.clock_offset);
        let grants_not_subtracted = self.faults.grants_not_subtracted;
        let mut adjustments = Vec::new();
        self.next_renewal_at = f64::INFINITY;
        for (slot, budget) in self.budgets.iter_mut().enumerate() {
            let Some(budget) = budget else { continue };
            let granted = if grants_not_subtracted { 0.0 } else { budget.ledger.granted(now) };
            let borrowed = match budget.ledger.held(until) {
                // What rounding takes away must not keep whole units from being whole.
                level if level > 0.0 && budget.ledger.is_units() => level + UNIT_EPSILON,
                level => level,
            };
            let adjustment = QuotaAdjustment {
                amount: borrowed - granted,
                amount_after_expiry: -granted,
                valid_until: if borrowed > 0.0 { until } else { f64::INFINITY },
            };
            let is_current = |last: QuotaAdjustment| {
                last.amount == adjustment.amount
                    && last.amount_after_expiry == adjustment.amount_after_expiry
                    && (last.valid_until == adjustment.valid_until
                        || last.valid_until - ADJUSTMENT_VALIDITY / 2.0 > now)
            };
            let no_adjustment =
                QuotaAdjustment { amount: 0.0, amount_after_expiry: 0.0, valid_until: f64::INFINITY };
            if !is_current(budget.published.unwrap_or(no_adjustment)) {
                budget.published = Some(adjustment);
                adjustments.push((
                    slot,
                    QuotaAdjustment { valid_until: adjustment.valid_until - clock_offset, ..adjustment },
                ));
            }
            self.next_renewal_at = budget.published.map_or(self.next_renewal_at, |last| {
                self.next_renewal_at.min(last.valid_until - ADJUSTMENT_VALIDITY / 2.0)
            });
        }
        adjustments
    }

    /// What this gateway may use of a budget now, by its account.
    pub fn allowed(&mut self, now: f64, slot: usize) -> f64 {
        let now = self.advance_clock(now);
        let entitlement = self.entitlement;
        self.budget(slot).map_or(0.0, |budget| budget.ledger.allowed(&entitlement, now))
    }

    /// When the next loan ends at its lender, this gateway, on the caller's clock: for tests that look just then.
    #[doc(hidden)]
    pub fn next_grant_end(&self) -> Option<f64> {
        let ends = self.budgets.iter().flatten().filter_map(|budget| budget.ledger.next_grant_end());
        ends.min_by(f64::total_cmp).map(|at| at - self.clock_offset)
    }

    /// All budgets, for operators.
    pub fn view(&mut self, now: f64) -> Vec<BudgetView> {
        let now = self.advance_clock(now);
        let entitlement = self.entitlement;
        let view_of = |budget: &Budget| BudgetView {
            name: budget.name.clone(),
            quota: budget.ledger.quota(),
            allowed: budget.ledger.allowed(&entitlement, now),
            demand: budget.demand.estimate(),
            granted: budget.ledger.granted(now),
            held: budget.ledger.held(now),
        };
        self.budgets.iter().flatten().map(view_of).collect()
    }
}

impl Budget {
    /// Units that are of use only when whole, and that several want at once, may lie in pieces here and there for ever:
    /// who asked in vain gives back what it got, and rests for a while by chance. So does who had one, for others' sake.
    fn update_pause(&mut self, entitlement: &Entitlement, now: f64, rng: &mut Rand64) {
        /// Rounds, and seconds of rest on average.
        const MAX_UNSUCCESSFUL_ROUNDS: u32 = 3;
        const MEAN_PAUSE: f64 = 1.0;
        let has_borrowed = self.ledger.held(now) > 0.0;
        let is_useless = self.ledger.is_units()
            && has_borrowed
            && self.ledger.allowed(entitlement, now) + UNIT_EPSILON < 1.0;
        self.unsuccessful_rounds = if is_useless { self.unsuccessful_rounds + 1 } else { 0 };
        let was_released = std::mem::replace(&mut self.previous_use, self.ledger.fractional_use())
            < self.ledger.fractional_use();
        if self.unsuccessful_rounds >= MAX_UNSUCCESSFUL_ROUNDS || was_released {
            self.unsuccessful_rounds = 0;
            let pause = if was_released { self.ledger.kind().hold() } else { 0.0 }
                + MEAN_PAUSE * 2.0 * rng.rand_float();
            self.paused_until = now + pause;
        }
    }
}

/// Whom to ask for which level so that `wanted` is held in all: those of whom something is held for as much as it is, the
/// rest where there may be something left.
fn plan_requests(
    ledger: &Ledger,
    peers: &[u64],
    now: f64,
    lease_duration: f64,
    desired: f64,
) -> Vec<(u64, f64)> {
    /// What is held may be so many times what is wanted before some of it goes home.
    const RELEASE_FACTOR: f64 = 1.2;
    /// Times what is lacking that is asked for of those who have not said what they have left, all together.
    const PROBE_FACTOR: f64 = 2.0;
    let held = ledger.lenders(now);
    let total_held: f64 = held.iter().map(|(_, level)| level).sum();
    let mut requests: Vec<(u64, f64)> = held.clone();
    if total_held > RELEASE_FACTOR * desired {
        // The smallest go home first: fewer to ask.
        let mut surplus = total_held - desired;
        for (_, level) in requests.iter_mut().rev() {
            let returned = level.min(surplus);
            *level -= returned;
            surplus -= returned;
        }
    }
    let mut missing = desired - total_held;
    if missing > 0.0 {
        let mut add = |peer: u64, level: f64| match requests.iter_mut().find(|(p, _)| *p == peer) {
            Some((_, held)) => *held += level,
            None => requests.push((peer, level)),
        };
        let spare = |peer: u64| ledger.reported_spare(now, peer, lease_duration / 2.0);
        let mut known_spare: Vec<(u64, f64)> = peers.iter().filter_map(|p| Some((*p, spare(*p)?))).collect();
        known_spare.retain(|(_, spare)| *spare > 0.0);
        known_spare.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (peer, spare) in known_spare {
            let level = spare.min(missing);
            add(peer, level);
            missing -= level;
            if missing <= 0.0 {
                break;
            }
        }
        let unknown_spare: Vec<u64> = peers.iter().copied().filter(|p| spare(*p).is_none()).collect();
        if missing > 0.0 {
            let per_peer = (PROBE_FACTOR * missing / unknown_spare.len().max(1) as f64).min(missing);
            unknown_spare.into_iter().for_each(|peer| add(peer, per_peer));
        }
    }
    requests
}

/// What a budget is called between gateways.
fn budget_key(name: &str, kind: BudgetKind) -> u64 {
    let kind = match kind {
        BudgetKind::Rate => "rate".to_owned(),
        BudgetKind::Window(seconds) => format!("window {seconds}"),
        BudgetKind::InFlight(seconds) => format!("hand {seconds}"),
    };
    xxhash_rust::xxh3::xxh3_64(format!("{kind}/{name}").as_bytes())
}
