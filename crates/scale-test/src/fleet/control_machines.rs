//! Starts, kills, restarts and queries the control machines of a run.

use crate::control::{ControlError, ControlMachine, LogState, control_machine_views};
use crate::host_protocol::AddressMap;
use crate::machine_load;
use crate::plan::Plan;
use crate::run_files::RunFiles;
use crate::stop_reason::ProcessFailure;
use milletpath_config_log::ReplicaView;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The control machines of a run, indexed by number.
pub struct ControlMachines {
    files: RunFiles,
    /// `None` for a machine that was killed.
    machines: Vec<Option<ControlMachine>>,
}

/// Resource usage of a control machine.
#[derive(Clone, Copy, Debug)]
pub struct ControlMachineUsage {
    /// Process id, which identifies samples of the same process.
    pub process_id: u32,
    /// Processor time in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in MB, if the system reports it.
    pub memory_mb: Option<f64>,
}

impl ControlMachines {
    /// Starts all control machines, each with a new log.
    pub fn start(plan: &Plan, files: RunFiles, addresses: &AddressMap) -> Result<Self, ControlError> {
        let start = |number| ControlMachine::start(&files, addresses, number, LogState::New).map(Some);
        let machines = (0..plan.control_machines).map(start).collect::<Result<_, _>>()?;
        Ok(Self { files, machines })
    }

    /// Addresses of the running control machines.
    pub fn running(&self) -> BTreeMap<usize, SocketAddr> {
        let machines = self.machines.iter().enumerate();
        machines.filter_map(|(number, machine)| Some((number, machine.as_ref()?.address))).collect()
    }

    /// Kills a control machine.
    pub fn kill(&mut self, number: usize) {
        self.machines[number] = None;
    }

    /// Restarts the control machines that were killed, with their existing logs. Returns their numbers and addresses.
    pub fn restart_killed(
        &mut self,
        addresses: &AddressMap,
    ) -> Result<BTreeMap<usize, SocketAddr>, ProcessFailure> {
        let mut restarted = BTreeMap::new();
        for (number, slot) in self.machines.iter_mut().enumerate().filter(|(_, slot)| slot.is_none()) {
            let machine = ControlMachine::start(&self.files, addresses, number, LogState::Existing)
                .map_err(|source| ProcessFailure::StartControlMachine { machine: number, source })?;
            restarted.insert(number, machine.address);
            *slot = Some(machine);
        }
        Ok(restarted)
    }

    /// Checks that no control machine has exited on its own.
    pub fn check_running(&mut self) -> Result<(), ProcessFailure> {
        for (number, machine) in self.machines.iter_mut().enumerate() {
            if machine.as_mut().is_some_and(|machine| !machine.is_running()) {
                return Err(ProcessFailure::ControlMachineEnded { machine: number });
            }
        }
        Ok(())
    }

    /// Returns the status of each running control machine; `None` for one that does not answer.
    pub fn views(
        &self,
        addresses: &AddressMap,
    ) -> Result<BTreeMap<usize, Option<ReplicaView>>, ProcessFailure> {
        let running = self.running();
        let targets: Vec<SocketAddr> = running.values().copied().collect();
        let views =
            control_machine_views(addresses, &targets).map_err(ProcessFailure::QueryControlMachines)?;
        Ok(running.into_keys().zip(views).collect())
    }

    /// Returns the leader. If several control machines claim to lead, the one with the highest ballot counts.
    pub fn leader(&self, addresses: &AddressMap) -> Result<Option<usize>, ProcessFailure> {
        let views = self.views(addresses)?.into_iter();
        let leading = views.filter_map(|(number, view)| {
            let view = view.filter(|view| view.leads)?;
            Some((view.ballot, number))
        });
        Ok(leading.max().map(|(_, number)| number))
    }

    /// Resource usage of each running control machine.
    pub fn usage(&self) -> BTreeMap<usize, ControlMachineUsage> {
        let usage = |machine: &ControlMachine| {
            let process_id = machine.process_id();
            let (cpu_seconds, memory_mb) =
                (machine_load::process_cpu_seconds(process_id), machine_load::process_memory_mb(process_id));
            ControlMachineUsage { process_id, cpu_seconds, memory_mb }
        };
        let machines = self.machines.iter().enumerate();
        machines.filter_map(|(number, machine)| Some((number, usage(machine.as_ref()?)))).collect()
    }

    /// Process ids of the running control machines.
    pub fn process_ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.machines.iter().flatten().map(ControlMachine::process_id)
    }

    /// Kills all control machines.
    pub fn kill_all(&mut self) {
        self.machines.clear();
    }
}
