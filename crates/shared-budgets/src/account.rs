//! One budget of the fleet as one gateway keeps its part of it: what is its own, what it lent to whom, what it borrowed.
//!
//! - What is lent is subtracted before the borrower is told of it, and until after the borrower's own end of it: the
//!   borrower counts from when it asked, the lender from when it granted, and longer by what clocks may run apart.
//! - An ask says how much its sender holds of the lender's at most from then on. So what is not needed any more comes home
//!   at once, and a grant that comes late is worth what the asks since then leave of it.
//! - Units that were used are in use for a while (`hold`): they are never lent meanwhile, and what was lent comes home only
//!   once all that was used of it has ended, or when the borrower says that what it uses is within what it holds.
//!
//! So at every moment what all gateways may use is at most the sum of what they own, whatever is lost, late or repeated,
//! and whoever stands still or is killed. That sum is proven elsewhere (`QuotaFraction` of `milletpath-membership`).

use crate::shares::Faults;
use crate::stairs::Stairs;
use milletpath_membership::MAX_CLOCK_DRIFT;
use std::collections::{BTreeMap, VecDeque};

/// What a wait of one's own is longer by, so that it outlasts the same wait on a slower clock.
const SURE: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;

/// Part of its own that is never lent: what a process has that begins while loans of its former self still run, and what
/// one always has. Small, as what nobody needs there is lost to the others.
pub const KEEP: f64 = 0.05;

/// In what a budget is counted. Times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// So much a second.
    Rate,
    /// Units that are in use for so long once they were used, and then free again: orders within a window, counted anew by
    /// each process; whoever begins has its whole part.
    Window(f64),
    /// Units that are in use for so long at most, and end with the process: shots that are out.
    Hand(f64),
}

impl Form {
    pub fn hold(self) -> f64 {
        match self {
            Self::Rate => 0.0,
            Self::Window(hold) | Self::Hand(hold) => hold,
        }
    }
}

/// What is one's own: of the part by the count so many times until then, and so many times from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Right {
    pub part: f64,
    pub floor: f64,
    pub until: f64,
}

impl Right {
    fn at(&self, when: f64) -> f64 {
        if when < self.until { self.part } else { self.floor.min(self.part) }
    }
}

/// The other side of loans to one borrower.
#[derive(Clone, Debug, Default)]
struct Lent {
    /// The latest ask, what it was for, and when it came.
    number: u64,
    want: f64,
    asked: f64,
    stairs: Stairs,
}

/// Loans of one lender.
#[derive(Clone, Debug, Default)]
struct Got {
    /// Asks that may still be answered: number, when it was sent, the most to hold from then on.
    asks: VecDeque<(u64, f64, f64)>,
    stairs: Stairs,
    /// What it said that it could lend beside, and when.
    left: f64,
    told: f64,
}

/// Asks of which the answer is still of use: more are not under way within a loan's time.
const ASKS: usize = 12;

#[derive(Clone, Debug)]
pub struct Account {
    /// This process's own number of chance.
    me: u64,
    form: Form,
    /// This gateway's part of the whole by the count alone.
    part: f64,
    /// What it needs itself, and what of its units is in use.
    need: f64,
    used: f64,
    lent: BTreeMap<u64, Lent>,
    got: BTreeMap<u64, Got>,
}

/// A borrower that none of this fleet is: what a former process of this name may have lent.
const FORMER: u64 = 0;

impl Account {
    /// `loan` is how long loans last.
    pub fn new(me: u64, form: Form, part: f64, loan: f64, now: f64) -> Self {
        let mut account =
            Self { me, form, part, need: 0.0, used: 0.0, lent: BTreeMap::new(), got: BTreeMap::new() };
        if !matches!(form, Form::Window(_)) {
            let end = now + loan * SURE + form.hold();
            let keep =
                if matches!(form, Form::Hand(_)) { (KEEP * part).max(part.min(1.0)) } else { KEEP * part };
            account.lent.entry(FORMER).or_default().stairs.give(end, part - keep);
        }
        account
    }

    pub fn part(&self) -> f64 {
        self.part
    }

    pub fn is_units(&self) -> bool {
        !matches!(self.form, Form::Rate)
    }

    pub fn state(&mut self, part: f64) {
        self.part = part;
    }

    pub fn need(&mut self, need: f64, used: f64) {
        (self.need, self.used) = (need, used);
    }

    /// Own part now, of what a right gives.
    fn own(&self, right: &Right, when: f64) -> f64 {
        self.part * right.at(when)
    }

    pub fn lent(&self, now: f64) -> f64 {
        self.lent.values().map(|l| l.stairs.at(now)).sum()
    }

    /// What is borrowed until then at least.
    pub fn borrowed(&self, until: f64) -> f64 {
        self.got.values().map(|g| g.stairs.at(until)).sum()
    }

    /// What this gateway may use now.
    pub fn allowed(&self, right: &Right, now: f64) -> f64 {
        (self.own(right, now) - self.lent(now) + self.borrowed(now)).max(0.0)
    }

    /// What it needs for itself, with something to grow by.
    fn wanted(&self) -> f64 {
        /// Times its need of late: what chance adds, and what grows while an ask is under way.
        const GROWTH: f64 = 1.25;
        (GROWTH * self.need).max(self.used)
    }

    /// What it could lend in all until a time.
    fn lendable(&self, right: &Right, now: f64, until: f64) -> f64 {
        let own = self.own(right, now).min(self.own(right, until));
        let keep = match self.form {
            // A part of a shot is no shot: the last whole one stays here.
            Form::Hand(_) if self.part >= 1.0 => (KEEP * self.part).max(1.0),
            Form::Window(_) | Form::Hand(_) if self.part < 1.0 => 0.0,
            _ => KEEP * self.part,
        };
        // Of less than a unit its own want is one among others', see `fair`.
        let wanted = if self.is_units() && self.part < 1.0 { self.used } else { self.wanted() };
        (own - wanted.max(keep)).max(0.0)
    }

    /// A borrower asks, and holds at most `level` of this gateway's from now on; `frees` where no more is in use. Gives what it is lent, and what could be
    /// lent beside; none where the ask is older than one that came before.
    pub fn asked(
        &mut self,
        right: &Right,
        now: f64,
        loan: f64,
        (life, number, level, frees): (u64, u64, f64, bool),
        faults: Faults,
    ) -> Option<(f64, f64)> {
        let until = now + if faults.ends_together { loan } else { loan * SURE + self.form.hold() };
        let all = self.lendable(right, now, until);
        let lent = self.lent.entry(life).or_default();
        if number <= lent.number {
            return None;
        }
        if frees {
            lent.stairs.cap(level);
        }
        (lent.number, lent.want, lent.asked) = (number, level, now);
        let fair = self.fair(now, loan, all, life);
        let others: f64 = self.lent.iter().filter(|(l, _)| **l != life).map(|(_, l)| l.stairs.at(now)).sum();
        let lent = self.lent.entry(life).or_default();
        let held = lent.stairs.at(now);
        let free = (all - others).max(0.0);
        // What it holds it may hold on, as it may be in use there; of what is free it gets a half at a time where that
        // does not come home within a loan: others may ask in the same moment.
        let most =
            if self.form.hold() > 0.0 && all >= 1.0 { held + 0.5 * (free - held).max(0.0) } else { free };
        let grant = grains(level.min(fair).min(most).min(free));
        lent.stairs.give(until, grant);
        let lent = lent.stairs.at(now);
        Some((grant, grains((all - others - lent).max(0.0))))
    }

    /// What a borrower may have where all get what they ask for up to a common level: whoever asks for little gets it, and
    /// nobody gets everything.
    fn fair(&self, now: f64, loan: f64, all: f64, life: u64) -> f64 {
        let asking = |l: &Lent| now - l.asked < loan;
        let wants: Vec<f64> = self.lent.values().filter(|l| asking(l)).map(|l| l.want).collect();
        // Less than a unit is of use only together with others' parts: it is not shared out, but goes to the first of those
        // who ask by an order that is the same at all lenders.
        if self.is_units() && all < 1.0 {
            let first = self.lent.iter().find(|(_, l)| asking(l) && l.want > 0.0);
            let before = self.need == 0.0 || life < self.me;
            return if before && first.is_some_and(|(first, _)| *first == life) { all } else { 0.0 };
        }
        let mut sorted = wants;
        sorted.sort_by(f64::total_cmp);
        let (mut left, mut many) = (all, sorted.len() as f64);
        for want in sorted {
            let level = left / many;
            if want >= level {
                return level.min(self.lent.get(&life).map_or(0.0, |l| l.want));
            }
            left -= want;
            many -= 1.0;
        }
        self.lent.get(&life).map_or(0.0, |l| l.want)
    }

    /// Notes an ask that goes out: from now on at most that much of this lender's is held.
    pub fn ask(&mut self, now: f64, life: u64, number: u64, level: f64) {
        let got = self.got.entry(life).or_default();
        got.stairs.cap(level);
        if got.asks.len() == ASKS {
            got.asks.pop_front();
        }
        got.asks.push_back((number, now, level));
    }

    /// A grant came, in answer to the ask of that number.
    pub fn granted(&mut self, now: f64, life: u64, number: u64, (level, left): (f64, f64), lasts: f64) {
        let Some(got) = self.got.get_mut(&life) else { return };
        let Some(at) = got.asks.iter().position(|(n, ..)| *n == number) else { return };
        let sent = got.asks[at].1;
        let level = got.asks.iter().skip(at).map(|(_, _, most)| *most).fold(level, f64::min);
        if sent + lasts > now {
            got.stairs.get(sent + lasts, level);
        }
        if sent >= got.told {
            (got.left, got.told) = (left, sent);
        }
    }

    /// Lenders of which something is held, and how much: most first.
    pub fn lenders(&self, now: f64) -> Vec<(u64, f64)> {
        let mut all: Vec<_> = self.got.iter().map(|(life, g)| (*life, g.stairs.at(now))).collect();
        all.retain(|(_, level)| *level > 0.0);
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all
    }

    /// What a lender said that it could lend beside, if that is no longer ago than `age`.
    pub fn left(&self, now: f64, life: u64, age: f64) -> Option<f64> {
        self.got.get(&life).filter(|g| now - g.told < age).map(|g| g.left)
    }

    /// What this gateway should have borrowed, by its need.
    pub fn short(&self, right: &Right, now: f64, loan: f64) -> f64 {
        let own = self.own(right, now).min(self.own(right, now + loan)) - self.lent(now);
        let wanted = if self.need > 0.0 { self.wanted() } else { self.used };
        (wanted - own.max(0.0)).max(0.0)
    }

    /// Units in use, where its own part is less than one.
    pub fn used_of_one(&self) -> f64 {
        if self.is_units() && self.part < 1.0 { self.used } else { 0.0 }
    }

    pub fn form(&self) -> Form {
        self.form
    }

    /// Whether what is in use is within what is held once these asks have gone out.
    pub fn frees(&self, right: &Right, now: f64, asks: &[(u64, f64)]) -> bool {
        let asked =
            |life: u64| asks.iter().find(|(l, _)| *l == life).map_or(f64::INFINITY, |(_, level)| *level);
        let held: f64 = self.got.iter().map(|(life, g)| g.stairs.at(now).min(asked(*life))).sum();
        self.used <= (self.own(right, now) - self.lent(now) + held).max(0.0)
    }

    /// The least that must still be borrowed, as units in use are.
    pub fn in_use(&self, right: &Right, now: f64) -> f64 {
        (self.used - (self.own(right, now) - self.lent(now)).max(0.0)).max(0.0)
    }

    /// When the next of its loans ends here.
    pub fn ends(&self) -> Option<f64> {
        self.lent.values().filter_map(|l| l.stairs.end()).min_by(f64::total_cmp)
    }

    /// Forgets what has ended.
    pub fn pass(&mut self, now: f64) {
        /// Seconds after which a borrower that asks no more, or a lender that tells no more, is forgotten.
        const QUIET: f64 = 60.0;
        self.lent.values_mut().for_each(|l| l.stairs.pass(now));
        self.got.values_mut().for_each(|g| g.stairs.pass(now));
        self.lent.retain(|_, l| l.stairs.end().is_some() || now - l.asked < QUIET);
        self.got.retain(|_, g| {
            g.stairs.end().is_some() || g.asks.back().is_some_and(|(_, at, _)| now - at < QUIET)
        });
    }
}

/// Of a unit, what notes are written in.
pub const GRAIN: f64 = 1e-6;

/// Rounded down to what a note can say.
fn grains(figure: f64) -> f64 {
    (figure / GRAIN).floor() * GRAIN
}
