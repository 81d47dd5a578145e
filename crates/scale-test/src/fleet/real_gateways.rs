//! The processes of the real gateways and the threads that poll them.

use super::budget_poller;
use crate::child_message::ChildMessage;
use crate::children::GatewayProcess;
use crate::gateway_config;
use crate::host_protocol::AddressMap;
use crate::machine_load;
use crate::plan::{Component, Plan};
use crate::reachable_gateways::ReachableGateways;
use crate::run_files::RunFiles;
use crate::stop_reason::StartGatewayError;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::SyncSender;

/// Largest fleet whose real gateways are polled for their budgets. The response grows with the fleet, and in a larger
/// one the polling would itself be a significant load.
const MAX_POLLED_FLEET: usize = 200;

/// The processes of real gateways.
pub struct RealGateways {
    files: RunFiles,
    /// Addresses of their emulated workers.
    workers: Vec<SocketAddr>,
    processes: BTreeMap<usize, GatewayProcess>,
    reachable: ReachableGateways,
    last_incarnation: u64,
    polling: Arc<AtomicBool>,
    messages: SyncSender<ChildMessage>,
}

impl RealGateways {
    /// Creates the set without any running gateway.
    pub fn new(files: RunFiles, workers: Vec<SocketAddr>, messages: SyncSender<ChildMessage>) -> Self {
        Self {
            files,
            workers,
            processes: BTreeMap::new(),
            reachable: ReachableGateways::default(),
            last_incarnation: 0,
            polling: Arc::new(AtomicBool::new(true)),
            messages,
        }
    }

    /// Starts a gateway and waits until it listens.
    pub fn start(
        &mut self,
        plan: &Plan,
        gateway: usize,
        addresses: &AddressMap,
    ) -> Result<&GatewayProcess, StartGatewayError> {
        let path = self.files.gateway_config(gateway);
        let text = gateway_config::gateway_text(plan, gateway, addresses, &self.workers);
        std::fs::write(&path, &text)?;
        self.last_incarnation += 1;
        let (incarnation, messages) = (self.last_incarnation, self.messages.clone());
        let process = GatewayProcess::start(&self.files.program, &path, gateway, incarnation, messages)?;
        self.reachable.insert(gateway, process.addresses);
        let is_polled = plan.gateways <= MAX_POLLED_FLEET && plan.runs(Component::Budgets);
        if let Some(address) = process.addresses.membership.filter(|_| is_polled) {
            self.poll_budgets(gateway, &text, address)?;
        }
        self.processes.insert(gateway, process);
        Ok(&self.processes[&gateway])
    }

    fn poll_budgets(&self, gateway: usize, text: &str, address: SocketAddr) -> Result<(), StartGatewayError> {
        let mut config = gateway_config::parse(text)?;
        if let Some(membership) = &mut config.membership {
            membership.listen = address;
        }
        let (polling, reachable, messages) =
            (self.polling.clone(), self.reachable.clone(), self.messages.clone());
        let should_poll =
            move || polling.load(Ordering::Acquire) && reachable.has_membership_address(gateway, address);
        budget_poller::start(gateway, config, should_poll, messages)?;
        Ok(())
    }

    /// Removes a gateway in order to stop it; `None` if it is already stopping.
    pub fn remove(&mut self, gateway: usize) -> Option<GatewayProcess> {
        let process = self.processes.remove(&gateway)?;
        self.reachable.remove(gateway);
        Some(process)
    }

    /// Requests a graceful shutdown of a removed gateway. Its exit is reported as a message.
    pub fn shut_down(&self, process: GatewayProcess) -> io::Result<()> {
        process.shut_down(self.messages.clone())
    }

    /// Whether this incarnation of the gateway is the running one.
    pub fn is_current(&self, gateway: usize, incarnation: u64) -> bool {
        self.processes.get(&gateway).is_some_and(|process| process.incarnation == incarnation)
    }

    /// Returns a handle to the running gateways.
    pub fn reachable(&self) -> ReachableGateways {
        self.reachable.clone()
    }

    /// Addresses at which the gateways that follow configuration changes receive them.
    pub fn config_log_addresses(&self) -> BTreeMap<usize, SocketAddr> {
        self.map_processes(|process| process.config_log_address)
    }

    /// Resident memory of each gateway in MB.
    pub fn memory_mb(&self) -> BTreeMap<usize, f64> {
        self.map_processes(|process| machine_load::process_memory_mb(process.process_id()))
    }

    /// Processor time of the thread with this name in each gateway, in seconds.
    pub fn thread_cpu_seconds(&self, thread: &str) -> BTreeMap<usize, f64> {
        self.map_processes(|process| machine_load::thread_cpu_seconds(process.process_id(), thread))
    }

    /// Incarnation of each gateway, which identifies samples of the same process.
    pub fn incarnations(&self) -> BTreeMap<usize, u64> {
        self.map_processes(|process| Some(process.incarnation))
    }

    /// Collects a value from each process that has one.
    fn map_processes<T>(&self, value: impl Fn(&GatewayProcess) -> Option<T>) -> BTreeMap<usize, T> {
        let processes = self.processes.iter();
        processes.filter_map(|(gateway, process)| Some((*gateway, value(process)?))).collect()
    }

    /// Process ids of all real gateways.
    pub fn process_ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.processes.values().map(GatewayProcess::process_id)
    }

    /// Kills all real gateways and stops the polling threads.
    pub fn kill_all(&mut self) {
        self.polling.store(false, Ordering::Release);
        self.processes.clear();
    }
}
