//! Which gateways run, and which of them each gateway takes for alive. It is notified of starts, stops and of what
//! gateways report of each other, and measures how long each took to learn it. It does no I/O; times are seconds on one
//! clock.

mod pair_matrix;

use crate::distribution::ConvergenceSamples;
use pair_matrix::{Pair, PairMatrix};
use serde::{Deserialize, Serialize};

/// What a gateway reports of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// It joined, or returned.
    #[serde(rename = "Here")]
    Alive,
    /// It is suspected: it is there, even where it was dead before.
    #[serde(rename = "Doubted")]
    Suspected,
    /// It is dead, or left.
    #[serde(rename = "Gone")]
    Dead,
}

/// How long changes of the membership took to be known, and what was reported wrongly.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConvergenceTimes {
    /// That a gateway stopped.
    pub death: ConvergenceSamples,
    /// That a gateway started.
    pub join: ConvergenceSamples,
    /// After a partition, that gateways that were taken for dead are alive.
    pub healing: ConvergenceSamples,
    /// Reports that a gateway is dead which ran and was not partitioned from the observer.
    pub false_deaths: usize,
}

/// Whether datagrams between two gateways are cut off.
type IsPartitioned = Box<dyn Fn(usize, usize) -> bool + Send>;

/// When an observer should have learnt something, in seconds since the tracker began; infinite where there is nothing to
/// learn. In f32 to keep a full fleet's matrix small.
type PendingSince = f32;

const NOTHING_PENDING: PendingSince = f32::INFINITY;

const NEVER_REPORTED: f32 = f32::NEG_INFINITY;

/// Compares what gateways report of each other with what is so.
pub struct MembershipTracker {
    size: usize,
    /// When each gateway's process started, if it runs.
    started_at: Vec<Option<f64>>,
    /// How many processes of the subject's name the observer takes for alive.
    believed_alive: PairMatrix<u8>,
    pending_death: PairMatrix<PendingSince>,
    pending_join: PairMatrix<PendingSince>,
    pending_healing: PairMatrix<PendingSince>,
    /// When the observer last reported the subject alive, and dead. A report may arrive before the notice of what it is
    /// about, as they come by different ways.
    reported_alive_at: PairMatrix<f32>,
    reported_dead_at: PairMatrix<f32>,
    /// The partition, while there is one.
    partition: Option<IsPartitioned>,
    /// The time on the clock that counts as 0, so that times fit in f32.
    origin: f64,
    times: ConvergenceTimes,
}

impl MembershipTracker {
    /// A fleet of that size of which no gateway runs.
    #[must_use]
    pub fn new(size: usize, now: f64) -> Self {
        Self {
            size,
            started_at: vec![None; size],
            believed_alive: PairMatrix::new(size, 0),
            pending_death: PairMatrix::new(size, NOTHING_PENDING),
            pending_join: PairMatrix::new(size, NOTHING_PENDING),
            pending_healing: PairMatrix::new(size, NOTHING_PENDING),
            reported_alive_at: PairMatrix::new(size, NEVER_REPORTED),
            reported_dead_at: PairMatrix::new(size, NEVER_REPORTED),
            partition: None,
            origin: now,
            times: ConvergenceTimes::default(),
        }
    }

    /// Whether a gateway runs.
    #[must_use]
    pub fn is_running(&self, gateway: usize) -> bool {
        self.started_at[gateway].is_some()
    }

    /// Gateways that run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.started_at.iter().flatten().count()
    }

    /// The gateways that run, but for one.
    fn running_others(&self, gateway: usize) -> Vec<usize> {
        (0..self.size).filter(|other| *other != gateway && self.is_running(*other)).collect()
    }

    fn since_origin(&self, at: f64) -> f32 {
        (at - self.origin) as f32
    }

    /// A gateway's process started. The others have to learn that it joined, and it has to learn of the others.
    pub fn record_start(&mut self, gateway: usize, at: f64) {
        let since = self.since_origin(at);
        for other in self.running_others(gateway) {
            let pair = Pair { observer: other, subject: gateway };
            let reported = self.reported_alive_at[pair];
            if reported >= since {
                self.times.join.seconds.push(reported - since);
            } else {
                self.pending_join[pair] = since;
            }
            self.pending_join[pair.reversed()] = since;
        }
        self.started_at[gateway] = Some(at);
    }

    /// A gateway's process stopped. Whoever took it for alive has to learn that; it has nothing to learn any more.
    pub fn record_stop(&mut self, gateway: usize, at: f64) {
        let since = self.since_origin(at);
        self.started_at[gateway] = None;
        for other in self.running_others(gateway) {
            let pair = Pair { observer: other, subject: gateway };
            self.pending_join[pair] = NOTHING_PENDING;
            self.pending_healing[pair] = NOTHING_PENDING;
            let reported = self.reported_dead_at[pair];
            if reported >= since {
                // The report arrived before this notice, and was counted as a false one.
                self.times.false_deaths = self.times.false_deaths.saturating_sub(1);
                self.times.death.seconds.push(reported - since);
            } else if self.believed_alive[pair] > 0 {
                self.pending_death[pair] = since;
            }
        }
        self.clear_observer(gateway);
    }

    /// Clears all that a gateway observed and has to learn.
    fn clear_observer(&mut self, observer: usize) {
        self.believed_alive.fill_row(observer, 0);
        for pending in [&mut self.pending_death, &mut self.pending_join, &mut self.pending_healing] {
            pending.fill_row(observer, NOTHING_PENDING);
        }
        self.reported_alive_at.fill_row(observer, NEVER_REPORTED);
        self.reported_dead_at.fill_row(observer, NEVER_REPORTED);
    }

    /// From now on no datagrams pass between the pairs of gateways for which this is true.
    pub fn begin_partition(&mut self, is_partitioned: impl Fn(usize, usize) -> bool + Send + 'static) {
        self.partition = Some(Box::new(is_partitioned));
    }

    /// The partition is over: gateways that were taken for dead because of it are to be taken for alive again.
    pub fn end_partition(&mut self, at: f64) {
        let Some(is_partitioned) = self.partition.take() else { return };
        let since = self.since_origin(at);
        for observer in 0..self.size {
            for subject in 0..self.size {
                let pair = Pair { observer, subject };
                let both_run = observer != subject && self.is_running(observer) && self.is_running(subject);
                if both_run && is_partitioned(observer, subject) && self.believed_alive[pair] == 0 {
                    self.pending_healing[pair] = since;
                }
            }
        }
    }

    /// A gateway reports something of another. Reports of gateways that are not of this fleet are ignored.
    pub fn record_report(&mut self, observer: usize, subject: usize, state: ReportedState, at: f64) {
        if observer >= self.size || subject >= self.size || observer == subject {
            return;
        }
        // A report of an earlier process of the observer may arrive late.
        if self.started_at[observer].is_none_or(|started_at| at < started_at) {
            return;
        }
        let pair = Pair { observer, subject };
        let at = self.since_origin(at);
        match state {
            ReportedState::Suspected if self.believed_alive[pair] > 0 => {}
            ReportedState::Alive | ReportedState::Suspected => self.record_alive(pair, at),
            ReportedState::Dead => self.record_dead(pair, at),
        }
    }

    fn record_alive(&mut self, pair: Pair, at: f32) {
        self.reported_alive_at[pair] = at;
        self.believed_alive[pair] = self.believed_alive[pair].saturating_add(1);
        if !resolve_pending(&mut self.pending_join[pair], at, &mut self.times.join) {
            resolve_pending(&mut self.pending_healing[pair], at, &mut self.times.healing);
        }
    }

    fn record_dead(&mut self, pair: Pair, at: f32) {
        self.reported_dead_at[pair] = at;
        self.believed_alive[pair] = self.believed_alive[pair].saturating_sub(1);
        let was_expected = resolve_pending(&mut self.pending_death[pair], at, &mut self.times.death);
        let is_reachable = self.is_running(pair.subject) && !self.is_partitioned(pair);
        if !was_expected && is_reachable && self.believed_alive[pair] == 0 {
            self.times.false_deaths += 1;
        }
    }

    fn is_partitioned(&self, pair: Pair) -> bool {
        self.partition.as_ref().is_some_and(|is_partitioned| is_partitioned(pair.observer, pair.subject))
    }

    /// How many of the gateways that run have the correct view of all others, and take no earlier process for alive.
    #[must_use]
    pub fn converged_observers(&self) -> usize {
        let has_correct_view = |observer: usize| {
            (0..self.size).filter(|subject| *subject != observer).all(|subject| {
                let pair = Pair { observer, subject };
                let is_believed = self.believed_alive[pair] > 0;
                is_believed == self.is_running(subject) && self.pending_death[pair] == NOTHING_PENDING
            })
        };
        (0..self.size).filter(|gateway| self.is_running(*gateway) && has_correct_view(*gateway)).count()
    }

    /// Of how many gateways that run all others know that they do.
    #[must_use]
    pub fn gateways_known_to_all(&self) -> usize {
        let is_known_by_all = |subject: usize| {
            let observers = (0..self.size).filter(|other| *other != subject && self.is_running(*other));
            observers.into_iter().all(|observer| self.believed_alive[Pair { observer, subject }] > 0)
        };
        (0..self.size).filter(|gateway| self.is_running(*gateway) && is_known_by_all(*gateway)).count()
    }

    /// Ends a play, and gives what was learnt in it. What is still to be learnt counts as never.
    pub fn take_times(&mut self) -> ConvergenceTimes {
        let mut times = std::mem::take(&mut self.times);
        times.death.never = clear_pending(&mut self.pending_death);
        times.join.never = clear_pending(&mut self.pending_join);
        times.healing.never = clear_pending(&mut self.pending_healing);
        times
    }
}

/// An observer reports something: whether that was to be learnt by then, in which case the time that it took is added.
fn resolve_pending(pending: &mut PendingSince, at: f32, samples: &mut ConvergenceSamples) -> bool {
    let since = *pending;
    let is_resolved = since <= at;
    if is_resolved {
        *pending = NOTHING_PENDING;
        samples.seconds.push(at - since);
    }
    is_resolved
}

/// Forgets what is still to be learnt, and gives how much that was.
fn clear_pending(pending: &mut PairMatrix<PendingSince>) -> usize {
    let count = pending.iter().filter(|since| **since != NOTHING_PENDING).count();
    pending.fill(NOTHING_PENDING);
    count
}
