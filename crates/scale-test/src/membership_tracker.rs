//! Who runs, and who believes it of whom: told of beginnings, ends and what gateways say, it knows whether
//! all believe what is so, and how long each took to learn it. Free of I/O; times are seconds on one clock.

use crate::distribution::ConvergenceSamples;
use serde::{Deserialize, Serialize};

/// What a gateway says of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    #[serde(rename = "Here")]
    Alive,
    /// Under suspicion: there, also where it had counted as gone before.
    #[serde(rename = "Doubted")]
    Suspected,
    /// Dead, or that it left.
    #[serde(rename = "Gone")]
    Dead,
}

/// How long things took to be known, and what was said wrongly.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConvergenceTimes {
    pub death: ConvergenceSamples,
    pub join: ConvergenceSamples,
    /// That those are there after all who had been taken for gone behind a cut.
    pub healing: ConvergenceSamples,
    /// Times that one was said to be gone which ran and could be heard.
    pub false_deaths: usize,
}

/// Nothing is waited for.
const NONE: f32 = f32::INFINITY;

pub struct MembershipTracker {
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
    learnt: ConvergenceTimes,
}

impl MembershipTracker {
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
            learnt: ConvergenceTimes::default(),
        }
    }

    pub fn is_running(&self, gateway: usize) -> bool {
        self.began[gateway].is_some()
    }

    pub fn running_count(&self) -> usize {
        self.began.iter().flatten().count()
    }

    fn others(&self, gateway: usize) -> impl Iterator<Item = usize> + use<> {
        let there: Vec<usize> = (0..self.size).filter(|o| *o != gateway && self.is_running(*o)).collect();
        there.into_iter()
    }

    /// A process of this name began.
    pub fn record_start(&mut self, gateway: usize, at: f64) {
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
    pub fn record_stop(&mut self, gateway: usize, at: f64) {
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
    pub fn begin_partition(&mut self, apart: impl Fn(usize, usize) -> bool + Send + 'static) {
        (self.apart, self.cut) = (Box::new(apart), true);
    }

    /// They do again: whoever was taken for gone is to be known again.
    pub fn end_partition(&mut self, at: f64) {
        let since = (at - self.zero) as f32;
        for observer in 0..self.size {
            for about in 0..self.size {
                let pair = observer * self.size + about;
                let both = observer != about && self.is_running(observer) && self.is_running(about);
                if both && (self.apart)(observer, about) && self.believes[pair] == 0 {
                    self.healing[pair] = since;
                }
            }
        }
        (self.apart, self.cut) = (Box::new(|_, _| false), false);
    }

    /// One gateway says something of another.
    pub fn record_report(&mut self, observer: usize, about: usize, says: ReportedState, at: f64) {
        if observer >= self.size || about >= self.size || observer == about {
            return;
        }
        // What its former process still said is nobody's word now.
        if self.began[observer].is_none_or(|began| at < began) {
            return;
        }
        let (at, pair) = ((at - self.zero) as f32, observer * self.size + about);
        let take = |waits: &mut Vec<f32>, times: &mut ConvergenceSamples| {
            let since = waits[pair];
            let learnt = since <= at;
            if learnt {
                waits[pair] = NONE;
                times.seconds.push(at - since);
            }
            learnt
        };
        match says {
            ReportedState::Suspected if self.believes[pair] > 0 => {}
            ReportedState::Alive | ReportedState::Suspected => {
                self.here[pair] = at;
                self.believes[pair] = self.believes[pair].saturating_add(1);
                if !take(&mut self.join, &mut self.learnt.join) {
                    take(&mut self.healing, &mut self.learnt.healing);
                }
            }
            ReportedState::Dead => {
                self.gone[pair] = at;
                self.believes[pair] = self.believes[pair].saturating_sub(1);
                let meant = take(&mut self.death, &mut self.learnt.death);
                let heard = self.is_running(about) && !(self.cut && (self.apart)(observer, about));
                self.learnt.false_deaths += usize::from(!meant && heard && self.believes[pair] == 0);
            }
        }
    }

    /// How many of those that run believe of all others what is so, and of no former process that it is still there.
    pub fn converged_observers(&self) -> usize {
        let right = |observer: usize| {
            (0..self.size).filter(|about| *about != observer).all(|about| {
                let pair = observer * self.size + about;
                (self.believes[pair] > 0) == self.is_running(about) && self.death[pair] == NONE
            })
        };
        (0..self.size).filter(|o| self.is_running(*o) && right(*o)).count()
    }

    /// Of how many there is nobody who believes otherwise: those that run are believed by all, the others by
    /// none.
    pub fn agreed_gateways(&self) -> usize {
        let wrong = |about: usize| {
            let observers = (0..self.size).filter(|o| *o != about && self.is_running(*o));
            let mut believed = observers.map(|o| self.believes[o * self.size + about] > 0);
            believed.any(|b| b != self.is_running(about))
        };
        (0..self.size).filter(|g| self.is_running(*g) && !wrong(*g)).count()
    }

    /// What was learnt since it was last taken. What is still to be learnt counts as never where a play ends
    /// with it.
    pub fn take_times(&mut self) -> ConvergenceTimes {
        let mut learnt = std::mem::take(&mut self.learnt);
        let never = |waits: &mut Vec<f32>, times: &mut ConvergenceSamples| {
            times.never = waits.iter().filter(|since| **since != NONE).count();
            waits.fill(NONE);
        };
        never(&mut self.death, &mut learnt.death);
        never(&mut self.join, &mut learnt.join);
        never(&mut self.healing, &mut learnt.healing);
        learnt
    }
}
