//! Who runs, and who believes it of whom: told of beginnings, ends and what gateways say, it knows whether
//! all believe what is so, and how long each took to learn it. Free of I/O; times are seconds on one clock.

use crate::spread::Times;
use serde::{Deserialize, Serialize};

/// What a gateway says of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Says {
    Here,
    /// Under suspicion: there, also where it had counted as gone before.
    Doubted,
    /// Dead, or that it left.
    Gone,
}

/// How long things took to be known, and what was said wrongly.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    pub death: Times,
    pub join: Times,
    /// That those are there after all who had been taken for gone behind a cut.
    pub healing: Times,
    /// Times that one was said to be gone which ran and could be heard.
    pub false_deaths: usize,
}

/// Nothing is waited for.
const NONE: f32 = f32::INFINITY;

pub struct Book {
    size: usize,
    /// Since when each runs.
    began: Vec<Option<f64>>,
    /// Of each observer and other how many processes of that name it believes in.
    believes: Vec<u8>,
    /// Since when each observer should learn a death, a join or a healing of another.
    death: Vec<f32>,
    join: Vec<f32>,
    healing: Vec<f32>,
    /// When each observer last said that another is there, and that it is gone: what was said may be heard before that it
    /// was so, as they come by different ways.
    here: Vec<f32>,
    gone: Vec<f32>,
    /// Those that can't hear each other now.
    apart: Box<dyn Fn(usize, usize) -> bool + Send>,
    cut: bool,
    /// The clock's time that counts as 0: sums of seconds stay small enough for f32.
    zero: f64,
    learnt: Learnt,
}

impl Book {
    pub fn new(size: usize, now: f64) -> Self {
        let pairs = size * size;
        Self {
            size,
            began: vec![None; size],
            believes: vec![0; pairs],
            death: vec![NONE; pairs],
            join: vec![NONE; pairs],
            healing: vec![NONE; pairs],
            here: vec![f32::NEG_INFINITY; pairs],
            gone: vec![f32::NEG_INFINITY; pairs],
            apart: Box::new(|_, _| false),
            cut: false,
            zero: now,
            learnt: Learnt::default(),
        }
    }

    pub fn runs(&self, gateway: usize) -> bool {
        self.began[gateway].is_some()
    }

    pub fn running(&self) -> usize {
        self.began.iter().flatten().count()
    }

    fn others(&self, gateway: usize) -> impl Iterator<Item = usize> + use<> {
        let there: Vec<usize> = (0..self.size).filter(|o| *o != gateway && self.runs(*o)).collect();
        there.into_iter()
    }

    /// A process of this name began.
    pub fn began(&mut self, gateway: usize, at: f64) {
        let since = (at - self.zero) as f32;
        for other in self.others(gateway) {
            let pair = other * self.size + gateway;
            if self.here[pair] >= since {
                self.learnt.join.seconds.push(self.here[pair] - since);
            } else {
                self.join[pair] = since;
            }
            self.join[gateway * self.size + other] = since;
        }
        self.began[gateway] = Some(at);
    }

    /// It ended. Whoever believed in it has to learn that; what it had to learn itself is nobody's any more.
    pub fn ended(&mut self, gateway: usize, at: f64) {
        let since = (at - self.zero) as f32;
        self.began[gateway] = None;
        for other in self.others(gateway) {
            let pair = other * self.size + gateway;
            (self.join[pair], self.healing[pair]) = (NONE, NONE);
            if self.gone[pair] >= since {
                // Heard before, it was taken for wrong.
                self.learnt.false_deaths = self.learnt.false_deaths.saturating_sub(1);
                self.learnt.death.seconds.push(self.gone[pair] - since);
            } else if self.believes[pair] > 0 {
                self.death[pair] = since;
            }
        }
        let row = gateway * self.size..(gateway + 1) * self.size;
        self.believes[row.clone()].fill(0);
        for waits in [&mut self.death, &mut self.join, &mut self.healing] {
            waits[row.clone()].fill(NONE);
        }
        self.here[row.clone()].fill(f32::NEG_INFINITY);
        self.gone[row].fill(f32::NEG_INFINITY);
    }

    /// From now on these do not hear each other.
    pub fn cut(&mut self, apart: impl Fn(usize, usize) -> bool + Send + 'static) {
        (self.apart, self.cut) = (Box::new(apart), true);
    }

    /// They do again: whoever was taken for gone is to be known again.
    pub fn mended(&mut self, at: f64) {
        let since = (at - self.zero) as f32;
        for observer in 0..self.size {
            for about in 0..self.size {
                let pair = observer * self.size + about;
                let both = observer != about && self.runs(observer) && self.runs(about);
                if both && (self.apart)(observer, about) && self.believes[pair] == 0 {
                    self.healing[pair] = since;
                }
            }
        }
        (self.apart, self.cut) = (Box::new(|_, _| false), false);
    }

    /// One gateway says something of another.
    pub fn said(&mut self, observer: usize, about: usize, says: Says, at: f64) {
        if observer >= self.size || about >= self.size || observer == about {
            return;
        }
        // What its former process still said is nobody's word now.
        if self.began[observer].is_none_or(|began| at < began) {
            return;
        }
        let (at, pair) = ((at - self.zero) as f32, observer * self.size + about);
        let take = |waits: &mut Vec<f32>, times: &mut Times| {
            let since = waits[pair];
            let learnt = since <= at;
            if learnt {
                waits[pair] = NONE;
                times.seconds.push(at - since);
            }
            learnt
        };
        match says {
            Says::Doubted if self.believes[pair] > 0 => {}
            Says::Here | Says::Doubted => {
                self.here[pair] = at;
                self.believes[pair] = self.believes[pair].saturating_add(1);
                if !take(&mut self.join, &mut self.learnt.join) {
                    take(&mut self.healing, &mut self.learnt.healing);
                }
            }
            Says::Gone => {
                self.gone[pair] = at;
                self.believes[pair] = self.believes[pair].saturating_sub(1);
                let meant = take(&mut self.death, &mut self.learnt.death);
                let heard = self.runs(about) && !(self.cut && (self.apart)(observer, about));
                self.learnt.false_deaths += usize::from(!meant && heard && self.believes[pair] == 0);
            }
        }
    }

    /// How many of those that run believe of all others what is so, and of no former process that it is still there.
    pub fn settled(&self) -> usize {
        let right = |observer: usize| {
            (0..self.size).filter(|about| *about != observer).all(|about| {
                let pair = observer * self.size + about;
                (self.believes[pair] > 0) == self.runs(about) && self.death[pair] == NONE
            })
        };
        (0..self.size).filter(|o| self.runs(*o) && right(*o)).count()
    }

    /// Of how many there is nobody who believes otherwise: those that run are believed by all, the others by
    /// none.
    pub fn agreed(&self) -> usize {
        let wrong = |about: usize| {
            let observers = (0..self.size).filter(|o| *o != about && self.runs(*o));
            let mut believed = observers.map(|o| self.believes[o * self.size + about] > 0);
            believed.any(|b| b != self.runs(about))
        };
        (0..self.size).filter(|g| self.runs(*g) && !wrong(*g)).count()
    }

    /// What was learnt since it was last taken. What is still to be learnt counts as never where a play ends
    /// with it.
    pub fn take(&mut self) -> Learnt {
        let mut learnt = std::mem::take(&mut self.learnt);
        let never = |waits: &mut Vec<f32>, times: &mut Times| {
            times.never = waits.iter().filter(|since| **since != NONE).count();
            waits.fill(NONE);
        };
        never(&mut self.death, &mut learnt.death);
        never(&mut self.join, &mut learnt.join);
        never(&mut self.healing, &mut learnt.healing);
        learnt
    }
}
