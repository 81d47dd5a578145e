//! What a gateway knows of the others, in plain figures: for its own decisions, for the cores that share things with
//! others, and for operators.

use crate::letter::Refused;
use crate::member::State;
use crate::peers::Peers;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Of how many gateways there are words that are fresh by proof, one's own among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Hears {
    /// More than half of the most that there may be.
    Majority,
    Some,
    Nothing,
}

/// What the decisions go by. Parts are multiples of what a gateway has that shares nothing: one in the most that there
/// may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parts {
    /// Gateways that are likely to be there.
    pub likely: f64,
    /// One's part of what is shared, until that time; and from then on, unless told anew.
    pub part: f64,
    pub floor: f64,
    /// Seconds on the caller's clock.
    pub until: f64,
}

/// One other gateway as it is seen from here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub name: String,
    pub at: SocketAddr,
    /// Tells a process from its former self.
    pub life: String,
    pub state: String,
    /// Seconds that it is in that state.
    pub since: f64,
    pub incarnation: u32,
    /// Seconds since its last word was said, at most; none where there is none.
    pub age: Option<f64>,
    /// Two processes go by this name.
    pub twice: bool,
    /// The most gateways that its charter allows for; 0 where that is not known.
    pub most: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub name: String,
    pub life: String,
    pub incarnation: u32,
    pub hears: Hears,
    /// The most gateways that there may be, those likely to be there, and the most that may have standing.
    pub most: usize,
    pub likely: f64,
    pub highest: usize,
    /// Seconds for which a majority backs this gateway; 0 for none.
    pub stands: f64,
    /// Its part of what is shared, as a multiple of one in the most.
    pub part: f64,
    pub members: Vec<Seen>,
    pub tally: Tally,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub sent: u64,
    pub bytes: u64,
    pub taken: u64,
    /// Not taken, by reason.
    pub sizes: u64,
    pub versions: u64,
    pub seals: u64,
    pub bodies: u64,
    pub repeated: u64,
    /// Meant for another life.
    pub misled: u64,
    /// One's own, come back.
    pub echoes: u64,
    /// Members that there was no room for.
    pub crowded: u64,
    /// Letters that would have been too large.
    pub unsent: u64,
    /// Probes, and those that nobody answered in time.
    pub probes: u64,
    pub missed: u64,
    /// Words against what was wrongly said of this gateway.
    pub objections: u64,
    /// Times at which this process found that it had stood still.
    pub stood: u64,
}

impl Tally {
    pub fn refused(&mut self, why: Refused) {
        *match why {
            Refused::Size => &mut self.sizes,
            Refused::Version(_) => &mut self.versions,
            Refused::Seal => &mut self.seals,
            Refused::Body => &mut self.bodies,
        } += 1;
    }
}

/// What is worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Joined {
        name: String,
        at: SocketAddr,
    },
    Suspected {
        name: String,
    },
    Died {
        name: String,
    },
    Left {
        name: String,
    },
    /// It came back after it counted as dead.
    Returned {
        name: String,
    },
    /// Two processes go by one name.
    Twice {
        name: String,
    },
    /// Another's charter allows for another number of gateways.
    OtherMost {
        name: String,
        most: u32,
    },
    Stood {
        seconds: f64,
    },
}

/// Lines kept for whoever writes the log; older ones go.
const EVENTS: usize = 256;

impl Peers {
    pub(crate) fn note(&mut self, event: Event) {
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// What happened that is worth a line in the log.
    pub fn events(&mut self) -> VecDeque<Event> {
        std::mem::take(&mut self.events)
    }

    /// Names of which a word is fresh by proof; one's own among them.
    fn fresh(&self) -> usize {
        let fresh = self.members.values().filter(|m| self.now - m.last_word() < self.terms.lease);
        let mut names: BTreeSet<&str> = fresh.map(|m| m.name.as_str()).collect();
        names.insert(&self.me.name);
        names.len()
    }

    pub fn hears(&self) -> Hears {
        match self.fresh() {
            n if n > self.most() / 2 => Hears::Majority,
            1 => Hears::Nothing,
            _ => Hears::Some,
        }
    }

    /// Gateways likely to be there. Who hears nothing knows nothing: it goes by the most, as one that shares nothing.
    pub fn likely(&self) -> f64 {
        match self.hears() {
            Hears::Nothing => self.most() as f64,
            _ => self.names_there() as f64,
        }
    }

    /// What the decisions go by now. To be asked whenever time passed: a part rises only once it was that high for
    /// the length of the longest window that budgets are counted in.
    pub fn parts(&mut self, now: f64) -> Parts {
        self.pass(now);
        let (now, proof) = (self.now, self.proof());
        let (most, own) = (self.most() as f64, f64::from(self.me.most.max(1)));
        let floor = self.terms.floor / most;
        let stands = now < proof.stands && !self.leaving;
        let until = match stands {
            true if now < proof.until => proof.stands.min(proof.until),
            true => proof.stands,
            false => f64::INFINITY,
        };
        let part = if stands { floor + (1.0 - self.terms.floor) / proof.highest as f64 } else { floor };
        let part = self.lowest.pass(now, part, floor, until);
        Parts { likely: self.likely(), part: part * own, floor: floor * own, until: until - self.shift }
    }

    pub fn view(&mut self, now: f64) -> View {
        let parts = self.parts(now);
        let (proof, twice) = (self.proof(), self.twice());
        let now = self.now;
        let seen = |(life, m): (&u64, &crate::member::Member)| Seen {
            name: m.name.clone(),
            at: m.at,
            life: format!("{life:016x}"),
            state: m.state.word().into(),
            since: now - m.since,
            incarnation: m.incarnation,
            age: m.said.map(|s| now - s.issued),
            twice: m.state.there() && twice.contains(&m.name),
            most: m.most,
        };
        let mut members: Vec<_> = self.members.iter().map(seen).collect();
        members.sort_by(|a, b| (&a.name, &a.life).cmp(&(&b.name, &b.life)));
        View {
            name: self.me.name.clone(),
            life: format!("{:016x}", self.me.life),
            incarnation: self.me.incarnation,
            hears: self.hears(),
            most: self.most(),
            likely: parts.likely,
            highest: proof.highest,
            stands: (proof.stands - now).clamp(0.0, self.terms.lease),
            part: parts.part,
            members,
            tally: self.tally,
        }
    }

    /// This process's own number of chance.
    pub fn life(&self) -> u64 {
        self.me.life
    }

    /// How a member of that life stands, for tests and for cores that build on this.
    pub fn state(&self, life: u64) -> Option<State> {
        self.members.get(&life).map(|m| m.state)
    }

    /// Seconds since a member's last word was said, at most.
    pub fn age(&self, life: u64) -> Option<f64> {
        self.members.get(&life)?.said.map(|s| self.now - s.issued)
    }
}

/// The lowest that a figure was within a window. Before the first it was at its floor.
#[derive(Clone, Debug)]
pub(crate) struct Lowest {
    window: f64,
    /// Figures from when on they held, growing from one to the next.
    held: VecDeque<(f64, f64)>,
    /// Until when the last that came holds.
    until: f64,
}

impl Lowest {
    pub fn new(window: f64, began: f64) -> Self {
        // The floor stands at the beginning until the window has passed it.
        Self { window, held: VecDeque::from([(began, 0.0)]), until: f64::INFINITY }
    }

    /// A figure holds from now on until then; gives the lowest within the window. Whatever held before ran out when
    /// its time was over, whether anybody looked or not.
    pub fn pass(&mut self, now: f64, figure: f64, floor: f64, until: f64) -> f64 {
        if self.until < now {
            self.put(self.until, floor);
        }
        self.until = until;
        self.put(now, figure);
        // The one before the window still held at its beginning.
        while self.held.get(1).is_some_and(|(from, _)| *from <= now - self.window) {
            self.held.pop_front();
        }
        self.held.front().map_or(floor, |(_, lowest)| lowest.max(floor))
    }

    fn put(&mut self, from: f64, figure: f64) {
        let mut from = from;
        // Those that are higher than what comes after them never count again: it may stand in their place.
        while let Some(&(since, before)) = self.held.back()
            && before > figure
        {
            from = since;
            self.held.pop_back();
        }
        if self.held.back().is_none_or(|(_, before)| *before < figure) {
            self.held.push_back((from, figure));
        }
    }
}
