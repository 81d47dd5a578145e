//! Probes: in each period one member is asked, in rounds of a chance order; after part of the period again, and through
//! others. Whom nobody hears is suspected, and dead when it doesn't object in time.

use crate::letter::{Letter, Saying, matter};
use crate::member::{Said, State};
use crate::peers::Peers;
use crate::view::Event;
use std::net::SocketAddr;

/// A question that went out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    number: u64,
    life: u64,
    sent: f64,
}

/// Questions remembered: those of half a minute, so that late answers count for what they are worth.
const ASKED: usize = 512;

/// The probe of this period.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    life: u64,
    began: f64,
    tries: u32,
    pub again: f64,
    answered: bool,
}

/// A question asked for another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Errand {
    number: u64,
    /// The question of ours that it became.
    ours: u64,
    asker: u64,
}

/// Errands at a time; more than that are let go.
const ERRANDS: usize = 64;

/// Bytes of sayings in one letter, and of one saying that is as the sender's own or differs: what a datagram holds
/// beside rumours.
const SAYINGS: usize = 620;
const SAYING: [usize; 2] = [16, 34];

impl Peers {
    pub(crate) fn ask(&mut self, life: u64, at: SocketAddr, matter: u8, about: u64) -> u64 {
        self.number += 1;
        let mut letter = self.letter(life, matter, self.number);
        letter.about = about;
        letter.rumours = self.rumours_for(life);
        self.remember(Asked { number: self.number, life, sent: self.now });
        self.send(at, letter);
        self.number
    }

    /// Goes on with the probe of this period, and begins the next when it is over.
    pub(crate) fn probe_on(&mut self) {
        /// Part of the period after which it is asked again, and ways round from the second try on: with thirty of a
        /// hundred letters lost four tries and six ways round leave one in a hundred unanswered.
        const AGAIN: f64 = 0.22;
        const TRIES: u32 = 4;
        const ROUND: usize = 3;
        let (now, period) = (self.now, self.terms.period);
        if let Some(probe) = self.probe.as_mut().filter(|p| !p.answered && now >= p.again) {
            probe.tries += 1;
            let (life, tries) = (probe.life, probe.tries);
            probe.again = if tries < TRIES { now + AGAIN * period } else { f64::INFINITY };
            if let Some(at) = self.there(life) {
                self.ask(life, at, matter::PING, 0);
                let near = |other: u64, m: &crate::member::Member| other != life && m.state == State::Alive;
                let ways = if (2..TRIES).contains(&tries) { self.some(ROUND, near) } else { Vec::new() };
                for (other, at) in ways {
                    self.ask(other, at, matter::SEEK, life);
                }
            }
        }
        if now < self.period_ends {
            return;
        }
        // After a late turn the next period is a whole one all the same.
        self.period_ends = now + period;
        if let Some(probe) = self.probe.take().filter(|p| !p.answered) {
            self.tally.missed += 1;
            self.accuse(probe.life, probe.began);
        }
        let there = |peers: &Self, life: &u64| peers.members.get(life).is_some_and(|m| m.state.there());
        let mut next = self.round.pop();
        while next.is_some_and(|life| !there(self, &life)) {
            next = self.round.pop();
        }
        if next.is_none() {
            self.round = self.some(usize::MAX, |_, m| m.state.there()).into_iter().map(|(l, _)| l).collect();
            next = self.round.pop();
        }
        if let Some((life, at)) = next.and_then(|life| Some((life, self.there(life)?))) {
            self.tally.probes += 1;
            self.ask(life, at, matter::PING, 0);
            let again = now + AGAIN * period;
            self.probe = Some(Probe { life, began: now, tries: 1, again, answered: false });
        }
    }

    /// Seconds that a suspect has to object: for the word of it to go round, and as long as answers took lately.
    pub(crate) fn suspicion(&self) -> f64 {
        /// Periods for each tenfold of gateways.
        const PERIODS: f64 = 5.0;
        let many = (self.members.len() as f64 + 2.0).log10().max(1.0);
        PERIODS * self.terms.period * many + 3.0 * self.slowest()
    }

    /// The longest that an answer took lately; that fades.
    fn slowest(&self) -> f64 {
        const HALF: f64 = 10.0;
        self.slow.0 * (-(self.now - self.slow.1) / HALF).exp2()
    }

    /// Whether so little was heard lately that the fault may be at this end.
    fn quiet(&self) -> bool {
        const PERIODS: f64 = 3.0;
        self.any_heard < self.now - PERIODS * self.terms.period
    }

    /// Suspects a member that nobody heard since then.
    pub(crate) fn accuse(&mut self, life: u64, since: f64) {
        /// So many times as long where it may be this end that fails.
        const MINE: f64 = 4.0;
        let now = self.now;
        let ends = now + self.suspicion() * if self.quiet() { MINE } else { 1.0 };
        // Where nothing at all was heard meanwhile the others are not told.
        let spread = if self.any_heard < since { 0 } else { self.telling() };
        let Some(m) = self.members.get_mut(&life).filter(|m| m.state == State::Alive) else { return };
        (m.state, m.since, m.ends, m.spread) = (State::Suspect, now, ends, spread);
        self.stirred = true;
        let name = m.name.clone();
        self.note(Event::Suspected { name });
    }

    /// Ends suspicions that ran out, and forgets the long dead.
    pub(crate) fn bury(&mut self) {
        /// Seconds for which a dead member is tried again: a cut that lasts longer is healed by the seeds.
        const REMEMBERED: f64 = 3600.0;
        let (now, spread) = (self.now, if self.quiet() { 0 } else { self.telling() });
        let over: Vec<u64> =
            self.members.iter().filter(|(_, m)| m.ends <= now).map(|(life, _)| *life).collect();
        for life in over {
            let Some(m) = self.members.get_mut(&life) else { continue };
            (m.state, m.since, m.ends, m.spread) = (State::Dead, now, f64::INFINITY, spread);
            self.stirred = true;
            let name = m.name.clone();
            self.note(Event::Died { name });
        }
        self.members.retain(|_, m| m.state.there() || m.listed.is_finite() || now < m.since + REMEMBERED);
    }

    /// Answers a question, with what is known of who said what.
    pub(crate) fn answer(&mut self, life: u64, number: u64) {
        let Some(at) = self.there(life) else { return };
        // A question in its turn: so both learn of what the other knows how old it is.
        self.number += 1;
        self.remember(Asked { number: self.number, life, sent: self.now });
        let mut letter = self.letter(life, matter::ACK, number);
        letter.about = self.number;
        letter.rumours = self.rumours_for(life);
        letter.sayings = self.sayings(life);
        self.send(at, letter);
    }

    /// Answers the question that came with an answer.
    pub(crate) fn thank(&mut self, life: u64, number: u64) {
        let Some(at) = self.there(life) else { return };
        let mut letter = self.letter(life, matter::THANKS, number);
        letter.sayings = self.sayings(life);
        self.send(at, letter);
    }

    fn remember(&mut self, asked: Asked) {
        if self.asked.len() == ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back(asked);
    }

    /// One's own saying first, then those of others, the freshest of them.
    fn sayings(&self, to: u64) -> Vec<Saying> {
        let sets = &self.sets;
        let own = Saying { life: self.me.life, age: 0, backed: Some(sets.backed), listed: Some(sets.listed) };
        let fresh = |s: &Said| self.now - s.issued < self.terms.lease;
        let mut others: Vec<(u64, Said)> = (self.members.iter())
            .filter(|(life, _)| **life != to)
            .filter_map(|(life, m)| m.said.filter(fresh).map(|s| (*life, s)))
            .collect();
        others.sort_by(|a, b| b.1.issued.total_cmp(&a.1.issued));
        let mut left = SAYINGS;
        others.retain(|(_, said)| {
            let bytes = SAYING[usize::from((said.backed, said.listed) != (sets.backed, sets.listed))];
            let fits = bytes <= left;
            left -= if fits { bytes } else { 0 };
            fits
        });
        let saying = |(life, said): (u64, Said)| Saying {
            life,
            // Rounded up, and more for a clock that runs slow: a word may pass for older than it is, never younger.
            age: ((self.now - said.issued) * (1.0 + 2.0 * crate::backing::DRIFT) * 1e3).ceil() as u32 + 1,
            backed: Some(said.backed).filter(|sum| *sum != sets.backed),
            listed: Some(said.listed).filter(|sum| *sum != sets.listed),
        };
        std::iter::once(own).chain(others.into_iter().map(saying)).collect()
    }

    /// An answer came from `from`: the member `about` is there, and what is said in it is no older than the question.
    pub(crate) fn answered(&mut self, from: u64, about: u64, letter: &Letter) {
        let asked = |a: &&Asked| a.number == letter.number && a.life == from;
        let Some(sent) = self.asked.iter().find(asked).map(|a| a.sent) else { return };
        let took = self.now - sent;
        if took >= self.slowest() {
            self.slow = (took, self.now);
        }
        let first = letter.sayings.first().map(|s| (s.backed.unwrap_or(0), s.listed.unwrap_or(0)));
        for saying in &letter.sayings {
            let Some((backed, listed)) = first else { break };
            let issued = sent - f64::from(saying.age) / 1e3;
            let (backed, listed) = (saying.backed.unwrap_or(backed), saying.listed.unwrap_or(listed));
            if let Some(m) = self.members.get_mut(&saying.life)
                && m.said.is_none_or(|known| known.issued < issued)
            {
                m.said = Some(Said { issued, backed, listed });
            }
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.life == about) {
            probe.answered = true;
            probe.again = f64::INFINITY;
        }
        // It answered what was asked after it came under suspicion: it has the whole time once more.
        let again = self.now + self.suspicion();
        if let Some(m) = self.members.get_mut(&about).filter(|m| m.state == State::Suspect && sent > m.since)
        {
            m.ends = m.ends.max(again);
        }
        while let Some(n) = self.errands.iter().position(|e| e.ours == letter.number) {
            let Some(errand) = self.errands.remove(n) else { break };
            if let Some(at) = self.there(errand.asker) {
                let mut found = self.letter(errand.asker, matter::FOUND, errand.number);
                found.about = about;
                found.rumours = self.rumours_for(errand.asker);
                found.sayings = self.sayings(errand.asker);
                self.send(at, found);
            }
        }
    }

    /// Asks a member for another that doesn't hear it.
    pub(crate) fn seek_for(&mut self, asker: u64, number: u64, about: u64) {
        let Some(at) = self.there(about) else { return };
        let ours = self.ask(about, at, matter::PING, 0);
        if self.errands.len() == ERRANDS {
            self.errands.pop_front();
        }
        self.errands.push_back(Errand { number, ours, asker });
    }
}
