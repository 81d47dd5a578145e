//! The proof behind the count. Every gateway says now and then whom it *backs* and whom it *lists*:
//!
//! - who is backed by a majority of the most gateways that there may be, by words at most `lease` seconds old, has
//!   *standing*, and may use more than the floor of what is shared;
//! - a gateway backs only whom it has listed for longer than `lease`, and keeps on its list for as long whom it backed:
//!   so whoever is not on its list has no use of its backing now, nor for another `lease`;
//! - so whoever is on none of the lists of a majority, as said at most `lease` ago, has no standing. All others
//!   together are the highest count that may be true.
//!
//! Words carry their age: a sender adds what it kept them for, and an answer can't be older than its question. Clocks
//! may run apart by [`DRIFT`]. A process that has just begun has listed nobody for longer than itself: when it first
//! backs another, what its former self promised has ended.
//!
//! A set is told as one sum of marks, whatever its size. The receiver finds out how it differs from its own, by two
//! members at most; one that differs by more says nothing until both have heard the same.

use crate::member::{Member, State};
use crate::peers::Peers;
use crate::view::Event;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part by which clocks may run faster or slower than true time: several times what is seen of quartz.
pub const DRIFT: f64 = 0.01;

/// What a wait of one's own is longer by, so that it outlasts the same wait on a slower clock.
const SURE: f64 = 1.0 + 3.0 * DRIFT;

/// How another's set differs from one's own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Differs {
    more: [Option<u64>; 2],
    fewer: [Option<u64>; 2],
}

/// Sets by their sums: one's own, all lives that are known by their marks, and how others differed when last looked at.
struct Sums<'m> {
    marks: &'m BTreeMap<u64, u64>,
    own: u64,
    known: BTreeMap<u64, Option<Differs>>,
}

impl<'m> Sums<'m> {
    fn new(marks: &'m BTreeMap<u64, u64>, own: u64) -> Self {
        Self { marks, own, known: BTreeMap::new() }
    }

    /// How a set of that sum differs from one's own; none where that can't be told.
    fn differs(&mut self, other: u64) -> Option<Differs> {
        let (marks, own) = (self.marks, self.own);
        *self.known.entry(other).or_insert_with(|| differs(marks, own, other))
    }
}

fn differs(marks: &BTreeMap<u64, u64>, own: u64, other: u64) -> Option<Differs> {
    let (up, down) = (other.wrapping_sub(own), own.wrapping_sub(other));
    let one = |sum: u64| marks.get(&sum).copied();
    // Two that make up a sum; or one that does once another is taken from it.
    let two = |sum: u64| {
        marks.iter().find_map(|(mark, life)| {
            let other = one(sum.wrapping_sub(*mark)).filter(|other| other != life)?;
            Some([Some(*life), Some(other)])
        })
    };
    let swapped = || {
        marks.iter().find_map(|(mark, gone)| {
            let come = one(up.wrapping_add(*mark)).filter(|come| come != gone)?;
            Some(Differs { more: [Some(come), None], fewer: [Some(*gone), None] })
        })
    };
    if up == 0 {
        return Some(Differs::default());
    }
    let more = |more| Differs { more, ..Differs::default() };
    let fewer = |fewer| Differs { fewer, ..Differs::default() };
    (one(up).map(|life| more([Some(life), None])))
        .or_else(|| one(down).map(|life| fewer([Some(life), None])))
        .or_else(swapped)
        .or_else(|| two(up).map(more))
        .or_else(|| two(down).map(fewer))
}

/// One's own sets as they stand.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sets {
    /// All lives that are known, by their marks.
    marks: BTreeMap<u64, u64>,
    pub backed: u64,
    pub listed: u64,
    on_list: BTreeSet<u64>,
    backs_me: bool,
}

/// What is proven at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Proof {
    /// Until when a majority backs this gateway.
    pub stands: f64,
    /// The most gateways that may have standing, and until when that is proven.
    pub highest: usize,
    pub until: f64,
}

impl Peers {
    /// The most gateways that there may be: the largest figure that any known one's charter gives, or as many as are
    /// there where that is more.
    pub(crate) fn most(&self) -> usize {
        let there = || self.members.values().filter(|m| m.state.there());
        let told = there().map(|m| m.most).fold(self.me.most, u32::max);
        (told as usize).max(self.names_there())
    }

    /// Names under which a gateway is believed to be there, one's own among them.
    pub(crate) fn names_there(&self) -> usize {
        let there = self.members.values().filter(|m| m.state.there());
        let mut names: BTreeSet<&str> = there.map(|m| m.name.as_str()).collect();
        names.insert(&self.me.name);
        names.len()
    }

    /// Seconds for which a promise is kept here.
    fn wait(&self) -> f64 {
        if self.faithless { 0.0 } else { self.terms.lease * SURE }
    }

    /// Keeps no promise from here on: a fault for tests to find.
    #[doc(hidden)]
    pub fn break_promises(&mut self) {
        self.faithless = true;
    }

    /// Whether it backs nobody: about to go, or not alone under its name.
    fn abstains(&self) -> bool {
        self.leaving || self.now < self.twice_at + self.wait()
    }

    /// Brings the lists up to the present; called whenever time passed or a word came, and does something where that
    /// changes them.
    pub(crate) fn list(&mut self) {
        /// Seconds between two looks at names that are used twice.
        const LOOK: f64 = 0.5;
        if !std::mem::take(&mut self.stirred) && self.now < self.list_due {
            return;
        }
        let twice = self.twice();
        self.tell_of_twice(&twice);
        let (now, wait, abstains) = (self.now, self.wait(), self.abstains());
        let mut due = now + LOOK;
        let mut later = |at: f64| due = if at > now { due.min(at) } else { due };
        later(self.twice_at + wait);
        for m in self.members.values_mut() {
            let there = m.state.there();
            let backs = there && !abstains && now >= m.listed + wait && !twice.contains(&m.name);
            if m.backs && !backs {
                m.backed = now;
            }
            m.backs = backs;
            // Who left uses nothing more, by its own word.
            let listed = there || m.state == State::Dead && now < m.backed + wait;
            m.listed = if listed { m.listed.min(now) } else { f64::INFINITY };
            [m.listed, m.backed].into_iter().for_each(|at| later(at + wait));
        }
        self.list_due = due;
        self.sets = self.sum_up();
    }

    /// Names under which two processes are heard at present: the former one still speaks after the next had begun.
    pub(crate) fn twice(&self) -> BTreeSet<String> {
        let fresh = |m: &&Member| m.state.there() && self.now - m.last_word() < self.terms.lease;
        let mut first: BTreeMap<&str, (f64, f64)> =
            BTreeMap::from([(self.me.name.as_str(), (self.began, self.now))]);
        let mut twice = BTreeSet::new();
        for m in self.members.values().filter(fresh) {
            let new = (m.known, m.last_word());
            if let Some(old) = first.insert(&m.name, new) {
                let ((_, word), (begun, _)) = if old.0 < new.0 { (old, new) } else { (new, old) };
                if word > begun {
                    twice.insert(m.name.clone());
                }
                first.insert(&m.name, if old.0 < new.0 { new } else { old });
            }
        }
        twice
    }

    /// Tells of names that are used twice, again and again while they are.
    fn tell_of_twice(&mut self, twice: &BTreeSet<String>) {
        /// Seconds between two lines in the log.
        const AGAIN: f64 = 30.0;
        if twice.contains(&self.me.name) {
            self.twice_at = self.now;
        }
        self.twice_told.retain(|name, _| twice.contains(name));
        for name in twice {
            let due = self.twice_told.get(name).is_none_or(|at| self.now - at >= AGAIN);
            if due {
                self.twice_told.insert(name.clone(), self.now);
                self.note(Event::Twice { name: name.clone() });
            }
        }
    }

    fn sum_up(&self) -> Sets {
        // Gateways that go by other figures don't count each other's words.
        let terms = [self.most() as f64, self.terms.lease, self.terms.floor].map(f64::to_le_bytes).concat();
        let domain = xxh3_64_with_seed(&terms, 0);
        let mark = |life: u64| xxh3_64_with_seed(&life.to_le_bytes(), domain);
        let mut sets = Sets { backs_me: !self.abstains(), ..Sets::default() };
        let me = (&self.me.life, sets.backs_me, !self.leaving);
        let others = self.members.iter().map(|(life, m)| (life, m.backs, m.listed.is_finite()));
        for (life, backed, listed) in std::iter::once(me).chain(others) {
            let mark = mark(*life);
            sets.marks.insert(mark, *life);
            if backed {
                sets.backed = sets.backed.wrapping_add(mark);
            }
            if listed {
                sets.listed = sets.listed.wrapping_add(mark);
                sets.on_list.insert(*life);
            }
        }
        sets
    }

    /// What is proven now.
    pub(crate) fn proof(&self) -> Proof {
        let (now, lease, most) = (self.now, self.terms.lease, self.most());
        let (sets, twice) = (&self.sets, self.twice());
        let (mut backed, mut listed) =
            (Sums::new(&sets.marks, sets.backed), Sums::new(&sets.marks, sets.listed));
        // Of each name when the latest word was said that backs this gateway, and the latest list that can be read.
        let (mut backers, mut lists) = (BTreeMap::<&str, f64>::new(), BTreeMap::<&str, f64>::new());
        let mut on_lists = sets.on_list.clone();
        for m in self.members.values().filter(|m| !twice.contains(&m.name)) {
            let Some(said) = m.said.filter(|s| now - s.issued < lease) else { continue };
            let later = |at: Option<&f64>| at.map_or(said.issued, |at| at.max(said.issued));
            let me = Some(self.me.life);
            let backs = |d: Differs| d.more.contains(&me) || sets.backs_me && !d.fewer.contains(&me);
            if backed.differs(said.backed).is_some_and(backs) {
                backers.insert(&m.name, later(backers.get(m.name.as_str())));
            }
            if let Some(differs) = listed.differs(said.listed) {
                on_lists.extend(differs.more.iter().flatten());
                lists.insert(&m.name, later(lists.get(m.name.as_str())));
            }
        }
        // Until when there are words of a majority, one's own among them, which is always fresh.
        let until = |said: BTreeMap<&str, f64>| {
            let mut said: Vec<f64> = said.into_values().collect();
            said.sort_by(|a, b| b.total_cmp(a));
            match most / 2 {
                0 => f64::INFINITY,
                others => said.get(others - 1).map_or(f64::NEG_INFINITY, |issued| issued + lease),
            }
        };
        let stands = if sets.backs_me { until(backers) } else { f64::NEG_INFINITY };
        let until = until(lists);
        Proof { stands, highest: if now < until { on_lists.len().min(most) } else { most }, until }
    }
}

#[cfg(test)]
mod tests;
