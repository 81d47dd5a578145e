//! The core of what gateways know of each other: told what came and when, it says what to send. Probes are in
//! `probing.rs`, words about others in `gossip.rs`, the proof behind the count in `backing.rs`.

use crate::backing::Sets;
use crate::letter::{Letter, Who, matter};
use crate::member::{Member, State};
use crate::probing::{Asked, Errand, Probe};
use crate::view::{Event, Lowest, Tally};
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The figures that a fleet goes by. All its gateways should have the same.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Seconds between two probes of a gateway.
    pub period: f64,
    /// Seconds for which a word counts as proof.
    pub lease: f64,
    /// Part of one in the most that a gateway keeps which hears no majority, 0 to 1.
    pub floor: f64,
    /// The longest window, in seconds, that budgets are counted in.
    pub window: f64,
}

impl Default for Terms {
    /// Two and a half probes a second find a death within some seconds at some 2 kB/s; in three seconds words go round
    /// among dozens of gateways; who hears nobody keeps what it would have if it shared nothing.
    fn default() -> Self {
        Self { period: 0.4, lease: 3.0, floor: 1.0, window: 10.0 }
    }
}

/// A letter on its way, to be sealed.
#[derive(Clone, Debug)]
pub struct Sent {
    pub to: SocketAddr,
    pub letter: Letter,
}

#[derive(Clone, Debug)]
pub struct Peers {
    pub(crate) terms: Terms,
    pub(crate) me: Who,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) began: f64,
    pub(crate) now: f64,
    /// What this clock is ahead of the caller's, which may have gone back.
    pub(crate) shift: f64,
    pub(crate) chance: Rand64,
    /// All other processes that are known, by life.
    pub(crate) members: BTreeMap<u64, Member>,
    serial: u64,
    pub(crate) number: u64,
    out: VecDeque<Sent>,
    /// Notes that came, and from whom.
    notes: VecDeque<(u64, Vec<u8>)>,
    /// Questions sent lately, by number.
    pub(crate) asked: VecDeque<Asked>,
    pub(crate) probe: Option<Probe>,
    /// Who is still to be probed in this round.
    pub(crate) round: Vec<u64>,
    pub(crate) errands: VecDeque<Errand>,
    pub(crate) period_ends: f64,
    pub(crate) mend_at: f64,
    /// The longest that an answer took lately, and when that was.
    pub(crate) slow: (f64, f64),
    /// When anything was last heard of anybody.
    pub(crate) any_heard: f64,
    pub(crate) leaving: bool,
    /// When another process was last heard under this name.
    pub(crate) twice_at: f64,
    /// Names that two processes use, and when that was last told.
    pub(crate) twice_told: BTreeMap<String, f64>,
    /// One's own sets, when they are to be looked at next, and whether something changed that they depend on.
    pub(crate) sets: Sets,
    pub(crate) list_due: f64,
    pub(crate) stirred: bool,
    pub(crate) faithless: bool,
    pub(crate) lowest: Lowest,
    pub(crate) events: VecDeque<Event>,
    pub(crate) tally: Tally,
}

/// Letters that wait to be sent at most; what comes beyond is as if it were lost on the way.
const OUT: usize = 1024;

/// Notes that wait to be read at most.
const NOTES: usize = 256;

impl Peers {
    /// `who` tells of this process: its `life` must be drawn by chance. `seeds` are places where others may be found.
    pub fn new(who: Who, terms: Terms, seeds: Vec<SocketAddr>, seed: u64, now: f64) -> Self {
        let seeds = seeds.into_iter().filter(|at| *at != who.at).collect();
        Self {
            terms,
            me: who,
            seeds,
            began: now,
            now,
            shift: 0.0,
            chance: Rand64::new(u128::from(seed)),
            members: BTreeMap::new(),
            serial: 0,
            number: 0,
            out: VecDeque::new(),
            notes: VecDeque::new(),
            asked: VecDeque::new(),
            probe: None,
            round: Vec::new(),
            errands: VecDeque::new(),
            period_ends: now + terms.period,
            mend_at: now,
            slow: (0.0, now),
            any_heard: f64::NEG_INFINITY,
            leaving: false,
            twice_at: f64::NEG_INFINITY,
            twice_told: BTreeMap::new(),
            sets: Sets::default(),
            list_due: now,
            stirred: true,
            faithless: false,
            lowest: Lowest::new(terms.window, now),
            events: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// What to send next.
    pub fn out(&mut self) -> Option<Sent> {
        self.out.pop_front()
    }

    /// The next note that came, and the life that it is from.
    pub fn posted(&mut self) -> Option<(u64, Vec<u8>)> {
        self.notes.pop_front()
    }

    /// Sends a note to a process that is there; as if lost where it is not.
    pub fn post(&mut self, life: u64, note: Vec<u8>) {
        let Some(at) = self.there(life) else { return };
        let mut letter = self.letter(life, matter::NOTE, 0);
        letter.note = Some(note);
        self.send(at, letter);
    }

    /// Processes of which there is a word that is fresh by proof: those to share things with.
    pub fn others(&self) -> Vec<u64> {
        let fresh = |m: &Member| m.state.there() && self.now - m.last_word() < self.terms.lease;
        self.members.iter().filter(|(_, m)| fresh(m)).map(|(life, _)| *life).collect()
    }

    /// When [`turn`](Self::turn) is wanted next, on the caller's clock.
    pub fn next(&self) -> f64 {
        let ends = self.members.values().map(|m| m.ends).fold(f64::INFINITY, f64::min);
        let again = self.probe.as_ref().map_or(f64::INFINITY, |p| p.again);
        let next = [self.mend_at, self.list_due, again, ends].into_iter().fold(self.period_ends, f64::min);
        if self.leaving { f64::INFINITY } else { next - self.shift }
    }

    /// Time has passed, as the caller's clock has it: back or far ahead too.
    pub(crate) fn pass(&mut self, now: f64) {
        /// Periods without a turn after which this process stood still. It then gives others the time that it lacked
        /// itself.
        const STILL: f64 = 2.0;
        let ahead = now + self.shift;
        if ahead < self.now {
            self.shift = self.now - now;
        } else {
            let gap = ahead - self.now;
            self.now = ahead;
            if gap > STILL * self.terms.period {
                self.stood(gap);
            }
        }
        self.list();
    }

    fn stood(&mut self, gap: f64) {
        self.tally.stood += 1;
        self.note(Event::Stood { seconds: gap });
        self.members.values_mut().for_each(|m| m.ends += gap);
        self.probe = None;
        self.period_ends = self.now + self.terms.period;
        self.any_heard += gap;
        self.mend_at = self.mend_at.max(self.now);
    }

    /// Does what is due.
    pub fn turn(&mut self, now: f64) {
        self.pass(now);
        if !self.leaving {
            self.probe_on();
            self.bury();
            self.mend();
        }
        self.list();
    }

    /// A letter came.
    pub fn heard(&mut self, now: f64, letter: Letter) {
        self.pass(now);
        if letter.from.life == self.me.life {
            self.tally.echoes += 1;
            return;
        }
        // Whatever is meant for a former process here was true of that one: its sender learns who is here now.
        if letter.to != 0 && letter.to != self.me.life {
            self.tally.misled += 1;
            if letter.matter != matter::TELL {
                let tell = self.letter(letter.from.life, matter::TELL, 0);
                self.send(letter.from.at, tell);
            }
            return;
        }
        let known = self.members.get_mut(&letter.from.life);
        if known.is_some_and(|m| !m.window.take(letter.serial)) {
            self.tally.repeated += 1;
            return;
        }
        self.tally.taken += 1;
        self.any_heard = self.now;
        if !self.welcome(&letter.from, letter.serial) || self.leaving {
            return;
        }
        let life = letter.from.life;
        let table = letter.matter == matter::TABLE;
        letter.rumours.iter().for_each(|r| self.rumour(r, table));
        let number = letter.number;
        match letter.matter {
            matter::PING => self.answer(life, number),
            matter::ACK => {
                self.answered(life, life, &letter);
                self.thank(life, letter.about);
            }
            matter::THANKS => self.answered(life, life, &letter),
            matter::SEEK => self.seek_for(life, number, letter.about),
            matter::FOUND => self.answered(life, letter.about, &letter),
            matter::EXCHANGE => self.exchange(life, number, letter.digest),
            matter::LEAVE => self.gone(life),
            matter::NOTE if self.notes.len() < NOTES => {
                self.notes.extend(letter.note.map(|note| (life, note)));
            }
            // Of a later version, or no more than who it is and rumours.
            _ => {}
        }
        self.put_right(life);
        self.list();
    }

    /// Goes: tells some of the others, and uses no more of what is shared from here on.
    pub fn leave(&mut self, now: f64) {
        /// Told so many: the rest hears it from them.
        const TOLD: usize = 8;
        self.pass(now);
        (self.leaving, self.stirred) = (true, true);
        self.probe = None;
        for (life, at) in self.some(TOLD, |_, m| m.state.there()) {
            let leave = self.letter(life, matter::LEAVE, 0);
            self.send(at, leave);
        }
        self.list();
    }

    pub(crate) fn letter(&self, to: u64, matter: u8, number: u64) -> Letter {
        Letter::new(self.me.clone(), to, matter, number)
    }

    /// Puts a letter into the post, with what rumours there are for its receiver.
    pub(crate) fn send(&mut self, to: SocketAddr, mut letter: Letter) {
        if self.out.len() >= OUT {
            self.tally.unsent += 1;
            return;
        }
        self.serial += 1;
        letter.serial = self.serial;
        self.out.push_back(Sent { to, letter });
    }

    /// Some members by chance, at most so many.
    pub(crate) fn some(
        &mut self,
        most: usize,
        such: impl Fn(u64, &Member) -> bool,
    ) -> Vec<(u64, SocketAddr)> {
        let mut all: Vec<_> =
            self.members.iter().filter(|(life, m)| such(**life, m)).map(|(life, m)| (*life, m.at)).collect();
        let most = most.min(all.len());
        for n in 0..most {
            let other = n + self.chance.rand_range(0..(all.len() - n) as u64) as usize;
            all.swap(n, other);
        }
        all.truncate(most);
        all
    }

    /// The member that stands for a life, where it is there.
    pub(crate) fn there(&self, life: u64) -> Option<SocketAddr> {
        self.members.get(&life).filter(|m| m.state != State::Left).map(|m| m.at)
    }
}
