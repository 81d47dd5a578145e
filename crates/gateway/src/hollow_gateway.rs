//! A gateway without client sockets: the same desk, budgets, membership, link and follower of changes as
//! `serve` has, in the same control threads, many of them in one process. Whoever runs it hands in the worker list and keeps the desk's
//! time; what the control costs is read from the threads' own clocks.

use crate::budget_sharing::BudgetSharing;
use crate::config_follower::{self, ConfigFeed};
use crate::membership_link::{self, MembershipLink, MembershipObserver};
use crate::office::Office;
use crate::status_pages::thread_cpu_seconds;
use milletpath_config::GatewayConfig;
use milletpath_config_log::Follower;
use milletpath_membership::{Counters, Membership, MembershipEvent, QuotaFraction};
use milletpath_protocol::registry::Entry;
use nix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Seconds between two readings that a control thread gives of itself: often enough to see what a budget was
/// at its lowest within a second, seldom enough to cost nothing beside the control.
const READING_INTERVAL: f64 = 0.25;

/// Seconds whose lowest figures are kept until somebody takes them.
const MAX_MINIMUMS: usize = 16;

/// Seconds on the monotonic clock, which all processes of the machine share.
#[expect(
    clippy::disallowed_methods,
    reason = "the monotonic clock; an Instant can't be passed to another process"
)]
pub fn clock() -> f64 {
    // It is there on every Linux; one that is not reads as 0 throughout, which shows.
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0.0, |t| t.tv_sec() as f64 + t.tv_nsec() as f64 / 1e9)
}

/// The lowest figures of one second: at every moment of it the gateway could use at least so much.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondMinimum {
    /// The whole second, on [`clock`].
    pub second: u64,
    /// Its part of what is shared, as a multiple of one in the most.
    pub fraction: f64,
    /// Of each budget its part by the count alone, and what it might use.
    pub budgets: BTreeMap<String, (f64, f64)>,
}

impl SecondMinimum {
    /// Lower where the other is. A budget that was not open all the while counts as none.
    fn lower_to(&mut self, other: &SecondMinimum) {
        self.fraction = self.fraction.min(other.fraction);
        self.budgets.retain(|name, _| other.budgets.contains_key(name));
        for (name, (quota, allowed)) in &mut self.budgets {
            let reading = other.budgets[name];
            (*quota, *allowed) = (quota.min(reading.0), allowed.min(reading.1));
        }
    }
}

/// MinimumTracker from single readings. A loan is subtracted by the lender before the borrower has it, and until after:
/// so a borrower that had it at all its readings of a second, which lie this close, has a lender that lacked
/// it at one of its own. Seconds with fewer readings, the first ones among them, are left out.
#[derive(Clone, Debug, Default)]
pub struct MinimumTracker {
    minimum: Option<SecondMinimum>,
    /// Readings of that second, and when the last was.
    readings: u32,
    last: f64,
    gap: f64,
}

impl MinimumTracker {
    /// One more reading; gives the second before, once it is over.
    pub fn record(
        &mut self,
        at: f64,
        fraction: f64,
        budgets: BTreeMap<String, (f64, f64)>,
    ) -> Option<SecondMinimum> {
        /// Readings that a second must have, and seconds between two of them at most.
        const MIN_READINGS: u32 = 3;
        const MAX_GAP_SECONDS: f64 = 0.45;
        let reading = SecondMinimum { second: at as u64, fraction, budgets };
        let finished = match &mut self.minimum {
            Some(minimum) if minimum.second == reading.second => {
                minimum.lower_to(&reading);
                (self.readings, self.gap) = (self.readings + 1, self.gap.max(at - self.last));
                None
            }
            minimum => {
                let is_complete = self.readings >= MIN_READINGS && self.gap <= MAX_GAP_SECONDS;
                (self.readings, self.gap) = (1, 0.0);
                minimum.replace(reading).filter(|_| is_complete)
            }
        };
        self.last = at;
        finished
    }
}

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
    thread: Option<PathBuf>,
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
    thread: Option<PathBuf>,
}

/// What is done with events of the membership.
pub type MembershipCallback = Box<dyn FnMut(MembershipEvent) + Send>;

struct MembershipMonitor {
    on_membership_event: MembershipCallback,
    reading: Arc<Mutex<Reading>>,
    killed: Arc<AtomicBool>,
    /// When it reads next.
    next_reading: f64,
    minimums: MinimumTracker,
    /// Processor time that the readings themselves took.
    own_cpu: f64,
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
        let budgets =
            sharing.view(now).0.into_iter().map(|budget| (budget.name, (budget.quota, budget.allowed)));
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
struct FollowerMonitor {
    on_applied: AppliedCallback,
    following: Arc<Mutex<FollowerReading>>,
    killed: Arc<AtomicBool>,
    next_reading: f64,
    own_cpu: f64,
}

impl config_follower::FollowerObserver for FollowerMonitor {
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

fn lock<T>(reading: &Mutex<T>) -> MutexGuard<'_, T> {
    reading.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A hollow gateway that runs.
pub struct HollowGateway {
    office: Arc<Office>,
    /// Where it hears other gateways, and changes.
    pub link: Option<SocketAddr>,
    pub feed: Option<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
    reading: Arc<Mutex<Reading>>,
    following: Arc<Mutex<FollowerReading>>,
    killed: Arc<AtomicBool>,
    /// Nanoseconds of processor time that [`update_endpoints`](Self::update_endpoints) and [`tick`](Self::tick) took.
    desk: AtomicU64,
}

impl HollowGateway {
    /// Begins with a worker list, as `serve` does before its first call: with a link where the charter has
    /// peers, and a follower where it has changes.
    pub fn start(
        house: GatewayConfig,
        entries: &[Entry],
        on_membership_event: MembershipCallback,
        on_applied: AppliedCallback,
    ) -> io::Result<Self> {
        let link = house.membership.as_ref().map(|stated| MembershipLink::open(stated, None)).transpose()?;
        let feed = house.config_log.as_ref().map(ConfigFeed::open).transpose()?;
        let killed = Arc::new(AtomicBool::new(false));
        let mut hollow = Self {
            office: Office::new(house),
            link: link.as_ref().map(MembershipLink::address).transpose()?,
            feed: feed.as_ref().map(ConfigFeed::address).transpose()?,
            threads: Vec::new(),
            reading: Arc::new(Mutex::new(Reading { at: clock(), ..Reading::default() })),
            following: Arc::new(Mutex::new(FollowerReading { at: clock(), ..FollowerReading::default() })),
            killed: killed.clone(),
            desk: AtomicU64::new(0),
        };
        hollow.update_endpoints(true, entries);
        if let Some(feed) = feed {
            let following = hollow.following.clone();
            let monitor = FollowerMonitor {
                on_applied,
                following,
                killed: killed.clone(),
                next_reading: f64::NEG_INFINITY,
                own_cpu: 0.0,
            };
            let monitor: Box<dyn config_follower::FollowerObserver> = Box::new(monitor);
            hollow.threads.push(config_follower::start_observed(hollow.office.clone(), feed, Some(monitor))?);
        }
        if let Some(link) = link {
            let reading = hollow.reading.clone();
            let (next_reading, minimums) = (f64::NEG_INFINITY, MinimumTracker::default());
            let monitor: Box<dyn MembershipObserver> = Box::new(MembershipMonitor {
                on_membership_event,
                reading,
                killed,
                next_reading,
                minimums,
                own_cpu: 0.0,
            });
            hollow.threads.push(membership_link::start_observed(hollow.office.clone(), link, Some(monitor))?);
        }
        Ok(hollow)
    }

    /// One edition of the worker list.
    pub fn update_endpoints(&self, whole: bool, entries: &[Entry]) -> f64 {
        self.timed(|office| office.list(None, whole, entries))
    }

    /// Does what is due at the desk. To be called often, as the keeper of `serve` does.
    pub fn tick(&self) {
        self.timed(|office| {
            if office.overdue(0.0) {
                office.tell(None, |desk, now| desk.advance(now));
            }
        });
    }

    /// Does something inside the desk; gives the processor time that it took.
    fn timed(&self, work: impl FnOnce(&Office)) -> f64 {
        let before = thread_cpu_seconds();
        work(&self.office);
        let took = (thread_cpu_seconds() - before).max(0.0);
        self.desk.fetch_add((took * 1e9) as u64, Ordering::Relaxed);
        took
    }

    /// Its latest reading; takes the seconds that are over. A control thread that is too busy to read itself
    /// is read by the system's word.
    pub fn reading(&self) -> Reading {
        /// Seconds past which a reading is of another time.
        const MAX_AGE_SECONDS: f64 = 1.0;
        let mut reading = lock(&self.reading);
        let minimums = std::mem::take(&mut reading.minimums);
        let mut reading = Reading { minimums, ..reading.clone() };
        reading.desk = self.desk.load(Ordering::Relaxed) as f64 / 1e9;
        let now = clock();
        if self.link.is_none() {
            // No link, and no thread of it: that costs nothing.
            reading.at = now;
        } else if now - reading.at > MAX_AGE_SECONDS
            && let Some(used) = reading.thread.as_deref().and_then(cpu_seconds_of)
        {
            (reading.at, reading.control_cpu) = (now, used);
        }
        if self.feed.is_some() {
            let mut following = lock(&self.following).clone();
            if now - following.at > MAX_AGE_SECONDS
                && let Some(used) = following.thread.as_deref().and_then(cpu_seconds_of)
            {
                (following.at, following.cpu_seconds) = (now, used);
            }
            reading.changes = Some(following);
        }
        reading
    }

    /// Whether its control threads still run.
    pub fn is_running(&self) -> bool {
        self.threads.iter().all(|thread| !thread.is_finished())
    }

    /// Begins its end: with a word to the others, or without as a process that is killed. Dropped, it is
    /// waited for.
    pub fn stop(&self, killed: bool) {
        self.killed.store(killed, Ordering::Release);
        self.office.stopping.store(true, Ordering::Release);
    }
}

/// Seconds of processor time of another thread.
fn cpu_seconds_of(thread: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(Path::new("/proc").join(thread).join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse::<f64>().ok().map(|ns| ns / 1e9)
}

impl Drop for HollowGateway {
    fn drop(&mut self) {
        self.office.stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("the control of a hollow gateway broke");
            }
        }
    }
}
