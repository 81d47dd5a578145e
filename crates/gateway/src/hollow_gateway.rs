//! A gateway without client sockets: the same desk, budgets, membership, link and follower of changes as
//! `serve` has, in the same control threads, many of them in one process. Whoever runs it hands in the worker list and keeps the desk's
//! time; what the control costs is read from the threads' own clocks.

mod minimums;
mod readings;

pub use crate::process_clocks::clock;
pub use minimums::{BudgetLevel, MinimumTracker, SecondMinimum};
pub use readings::{AppliedCallback, FollowerReading, MembershipCallback, Reading};

use crate::config_follower::{self, ConfigFeed};
use crate::control_thread::ControlThreadError;
use crate::membership_link::{self, MembershipLink, MembershipObserver};
use crate::office::Office;
use crate::process_clocks::thread_cpu_seconds;
use milletpath_config::GatewayConfig;
use milletpath_protocol::registry::Entry;
use readings::{FollowerMonitor, MembershipMonitor, cpu_seconds_of, lock};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

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
    ) -> Result<Self, ControlThreadError> {
        let link = house.membership.as_ref().map(|stated| MembershipLink::open(stated, None)).transpose()?;
        let feed = house.config_log.as_ref().map(ConfigFeed::open).transpose()?;
        let killed = Arc::new(AtomicBool::new(false));
        let mut hollow = Self {
            office: Office::new(house),
            link: link
                .as_ref()
                .map(MembershipLink::address)
                .transpose()
                .map_err(ControlThreadError::LocalAddress)?,
            feed: feed
                .as_ref()
                .map(ConfigFeed::address)
                .transpose()
                .map_err(ControlThreadError::LocalAddress)?,
            threads: Vec::new(),
            reading: Arc::new(Mutex::new(Reading { at: clock(), ..Reading::default() })),
            following: Arc::new(Mutex::new(FollowerReading { at: clock(), ..FollowerReading::default() })),
            killed: killed.clone(),
            desk: AtomicU64::new(0),
        };
        hollow.update_endpoints(true, entries);
        if let Some(feed) = feed {
            let following = hollow.following.clone();
            let monitor = FollowerMonitor::new(on_applied, following, killed.clone());
            let monitor: Box<dyn config_follower::FollowerObserver> = Box::new(monitor);
            hollow.threads.push(config_follower::start_observed(hollow.office.clone(), feed, Some(monitor))?);
        }
        if let Some(link) = link {
            let reading = hollow.reading.clone();
            let monitor = MembershipMonitor::new(on_membership_event, reading, killed);
            let monitor: Box<dyn MembershipObserver> = Box::new(monitor);
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
