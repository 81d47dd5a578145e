//! One budget of the fleet as one gateway keeps its quota of it: what is its own, what it lent to whom, what it borrowed.
//!
//! - What is lent is subtracted before the borrower is told of it, and until after the borrower's own end of it: the
//!   borrower counts from when it asked, the lender from when it granted, and longer by what clocks may run apart.
//! - An ask says how much its sender holds of the lender's at most from then on. So what is not needed any more comes home
//!   at once, and a grant that comes late is worth what the asks since then leave of it.
//! - Units that were used are in use for a while (`hold`): they are never lent meanwhile, and what was lent comes home only
//!   once all that was used of it has ended, or when the borrower says that what it uses is within what it holds.
//!
//! So at every moment what all gateways may use is at most the sum of what they own, whatever is lost, late or repeated,
//! and whoever stands still or is killed. That sum is proven elsewhere (`Parts` of `milletpath-membership`).

use crate::shared_budgets::InjectedFaults;
use crate::step_function::StepFunction;
use milletpath_membership::DRIFT;
use std::collections::{BTreeMap, VecDeque};

/// What a wait of one's own is longer by, so that it outlasts the same wait on a slower clock.
const CLOCK_MARGIN: f64 = 1.0 + 3.0 * DRIFT;

/// Part of its own that is never lent: what a process has that begins while loans of its former self still run, and what
/// one always has. Small, as what nobody needs there is lost to the others.
pub const RESERVED_FRACTION: f64 = 0.05;

/// In what a budget is counted. Times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetKind {
    /// So much a second.
    Rate,
    /// Units that are in use for so long once they were used, and then free again: orders within a window, counted anew by
    /// each process; whoever begins has its whole quota.
    Window(f64),
    /// Units that are in use for so long at most, and end with the process: shots that are out.
    InFlight(f64),
}

impl BudgetKind {
    pub fn hold(self) -> f64 {
        match self {
            Self::Rate => 0.0,
            Self::Window(hold) | Self::InFlight(hold) => hold,
        }
    }
}

/// What is one's own: of the quota by the count so many times until then, and so many times from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    pub fraction: f64,
    pub floor_fraction: f64,
    pub valid_until: f64,
}

impl Entitlement {
    fn fraction_at(&self, when: f64) -> f64 {
        if when < self.valid_until { self.fraction } else { self.floor_fraction.min(self.fraction) }
    }
}

/// The other side of loans to one borrower.
#[derive(Clone, Debug, Default)]
struct GrantedLeases {
    /// The latest ask, what it was for, and when it came.
    request_number: u64,
    requested: f64,
    requested_at: f64,
    levels: StepFunction,
}

/// Loans of one lender.
#[derive(Clone, Debug, Default)]
struct HeldLeases {
    /// Asks that may still be answered: number, when it was sent, the most to hold from then on.
    pending_requests: VecDeque<(u64, f64, f64)>,
    levels: StepFunction,
    /// What it said that it could lend beside, and when.
    spare: f64,
    spare_as_of: f64,
}

/// Asks of which the answer is still of use: more are not under way within a loan's time.
const MAX_PENDING_REQUESTS: usize = 12;

#[derive(Clone, Debug)]
pub struct Ledger {
    /// This process's own number of chance.
    own_id: u64,
    kind: BudgetKind,
    /// This gateway's quota of the whole by the count alone.
    quota: f64,
    /// What it needs itself, and what of its units is in use.
    demand: f64,
    in_use: f64,
    granted: BTreeMap<u64, GrantedLeases>,
    held: BTreeMap<u64, HeldLeases>,
}

/// A borrower that none of this fleet is: what a former process of this name may have lent.
const PREDECESSOR: u64 = 0;

impl Ledger {
    /// `loan` is how long loans last.
    pub fn new(own_id: u64, kind: BudgetKind, quota: f64, lease_duration: f64, now: f64) -> Self {
        let mut ledger = Self {
            own_id,
            kind,
            quota,
            demand: 0.0,
            in_use: 0.0,
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
        };
        if !matches!(kind, BudgetKind::Window(_)) {
            let end = now + lease_duration * CLOCK_MARGIN + kind.hold();
            let reserve = if matches!(kind, BudgetKind::InFlight(_)) {
                (RESERVED_FRACTION * quota).max(quota.min(1.0))
            } else {
                RESERVED_FRACTION * quota
            };
            ledger.granted.entry(PREDECESSOR).or_default().levels.add_granted(end, quota - reserve);
        }
        ledger
    }

    pub fn quota(&self) -> f64 {
        self.quota
    }

    pub fn is_units(&self) -> bool {
        !matches!(self.kind, BudgetKind::Rate)
    }

    pub fn set_quota(&mut self, quota: f64) {
        self.quota = quota;
    }

    pub fn set_demand(&mut self, demand: f64, in_use: f64) {
        (self.demand, self.in_use) = (demand, in_use);
    }

    /// Own quota now, of what a entitlement gives.
    fn entitled(&self, entitlement: &Entitlement, when: f64) -> f64 {
        self.quota * entitlement.fraction_at(when)
    }

    pub fn granted(&self, now: f64) -> f64 {
        self.granted.values().map(|leases| leases.levels.level_at(now)).sum()
    }

    /// What is borrowed until then at least.
    pub fn held(&self, until: f64) -> f64 {
        self.held.values().map(|leases| leases.levels.level_at(until)).sum()
    }

    /// What this gateway may use now.
    pub fn allowed(&self, entitlement: &Entitlement, now: f64) -> f64 {
        (self.entitled(entitlement, now) - self.granted(now) + self.held(now)).max(0.0)
    }

    /// What it needs for itself, with something to grow by.
    fn desired(&self) -> f64 {
        /// Times its need of late: what chance adds, and what grows while an ask is under way.
        const HEADROOM: f64 = 1.25;
        (HEADROOM * self.demand).max(self.in_use)
    }

    /// What it could lend in all until a time.
    fn lendable(&self, entitlement: &Entitlement, now: f64, until: f64) -> f64 {
        let entitled = self.entitled(entitlement, now).min(self.entitled(entitlement, until));
        let reserve = match self.kind {
            // A quota of a shot is no shot: the last whole one stays here.
            BudgetKind::InFlight(_) if self.quota >= 1.0 => (RESERVED_FRACTION * self.quota).max(1.0),
            BudgetKind::Window(_) | BudgetKind::InFlight(_) if self.quota < 1.0 => 0.0,
            _ => RESERVED_FRACTION * self.quota,
        };
        // Of less than a unit its own want is one among others', see `fair`.
        let desired = if self.is_units() && self.quota < 1.0 { self.in_use } else { self.desired() };
        (entitled - desired.max(reserve)).max(0.0)
    }

    /// A borrower asks, and holds at most `level` of this gateway's from now on; `frees` where no more is in use. Gives what it is lent, and what could be
    /// lent beside; none where the ask is older than one that came before.
    pub fn handle_request(
        &mut self,
        entitlement: &Entitlement,
        now: f64,
        lease_duration: f64,
        (peer, request_number, level, releases): (u64, u64, f64, bool),
        faults: InjectedFaults,
    ) -> Option<(f64, f64)> {
        let until = now
            + if faults.grant_ends_with_lease {
                lease_duration
            } else {
                lease_duration * CLOCK_MARGIN + self.kind.hold()
            };
        let all = self.lendable(entitlement, now, until);
        let granted = self.granted.entry(peer).or_default();
        if request_number <= granted.request_number {
            return None;
        }
        if releases {
            granted.levels.cap(level);
        }
        (granted.request_number, granted.requested, granted.requested_at) = (request_number, level, now);
        let fair_share = self.fair_share(now, lease_duration, all, peer);
        let others: f64 = self
            .granted
            .iter()
            .filter(|(borrower, _)| **borrower != peer)
            .map(|(_, leases)| leases.levels.level_at(now))
            .sum();
        let granted = self.granted.entry(peer).or_default();
        let held = granted.levels.level_at(now);
        let free = (all - others).max(0.0);
        // What it holds it may hold on, as it may be in use there; of what is free it gets a half at a time where that
        // does not come home within a loan: others may ask in the same moment.
        let most =
            if self.kind.hold() > 0.0 && all >= 1.0 { held + 0.5 * (free - held).max(0.0) } else { free };
        let grant = round_down(level.min(fair_share).min(most).min(free));
        granted.levels.add_granted(until, grant);
        let granted = granted.levels.level_at(now);
        Some((grant, round_down((all - others - granted).max(0.0))))
    }

    /// What a borrower may have where all get what they ask for up to a common level: whoever asks for little gets it, and
    /// nobody gets everything.
    fn fair_share(&self, now: f64, lease_duration: f64, all: f64, peer: u64) -> f64 {
        let is_recent = |leases: &GrantedLeases| now - leases.requested_at < lease_duration;
        let wants: Vec<f64> =
            self.granted.values().filter(|leases| is_recent(leases)).map(|leases| leases.requested).collect();
        // Less than a unit is of use only together with others' parts: it is not shared out, but goes to the first of those
        // who ask by an order that is the same at all lenders.
        if self.is_units() && all < 1.0 {
            let first = self.granted.iter().find(|(_, leases)| is_recent(leases) && leases.requested > 0.0);
            let before = self.demand == 0.0 || peer < self.own_id;
            return if before && first.is_some_and(|(first, _)| *first == peer) { all } else { 0.0 };
        }
        let mut sorted = wants;
        sorted.sort_by(f64::total_cmp);
        let (mut remaining, mut claimants) = (all, sorted.len() as f64);
        for requested in sorted {
            let level = remaining / claimants;
            if requested >= level {
                return level.min(self.granted.get(&peer).map_or(0.0, |leases| leases.requested));
            }
            remaining -= requested;
            claimants -= 1.0;
        }
        self.granted.get(&peer).map_or(0.0, |leases| leases.requested)
    }

    /// Notes an ask that goes out: from now on at most that much of this lender's is held.
    pub fn record_request(&mut self, now: f64, peer: u64, request_number: u64, level: f64) {
        let held = self.held.entry(peer).or_default();
        held.levels.cap(level);
        if held.pending_requests.len() == MAX_PENDING_REQUESTS {
            held.pending_requests.pop_front();
        }
        held.pending_requests.push_back((request_number, now, level));
    }

    /// A grant came, in answer to the ask of that number.
    pub fn record_grant(
        &mut self,
        now: f64,
        peer: u64,
        request_number: u64,
        (level, spare): (f64, f64),
        duration: f64,
    ) {
        let Some(held) = self.held.get_mut(&peer) else { return };
        let Some(at) = held.pending_requests.iter().position(|(n, ..)| *n == request_number) else { return };
        let sent_at = held.pending_requests[at].1;
        let level = held.pending_requests.iter().skip(at).map(|(_, _, most)| *most).fold(level, f64::min);
        if sent_at + duration > now {
            held.levels.add_held(sent_at + duration, level);
        }
        if sent_at >= held.spare_as_of {
            (held.spare, held.spare_as_of) = (spare, sent_at);
        }
    }

    /// Lenders of which something is held, and how much: most first.
    pub fn lenders(&self, now: f64) -> Vec<(u64, f64)> {
        let mut all: Vec<_> =
            self.held.iter().map(|(peer, leases)| (*peer, leases.levels.level_at(now))).collect();
        all.retain(|(_, level)| *level > 0.0);
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all
    }

    /// What a lender said that it could lend beside, if that is no longer ago than `age`.
    pub fn reported_spare(&self, now: f64, peer: u64, age: f64) -> Option<f64> {
        self.held.get(&peer).filter(|leases| now - leases.spare_as_of < age).map(|leases| leases.spare)
    }

    /// What this gateway should have borrowed, by its need.
    pub fn desired_borrowing(&self, entitlement: &Entitlement, now: f64, lease_duration: f64) -> f64 {
        let entitled = self.entitled(entitlement, now).min(self.entitled(entitlement, now + lease_duration))
            - self.granted(now);
        let desired = if self.demand > 0.0 { self.desired() } else { self.in_use };
        (desired - entitled.max(0.0)).max(0.0)
    }

    /// Units in use, where its own quota is less than one.
    pub fn fractional_use(&self) -> f64 {
        if self.is_units() && self.quota < 1.0 { self.in_use } else { 0.0 }
    }

    pub fn kind(&self) -> BudgetKind {
        self.kind
    }

    /// Whether what is in use is within what is held once these asks have gone out.
    pub fn covers_use_after(&self, entitlement: &Entitlement, now: f64, requests: &[(u64, f64)]) -> bool {
        let requested = |peer: u64| {
            requests.iter().find(|(lender, _)| *lender == peer).map_or(f64::INFINITY, |(_, level)| *level)
        };
        let held: f64 =
            self.held.iter().map(|(peer, leases)| leases.levels.level_at(now).min(requested(*peer))).sum();
        self.in_use <= (self.entitled(entitlement, now) - self.granted(now) + held).max(0.0)
    }

    /// The least that must still be borrowed, as units in use are.
    pub fn required_borrowing(&self, entitlement: &Entitlement, now: f64) -> f64 {
        (self.in_use - (self.entitled(entitlement, now) - self.granted(now)).max(0.0)).max(0.0)
    }

    /// When the next of its loans ends here.
    pub fn next_grant_end(&self) -> Option<f64> {
        self.granted.values().filter_map(|leases| leases.levels.last_end()).min_by(f64::total_cmp)
    }

    /// Forgets what has ended.
    pub fn forget_expired(&mut self, now: f64) {
        /// Seconds after which a borrower that asks no more, or a lender that tells no more, is forgotten.
        const FORGET_AFTER: f64 = 60.0;
        self.granted.values_mut().for_each(|leases| leases.levels.forget_expired(now));
        self.held.values_mut().for_each(|leases| leases.levels.forget_expired(now));
        self.granted.retain(|_, leases| {
            leases.levels.last_end().is_some() || now - leases.requested_at < FORGET_AFTER
        });
        self.held.retain(|_, leases| {
            leases.levels.last_end().is_some()
                || leases.pending_requests.back().is_some_and(|(_, at, _)| now - at < FORGET_AFTER)
        });
    }
}

/// Of a unit, what notes are written in.
pub const LEVEL_RESOLUTION: f64 = 1e-6;

/// Rounded down to what a note can say.
fn round_down(figure: f64) -> f64 {
    (figure / LEVEL_RESOLUTION).floor() * LEVEL_RESOLUTION
}
