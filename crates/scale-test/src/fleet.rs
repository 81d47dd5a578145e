//! The fleet of a run: hosts of hollow gateways, real gateways, control machines, the links between them, and the
//! trackers of their state. Each part owns its state; the fleet starts and stops gateways, dispatches incoming messages
//! to the parts, and ends the run when a limit is exceeded.

mod budget_poller;
mod config_changes;
mod control_machines;
mod hosts;
mod link_index;
mod links;
mod load_monitor;
mod messages;
mod proposals;
mod real_gateways;
mod resource_usage;
mod stop_conditions;
mod trackers;
mod transitions;

pub use control_machines::ControlMachineUsage;
pub use links::Traffic;

use crate::budgets::BudgetTotals;
use crate::child_message::ChildMessage;
use crate::control::ControlError;
use crate::gateway_config;
use crate::host_protocol::AddressMap;
use crate::plan::{Component, Plan};
use crate::run_files::RunFiles;
use crate::stop_reason::{ProcessFailure, StopReason};
use control_machines::ControlMachines;
use hosts::Hosts;
use links::Links;
use load_monitor::LoadMonitor;
use milletpath_gateway::hollow_gateway::clock;
use proposals::ProposalSchedule;
use real_gateways::RealGateways;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use stop_conditions::StopConditions;
use trackers::Trackers;
use transitions::Transitions;

/// Capacity of the message queue. Senders block while it is full.
const MESSAGE_QUEUE_CAPACITY: usize = 4096;

/// Why a fleet can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartFleetError {
    /// The system can't provide a socket, file, thread or process.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A control machine can't be started.
    #[error(transparent)]
    ControlMachine(#[from] ControlError),
}

/// A fleet whose gateways are started and stopped by the plays of a run. On drop all of its processes end.
pub struct Fleet {
    /// The plan of the run.
    pub plan: Plan,
    /// The links between all participants.
    pub links: Links,
    /// Trackers of the observed state.
    pub trackers: Trackers,
    /// The hosts of hollow gateways.
    pub hosts: Hosts,
    /// The real gateways.
    pub real_gateways: RealGateways,
    /// The control machines.
    pub control_machines: ControlMachines,
    /// Load of the machine.
    pub load_monitor: LoadMonitor,
    stop_conditions: StopConditions,
    transitions: Transitions,
    proposals: ProposalSchedule,
    addresses: AddressMap,
    messages: Receiver<ChildMessage>,
    /// Cloned for each thread that sends messages.
    sender: SyncSender<ChildMessage>,
}

impl Fleet {
    /// Starts the relay, the control machines and the hosts. No gateway runs yet.
    ///
    /// # Errors
    ///
    /// The system can't provide a socket, file, thread or process, or a control machine does not listen.
    pub fn start(
        plan: &Plan,
        plan_text: &str,
        files: RunFiles,
        workers: Vec<SocketAddr>,
        stop: Arc<AtomicBool>,
    ) -> Result<Self, StartFleetError> {
        let links = Links::start(plan)?;
        let addresses = links.addresses(plan, files.folder.clone())?;
        gateway_config::write_keys(&addresses, plan.seed)?;
        let control_machines = ControlMachines::start(plan, files.clone(), &addresses)?;
        for (number, address) in control_machines.running() {
            links.connect_control_machine(number, address);
        }
        let (sender, messages) = sync_channel(MESSAGE_QUEUE_CAPACITY);
        let now = clock();
        let hosts = Hosts::start(plan, plan_text, &files, &addresses, now, &sender)?;
        Ok(Self {
            links,
            trackers: Trackers::new(plan.gateways, now),
            hosts,
            real_gateways: RealGateways::new(files, workers, sender.clone()),
            control_machines,
            load_monitor: LoadMonitor::new(now),
            stop_conditions: StopConditions::new(plan, stop, now),
            transitions: Transitions::default(),
            proposals: ProposalSchedule::default(),
            addresses,
            messages,
            sender,
            plan: plan.clone(),
        })
    }

    /// When the fleet was started, in seconds on the machine's monotonic clock.
    pub fn started_at(&self) -> f64 {
        self.stop_conditions.started_at
    }

    fn is_real(&self, gateway: usize) -> bool {
        gateway < self.plan.real_gateways
    }

    fn is_running(&self, gateway: usize) -> bool {
        self.trackers.membership.is_running(gateway)
    }

    /// Numbers of the running gateways in ascending order.
    pub fn running_gateways(&self) -> Vec<usize> {
        (0..self.plan.gateways).filter(|gateway| self.is_running(*gateway)).collect()
    }

    fn running_hollow_gateways(&self) -> Vec<usize> {
        (self.plan.real_gateways..self.plan.gateways).filter(|gateway| self.is_running(*gateway)).collect()
    }

    /// Starts a gateway. A hollow gateway reports later that it has started.
    ///
    /// # Errors
    ///
    /// The process of a real gateway can't be started.
    pub fn start_gateway(&mut self, gateway: usize) -> Result<(), StopReason> {
        self.transitions.begin(gateway);
        if !self.is_real(gateway) {
            self.hosts.start_gateway(gateway);
            return Ok(());
        }
        let process = self
            .real_gateways
            .start(&self.plan, gateway, &self.addresses)
            .map_err(|source| ProcessFailure::StartGateway { gateway, source })?;
        let (membership, config_log) = (process.addresses.membership, process.config_log_address);
        let started_at = process.started_at;
        self.gateway_started(gateway, membership, config_log, started_at);
        Ok(())
    }

    fn gateway_started(
        &mut self,
        gateway: usize,
        membership: Option<SocketAddr>,
        config_log: Option<SocketAddr>,
        at: f64,
    ) {
        self.links.connect_gateway(gateway, membership, config_log);
        self.trackers.gateway_started(gateway, at);
        self.transitions.started(gateway);
    }

    /// Gracefully shuts down a running gateway, which is started again once it has stopped.
    ///
    /// # Errors
    ///
    /// The process of a real gateway can't be signalled.
    pub fn restart_gateway(&mut self, gateway: usize) -> Result<(), StopReason> {
        if !self.is_running(gateway) {
            return Ok(());
        }
        self.transitions.begin_restart(gateway);
        if !self.is_real(gateway) {
            self.hosts.stop_gateways(&[gateway], false);
        } else if let Some(process) = self.real_gateways.remove(gateway) {
            // A missing process is already stopping.
            self.real_gateways
                .shut_down(process)
                .map_err(|source| ProcessFailure::StopGateway { gateway, source })?;
        }
        Ok(())
    }

    /// Kills the running ones of these gateways at once.
    ///
    /// # Errors
    ///
    /// A gateway that was due to restart can't be started.
    pub fn kill_gateways(&mut self, gateways: &[usize]) -> Result<(), StopReason> {
        let running = gateways.iter().copied().filter(|gateway| self.is_running(*gateway));
        let (real, hollow): (Vec<usize>, Vec<usize>) = running.partition(|gateway| self.is_real(*gateway));
        for gateway in real.iter().chain(&hollow) {
            self.links.disconnect_gateway(*gateway);
            self.transitions.begin(*gateway);
        }
        for gateway in real {
            // A missing process is already stopping.
            if let Some(process) = self.real_gateways.remove(gateway) {
                let at = clock();
                drop(process);
                self.gateway_stopped(gateway, at)?;
            }
        }
        self.hosts.stop_gateways(&hollow, true);
        Ok(())
    }

    fn gateway_stopped(&mut self, gateway: usize, at: f64) -> Result<(), StopReason> {
        self.trackers.gateway_stopped(gateway, at);
        self.hosts.readings.remove(gateway);
        if self.transitions.stopped(gateway) { self.start_gateway(gateway) } else { Ok(()) }
    }

    /// Takes the budget totals of the run so far and resets them.
    pub fn take_budget_totals(&mut self) -> BudgetTotals {
        std::mem::replace(&mut self.trackers.budgets, BudgetTotals::new(self.plan.gateways))
    }

    /// Whether all requested starts and stops of gateways are complete.
    pub fn are_transitions_complete(&self) -> bool {
        self.transitions.is_empty()
    }

    /// Whether every running gateway has the correct view of all others if the plan runs membership; otherwise whether
    /// all gateways have started and applied all changes.
    pub fn is_converged(&self) -> bool {
        match self.plan.runs(Component::Membership) {
            true => self.trackers.is_membership_converged(),
            false => self.are_transitions_complete() && self.trackers.changes.is_converged(),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Unblocks threads that wait for space in the queue: their send fails.
        self.messages = sync_channel(0).1;
        // The inputs of all hosts are closed before the first host is waited for.
        self.hosts.close_inputs();
        self.real_gateways.kill_all();
        self.control_machines.kill_all();
    }
}
