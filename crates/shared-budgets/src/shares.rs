//! All budgets of one gateway: what it needs is metered, what it lacks is asked for, what it can spare is lent.
//!
//! Whoever carries this out keeps one order: what [`Shares::heard`] or [`Shares::turn`] change is told to the decisions
//! ([`Shares::changes`]) before any note goes out ([`Shares::out`]).

use crate::account::{Account, Form, GRAIN, Right};
use crate::counts::Counts;
use crate::need::Need;
use crate::note::{AROUND, Ask, ENTRIES, ENTRY, Grant, Note};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What a budget was wanted for lately, as metered where it is used. `wanted` only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    /// Times that it was wanted, and of these the times that it was not to be had.
    pub wanted: u64,
    pub lacked: u64,
    /// Units in use now.
    pub used: f64,
}

/// What a gateway has beside its own part of a budget: until then, and from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct More {
    pub more: f64,
    pub after: f64,
    pub until: f64,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub asks: u64,
    pub grants: u64,
    pub notes: u64,
    /// Notes not sent, as bytes a second are bounded; notes that can't be read.
    pub held_back: u64,
    pub unread: u64,
}

/// One budget as an operator sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub name: String,
    /// This gateway's part by the count alone, what it may use now, what it needs.
    pub part: f64,
    pub allowed: f64,
    pub need: f64,
    pub lent: f64,
    pub borrowed: f64,
}

#[derive(Clone, Debug)]
struct Line {
    key: u64,
    name: String,
    account: Account,
    need: Need,
    told: Option<More>,
    /// Rounds in which units were asked for in vain, and until when that rests.
    vain: u32,
    rests: f64,
    /// Units in use at the last look, of a part of less than one.
    had: f64,
}

/// Seconds between two rounds of asks; after a lack the next comes so soon. A loan lasts for five of them: with thirty of
/// a hundred letters lost one in four is renewed at the first ask, and one in seven not in time.
const ROUND: f64 = 0.4;
const SOON: f64 = 0.05;

/// Bytes a second that all notes of a gateway may have: half of what a gateway may send to others.
const BYTES: f64 = 10_000.0;

/// Seconds for which what the decisions are told holds at most: they are told anew in half of it.
const HORIZON: f64 = 0.3;

/// What a level of units is told higher by where some of it is borrowed. Units are whole and so is a budget of them: less
/// than a thousand gateways together get no unit out of it.
const HAIR: f64 = 1e-3;

/// Notes that wait at most.
const OUT: usize = 512;

#[derive(Clone, Debug)]
pub struct Shares {
    me: u64,
    /// Seconds that a loan lasts.
    loan: f64,
    now: f64,
    /// What this clock is ahead of the caller's, which may have gone back.
    shift: f64,
    right: Right,
    lines: Vec<Option<Line>>,
    slots: BTreeMap<u64, usize>,
    /// Processes that can be asked.
    others: Vec<u64>,
    number: u64,
    out: VecDeque<(u64, Note)>,
    round: f64,
    /// When something that the decisions were told must be told anew.
    tell: f64,
    lacking: bool,
    bytes: (f64, f64),
    chance: Rand64,
    counts: Counts,
    tally: Tally,
    faults: Faults,
}

/// What tests leave out, to see that it is found.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// What is lent is not subtracted.
    pub not_subtracted: bool,
    /// A loan ends at the lender when it does at the borrower.
    pub ends_together: bool,
    /// A process that begins has its whole part at once.
    pub begins_whole: bool,
    /// What is not held any more counts as not in use.
    pub frees_blindly: bool,
}

impl Shares {
    /// `me` is this process's own number of chance. `lease` is how long words count as proof; a loan is shorter, so that most can be given out of what is proven.
    pub fn new(me: u64, lease: f64, seed: u64, now: f64) -> Self {
        let loan = (lease / 1.5).clamp(0.2, 5.0 * ROUND);
        Self {
            me,
            loan,
            now,
            shift: 0.0,
            right: Right { part: 1.0, floor: 1.0, until: f64::INFINITY },
            lines: Vec::new(),
            slots: BTreeMap::new(),
            others: Vec::new(),
            number: 0,
            out: VecDeque::new(),
            round: now,
            tell: f64::INFINITY,
            lacking: false,
            bytes: (BYTES, now),
            chance: Rand64::new(u128::from(seed)),
            counts: Counts::new(me, now),
            tally: Tally::default(),
            faults: Faults::default(),
        }
    }

    /// Leaves something out.
    #[doc(hidden)]
    pub fn plant(&mut self, faults: Faults) {
        self.faults = faults;
    }

    pub fn loan(&self) -> f64 {
        self.loan
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    fn pass(&mut self, now: f64) -> f64 {
        let ahead = now + self.shift;
        if ahead < self.now {
            self.shift = self.now - now;
        } else {
            self.now = ahead;
        }
        self.now
    }

    /// What of the parts by the count is one's own, on the caller's clock; and who can be asked for more.
    pub fn right(&mut self, now: f64, right: Right, others: Vec<u64>) {
        self.pass(now);
        self.right = Right { until: right.until + self.shift, ..right };
        self.counts.others(&others);
        self.others = others;
    }

    /// Opens a budget of which this gateway's part by the count is so much; gives its slot. The name tells budgets apart,
    /// together with their form.
    pub fn open(&mut self, now: f64, name: &str, form: Form, part: f64) -> usize {
        let now = self.pass(now);
        let key = key(name, form);
        if let Some(&slot) = self.slots.get(&key) {
            self.line(slot).into_iter().for_each(|l| l.account.state(part));
            return slot;
        }
        let began = if self.faults.begins_whole { f64::NEG_INFINITY } else { now };
        let line = Line {
            key,
            name: name.to_owned(),
            account: Account::new(self.me, form, part, self.loan, began),
            need: Need::new(form, now),
            told: None,
            vain: 0,
            rests: now,
            had: 0.0,
        };
        let slot = self.lines.iter().position(Option::is_none).unwrap_or(self.lines.len());
        if slot == self.lines.len() {
            self.lines.push(None);
        }
        self.lines[slot] = Some(line);
        self.slots.insert(key, slot);
        slot
    }

    /// Closes a budget that is not used here any more; not while something of it is lent, as that must stay subtracted
    /// until it has ended, whoever opens it again. Tells whether it is closed.
    pub fn close(&mut self, now: f64, slot: usize) -> bool {
        let now = self.pass(now);
        let lent = self.line(slot).map(|line| line.account.lent(now));
        if lent.is_some_and(|lent| lent > 0.0) {
            return false;
        }
        if let Some(line) = self.lines.get_mut(slot).and_then(Option::take) {
            self.slots.remove(&line.key);
        }
        true
    }

    /// Whoever carries out the decisions has forgotten what it was told: all of it is told anew.
    pub fn tell_anew(&mut self) {
        // Not the same as anything.
        let unknown = More { more: f64::NAN, after: 0.0, until: f64::INFINITY };
        self.lines.iter_mut().flatten().for_each(|line| line.told = Some(unknown));
    }

    fn line(&mut self, slot: usize) -> Option<&mut Line> {
        self.lines.get_mut(slot)?.as_mut()
    }

    /// What the meters of a budget show now.
    pub fn meter(&mut self, now: f64, slot: usize, meter: Meter) {
        let now = self.pass(now);
        let Some(line) = self.line(slot) else { return };
        let lacks = line.need.see(now, meter);
        line.account.need(line.need.figure(), meter.used);
        self.lacking |= lacks;
    }

    /// When [`turn`](Self::turn) and then [`changes`](Self::changes) are wanted next, on the caller's clock.
    pub fn next(&self) -> f64 {
        let next = if self.lacking { self.round.min(self.last_round() + SOON) } else { self.round };
        next.min(self.tell) - self.shift
    }

    fn last_round(&self) -> f64 {
        self.round - ROUND
    }

    /// A note came from another process. `meters` is asked for what is in use of a slot at this moment.
    pub fn heard(
        &mut self,
        now: f64,
        life: u64,
        bytes: &[u8],
        meters: &mut dyn FnMut(usize) -> Option<Meter>,
    ) {
        let now = self.pass(now);
        let Some(note) = Note::read(bytes) else {
            self.tally.unread += 1;
            return;
        };
        match note.bucket {
            Some(bucket) if note.of == 0 => {
                let told = self.counts.reported(now, life, bucket, note.counts);
                told.into_iter().for_each(|told| _ = self.send(life, told));
            }
            Some(bucket) => self.counts.summed(now, life, bucket, note.of, note.sums),
            None => {}
        }
        let lasts = (f64::from(note.lasts) / 1e3).min(self.loan);
        for grant in &note.grants {
            let figures = (grant.level as f64 * GRAIN, grant.left as f64 * GRAIN);
            if let Some(line) = self.slots.get(&grant.key).and_then(|s| self.lines[*s].as_mut()) {
                line.account.granted(now, life, note.number, figures, lasts);
                self.tally.grants += 1;
            }
        }
        let mut grants = Vec::new();
        for ask in &note.asks {
            let Some(&slot) = self.slots.get(&ask.key) else { continue };
            if let Some(meter) = meters(slot) {
                self.meter(now - self.shift, slot, meter);
            }
            let (right, loan, faults) = (self.right, self.loan, self.faults);
            let Some(line) = self.line(slot) else { continue };
            let asked = (life, note.number, ask.level as f64 * GRAIN, ask.frees);
            let granted = line.account.asked(&right, now, loan, asked, faults);
            let Some((level, left)) = granted else { continue };
            let grains = |figure: f64| (figure / GRAIN).round() as u64;
            grants.push(Grant { key: ask.key, level: grains(level), left: grains(left) });
        }
        if !grants.is_empty() {
            let lasts = (self.loan * 1e3) as u32;
            self.send(life, Note { number: note.number, grants, lasts, ..Note::default() });
        }
    }

    /// What to send next: to whom, and the note's bytes.
    pub fn out(&mut self) -> Option<(u64, Vec<u8>)> {
        let (life, note) = self.out.pop_front()?;
        self.tally.notes += 1;
        note.write().map(|bytes| (life, bytes))
    }

    /// Puts a note into the post, within the bytes that may be sent.
    fn send(&mut self, life: u64, note: Note) -> bool {
        let (left, at) = self.bytes;
        let left = (left + BYTES * (self.now - at).max(0.0)).min(BYTES);
        let entries = note.asks.len() + note.grants.len() + note.counts.len() + note.sums.len();
        let cost = AROUND + ENTRY * entries as f64;
        let goes = left >= cost && self.out.len() < OUT;
        self.bytes = (if goes { left - cost } else { left }, self.now);
        if goes {
            self.out.push_back((life, note));
        } else {
            self.tally.held_back += 1;
        }
        goes
    }

    /// Reports what functions keep busy here, in lanes by the hash of their names, where that is due.
    pub fn report(&mut self, now: f64, busy: impl FnOnce() -> Vec<(u64, f64)>) {
        let now = self.pass(now);
        let luck = self.chance.rand_float();
        for (life, note) in self.counts.turn(now, luck, busy) {
            self.send(life, note);
        }
    }

    /// When [`report`](Self::report) is wanted next.
    pub fn next_report(&self) -> f64 {
        self.counts.next() - self.shift
    }

    /// What functions keep busy at all other gateways; none while that is not known.
    pub fn elsewhere(&mut self, now: f64) -> Option<BTreeMap<u64, f64>> {
        let now = self.pass(now);
        self.counts.elsewhere(now)
    }

    /// Does what is due: a round of asks, and forgetting what has ended.
    pub fn turn(&mut self, now: f64) {
        let now = self.pass(now);
        let soon = self.lacking && now >= self.last_round() + SOON;
        if now < self.round && !soon {
            return;
        }
        self.lacking = false;
        self.round = now + ROUND * (0.9 + 0.2 * self.chance.rand_float());
        let mut asks: BTreeMap<u64, Vec<Ask>> = BTreeMap::new();
        for slot in 0..self.lines.len() {
            let (right, loan, faults) = (self.right, self.loan, self.faults);
            let Some(line) = self.lines[slot].as_mut() else { continue };
            line.account.pass(now);
            line.vain_or_not(&right, now, &mut self.chance);
            let wanted = if now < line.rests { 0.0 } else { line.account.short(&right, now, loan) };
            let wanted = wanted.max(line.account.in_use(&right, now));
            let some = spread(&line.account, &self.others, now, loan, wanted);
            let frees = faults.frees_blindly || line.account.frees(&right, now, &some);
            for (life, level) in some {
                let level = (level / GRAIN).ceil() as u64;
                asks.entry(life).or_default().push(Ask { key: line.key, level, frees });
            }
        }
        // From a place of chance on: where bytes don't suffice, each has its turn.
        let lives: Vec<u64> = asks.keys().copied().collect();
        let from = self.chance.rand_range(0..lives.len() as u64 + 1) as usize;
        for life in lives[from..].iter().chain(&lives[..from]) {
            for some in asks[life].chunks(ENTRIES) {
                self.ask(*life, some);
            }
        }
    }

    fn ask(&mut self, life: u64, asks: &[Ask]) {
        self.number += 1;
        let number = self.number;
        if !self.send(life, Note { number, asks: asks.to_vec(), ..Note::default() }) {
            return;
        }
        self.tally.asks += asks.len() as u64;
        let now = self.now;
        for ask in asks {
            if let Some(line) = self.slots.get(&ask.key).and_then(|s| self.lines[*s].as_mut()) {
                line.account.ask(now, life, number, ask.level as f64 * GRAIN);
            }
        }
    }

    /// Budgets of which something else is to be told to the decisions than they were told last, or what they were told
    /// ends soon: slot, and what there is beside the part by the count. On the caller's clock.
    pub fn changes(&mut self, now: f64) -> Vec<(usize, More)> {
        let now = self.pass(now);
        let (until, shift) = (now + HORIZON, self.shift);
        let not_subtracted = self.faults.not_subtracted;
        let mut changes = Vec::new();
        self.tell = f64::INFINITY;
        for (slot, line) in self.lines.iter_mut().enumerate() {
            let Some(line) = line else { continue };
            let lent = if not_subtracted { 0.0 } else { line.account.lent(now) };
            let borrowed = match line.account.borrowed(until) {
                // What rounding takes away must not keep whole units from being whole.
                some if some > 0.0 && line.account.is_units() => some + HAIR,
                some => some,
            };
            let more = More {
                more: borrowed - lent,
                after: -lent,
                until: if borrowed > 0.0 { until } else { f64::INFINITY },
            };
            let same = |told: More| {
                told.more == more.more
                    && told.after == more.after
                    && (told.until == more.until || told.until - HORIZON / 2.0 > now)
            };
            let nothing = More { more: 0.0, after: 0.0, until: f64::INFINITY };
            if !same(line.told.unwrap_or(nothing)) {
                line.told = Some(more);
                changes.push((slot, More { until: more.until - shift, ..more }));
            }
            self.tell = line.told.map_or(self.tell, |told| self.tell.min(told.until - HORIZON / 2.0));
        }
        changes
    }

    /// What this gateway may use of a budget now, by its account.
    pub fn allowed(&mut self, now: f64, slot: usize) -> f64 {
        let now = self.pass(now);
        let right = self.right;
        self.line(slot).map_or(0.0, |l| l.account.allowed(&right, now))
    }

    /// When the next loan ends at its lender, this gateway, on the caller's clock: for tests that look just then.
    #[doc(hidden)]
    pub fn ends(&self) -> Option<f64> {
        let ends = self.lines.iter().flatten().filter_map(|l| l.account.ends());
        ends.min_by(f64::total_cmp).map(|at| at - self.shift)
    }

    /// All budgets, for operators.
    pub fn view(&mut self, now: f64) -> Vec<Seen> {
        let now = self.pass(now);
        let right = self.right;
        let seen = |l: &Line| Seen {
            name: l.name.clone(),
            part: l.account.part(),
            allowed: l.account.allowed(&right, now),
            need: l.need.figure(),
            lent: l.account.lent(now),
            borrowed: l.account.borrowed(now),
        };
        self.lines.iter().flatten().map(seen).collect()
    }
}

impl Line {
    /// Units that are of use only when whole, and that several want at once, may lie in pieces here and there for ever:
    /// who asked in vain gives back what it got, and rests for a while by chance. So does who had one, for others' sake.
    fn vain_or_not(&mut self, right: &Right, now: f64, chance: &mut Rand64) {
        /// Rounds, and seconds of rest on average.
        const VAIN: u32 = 3;
        const REST: f64 = 1.0;
        let some = self.account.borrowed(now) > 0.0;
        let useless = self.account.is_units() && some && self.account.allowed(right, now) + HAIR < 1.0;
        self.vain = if useless { self.vain + 1 } else { 0 };
        let had = std::mem::replace(&mut self.had, self.account.used_of_one()) < self.account.used_of_one();
        if self.vain >= VAIN || had {
            self.vain = 0;
            let rest = if had { self.account.form().hold() } else { 0.0 } + REST * 2.0 * chance.rand_float();
            self.rests = now + rest;
        }
    }
}

/// Whom to ask for which level so that `wanted` is held in all: those of whom something is held for as much as it is, the
/// rest where there may be something left.
fn spread(account: &Account, others: &[u64], now: f64, loan: f64, wanted: f64) -> Vec<(u64, f64)> {
    /// What is held may be so many times what is wanted before some of it goes home.
    const SLACK: f64 = 1.2;
    /// Times what is lacking that is asked for of those who have not said what they have left, all together.
    const TRY: f64 = 2.0;
    let held = account.lenders(now);
    let sum: f64 = held.iter().map(|(_, level)| level).sum();
    let mut asks: Vec<(u64, f64)> = held.clone();
    if sum > SLACK * wanted {
        // The smallest go home first: fewer to ask.
        let mut surplus = sum - wanted;
        for (_, level) in asks.iter_mut().rev() {
            let back = level.min(surplus);
            *level -= back;
            surplus -= back;
        }
    }
    let mut lacking = wanted - sum;
    if lacking > 0.0 {
        let mut more = |life: u64, level: f64| match asks.iter_mut().find(|(l, _)| *l == life) {
            Some((_, held)) => *held += level,
            None => asks.push((life, level)),
        };
        let left = |life: u64| account.left(now, life, loan / 2.0);
        let mut known: Vec<(u64, f64)> = others.iter().filter_map(|l| Some((*l, left(*l)?))).collect();
        known.retain(|(_, left)| *left > 0.0);
        known.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (life, left) in known {
            let level = left.min(lacking);
            more(life, level);
            lacking -= level;
            if lacking <= 0.0 {
                break;
            }
        }
        let unknown: Vec<u64> = others.iter().copied().filter(|l| left(*l).is_none()).collect();
        if lacking > 0.0 {
            let each = (TRY * lacking / unknown.len().max(1) as f64).min(lacking);
            unknown.into_iter().for_each(|life| more(life, each));
        }
    }
    asks
}

/// What a budget is called between gateways.
fn key(name: &str, form: Form) -> u64 {
    let form = match form {
        Form::Rate => "rate".to_owned(),
        Form::Window(seconds) => format!("window {seconds}"),
        Form::Hand(seconds) => format!("hand {seconds}"),
    };
    xxhash_rust::xxh3::xxh3_64(format!("{form}/{name}").as_bytes())
}
