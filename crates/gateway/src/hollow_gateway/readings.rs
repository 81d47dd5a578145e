//! What the control threads of a hollow gateway cost and have: readings that each thread takes of itself, as an observer in
//! that thread.

use super::minimums::{BudgetLevel, MinimumTracker, SecondMinimum};
use crate::budget_sharing::BudgetSharing;
use crate::config_follower::FollowerObserver;
use crate::membership_link::MembershipObserver;
use crate::process_clocks::{clock, thread_cpu_seconds};
use milletpath_config_log::Follower;
use milletpath_membership::{Counters, Membership, MembershipEvent, QuotaFraction};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Seconds between two readings that a control thread gives of itself: often enough to see what a budget was
/// at its lowest within a second, seldom enough to cost nothing beside the control.
const READING_INTERVAL: f64 = 0.25;

/// Seconds whose lowest figures are kept until somebody takes them.
const MAX_MINIMUMS: usize = 16;

/// What a control thread says of itself; times and counts since it began.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// When it was read, on [`clock`].
    pub at: f64,
    /// Seconds of processor time of the control thread.
    pub control_cpu: f64,
    /// Seconds of processor time that others spent inside its desk: the worker list and the desk's own
    /// timers.
    pub desk: f64,
    pub counters: Counters,
    /// The control thread, as the system names it: `PROCESS/task/THREAD`.
    pub(super) thread: Option<PathBuf>,
    /// Gateways likely to be there, by its own word.
    pub likely_gateways: f64,
    /// Whole seconds that are over, each told once.
    pub minimums: VecDeque<SecondMinimum>,
    pub changes: Option<FollowerReading>,
}

/// What the thread that follows changes says of itself.
#[derive(Clone, Debug, Default)]
pub struct FollowerReading {
    /// When it was read, on [`clock`].
    pub at: f64,
    /// Seconds of its processor time.
    pub cpu_seconds: f64,
    /// What is in force.
    pub number: u64,
    pub digest: u64,
    pub(super) thread: Option<PathBuf>,
}

/// What is done with events of the membership.
pub type MembershipCallback = Box<dyn FnMut(MembershipEvent) + Send>;

pub struct MembershipMonitor {
    on_membership_event: MembershipCallback,
    reading: Arc<Mutex<Reading>>,
    killed: Arc<AtomicBool>,
    /// When it reads next.
    next_reading: f64,
    minimums: MinimumTracker,
    /// Processor time that the readings themselves took.
    own_cpu: f64,
}

impl MembershipMonitor {
    /// A monitor that writes into `reading` until `killed` is set.
    pub fn new(
        on_membership_event: MembershipCallback,
        reading: Arc<Mutex<Reading>>,
        killed: Arc<AtomicBool>,
    ) -> Self {
        let (next_reading, minimums) = (f64::NEG_INFINITY, MinimumTracker::default());
        Self { on_membership_event, reading, killed, next_reading, minimums, own_cpu: 0.0 }
    }
}

impl MembershipObserver for MembershipMonitor {
    fn event(&mut self, event: MembershipEvent) {
        (self.on_membership_event)(event);
    }

    fn after_turn(
        &mut self,
        now: f64,
        membership: &mut Membership,
        sharing: &mut BudgetSharing,
        quota: &QuotaFraction,
    ) {
        if now < self.next_reading {
            return;
        }
        self.next_reading = now + READING_INTERVAL;
        let (before, at) = (thread_cpu_seconds(), clock());
        let mut reading = lock(&self.reading);
        (reading.at, reading.control_cpu, reading.likely_gateways) =
            (at, before - self.own_cpu, quota.likely_gateways);
        reading.counters = *membership.counters_mut();
        if reading.thread.is_none() {
            reading.thread = std::fs::read_link("/proc/thread-self").ok();
        }
        let budgets = sharing
            .view(now)
            .budgets
            .into_iter()
            .map(|budget| (budget.name, BudgetLevel { quota: budget.quota, allowed: budget.allowed }));
        if let Some(minimum) = self.minimums.record(at, quota.fraction, budgets.collect()) {
            if reading.minimums.len() == MAX_MINIMUMS {
                reading.minimums.pop_front();
            }
            reading.minimums.push_back(minimum);
        }
        drop(reading);
        self.own_cpu += thread_cpu_seconds() - before;
    }

    fn killed(&self) -> bool {
        self.killed.load(Ordering::Acquire)
    }
}

/// What is done when the desk has taken all changes up to a number.
pub type AppliedCallback = Box<dyn FnMut(u64) + Send>;

/// Looks on at the thread that follows changes.
pub struct FollowerMonitor {
    on_applied: AppliedCallback,
    following: Arc<Mutex<FollowerReading>>,
    killed: Arc<AtomicBool>,
    next_reading: f64,
    own_cpu: f64,
}

impl FollowerMonitor {
    /// A monitor that writes into `following` until `killed` is set.
    pub fn new(
        on_applied: AppliedCallback,
        following: Arc<Mutex<FollowerReading>>,
        killed: Arc<AtomicBool>,
    ) -> Self {
        Self { on_applied, following, killed, next_reading: f64::NEG_INFINITY, own_cpu: 0.0 }
    }
}

impl FollowerObserver for FollowerMonitor {
    fn applied(&mut self, number: u64) {
        let before = thread_cpu_seconds();
        (self.on_applied)(number);
        self.own_cpu += thread_cpu_seconds() - before;
    }

    fn after_turn(&mut self, follower: &Follower) {
        let at = clock();
        if at < self.next_reading {
            return;
        }
        self.next_reading = at + READING_INTERVAL;
        let before = thread_cpu_seconds();
        let mut following = lock(&self.following);
        (following.at, following.cpu_seconds) = (at, before - self.own_cpu);
        (following.number, following.digest) = (follower.state().head(), follower.state().digest());
        if following.thread.is_none() {
            following.thread = std::fs::read_link("/proc/thread-self").ok();
        }
        drop(following);
        self.own_cpu += thread_cpu_seconds() - before;
    }

    fn killed(&self) -> bool {
        self.killed.load(Ordering::Acquire)
    }
}

/// Locks a reading; one whose writer panicked is still good to read.
pub fn lock<T>(reading: &Mutex<T>) -> MutexGuard<'_, T> {
    reading.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Seconds of processor time of another thread.
pub fn cpu_seconds_of(thread: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(Path::new("/proc").join(thread).join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse::<f64>().ok().map(|ns| ns / 1e9)
}
