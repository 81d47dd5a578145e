//! A hollow gateway has no client or worker sockets, but runs the dispatcher, budgets, membership link and
//! configuration follower of a real gateway on the same control threads, so that many of them fit into one process. The
//! caller supplies the endpoint list and runs the dispatcher's timers. The CPU time of the control threads is read from
//! their own clocks.

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

/// A running hollow gateway. Dropping it stops and joins its control threads.
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
    /// CPU time spent in [`update_endpoints`](Self::update_endpoints) and [`tick`](Self::tick), in nanoseconds.
    dispatcher_cpu_nanos: AtomicU64,
}

impl HollowGateway {
    /// Starts a gateway with an endpoint list. Like a real gateway, it runs a membership link if the configuration has
    /// a section `peers`, and a configuration follower if it has a section `changes`.
    ///
    /// # Errors
    ///
    /// Fails if a control thread can't start.
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

    /// Applies a complete endpoint list, or only changes to it if `complete` is false. Returns the CPU time spent, in
    /// seconds.
    pub fn update_endpoints(&self, complete: bool, entries: &[EndpointEntry]) -> f64 {
        self.measure_cpu(|shared_runtime| shared_runtime.update_endpoints(None, complete, entries))
    }

    /// Runs the dispatcher's timers that are due. Must be called frequently, as the supervisor of a real gateway does.
    pub fn tick(&self) {
        self.measure_cpu(|shared_runtime| {
            if shared_runtime.is_overdue(0.0) {
                shared_runtime.with_dispatcher(None, |dispatcher, now| dispatcher.advance(now));
            }
        });
    }

    /// Runs `work` and adds its CPU time to that of the dispatcher. Returns the CPU time in seconds.
    fn measure_cpu(&self, work: impl FnOnce(&SharedRuntime)) -> f64 {
        let before = thread_cpu_seconds();
        work(&self.shared_runtime);
        let cpu_seconds = (thread_cpu_seconds() - before).max(0.0);
        self.dispatcher_cpu_nanos.fetch_add((cpu_seconds * 1e9) as u64, Ordering::Relaxed);
        cpu_seconds
    }

    /// Returns the latest reading, with the minimums of all seconds that were completed since the last call. The CPU
    /// time of a control thread that is too busy to take readings is read from `/proc`.
    pub fn reading(&self) -> Reading {
        /// Age in seconds from which a reading is outdated.
        const MAX_AGE_SECONDS: f64 = 1.0;
        let mut reading = lock(&self.reading);
        let minimums = std::mem::take(&mut reading.minimums);
        let mut reading = Reading { minimums, ..reading.clone() };
        reading.dispatcher_cpu = self.dispatcher_cpu_nanos.load(Ordering::Relaxed) as f64 / 1e9;
        let now = clock();
        if self.membership_address.is_none() {
            // Without a membership link there is no thread and no CPU time.
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

    /// Whether all control threads are still running.
    pub fn is_running(&self) -> bool {
        self.threads.iter().all(|thread| !thread.is_finished())
    }

    /// Tells the control threads to end, either gracefully or as if the process had been `killed`. Does not wait for
    /// them; dropping the gateway does.
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
