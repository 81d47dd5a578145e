//! Readings of the control threads of a hollow gateway: their CPU time and their state. They are taken by an observer
//! that runs on the thread itself.

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

/// Interval between two readings, in seconds: short enough to find the minimum of a budget within a second, and long
/// enough to cost little compared to the thread's own work.
const READING_INTERVAL: f64 = 0.25;

/// Maximum number of completed seconds whose minimums are kept until they are read. The oldest are dropped first.
const MAX_MINIMUMS: usize = 16;

/// A reading of the membership link's thread. CPU times and counts are since its start.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// When the reading was taken, on [`clock`].
    pub at: f64,
    /// CPU time of the membership link's thread, in seconds.
    pub membership_cpu: f64,
    /// CPU time that other threads spent in the dispatcher for endpoint lists and timers, in seconds.
    pub dispatcher_cpu: f64,
    /// Counters of the membership.
    pub counters: Counters,
    /// The path of the membership link's thread below `/proc`: `PROCESS/task/THREAD`.
    pub(super) thread: Option<PathBuf>,
    /// The membership's estimate of the number of gateways.
    pub likely_gateways: f64,
    /// The minimums of completed seconds, each of which is returned once.
    pub minimums: VecDeque<SecondMinimum>,
    /// The reading of the configuration follower's thread, if there is one.
    pub follower: Option<FollowerReading>,
}

/// A reading of the configuration follower's thread.
#[derive(Clone, Debug, Default)]
pub struct FollowerReading {
    /// When the reading was taken, on [`clock`].
    pub at: f64,
    /// CPU time of the thread since its start, in seconds.
    pub cpu_seconds: f64,
    /// The entry number of the applied state.
    pub number: u64,
    /// The digest of the applied state.
    pub digest: u64,
    /// The path of the thread below `/proc`: `PROCESS/task/THREAD`.
    pub(super) thread: Option<PathBuf>,
}

/// Called for each membership event, on the link's thread.
pub type MembershipCallback = Box<dyn FnMut(MembershipEvent) + Send>;

/// Takes readings on the thread of a membership link.
pub struct MembershipMonitor {
    on_membership_event: MembershipCallback,
    reading: Arc<Mutex<Reading>>,
    killed: Arc<AtomicBool>,
    /// When the next reading is due, in seconds on the gateway's clock.
    next_reading: f64,
    minimums: MinimumTracker,
    /// CPU time spent on taking the readings, in seconds.
    monitor_cpu: f64,
}

impl MembershipMonitor {
    /// Creates a monitor that stores its readings in `reading`. Setting `killed` makes the thread end as if its process
    /// had been killed.
    pub fn new(
        on_membership_event: MembershipCallback,
        reading: Arc<Mutex<Reading>>,
        killed: Arc<AtomicBool>,
    ) -> Self {
        let (next_reading, minimums) = (f64::NEG_INFINITY, MinimumTracker::default());
        Self { on_membership_event, reading, killed, next_reading, minimums, monitor_cpu: 0.0 }
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
        (reading.at, reading.membership_cpu, reading.likely_gateways) =
            (at, before - self.monitor_cpu, quota.likely_gateways);
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
        self.monitor_cpu += thread_cpu_seconds() - before;
    }

    fn is_killed(&self) -> bool {
        self.killed.load(Ordering::Acquire)
    }
}

/// Called on the follower's thread with the number of the entry up to which the dispatcher has applied all changes.
pub type AppliedCallback = Box<dyn FnMut(u64) + Send>;

/// Takes readings on the thread of a configuration follower.
pub struct FollowerMonitor {
    on_applied: AppliedCallback,
    reading: Arc<Mutex<FollowerReading>>,
    killed: Arc<AtomicBool>,
    next_reading: f64,
    monitor_cpu: f64,
}

impl FollowerMonitor {
    /// Creates a monitor that stores its readings in `reading`. Setting `killed` makes the thread end as if its process
    /// had been killed.
    pub fn new(
        on_applied: AppliedCallback,
        reading: Arc<Mutex<FollowerReading>>,
        killed: Arc<AtomicBool>,
    ) -> Self {
        Self { on_applied, reading, killed, next_reading: f64::NEG_INFINITY, monitor_cpu: 0.0 }
    }
}

impl FollowerObserver for FollowerMonitor {
    fn applied(&mut self, number: u64) {
        let before = thread_cpu_seconds();
        (self.on_applied)(number);
        self.monitor_cpu += thread_cpu_seconds() - before;
    }

    fn after_turn(&mut self, follower: &Follower) {
        let at = clock();
        if at < self.next_reading {
            return;
        }
        self.next_reading = at + READING_INTERVAL;
        let before = thread_cpu_seconds();
        let mut reading = lock(&self.reading);
        (reading.at, reading.cpu_seconds) = (at, before - self.monitor_cpu);
        (reading.number, reading.digest) = (follower.state().head(), follower.state().digest());
        if reading.thread.is_none() {
            reading.thread = std::fs::read_link("/proc/thread-self").ok();
        }
        drop(reading);
        self.monitor_cpu += thread_cpu_seconds() - before;
    }

    fn is_killed(&self) -> bool {
        self.killed.load(Ordering::Acquire)
    }
}

/// Locks a reading. Ignores poisoning, because a reading remains valid if its writer panicked.
pub fn lock<T>(reading: &Mutex<T>) -> MutexGuard<'_, T> {
    reading.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the CPU time of another thread in seconds, from `/proc/PROCESS/task/THREAD/schedstat`.
pub fn cpu_seconds_of(thread: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(Path::new("/proc").join(thread).join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse::<f64>().ok().map(|ns| ns / 1e9)
}
