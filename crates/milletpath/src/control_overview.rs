//! What all control machines together know of the configuration log, and how far each gateway has come.

use crate::control_status::ControlStatus;
use milletpath_config_log::message::ApplyError;
use milletpath_config_log::{FollowerStatus, ReplicaView};
use milletpath_gateway::control_client::Client;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds after which a gateway counts as silent: several of its polls.
const SILENCE_TIMEOUT: f64 = 3.0;

/// Seconds in which a gateway polls a control machine three times, of which two may be lost.
const MIN_UPTIME: f64 = 2.0;

/// What all control machines together know. The names in JSON are older than the fields' names.
#[derive(Serialize)]
pub struct ControlOverview {
    /// The highest number that one of them reports.
    pub head: u64,
    /// Digest of the configuration there, in hexadecimal.
    pub digest: String,
    /// Seconds since a majority knew of nothing beyond `head`; `None` if that never was so.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// All control machines, by number.
    pub control: Vec<ControlMachineStatus>,
    /// The gateways that poll any of them, by name.
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

/// How far a gateway has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum GatewayState {
    /// It has the latest configuration.
    Current,
    /// It has an older one.
    Behind,
    /// It has the latest, and could not apply an entry of it.
    Refusing,
    /// No control machine has received anything from it for a while.
    Silent,
}

/// A gateway as the control machines know it.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Number of the configuration in force there.
    pub number: u64,
    /// Seconds since its last poll of any control machine.
    #[serde(rename = "heard")]
    pub seconds_since_contact: f64,
    /// How far it has come.
    pub state: GatewayState,
    /// The latest entry that it could not apply.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
}

impl GatewayStatus {
    /// A gateway as one control machine knows it, where the latest number of the log is `head`.
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
    /// Asks all control machines, and combines their reports.
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

    /// Whether no gateway can be missing: each control machine that another one can reach has answered, and has been up
    /// long enough for all its followers to have polled it.
    pub fn is_complete(&self) -> bool {
        let statuses = || self.control.iter().filter_map(|machine| machine.status.as_ref());
        let answers = |number: &usize| self.control.get(*number).is_some_and(|m| m.status.is_some());
        let is_settled =
            |status: &ControlStatus| status.uptime >= MIN_UPTIME && status.view.reachable.iter().all(answers);
        self.answering() > 0 && statuses().all(is_settled)
    }

    /// Number of control machines that answer.
    pub fn answering(&self) -> usize {
        self.control.iter().filter(|machine| machine.status.is_some()).count()
    }

    /// Number of gateways in that state.
    pub fn count(&self, state: GatewayState) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == state).count()
    }
}

/// The gateways that any control machine knows, by name.
fn combine_followers(views: &[&ReplicaView], head: u64) -> Vec<GatewayStatus> {
    let mut followers: BTreeMap<&str, &FollowerStatus> = BTreeMap::new();
    for follower in views.iter().flat_map(|view| &view.followers) {
        let latest = followers.entry(&follower.name).or_insert(follower);
        // The latest report counts: a gateway that restarted may be further behind than before.
        if follower.seconds_since_contact < latest.seconds_since_contact {
            *latest = follower;
        }
    }
    followers.into_values().map(|follower| GatewayStatus::new(follower.clone(), head)).collect()
}

#[cfg(test)]
mod tests;
