//! Configuration changes in a fleet: starts authors, kills and restarts control machines, and queries the applied
//! state.

use super::Fleet;
use crate::applied_state::AppliedState;
use crate::control::{Author, ControlError, gateway_states};
use crate::gateway_config;
use crate::stop_reason::{ProcessFailure, StopReason};
use milletpath_config_log::ReplicaView;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Fleet {
    /// Starts authors that propose changes spread evenly over `duration` seconds, beginning at `start`.
    ///
    /// # Errors
    ///
    /// An author can't be started.
    pub fn propose_changes(&mut self, changes: usize, start: f64, duration: f64) -> Result<(), StopReason> {
        self.trackers.changes.expect_proposals(changes);
        for schedule in self.proposals.schedule(changes, start, duration) {
            let author = Author::new(&self.addresses).map_err(ProcessFailure::StartAuthor)?;
            let failed = |e| ProcessFailure::StartAuthor(ControlError::System(e));
            self.links.connect_author(schedule.author, author.address().map_err(failed)?);
            author.start(schedule.changes, self.sender.clone()).map_err(failed)?;
        }
        Ok(())
    }

    /// Kills these control machines.
    pub fn kill_control_machines(&mut self, numbers: &[usize]) {
        for number in numbers {
            self.links.disconnect_control_machine(*number);
            self.control_machines.kill(*number);
        }
    }

    /// Restarts the control machines that were killed, with their existing logs.
    ///
    /// # Errors
    ///
    /// A control machine can't be started.
    pub fn restart_control_machines(&mut self) -> Result<(), StopReason> {
        for (number, address) in self.control_machines.restart_killed(&self.addresses)? {
            self.links.connect_control_machine(number, address);
        }
        Ok(())
    }

    /// Returns the leader of the control machines, if there is one.
    ///
    /// # Errors
    ///
    /// The control machines can't be queried.
    pub fn leader(&self) -> Result<Option<usize>, StopReason> {
        Ok(self.control_machines.leader(&self.addresses)?)
    }

    /// Returns the status of each running control machine; `None` for one that does not answer.
    ///
    /// # Errors
    ///
    /// The control machines can't be queried.
    pub fn control_machine_views(&self) -> Result<BTreeMap<usize, Option<ReplicaView>>, StopReason> {
        Ok(self.control_machines.views(&self.addresses)?)
    }

    /// Returns the applied state of each running gateway; `None` for one that does not answer.
    ///
    /// # Errors
    ///
    /// The gateways can't be queried, or a stop condition of the run is met.
    pub fn gateway_states(&mut self) -> Result<BTreeMap<usize, Option<AppliedState>>, StopReason> {
        self.refresh_readings()?;
        let mut states = BTreeMap::new();
        for gateway in self.running_hollow_gateways() {
            let reading = self.hosts.readings.latest().get(&gateway);
            let config_log = reading.and_then(|reading| reading.config_log);
            let state = config_log.map(|log| AppliedState { number: log.number, digest: log.digest });
            states.insert(gateway, state);
        }
        let real = self.real_gateways.config_log_addresses();
        let targets: Vec<SocketAddr> = real.values().copied().collect();
        let answers = gateway_states(&self.addresses, &targets).map_err(ProcessFailure::QueryGateways)?;
        states.extend(real.into_keys().zip(answers));
        Ok(states)
    }

    /// Size of the state file of each running gateway in bytes; empty if the plan has no control machines.
    pub fn state_file_bytes(&self) -> BTreeMap<usize, f64> {
        if self.plan.control_machines == 0 {
            return BTreeMap::new();
        }
        let size = |gateway: usize| {
            let metadata = std::fs::metadata(gateway_config::state_file(&self.addresses, gateway)).ok()?;
            Some((gateway, metadata.len() as f64))
        };
        self.running_gateways().into_iter().filter_map(size).collect()
    }
}
