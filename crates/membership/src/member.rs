//! One other gateway process as it is seen from here, and the order among what is said of it.

use crate::letter::Rumour;
use std::net::SocketAddr;

/// How a member stands. The order is that in which words of one incarnation prevail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    /// It did not answer; it has some time to object.
    Suspect,
    Dead,
    /// It said itself that it goes.
    Left,
}

impl State {
    pub fn from_number(number: u8) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left].get(usize::from(number)).copied()
    }

    pub fn number(self) -> u8 {
        self as u8
    }

    /// Whether it is counted as there.
    pub fn there(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    pub fn word(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Serial numbers that came from one life: none is taken twice, and none so old that this can't be told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    highest: u64,
    /// Bit n: `highest - n` came.
    came: u128,
}

impl Window {
    /// Whether a letter of that number may be taken; from then on it may not.
    pub fn take(&mut self, serial: u64) -> bool {
        if serial > self.highest {
            let by = serial - self.highest;
            self.came = if by < 128 { self.came << by | 1 } else { 1 };
            self.highest = serial;
            return true;
        }
        let back = self.highest - serial;
        let bit = 1u128.checked_shl(u32::try_from(back).unwrap_or(u32::MAX)).unwrap_or(0);
        let new = bit != 0 && self.came & bit == 0;
        self.came |= bit;
        new
    }
}

/// What it said of whom it backs and lists, as sums, and when it said so at the earliest.
#[derive(Clone, Copy, Debug)]
pub struct Said {
    pub issued: f64,
    pub backed: u64,
    pub listed: u64,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    pub at: SocketAddr,
    pub incarnation: u32,
    pub state: State,
    /// When it was first heard of.
    pub known: f64,
    /// Since when it is in that state.
    pub since: f64,
    /// When a suspicion becomes death.
    pub ends: f64,
    /// How often what is known of it is still to be passed on.
    pub spread: u32,
    /// The last letter that came straight from it, and their numbers.
    pub heard: f64,
    pub window: Window,
    pub said: Option<Said>,
    /// The most gateways that its charter allows for; 0 where that is not known yet.
    pub most: u32,
    /// Since when it is listed here without a break; endless where it is not.
    pub listed: f64,
    /// It is backed here, or when it last was.
    pub backs: bool,
    pub backed: f64,
    /// When it was last told what is wrongly said of it.
    pub told: f64,
}

impl Member {
    pub fn new(name: String, at: SocketAddr, incarnation: u32, state: State, now: f64) -> Self {
        Self {
            name,
            at,
            incarnation,
            state,
            known: now,
            since: now,
            ends: f64::INFINITY,
            spread: 0,
            heard: f64::NEG_INFINITY,
            window: Window::default(),
            said: None,
            most: 0,
            listed: f64::INFINITY,
            backs: false,
            backed: f64::NEG_INFINITY,
            told: f64::NEG_INFINITY,
        }
    }

    /// The last word of it, straight or passed on: when it was said at the earliest.
    pub fn last_word(&self) -> f64 {
        self.said.map_or(f64::NEG_INFINITY, |s| s.issued)
    }

    /// Whether a word of that kind prevails over what is known.
    pub fn yields_to(&self, incarnation: u32, state: State) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }

    pub fn rumour(&self, life: u64) -> Rumour {
        let known = self.state.there();
        Rumour {
            life,
            state: self.state.number(),
            incarnation: self.incarnation,
            name: known.then(|| self.name.clone()),
            at: known.then_some(self.at),
        }
    }
}

#[cfg(test)]
mod tests;
