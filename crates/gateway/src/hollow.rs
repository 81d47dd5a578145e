//! A gateway without client sockets: the same desk, budgets, membership, link and follower of changes as
//! `serve` has, in the same control threads, many of them in one process. Whoever runs it hands in the worker list and keeps the desk's
//! time; what the control costs is read from the threads' own clocks.

use crate::changing::{self, Feed};
use crate::peering::{self, Link, Onlooker};
use crate::shared_runtime::SharedRuntime;
use crate::sharing::Sharing;
use crate::telling::cpu;
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
const READ: f64 = 0.25;

/// Seconds whose lowest figures are kept until somebody takes them.
const KEPT: usize = 16;

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
pub struct Low {
    /// The whole second, on [`clock`].
    pub second: u64,
    /// Its part of what is shared, as a multiple of one in the most.
    pub part: f64,
    /// Of each budget its part by the count alone, and what it might use.
    pub budgets: BTreeMap<String, (f64, f64)>,
}

impl Low {
    /// Lower where the other is. A budget that was not open all the while counts as none.
    fn sink(&mut self, other: &Low) {
        self.part = self.part.min(other.part);
        self.budgets.retain(|name, _| other.budgets.contains_key(name));
        for (name, (part, allowed)) in &mut self.budgets {
            let seen = other.budgets[name];
            (*part, *allowed) = (part.min(seen.0), allowed.min(seen.1));
        }
    }
}

/// Lows from single readings. A loan is subtracted by the lender before the borrower has it, and until after:
/// so a borrower that had it at all its readings of a second, which lie this close, has a lender that lacked
/// it at one of its own. Seconds with fewer readings, the first ones among them, are left out.
#[derive(Clone, Debug, Default)]
pub struct Lows {
    low: Option<Low>,
    /// Readings of that second, and when the last was.
    readings: u32,
    last: f64,
    gap: f64,
}

impl Lows {
    /// One more reading; gives the second before, once it is over.
    pub fn see(&mut self, at: f64, part: f64, budgets: BTreeMap<String, (f64, f64)>) -> Option<Low> {
        /// Readings that a second must have, and seconds between two of them at most.
        const LEAST: u32 = 3;
        const GAP: f64 = 0.45;
        let seen = Low { second: at as u64, part, budgets };
        let over = match &mut self.low {
            Some(low) if low.second == seen.second => {
                low.sink(&seen);
                (self.readings, self.gap) = (self.readings + 1, self.gap.max(at - self.last));
                None
            }
            low => {
                let whole = self.readings >= LEAST && self.gap <= GAP;
                (self.readings, self.gap) = (1, 0.0);
                low.replace(seen).filter(|_| whole)
            }
        };
        self.last = at;
        over
    }
}

/// What a control thread says of itself; times and counts since it began.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// When it was read, on [`clock`].
    pub at: f64,
    /// Seconds of processor time of the control thread.
    pub control: f64,
    /// Seconds of processor time that others spent inside its desk: the worker list and the desk's own
    /// timers.
    pub desk: f64,
    pub tally: Counters,
    /// The control thread, as the system names it: `PROCESS/task/THREAD`.
    thread: Option<PathBuf>,
    /// Gateways likely to be there, by its own word.
    pub likely: f64,
    /// Whole seconds that are over, each told once.
    pub lows: VecDeque<Low>,
    pub changes: Option<Following>,
}

/// What the thread that follows changes says of itself.
#[derive(Clone, Debug, Default)]
pub struct Following {
    /// When it was read, on [`clock`].
    pub at: f64,
    /// Seconds of its processor time.
    pub cpu: f64,
    /// What is in force.
    pub number: u64,
    pub digest: u64,
    thread: Option<PathBuf>,
}

/// What is done with events of the membership.
pub type Heed = Box<dyn FnMut(MembershipEvent) + Send>;

struct Look {
    heed: Heed,
    reading: Arc<Mutex<Reading>>,
    killed: Arc<AtomicBool>,
    /// When it reads next.
    due: f64,
    lows: Lows,
    /// Processor time that the readings themselves took.
    own: f64,
}

impl Onlooker for Look {
    fn event(&mut self, event: MembershipEvent) {
        (self.heed)(event);
    }

    fn turn(&mut self, now: f64, membership: &mut Membership, sharing: &mut Sharing, quota: &QuotaFraction) {
        if now < self.due {
            return;
        }
        self.due = now + READ;
        let (before, at) = (cpu(), clock());
        let mut reading = lock(&self.reading);
        (reading.at, reading.control, reading.likely) = (at, before - self.own, quota.likely_gateways);
        reading.tally = *membership.counters_mut();
        if reading.thread.is_none() {
            reading.thread = std::fs::read_link("/proc/thread-self").ok();
        }
        let budgets = sharing.view(now).0.into_iter().map(|b| (b.name, (b.quota, b.allowed)));
        if let Some(low) = self.lows.see(at, quota.fraction, budgets.collect()) {
            if reading.lows.len() == KEPT {
                reading.lows.pop_front();
            }
            reading.lows.push_back(low);
        }
        drop(reading);
        self.own += cpu() - before;
    }

    fn killed(&self) -> bool {
        self.killed.load(Ordering::Acquire)
    }
}

/// What is done when the desk has taken all changes up to a number.
pub type Hear = Box<dyn FnMut(u64) + Send>;

/// Looks on at the thread that follows changes.
struct Watch {
    hear: Hear,
    following: Arc<Mutex<Following>>,
    killed: Arc<AtomicBool>,
    due: f64,
    own: f64,
}

impl changing::Onlooker for Watch {
    fn applied(&mut self, number: u64) {
        let before = cpu();
        (self.hear)(number);
        self.own += cpu() - before;
    }

    fn turn(&mut self, follower: &Follower) {
        let at = clock();
        if at < self.due {
            return;
        }
        self.due = at + READ;
        let before = cpu();
        let mut following = lock(&self.following);
        (following.at, following.cpu) = (at, before - self.own);
        (following.number, following.digest) = (follower.state().head(), follower.state().digest());
        if following.thread.is_none() {
            following.thread = std::fs::read_link("/proc/thread-self").ok();
        }
        drop(following);
        self.own += cpu() - before;
    }

    fn killed(&self) -> bool {
        self.killed.load(Ordering::Acquire)
    }
}

fn lock<T>(reading: &Mutex<T>) -> MutexGuard<'_, T> {
    reading.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A hollow gateway that runs.
pub struct Hollow {
    shared_runtime: Arc<SharedRuntime>,
    /// Where it hears other gateways, and changes.
    pub link: Option<SocketAddr>,
    pub feed: Option<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
    reading: Arc<Mutex<Reading>>,
    following: Arc<Mutex<Following>>,
    killed: Arc<AtomicBool>,
    /// Nanoseconds of processor time that [`list`](Self::list) and [`turn`](Self::turn) took.
    desk: AtomicU64,
}

impl Hollow {
    /// Begins with a worker list, as `serve` does before its first call: with a link where the charter has
    /// peers, and a follower where it has changes.
    pub fn begin(house: GatewayConfig, list: &[Entry], heed: Heed, hear: Hear) -> io::Result<Self> {
        let link = house.membership.as_ref().map(|stated| Link::open(stated, None)).transpose()?;
        let feed = house.config_log.as_ref().map(Feed::open).transpose()?;
        let killed = Arc::new(AtomicBool::new(false));
        let mut hollow = Self {
            shared_runtime: SharedRuntime::new(house),
            link: link.as_ref().map(Link::address).transpose()?,
            feed: feed.as_ref().map(Feed::address).transpose()?,
            threads: Vec::new(),
            reading: Arc::new(Mutex::new(Reading { at: clock(), ..Reading::default() })),
            following: Arc::new(Mutex::new(Following { at: clock(), ..Following::default() })),
            killed: killed.clone(),
            desk: AtomicU64::new(0),
        };
        hollow.list(true, list);
        if let Some(feed) = feed {
            let following = hollow.following.clone();
            let watch = Watch { hear, following, killed: killed.clone(), due: f64::NEG_INFINITY, own: 0.0 };
            let watch: Box<dyn changing::Onlooker> = Box::new(watch);
            hollow.threads.push(changing::start_watched(hollow.shared_runtime.clone(), feed, Some(watch))?);
        }
        if let Some(link) = link {
            let reading = hollow.reading.clone();
            let (due, lows) = (f64::NEG_INFINITY, Lows::default());
            let look: Box<dyn Onlooker> = Box::new(Look { heed, reading, killed, due, lows, own: 0.0 });
            hollow.threads.push(peering::start_watched(hollow.shared_runtime.clone(), link, Some(look))?);
        }
        Ok(hollow)
    }

    /// One edition of the worker list.
    pub fn list(&self, whole: bool, entries: &[Entry]) -> f64 {
        self.within(|shared_runtime| shared_runtime.update_endpoints(None, whole, entries))
    }

    /// Does what is due at the desk. To be called often, as the keeper of `serve` does.
    pub fn turn(&self) {
        self.within(|shared_runtime| {
            if shared_runtime.is_overdue(0.0) {
                shared_runtime.with_dispatcher(None, |desk, now| desk.advance(now));
            }
        });
    }

    /// Does something inside the desk; gives the processor time that it took.
    fn within(&self, what: impl FnOnce(&SharedRuntime)) -> f64 {
        let before = cpu();
        what(&self.shared_runtime);
        let took = (cpu() - before).max(0.0);
        self.desk.fetch_add((took * 1e9) as u64, Ordering::Relaxed);
        took
    }

    /// Its latest reading; takes the seconds that are over. A control thread that is too busy to read itself
    /// is read by the system's word.
    pub fn reading(&self) -> Reading {
        /// Seconds past which a reading is of another time.
        const OLD: f64 = 1.0;
        let mut reading = lock(&self.reading);
        let lows = std::mem::take(&mut reading.lows);
        let mut reading = Reading { lows, ..reading.clone() };
        reading.desk = self.desk.load(Ordering::Relaxed) as f64 / 1e9;
        let now = clock();
        if self.link.is_none() {
            // No link, and no thread of it: that costs nothing.
            reading.at = now;
        } else if now - reading.at > OLD
            && let Some(used) = reading.thread.as_deref().and_then(used)
        {
            (reading.at, reading.control) = (now, used);
        }
        if self.feed.is_some() {
            let mut following = lock(&self.following).clone();
            if now - following.at > OLD
                && let Some(used) = following.thread.as_deref().and_then(used)
            {
                (following.at, following.cpu) = (now, used);
            }
            reading.changes = Some(following);
        }
        reading
    }

    /// Whether its control threads still run.
    pub fn runs(&self) -> bool {
        self.threads.iter().all(|t| !t.is_finished())
    }

    /// Begins its end: with a word to the others, or without as a process that is killed. Dropped, it is
    /// waited for.
    pub fn end(&self, killed: bool) {
        self.killed.store(killed, Ordering::Release);
        self.shared_runtime.stopping.store(true, Ordering::Release);
    }
}

/// Seconds of processor time of another thread.
fn used(thread: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(Path::new("/proc").join(thread).join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse::<f64>().ok().map(|ns| ns / 1e9)
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.shared_runtime.stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("the control of a hollow gateway broke");
            }
        }
    }
}
