//! Creates the hollow gateways of a host from the plan and the current endpoint list.

use super::HostError;
use super::status_output::StatusOutput;
use crate::gateway_config::{self, InvalidConfig};
use crate::hollow_workers::HollowWorkers;
use crate::host_protocol::{AddressMap, AppliedChange, MembershipObservation};
use crate::membership_tracker::ReportedState;
use crate::plan::{self, Component, Plan};
use milletpath_gateway::hollow_gateway::{AppliedCallback, HollowGateway, MembershipCallback, clock};
use milletpath_membership::MembershipEvent;
use milletpath_protocol::registry::EndpointEntry;

/// Why a hollow gateway can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartHollowError {
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// A control thread can't be started.
    #[error(transparent)]
    ControlThread(#[from] milletpath_gateway::ControlThreadError),
}

/// Settings shared by all gateways of a host.
pub struct GatewayFactory {
    plan: Plan,
    addresses: AddressMap,
    workers: HollowWorkers,
}

impl GatewayFactory {
    /// Parses the plan with the number of gateways and the seed of the run, which override those in the plan.
    ///
    /// # Errors
    ///
    /// The plan is not valid.
    pub fn new(
        plan_text: &str,
        gateways: usize,
        seed: u64,
        addresses: AddressMap,
    ) -> Result<Self, HostError> {
        let mut plan = plan::read(plan_text, Some(gateways)).map_err(HostError::InvalidPlan)?;
        plan.seed = seed;
        // If the endpoint list is not part of the test, one worker is enough.
        let workers =
            HollowWorkers::new(if plan.runs(Component::EndpointList) { plan.workers.hollow } else { 1 });
        Ok(Self { plan, addresses, workers })
    }

    /// Starts a gateway with the current endpoint list. Its observations are written to `output`.
    ///
    /// # Errors
    ///
    /// The configuration is not valid, or a control thread can't be started.
    pub fn start(&self, gateway: usize, output: &StatusOutput) -> Result<HollowGateway, StartHollowError> {
        let config = gateway_config::hollow_gateway_config(&self.plan, gateway, &self.addresses)?;
        let endpoints = self.workers.endpoints(&self.plan);
        let on_membership = on_membership_event(gateway, output);
        let on_applied = on_applied(gateway, output);
        Ok(HollowGateway::start(config, &endpoints, on_membership, on_applied)?)
    }

    /// Applies an update of the endpoint list and returns the changed entries.
    pub fn update_workers(
        &mut self,
        workers: &[usize],
        generation: u32,
        present: bool,
    ) -> Vec<EndpointEntry> {
        self.workers.update(&self.plan, workers, generation, present)
    }
}

fn on_membership_event(gateway: usize, output: &StatusOutput) -> MembershipCallback {
    let (observations, observer) = (output.observations(), gateway as u32);
    Box::new(move |event| {
        let (name, state) = match &event {
            MembershipEvent::Joined { name, .. } | MembershipEvent::Returned { name } => {
                (name, ReportedState::Alive)
            }
            MembershipEvent::Suspected { name } => (name, ReportedState::Suspected),
            MembershipEvent::Died { name } | MembershipEvent::Left { name } => (name, ReportedState::Dead),
            _ => return,
        };
        let Some(subject) = gateway_config::gateway_number(name) else { return };
        let subject = subject as u32;
        observations.push_membership(|| MembershipObservation { observer, subject, state, at: clock() });
    })
}

fn on_applied(gateway: usize, output: &StatusOutput) -> AppliedCallback {
    let (observations, gateway) = (output.observations(), gateway as u32);
    Box::new(move |number| {
        observations.push_applied(|| AppliedChange { gateway, number, at: clock() });
    })
}
