//! A hollow gateway: one without client and worker sockets, with the dispatcher, budgets, membership link and configuration
//! follower of a real gateway in the same control threads, so that many run in one process. The caller hands in the
//! endpoint list and advances the dispatcher's time; what the control threads cost is read from their own clocks.

mod minimums;
mod readings;

pub use crate::process_clocks::clock;
pub use minimums::{BudgetLevel, MinimumTracker, SecondMinimum};
pub use readings::{AppliedCallback, FollowerReading, MembershipCallback, Reading};

use crate::config_follower::{self, ConfigFeed};
use crate::control_thread::ControlThreadError;
use crate::membership_link::{self, MembershipLink, MembershipObserver};
use crate::process_clocks::thread_cpu_seconds;
use crate::shared_runtime::SharedRuntime;
use milletpath_config::GatewayConfig;
use milletpath_protocol::registry::EndpointEntry;
use readings::{FollowerMonitor, MembershipMonitor, cpu_seconds_of, lock};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// A running hollow gateway. Dropping it stops its control threads and joins them.
pub struct HollowGateway {
    shared_runtime: Arc<SharedRuntime>,
    /// The address of its membership link, if it has one.
    pub membership_address: Option<SocketAddr>,
    /// The address of its configuration follower, if it has one.
    pub config_log_address: Option<SocketAddr>,
    threads: Vec<JoinHandle<()>>,
    reading: Arc<Mutex<Reading>>,
    follower_reading: Arc<Mutex<FollowerReading>>,
    killed: Arc<AtomicBool>,
    /// Nanoseconds of processor time that [`update_endpoints`](Self::update_endpoints) and [`tick`](Self::tick) took.
    dispatcher_cpu_nanos: AtomicU64,
}

impl HollowGateway {
    /// Starts with an endpoint list, as a real gateway does before its first request: with a membership link where the
    /// configuration has a section `peers`, and a follower where it has `changes`.
    ///
    /// # Errors
    ///
    /// A control thread can't start.
    pub fn start(
        config: GatewayConfig,
        entries: &[EndpointEntry],
        on_membership_event: MembershipCallback,
        on_applied: AppliedCallback,
    ) -> Result<Self, ControlThreadError> {
        let link =
            config.membership.as_ref().map(|settings| MembershipLink::open(settings, None)).transpose()?;
        let feed = config.config_log.as_ref().map(ConfigFeed::open).transpose()?;
        let killed = Arc::new(AtomicBool::new(false));
        let mut gateway = Self {
            shared_runtime: SharedRuntime::new(config),
            membership_address: link
                .as_ref()
                .map(MembershipLink::address)
                .transpose()
                .map_err(ControlThreadError::LocalAddress)?,
            config_log_address: feed
                .as_ref()
                .map(ConfigFeed::address)
                .transpose()
                .map_err(ControlThreadError::LocalAddress)?,
            threads: Vec::new(),
            reading: Arc::new(Mutex::new(Reading { at: clock(), ..Reading::default() })),
            follower_reading: Arc::new(Mutex::new(FollowerReading {
                at: clock(),
                ..FollowerReading::default()
            })),
            killed: killed.clone(),
            dispatcher_cpu_nanos: AtomicU64::new(0),
        };
        gateway.update_endpoints(true, entries);
        if let Some(feed) = feed {
            let follower_reading = gateway.follower_reading.clone();
            let monitor = FollowerMonitor::new(on_applied, follower_reading, killed.clone());
            let monitor: Box<dyn config_follower::FollowerObserver> = Box::new(monitor);
            gateway.threads.push(config_follower::start_observed(
                gateway.shared_runtime.clone(),
                feed,
                Some(monitor),
            )?);
        }
        if let Some(link) = link {
            let reading = gateway.reading.clone();
            let monitor = MembershipMonitor::new(on_membership_event, reading, killed);
            let monitor: Box<dyn MembershipObserver> = Box::new(monitor);
            gateway.threads.push(membership_link::start_observed(
                gateway.shared_runtime.clone(),
                link,
                Some(monitor),
            )?);
        }
        Ok(gateway)
    }

    /// Applies an endpoint list, or changes to it where it is not `whole`. Gives the processor time taken, in seconds.
    pub fn update_endpoints(&self, complete: bool, entries: &[EndpointEntry]) -> f64 {
        self.measure_cpu(|shared_runtime| shared_runtime.update_endpoints(None, complete, entries))
    }

    /// Runs the dispatcher's timers that are due. To be called often, as the supervisor of a real gateway does.
    pub fn tick(&self) {
        self.measure_cpu(|shared_runtime| {
            if shared_runtime.is_overdue(0.0) {
                shared_runtime.with_dispatcher(None, |dispatcher, now| dispatcher.advance(now));
            }
        });
    }

    /// Does some work of the dispatcher; gives the processor time that it took, in seconds.
    fn measure_cpu(&self, work: impl FnOnce(&SharedRuntime)) -> f64 {
        let before = thread_cpu_seconds();
        work(&self.shared_runtime);
        let cpu_seconds = (thread_cpu_seconds() - before).max(0.0);
        self.dispatcher_cpu_nanos.fetch_add((cpu_seconds * 1e9) as u64, Ordering::Relaxed);
        cpu_seconds
    }

    /// The latest reading, with the minimums of all seconds that were completed since the last call. The processor time of
    /// a control thread that is too busy to take readings comes from the system.
    pub fn reading(&self) -> Reading {
        /// Seconds after which a reading is outdated.
        const MAX_AGE_SECONDS: f64 = 1.0;
        let mut reading = lock(&self.reading);
        let minimums = std::mem::take(&mut reading.minimums);
        let mut reading = Reading { minimums, ..reading.clone() };
        reading.dispatcher_cpu = self.dispatcher_cpu_nanos.load(Ordering::Relaxed) as f64 / 1e9;
        let now = clock();
        if self.membership_address.is_none() {
            // Without a link there is no thread, and no cost.
            reading.at = now;
        } else if now - reading.at > MAX_AGE_SECONDS
            && let Some(used) = reading.thread.as_deref().and_then(cpu_seconds_of)
        {
            (reading.at, reading.membership_cpu) = (now, used);
        }
        if self.config_log_address.is_some() {
            let mut follower_reading = lock(&self.follower_reading).clone();
            if now - follower_reading.at > MAX_AGE_SECONDS
                && let Some(used) = follower_reading.thread.as_deref().and_then(cpu_seconds_of)
            {
                (follower_reading.at, follower_reading.cpu_seconds) = (now, used);
            }
            reading.follower = Some(follower_reading);
        }
        reading
    }

    /// Whether all control threads still run.
    pub fn is_running(&self) -> bool {
        self.threads.iter().all(|thread| !thread.is_finished())
    }

    /// Asks the control threads to end: in order, or as if the process had been `killed`. Does not wait; dropping does.
    pub fn stop(&self, killed: bool) {
        self.killed.store(killed, Ordering::Release);
        self.shared_runtime.stopping.store(true, Ordering::Release);
    }
}

impl Drop for HollowGateway {
    fn drop(&mut self) {
        self.shared_runtime.stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("a control thread of a hollow gateway panicked");
            }
        }
    }
}
