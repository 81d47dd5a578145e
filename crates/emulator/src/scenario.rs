//! Runs a scenario on real sockets: gateways as separate processes; workers, store and registry on this thread; clients
//! and links on one thread each. All traffic stays on loopback and ends with the run.
//!
//! What the simulator shares with this run is public: the steps of faults ([`worker_steps`]), the gateways'
//! configuration ([`GatewayConfigFile`]), the registry's entries ([`worker_entry`]), and the parameters by which a
//! history is checked ([`rule_parameters`], [`service_weights`]).

mod client_thread;
mod core_faults;
mod fault_schedule;
mod fleet;
mod gateway;
mod gateway_config;
mod gateway_faults;
mod late_joiners;
mod link_faults;
mod options;
mod registry_faults;
mod report;
mod rules;
mod worker_faults;

pub use fault_schedule::{FaultStep, TimedStep, affects_workers, pick, worker_steps};
pub use gateway::LaunchError;
pub use gateway_config::{GatewayConfigFile, KEY_FILE};
pub use options::{RunError, RunOptions};
pub use report::ScenarioReport;
pub use rules::{rule_parameters, service_weights, shared_budget_bounds};

use crate::scenario_file::{FaultKind, Scenario, ScheduledFault};
use client_thread::ClientThread;
use fleet::ScenarioRun;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

/// Seconds before the first request in which endpoint lists and connections settle.
const SETTLE_SECONDS: f64 = 0.3;

/// Seconds after the last response in which events are still recorded.
const TRAILING_RECORD_SECONDS: f64 = 0.3;

/// Seconds between checks whether the clients have finished.
const FINISH_POLL_INTERVAL: f64 = 0.02;

/// Runs a scenario from its first request to its last response.
///
/// # Errors
/// The fleet can't be started, or the clients fail.
pub fn play(scenario: &Scenario, options: &RunOptions<'_>) -> Result<ScenarioReport, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(play_to_end(scenario, options)))
}

async fn play_to_end(scenario: &Scenario, options: &RunOptions<'_>) -> Result<ScenarioReport, RunError> {
    let started = Instant::now();
    let run = Rc::new(ScenarioRun::start(scenario, options, started).await?);
    sleep(SETTLE_SECONDS).await;
    let clients = ClientThread::start(scenario, options, started, run.load_balancer.clone())?;
    let first_request = run.context.now();
    for fault in &scenario.faults {
        spawn_local(run.clone().inject(first_request, fault.clone()));
    }
    while !clients.is_finished() {
        sleep(FINISH_POLL_INTERVAL).await;
    }
    sleep(TRAILING_RECORD_SECONDS + options.tolerance).await;
    let mut history = clients.join()?;
    run.stop_gateways();
    history.extend(run.take_history());
    history.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(ScenarioReport::new(scenario, options, &run.context, history))
}

async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds.max(0.0))).await;
}

/// The registry's entry for a worker that accepts requests. The address is set by whoever runs the scenario; `started`
/// is the Unix time at which its process started, `None` for a worker that started long ago.
#[must_use]
pub fn worker_entry(number: usize, started: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        name: format!("worker-{number}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        started,
        size: 1.0,
        kind: "std".into(),
        zone: "room".into(),
        cell: String::new(),
        state: EndpointStatus::Ready,
    }
}

impl ScenarioRun {
    /// Waits until a fault is due and injects it; returns when the fault has ended.
    async fn inject(self: Rc<Self>, first_request: f64, fault: ScheduledFault) {
        sleep(first_request + fault.at - self.context.now()).await;
        tracing::info!(fault = fault.name, "fault begins");
        match fault.kind {
            FaultKind::WorkerCrash
            | FaultKind::RollingReplacement
            | FaultKind::Drain
            | FaultKind::RequestFailures
            | FaultKind::Slowness
            | FaultKind::StoreSlowness
            | FaultKind::StoreRejections
            | FaultKind::StoreOutage => self.run_steps(&fault).await,
            FaultKind::FunctionRelease => self.release_functions(&fault),
            FaultKind::Unresponsiveness
            | FaultKind::LostResponses
            | FaultKind::FalseRejections
            | FaultKind::TruncatedResponses
            | FaultKind::GarbageResponses
            | FaultKind::ConnectionResets => self.inject_response_fault(&fault).await,
            FaultKind::GatewayPause => self.pause_gateways(&fault).await,
            FaultKind::GatewayCrash => self.crash_gateways(&fault).await,
            FaultKind::LateGatewayStart => self.start_late_joiners(&fault).await,
            FaultKind::CorePause => self.pause_cores(&fault).await,
            FaultKind::CorePanic | FaultKind::DispatcherPanic => self.panic_in_cores(&fault).await,
            FaultKind::RegistryDelay
            | FaultKind::RegistryStall
            | FaultKind::RegistryLoss
            | FaultKind::RegistryDuplication
            | FaultKind::RegistryEmptied => self.inject_registry_fault(&fault).await,
            FaultKind::LinkLoss
            | FaultKind::LinkPartition
            | FaultKind::LinkInboundLoss
            | FaultKind::LinkDelay
            | FaultKind::LinkDuplication
            | FaultKind::LinkCorruption => self.inject_link_fault(&fault).await,
            // Applied by the plan of the clients' requests.
            FaultKind::TrafficBurst
            | FaultKind::OneTimeFunctions
            | FaultKind::HotFunctions
            | FaultKind::HeavyRequests
            | FaultKind::ImpatientClients => {}
        }
    }
}
