//! Starts and owns the fleet of a scenario.

use super::gateway::{Gateway, Launcher};
use super::late_joiners::LateJoiners;
use super::{GatewayConfigFile, KEY_FILE, worker_entry};
use super::{RunError, RunOptions};
use crate::clients::{LoadBalancer, gateway_weights};
use crate::context::{ContextOptions, EmulatorContext, ReportedFields};
use crate::registry::{ListedWorker, Registry};
use crate::relay::Relay;
use crate::scenario_file::Scenario;
use crate::worker::{Worker, WorkerOptions};
use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

/// Makes the choice of fault targets differ from other random numbers of the same seed.
const FAULT_SEED_MASK: u64 = 0x7011;

/// Seconds by which the initial workers are older than they need to be to be warm.
const WARM_MARGIN: f64 = 1.0;

/// The group in which all workers of a scenario share their idempotency keys.
pub(super) const KEY_GROUP: u32 = 0;

impl ContextOptions {
    /// The options for the context of a scenario.
    pub(super) fn of_scenario(scenario: &Scenario, seed: u64) -> Self {
        Self {
            seed,
            store: scenario.store_spec,
            function_model: scenario.function_model,
            reported_fields: ReportedFields::ALL,
            idempotency_window: scenario.rules.idempotency_window,
        }
    }
}

/// The fleet of a scenario that is running.
pub(super) struct ScenarioRun {
    pub(super) scenario: Scenario,
    pub(super) context: Rc<EmulatorContext>,
    pub(super) registry: Rc<Registry>,
    pub(super) workers: RefCell<Vec<Rc<Worker>>>,
    pub(super) gateways: Vec<Gateway>,
    /// The links between the gateways; `None` unless the gateways form a cluster.
    pub(super) relay: Option<Relay>,
    pub(super) late_joiners: LateJoiners,
    pub(super) load_balancer: Arc<LoadBalancer>,
    pub(super) launcher: Launcher,
    /// Used to choose the targets of faults.
    pub(super) rng: RefCell<ChaCha8Rng>,
}

impl ScenarioRun {
    /// Starts workers, registry, links and gateways.
    pub(super) async fn start(
        scenario: &Scenario,
        options: &RunOptions<'_>,
        started: Instant,
    ) -> Result<Self, RunError> {
        let context = EmulatorContext::new(started, ContextOptions::of_scenario(scenario, options.seed));
        let registry = Registry::start(context.clone(), scenario.gateways).await?;
        let workers = start_workers(scenario, &context).await?;
        registry.list(workers.iter().map(|worker| listed_worker(worker, None)).collect());
        let relay = start_relay(scenario, options, started)?;
        let launcher = Launcher {
            program: options.program.to_owned(),
            injected_fault: options.injected_fault.map(str::to_owned),
        };
        let late_joiners = LateJoiners::choose(scenario, options.seed);
        let starter = GatewayStarter {
            scenario,
            options,
            context: &context,
            registry: &registry,
            relay: relay.as_ref(),
            launcher: &launcher,
        };
        let gateways = starter.start_all(&late_joiners).await?;
        let load_balancer = Arc::new(LoadBalancer {
            gateways: gateways.iter().map(|gateway| gateway.address).collect(),
            alive: gateways.iter().map(|gateway| AtomicBool::new(gateway.is_running())).collect(),
            weights: gateway_weights(scenario.gateways, scenario.uneven),
        });
        Ok(Self {
            scenario: scenario.clone(),
            context,
            registry,
            workers: RefCell::new(workers),
            gateways,
            relay,
            late_joiners,
            load_balancer,
            launcher,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed ^ FAULT_SEED_MASK)),
        })
    }

    /// Kills all gateways.
    pub(super) fn stop_gateways(&self) {
        self.gateways.iter().for_each(Gateway::kill);
    }

    /// Takes the history recorded by the workers, the registry and the links.
    pub(super) fn take_history(&self) -> Vec<HistoryRecord> {
        let mut history = self.context.take_history();
        history.extend(self.relay.iter().flat_map(Relay::take_history));
        history
    }
}

/// Starts workers that are already warm.
async fn start_workers(scenario: &Scenario, context: &Rc<EmulatorContext>) -> io::Result<Vec<Rc<Worker>>> {
    let mut workers = Vec::new();
    for number in 0..scenario.workers {
        let started = context.now() - scenario.worker_spec.warm_up - WARM_MARGIN;
        let options = WorkerOptions { number, key_group: KEY_GROUP, spec: scenario.worker_spec, started };
        workers.push(Worker::start(context.clone(), options, scenario.gateways).await?);
    }
    Ok(workers)
}

/// A worker as the registry lists it; `started` is the Unix time of its start, if that is recent.
pub(super) fn listed_worker(worker: &Worker, started: Option<f64>) -> ListedWorker {
    let entry = worker_entry(worker.number, started);
    ListedWorker { number: worker.number, entry, addresses: worker.addresses.clone() }
}

/// Starts the links and writes the cluster's shared key, if the gateways form a cluster.
fn start_relay(scenario: &Scenario, options: &RunOptions<'_>, started: Instant) -> io::Result<Option<Relay>> {
    if !scenario.sharing {
        return Ok(None);
    }
    let relay = Relay::start(scenario.gateways, started, options.seed)?;
    let key = format!("the secret of a day on loopback, with the seed {}", options.seed);
    std::fs::write(options.folder.join(KEY_FILE), key)?;
    Ok(Some(relay))
}

/// Starts all gateways of a fleet at the beginning of a run.
struct GatewayStarter<'f> {
    scenario: &'f Scenario,
    options: &'f RunOptions<'f>,
    context: &'f EmulatorContext,
    registry: &'f Registry,
    relay: Option<&'f Relay>,
    launcher: &'f Launcher,
}

impl GatewayStarter<'_> {
    /// Starts the gateways one after the other. Late joiners are killed once their address is known; by then, no other
    /// gateway has received anything from them.
    async fn start_all(&self, late_joiners: &LateJoiners) -> Result<Vec<Gateway>, RunError> {
        let mut gateways = Vec::new();
        for number in 0..self.scenario.gateways {
            let gateway = self.start(number).await?;
            if late_joiners.contains(number) {
                gateway.kill();
                self.context.record(HistoryEvent::GatewayKilled { gateway: number });
            } else if let (Some(relay), Some(address)) = (self.relay, gateway.membership_address()) {
                relay.set_address(number, address);
            }
            gateways.push(gateway);
        }
        Ok(gateways)
    }

    /// Starts a gateway on a free port, and writes that port into its configuration file, so that a restart uses the
    /// same port.
    async fn start(&self, number: usize) -> Result<Gateway, RunError> {
        let config = GatewayConfigFile {
            scenario: self.scenario,
            gateway: number,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            registry: self.registry.address(number),
            links: self.relay.map(Relay::addresses),
            seed: self.options.seed,
        };
        let path = self.options.folder.join(format!("gateway-{number}.hcl"));
        std::fs::write(&path, config.to_string())?;
        let process = self.launcher.launch(&path).await?;
        std::fs::write(&path, GatewayConfigFile { listen: process.address, ..config }.to_string())?;
        Ok(Gateway::new(path, process))
    }
}
