//! Tracks which gateways are running and which of them each gateway considers alive. The caller reports starts, stops
//! and the observations of gateways; the tracker measures how long each observer took to learn of a change. It does no
//! I/O; times are seconds on one clock.

mod pair_matrix;

use crate::distribution::ConvergenceSamples;
use pair_matrix::{Pair, PairMatrix};
use serde::{Deserialize, Serialize};

/// State of a gateway as reported by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// It joined or returned.
    #[serde(rename = "Here")]
    Alive,
    /// It is suspected of having failed. It still counts as alive, even if it was considered dead before.
    #[serde(rename = "Doubted")]
    Suspected,
    /// It was declared dead or left.
    #[serde(rename = "Gone")]
    Dead,
}

/// Convergence times of membership changes, and the number of incorrect reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConvergenceTimes {
    /// Detection of stopped gateways.
    pub death: ConvergenceSamples,
    /// Detection of started gateways.
    pub join: ConvergenceSamples,
    /// Rediscovery of gateways that were considered dead during a partition.
    pub healing: ConvergenceSamples,
    /// Reports of a death although the gateway was running and not partitioned from the observer.
    pub false_deaths: usize,
}

/// Whether two gateways are on different sides of the partition.
type IsPartitioned = Box<dyn Fn(usize, usize) -> bool + Send>;

/// Time since which an observer should know of a change, in seconds since the tracker's origin; infinite if nothing is
/// pending. `f32` keeps the matrix of a full fleet small.
type PendingSince = f32;

const NOTHING_PENDING: PendingSince = f32::INFINITY;

const NEVER_REPORTED: f32 = f32::NEG_INFINITY;

/// Compares the reports of gateways with the actual state of the fleet.
pub struct MembershipTracker {
    size: usize,
    /// When the process of each gateway started; `None` if it is not running.
    started_at: Vec<Option<f64>>,
    /// Number of processes with the subject's name that the observer considers alive.
    believed_alive: PairMatrix<u8>,
    pending_death: PairMatrix<PendingSince>,
    pending_join: PairMatrix<PendingSince>,
    pending_healing: PairMatrix<PendingSince>,
    /// When the observer last reported the subject alive, and when dead. A report may arrive before the notice of the
    /// event that it is about, as they arrive on different channels.
    reported_alive_at: PairMatrix<f32>,
    reported_dead_at: PairMatrix<f32>,
    /// The current partition, if there is one.
    partition: Option<IsPartitioned>,
    /// Clock time of the tracker's zero, so that times fit into `f32`.
    origin: f64,
    times: ConvergenceTimes,
}

impl MembershipTracker {
    /// Creates a tracker for a fleet of this size in which no gateway runs yet.
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

    /// Whether a gateway is running.
    #[must_use]
    pub fn is_running(&self, gateway: usize) -> bool {
        self.started_at[gateway].is_some()
    }

    /// Number of running gateways.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.started_at.iter().flatten().count()
    }

    /// All running gateways except one.
    fn running_others(&self, gateway: usize) -> Vec<usize> {
        (0..self.size).filter(|other| *other != gateway && self.is_running(*other)).collect()
    }

    fn since_origin(&self, at: f64) -> f32 {
        (at - self.origin) as f32
    }

    /// Records that a gateway's process started. The others must learn that it joined, and it must learn of the others.
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

    /// Records that a gateway's process stopped. Gateways that consider it alive must learn that; nothing is pending
    /// for it any more.
    pub fn record_stop(&mut self, gateway: usize, at: f64) {
        let since = self.since_origin(at);
        self.started_at[gateway] = None;
        for other in self.running_others(gateway) {
            let pair = Pair { observer: other, subject: gateway };
            self.pending_join[pair] = NOTHING_PENDING;
            self.pending_healing[pair] = NOTHING_PENDING;
            let reported = self.reported_dead_at[pair];
            if reported >= since {
                // The report arrived before this notice and was counted as a false death.
                self.times.false_deaths = self.times.false_deaths.saturating_sub(1);
                self.times.death.seconds.push(reported - since);
            } else if self.believed_alive[pair] > 0 {
                self.pending_death[pair] = since;
            }
        }
        self.clear_observer(gateway);
    }

    /// Clears the view of an observer and everything pending for it.
    fn clear_observer(&mut self, observer: usize) {
        self.believed_alive.fill_row(observer, 0);
        for pending in [&mut self.pending_death, &mut self.pending_join, &mut self.pending_healing] {
            pending.fill_row(observer, NOTHING_PENDING);
        }
        self.reported_alive_at.fill_row(observer, NEVER_REPORTED);
        self.reported_dead_at.fill_row(observer, NEVER_REPORTED);
    }

    /// Begins a partition between the pairs of gateways for which the predicate is true.
    pub fn begin_partition(&mut self, is_partitioned: impl Fn(usize, usize) -> bool + Send + 'static) {
        self.partition = Some(Box::new(is_partitioned));
    }

    /// Ends the partition. Running gateways that were considered dead across it must be considered alive again.
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

    /// Records that a gateway reports the state of another. Reports by or about gateways outside the fleet are ignored.
    pub fn record_report(&mut self, observer: usize, subject: usize, state: ReportedState, at: f64) {
        if observer >= self.size || subject >= self.size || observer == subject {
            return;
        }
        // A report from an earlier process of the observer may arrive late.
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

    /// Number of running gateways that have the correct view of all others and consider no earlier process alive.
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

    /// Number of running gateways that all other running gateways consider alive.
    #[must_use]
    pub fn gateways_known_to_all(&self) -> usize {
        let is_known_by_all = |subject: usize| {
            let observers = (0..self.size).filter(|other| *other != subject && self.is_running(*other));
            observers.into_iter().all(|observer| self.believed_alive[Pair { observer, subject }] > 0)
        };
        (0..self.size).filter(|gateway| self.is_running(*gateway) && is_known_by_all(*gateway)).count()
    }

    /// Ends a play and returns its convergence times. Everything still pending counts as never learned.
    pub fn take_times(&mut self) -> ConvergenceTimes {
        let mut times = std::mem::take(&mut self.times);
        times.death.never = clear_pending(&mut self.pending_death);
        times.join.never = clear_pending(&mut self.pending_join);
        times.healing.never = clear_pending(&mut self.pending_healing);
        times
    }
}

/// Resolves a pending change if the report at `at` is not older than it, and adds the elapsed time. Returns whether it
/// did.
fn resolve_pending(pending: &mut PendingSince, at: f32, samples: &mut ConvergenceSamples) -> bool {
    let since = *pending;
    let is_resolved = since <= at;
    if is_resolved {
        *pending = NOTHING_PENDING;
        samples.seconds.push(at - since);
    }
    is_resolved
}

/// Clears all pending changes and returns their number.
fn clear_pending(pending: &mut PairMatrix<PendingSince>) -> usize {
    let count = pending.iter().filter(|since| **since != NOTHING_PENDING).count();
    pending.fill(NOTHING_PENDING);
    count
}
