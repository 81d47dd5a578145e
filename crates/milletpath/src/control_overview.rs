//! The combined view of all control machines of the configuration log and of the progress of each gateway.

use crate::control_status::ControlStatus;
use milletpath_config_log::message::ApplyError;
use milletpath_config_log::{FollowerStatus, ReplicaView};
use milletpath_gateway::control_client::Client;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds without a poll after which a gateway counts as silent; several polls fit into this time.
const SILENCE_TIMEOUT: f64 = 3.0;

/// Seconds of uptime after which a control machine knows all gateways that poll it. A gateway polls three times in this
/// time, and two of the polls may be lost.
const MIN_UPTIME: f64 = 2.0;

/// The combined reports of all control machines. Its JSON field names are kept for compatibility where they differ from
/// the names of the fields here.
#[derive(Serialize)]
pub struct ControlOverview {
    /// The highest entry number that any of them reports.
    pub head: u64,
    /// Digest of the configuration at `head`, in hexadecimal.
    pub digest: String,
    /// Seconds since a majority last confirmed `head` as the latest entry; `None` if it never did.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// All control machines, in the order of their numbers.
    pub control: Vec<ControlMachineStatus>,
    /// All gateways known to any of them, in the order of their names.
    pub gateways: Vec<GatewayStatus>,
}

/// A control machine and its report.
#[derive(Serialize)]
pub struct ControlMachineStatus {
    /// Its number in the configuration, from 0.
    pub number: usize,
    /// Its address.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Its report; `None` if it does not answer.
    #[serde(rename = "view")]
    pub status: Option<ControlStatus>,
}

/// State of a gateway relative to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum GatewayState {
    /// It applied the latest configuration.
    Current,
    /// It has an older configuration.
    Behind,
    /// It has the latest configuration, but failed to apply an entry of it.
    Refusing,
    /// No control machine was polled by it for [`SILENCE_TIMEOUT`].
    Silent,
}

/// Status of a gateway, as known to the control machines.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Number of the configuration that it has.
    pub number: u64,
    /// Seconds since its last poll of any control machine.
    #[serde(rename = "heard")]
    pub seconds_since_contact: f64,
    /// Its state relative to the log.
    pub state: GatewayState,
    /// The latest entry that it failed to apply, if any.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
}

impl GatewayStatus {
    /// Returns the status of a gateway known to one control machine; `head` is the latest number of the log.
    fn new(follower: FollowerStatus, head: u64) -> Self {
        let FollowerStatus { name, number, seconds_since_contact, apply_error } = follower;
        let state = if seconds_since_contact > SILENCE_TIMEOUT {
            GatewayState::Silent
        } else if number < head {
            GatewayState::Behind
        } else if apply_error.is_some() {
            GatewayState::Refusing
        } else {
            GatewayState::Current
        };
        Self { name, number, seconds_since_contact, state, apply_error }
    }
}

impl ControlOverview {
    /// Queries all control machines, and combines their reports.
    pub fn query(client: &Client) -> Self {
        Self::combine(&client.control, client.control_status())
    }

    /// Combines the reports of the control machines at these addresses.
    fn combine(addresses: &[SocketAddr], statuses: Vec<Option<ControlStatus>>) -> Self {
        let views: Vec<_> = statuses.iter().flatten().map(|status| &status.view).collect();
        let latest = views.iter().max_by_key(|view| view.number);
        let (head, digest) = latest.map_or((0, 0), |view| (view.number, view.digest));
        let confirmations = views.iter().filter(|view| view.number == head).filter_map(|v| v.confirmed_age);
        let confirmed_age = confirmations.reduce(f64::min);
        let gateways = combine_followers(&views, head);
        let machines = statuses.into_iter().zip(addresses).enumerate();
        let machine = |(number, (status, address)): (usize, (_, &SocketAddr))| ControlMachineStatus {
            number,
            address: *address,
            status,
        };
        let control = machines.map(machine).collect();
        Self { head, digest: format!("{digest:016x}"), confirmed_age, control, gateways }
    }

    /// Whether the list of gateways is complete: every control machine that is reachable from one that answered has
    /// answered too, and each has been up for [`MIN_UPTIME`], long enough for its followers to have polled it.
    pub fn is_complete(&self) -> bool {
        let statuses = || self.control.iter().filter_map(|machine| machine.status.as_ref());
        let answers = |number: &usize| self.control.get(*number).is_some_and(|m| m.status.is_some());
        let is_settled =
            |status: &ControlStatus| status.uptime >= MIN_UPTIME && status.view.reachable.iter().all(answers);
        self.answering() > 0 && statuses().all(is_settled)
    }

    /// Returns the number of control machines that answered.
    pub fn answering(&self) -> usize {
        self.control.iter().filter(|machine| machine.status.is_some()).count()
    }

    /// Returns the number of gateways in a state.
    pub fn count(&self, state: GatewayState) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == state).count()
    }
}

/// Merges the followers known to each control machine into one list, in the order of their names.
fn combine_followers(views: &[&ReplicaView], head: u64) -> Vec<GatewayStatus> {
    let mut followers: BTreeMap<&str, &FollowerStatus> = BTreeMap::new();
    for follower in views.iter().flat_map(|view| &view.followers) {
        let latest = followers.entry(&follower.name).or_insert(follower);
        // The most recent contact counts, not the highest number: after a restart, a gateway may be further behind.
        if follower.seconds_since_contact < latest.seconds_since_contact {
            *latest = follower;
        }
    }
    followers.into_values().map(|follower| GatewayStatus::new(follower.clone(), head)).collect()
}

#[cfg(test)]
mod tests;
