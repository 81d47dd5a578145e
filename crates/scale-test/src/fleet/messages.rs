//! Processes messages of child processes and checks the limits of the run in between.

use super::Fleet;
use crate::child_message::ChildMessage;
use crate::host_protocol::StatusMessage;
use crate::stop_reason::{ProcessFailure, StopReason};
use milletpath_gateway::hollow_gateway::clock;
use std::time::Duration;

/// Longest wait for a message before the limits are checked again, in seconds.
const MAX_WAIT: f64 = 0.05;

/// How long the hosts may take to report their readings, in seconds.
const READING_TIMEOUT: f64 = 15.0;

/// Interval at which the answers of the hosts are checked, in seconds.
const READING_CHECK_INTERVAL: f64 = 0.02;

impl Fleet {
    /// Processes messages until `until`, in seconds on the machine's monotonic clock.
    ///
    /// # Errors
    ///
    /// A limit of the run is exceeded, a process failed, or the run was stopped.
    pub fn process_messages(&mut self, until: f64) -> Result<(), StopReason> {
        loop {
            let now = clock();
            self.check_limits(now)?;
            let time_left = until - now;
            if time_left <= 0.0 {
                return Ok(());
            }
            let wait = Duration::from_secs_f64(time_left.min(MAX_WAIT));
            if let Ok(message) = self.messages.recv_timeout(wait) {
                self.receive(message)?;
                while let Ok(message) = self.messages.try_recv() {
                    self.receive(message)?;
                }
            }
        }
    }

    /// Checks the limits of the run. Requests readings and samples the machine's load when they are due.
    fn check_limits(&mut self, now: f64) -> Result<(), StopReason> {
        self.stop_conditions.check_time(now)?;
        self.hosts.request_readings_if_due(now);
        if !self.load_monitor.is_due(now) {
            return Ok(());
        }
        self.control_machines.check_running()?;
        self.trackers.budgets.close_seconds(now);
        let processes = self.process_ids();
        let memory_gb = self.load_monitor.sample(now, &processes);
        self.stop_conditions.check_memory(memory_gb)
    }

    fn receive(&mut self, message: ChildMessage) -> Result<(), StopReason> {
        match message {
            ChildMessage::Host(status) => return self.receive_status(status),
            // The signal that stops the run may reach its hosts first.
            ChildMessage::HostEnded { .. } if self.stop_conditions.is_stopping() => {
                return Err(StopReason::Stopped);
            }
            ChildMessage::HostEnded { host } => return Err(ProcessFailure::HostEnded { host }.into()),
            ChildMessage::MembershipChanged { gateway, incarnation, subject, state, at } => {
                if self.real_gateways.is_current(gateway, incarnation) {
                    self.trackers.membership.record_report(gateway, subject, state, at);
                }
            }
            ChildMessage::ChangesApplied { gateway, incarnation, number, at } => {
                if self.real_gateways.is_current(gateway, incarnation) {
                    self.trackers.changes.record_applied(gateway, number, at);
                }
            }
            ChildMessage::ProposalFinished { change, proposed_at, finished_at, outcome } => {
                self.trackers.changes.record_outcome(change, proposed_at, finished_at, outcome);
            }
            ChildMessage::GatewayStopped { gateway, at } => return self.gateway_stopped(gateway, at),
            ChildMessage::BudgetMinimum { gateway, minimum } => {
                self.trackers.budgets.record_minimum(gateway, &minimum);
            }
        }
        Ok(())
    }

    fn receive_status(&mut self, status: StatusMessage) -> Result<(), StopReason> {
        match status {
            StatusMessage::GatewayStarted { gateway, membership_address, config_log_address, at } => {
                self.gateway_started(gateway, membership_address, config_log_address, at);
            }
            StatusMessage::GatewayFailed { gateway, reason } => {
                return Err(ProcessFailure::HollowGateway { gateway, reason }.into());
            }
            StatusMessage::GatewayStopped { gateway, at } => return self.gateway_stopped(gateway, at),
            StatusMessage::MembershipObservations(observations) => {
                for seen in observations {
                    let (observer, subject) = (seen.observer as usize, seen.subject as usize);
                    self.trackers.membership.record_report(observer, subject, seen.state, seen.at);
                }
            }
            StatusMessage::AppliedChanges(changes) => {
                for applied in changes {
                    self.trackers.changes.record_applied(
                        applied.gateway as usize,
                        applied.number,
                        applied.at,
                    );
                }
            }
            StatusMessage::EndpointsUpdated { max_cpu_seconds, .. } => {
                self.hosts.endpoint_updates.receive(max_cpu_seconds);
            }
            StatusMessage::Readings { request_id, readings } => {
                for reading in &readings {
                    for minimum in &reading.minimums {
                        self.trackers.budgets.record_minimum(reading.gateway, minimum);
                    }
                }
                self.hosts.readings.receive(request_id, readings);
            }
        }
        Ok(())
    }

    /// Takes readings of all hollow gateways now. Hosts that do not answer in time are left out.
    ///
    /// # Errors
    ///
    /// A limit of the run is exceeded, a process failed, or the run was stopped.
    pub fn refresh_readings(&mut self) -> Result<(), StopReason> {
        self.hosts.request_readings();
        let until = clock() + READING_TIMEOUT;
        // Suppresses periodic requests during this one.
        self.hosts.readings.requested_at = until;
        while !self.hosts.readings.is_complete() && clock() < until {
            self.process_messages(clock() + READING_CHECK_INTERVAL)?;
        }
        self.hosts.readings.requested_at = clock();
        Ok(())
    }
}
