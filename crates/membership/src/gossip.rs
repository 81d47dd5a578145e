//! Words about members: rumours that go along with every letter, and the exchange of all that is known, now and then,
//! with the dead and the seeds too, so that a healed cut closes.

use crate::letter::{Rumour, Who, matter};
use crate::member::{Member, State};
use crate::peers::Peers;
use crate::view::Event;

/// Bytes of rumours in one letter, which fit a datagram with sayings, and in one page of a table; and what a rumour
/// takes beside a name.
const RUMOURS: usize = 500;
const PAGE: usize = 1100;
const RUMOUR: usize = 40;

/// Gateways that ask a suspect of whom they heard; on average, however many there are.
const ASKING: f64 = 4.0;

/// The largest number of gateways that is believed of another's charter.
const MOST: u32 = 100_000;

/// Pages of a table at a time.
const PAGES: usize = 5;

impl Peers {
    /// How often a rumour is passed on: enough for it to reach all but a few by chance, and those by exchange.
    pub(crate) fn telling(&self) -> u32 {
        (4.0 * (self.members.len() as f64 + 2.0).log10()).ceil() as u32
    }

    /// Members known at most: twice those that there may be, and some.
    fn places(&self) -> usize {
        2 * self.most() + 16
    }

    /// Somebody's word of itself. False where there is no room for it.
    pub(crate) fn welcome(&mut self, who: &Who, serial: u64) -> bool {
        let (now, most) = (self.now, self.telling());
        if !self.members.contains_key(&who.life) {
            if !self.make_room() {
                return false;
            }
            self.come(who.life, Member::new(who.name.clone(), who.at, who.incarnation, State::Alive, now));
        }
        let Some(m) = self.members.get_mut(&who.life) else { return false };
        m.window.take(serial);
        m.heard = now;
        if m.yields_to(who.incarnation, State::Alive) {
            let returned = !m.state.there();
            (m.state, m.since, m.ends) = (State::Alive, now, f64::INFINITY);
            self.stirred = true;
            (m.incarnation, m.at, m.spread) = (who.incarnation, who.at, most);
            if returned {
                self.note(Event::Returned { name: who.name.clone() });
            }
        }
        let Some(m) = self.members.get_mut(&who.life) else { return false };
        let told = who.most.min(MOST);
        let other = std::mem::replace(&mut m.most, told) != told;
        self.stirred |= other;
        if other && told != self.me.most {
            self.note(Event::OtherMost { name: who.name.clone(), most: told });
        }
        true
    }

    /// Room for one more member, at the cost of the longest dead.
    fn make_room(&mut self) -> bool {
        if self.members.len() < self.places() {
            return true;
        }
        let dead = self.members.iter().filter(|(_, m)| !m.state.there() && m.listed.is_infinite());
        let oldest = dead.min_by(|(_, a), (_, b)| a.since.total_cmp(&b.since)).map(|(life, _)| *life);
        match oldest {
            Some(life) => self.members.remove(&life).is_some(),
            None => {
                self.tally.crowded += 1;
                false
            }
        }
    }

    /// A process that was not known before.
    fn come(&mut self, life: u64, mut new: Member) {
        new.spread = self.telling();
        let (name, at) = (new.name.clone(), new.at);
        // Most often it has taken the place of a former one, which is asked at once.
        let former: Vec<u64> = (self.members.iter())
            .filter(|(_, m)| m.name == name && m.state == State::Alive)
            .map(|(life, _)| *life)
            .collect();
        for life in former {
            self.accuse(life, f64::NEG_INFINITY);
            self.round.push(life);
        }
        self.members.insert(life, new);
        self.stirred = true;
        // Into the round under way, at a place of chance.
        let place = self.chance.rand_range(0..self.round.len() as u64 + 1) as usize;
        self.round.insert(place, life);
        self.note(Event::Joined { name, at });
    }

    /// What is said of somebody; `table` where it is part of all that another knows.
    pub(crate) fn rumour(&mut self, r: &Rumour, table: bool) {
        let Some(state) = State::from_number(r.state) else { return };
        if r.life == self.me.life {
            // Whatever it is, it is not so.
            if state != State::Alive && r.incarnation >= self.me.incarnation && !self.leaving {
                self.me.incarnation = r.incarnation.saturating_add(1);
                self.tally.objections += 1;
            }
            return;
        }
        let (now, most, lease) = (self.now, self.telling(), self.terms.lease);
        if !self.members.contains_key(&r.life) {
            // Of the dead that nobody here knew there is nothing to say.
            let (Some(name), Some(at)) = (&r.name, r.at) else { return };
            if !state.there() || !self.make_room() {
                return;
            }
            self.come(r.life, Member::new(name.clone(), at, r.incarnation, State::Alive, now));
        }
        let ends = now + self.suspicion();
        let Some(m) = self.members.get_mut(&r.life) else { return };
        // Whom this gateway hears of all the while is given the time to object: two halves of a fleet that meet again
        // each hold the other for dead.
        let fresh = m.state == State::Alive && now - m.last_word().max(m.heard) < lease;
        let state =
            if state == State::Dead && (table || fresh) && m.state.there() { State::Suspect } else { state };
        if !m.yields_to(r.incarnation, state) {
            return;
        }
        let before = m.state;
        (m.incarnation, m.state, m.since, m.spread) = (r.incarnation, state, now, most);
        self.stirred = true;
        m.ends = if state == State::Suspect { ends } else { f64::INFINITY };
        if let Some(at) = r.at.filter(|_| state == State::Alive) {
            m.at = at;
        }
        let (name, at) = (m.name.clone(), m.at);
        // Some of those who hear of it ask the suspect themselves, and so it hears of it too: with nobody near it would
        // be buried for want of a chance to object.
        if state == State::Suspect && self.chance.rand_float() * (self.members.len() as f64) < ASKING {
            self.ask(r.life, at, matter::PING, 0);
        }
        match state {
            State::Suspect if before != State::Suspect => self.note(Event::Suspected { name }),
            State::Dead => self.note(Event::Died { name }),
            State::Left => self.note(Event::Left { name }),
            State::Alive if !before.there() => self.note(Event::Returned { name }),
            _ => {}
        }
    }

    /// What to tell a member along the way: first what is wrongly said of it, then what was told least.
    pub(crate) fn rumours_for(&mut self, life: u64) -> Vec<Rumour> {
        let wrong = self.members.get(&life).filter(|m| m.state != State::Alive);
        let mut rumours: Vec<_> = wrong.map(|m| m.rumour(life)).into_iter().collect();
        let mut news: Vec<_> = self
            .members
            .iter()
            .filter(|(l, m)| m.spread > 0 && **l != life)
            .map(|(l, m)| (m.spread, *l))
            .collect();
        news.sort_by(|a, b| b.cmp(a));
        let mut left = RUMOURS;
        for (_, about) in news {
            let Some(m) = self.members.get_mut(&about) else { continue };
            let Some(rest) = left.checked_sub(RUMOUR + m.name.len()) else { break };
            left = rest;
            m.spread -= 1;
            rumours.push(m.rumour(about));
        }
        rumours
    }

    /// A member that was just heard and counts as gone is told so: it may object.
    pub(crate) fn put_right(&mut self, life: u64) {
        let (now, period) = (self.now, self.terms.period);
        let Some(m) = self.members.get_mut(&life).filter(|m| m.state != State::Alive) else { return };
        if now - m.told < period {
            return;
        }
        m.told = now;
        let (at, rumour) = (m.at, m.rumour(life));
        let mut tell = self.letter(life, matter::TELL, 0);
        tell.rumours.push(rumour);
        self.send(at, tell);
    }

    /// It said itself that it goes.
    pub(crate) fn gone(&mut self, life: u64) {
        let (now, most) = (self.now, self.telling());
        let Some(m) = self.members.get_mut(&life).filter(|m| m.state != State::Left) else { return };
        (m.state, m.since, m.ends, m.spread) = (State::Left, now, f64::INFINITY, most);
        self.stirred = true;
        let name = m.name.clone();
        self.note(Event::Left { name });
    }

    /// A sum over all that are believed to be there, whatever their order.
    fn digest(&self) -> u64 {
        let there = self.members.iter().filter(|(_, m)| m.state.there()).map(|(life, _)| *life);
        std::iter::once(self.me.life)
            .chain(there)
            .fold(0, |sum: u64, life| sum.wrapping_add(xxhash_rust::xxh3::xxh3_64(&life.to_le_bytes())))
    }

    /// Now and then compares all that is known: with the dead and the seeds, so that a healed cut closes; with anybody.
    pub(crate) fn mend(&mut self) {
        /// Periods between two; while nobody is known, so many a period.
        const PERIODS: f64 = 2.5;
        const ALONE: f64 = 4.0;
        if self.now < self.mend_at {
            return;
        }
        let alone = !self.members.values().any(|m| m.state.there());
        let wait = self.terms.period * if alone { 1.0 / ALONE } else { PERIODS };
        // Out of step with the others.
        self.mend_at = self.now + wait * (0.75 + 0.5 * self.chance.rand_float());
        // The dead whose name nobody has taken, and the seeds where nobody is.
        let taken =
            |peers: &Self, name: &str| peers.members.values().any(|m| m.state.there() && m.name == name);
        let mut lost: Vec<_> = (self.members.iter())
            .filter(|(_, m)| m.state == State::Dead && !taken(self, &m.name))
            .map(|(life, m)| (*life, m.at))
            .collect();
        let unknown = |at: &&std::net::SocketAddr| !self.members.values().any(|m| m.at == **at);
        lost.extend(self.seeds.iter().filter(unknown).map(|at| (0, *at)));
        let mut ask: Vec<_> = self.some(1, |_, m| m.state.there());
        if !lost.is_empty() {
            ask.push(lost[self.chance.rand_range(0..lost.len() as u64) as usize]);
        }
        for (life, at) in ask {
            let mut letter = self.letter(life, matter::EXCHANGE, 0);
            letter.digest = self.digest();
            letter.rumours = self.rumours_for(life);
            self.send(at, letter);
        }
    }

    /// Another tells what it knows in one sum; what differs is told in full, and asked for once.
    pub(crate) fn exchange(&mut self, life: u64, number: u64, digest: u64) {
        let Some(at) = self.there(life) else { return };
        if digest == self.digest() {
            return;
        }
        if number == 0 {
            let mut letter = self.letter(life, matter::EXCHANGE, 1);
            letter.digest = self.digest();
            self.send(at, letter);
        }
        // From a place of chance on, so that a table that is too long for one time goes over in several.
        let all: Vec<u64> = self.members.keys().copied().filter(|other| *other != life).collect();
        let from = self.chance.rand_range(0..all.len() as u64 + 1) as usize;
        let turned = all[from..].iter().chain(&all[..from]);
        let (mut pages, mut left) = (vec![Vec::new()], PAGE);
        for other in turned {
            let rumour = self.members[other].rumour(*other);
            let bytes = RUMOUR + rumour.name.as_ref().map_or(0, String::len);
            if bytes > left {
                if pages.len() == PAGES {
                    break;
                }
                pages.push(Vec::new());
                left = PAGE;
            }
            left -= bytes;
            pages.last_mut().into_iter().for_each(|p| p.push(rumour.clone()));
        }
        for page in pages {
            let mut letter = self.letter(life, matter::TABLE, 0);
            letter.rumours = page;
            self.send(at, letter);
        }
    }
}
