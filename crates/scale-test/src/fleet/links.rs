//! The links between gateways, control machines and authors. All of their datagrams pass through one relay, which knows
//! the region of each link.

use super::link_index::LinkIndex;
use crate::host_protocol::AddressMap;
use crate::plan::{Plan, RegionPair};
use crate::relay::{LinkDelays, LinkTraffic, Relay};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Number of relay threads: the datagrams of a full fleet keep two busy, and the third handles peaks.
const RELAY_THREADS: usize = 3;

/// The relay and the assignment of its links.
pub struct Links {
    relay: Relay,
    index: LinkIndex,
}

/// Counts of datagrams that did not arrive.
#[derive(Clone, Copy, Debug)]
pub struct LostDatagrams {
    /// Dropped by the relay because its queues were full.
    pub overflowed: u64,
    /// Lost as the plan demands: at random, or between partitioned regions.
    pub by_plan: u64,
}

impl Links {
    /// Opens a link for each gateway and, if the plan has control machines, for each control machine, follower and
    /// author.
    pub fn start(plan: &Plan) -> io::Result<Self> {
        let index = LinkIndex::new(plan);
        let delays =
            LinkDelays { regions: index.regions(plan), latency: latencies(plan), loss: plan.links.loss };
        Ok(Self { relay: Relay::start(delays, RELAY_THREADS, plan.seed)?, index })
    }

    /// Addresses at which gateways and control machines are reached through the relay.
    pub fn addresses(&self, plan: &Plan, folder: PathBuf) -> io::Result<AddressMap> {
        let all = self.relay.addresses()?;
        let gateways = (0..plan.gateways).map(|gateway| all[self.index.membership(gateway)]).collect();
        let machines = 0..plan.control_machines;
        let control_machines = machines.map(|machine| all[self.index.control_machine(machine)]).collect();
        Ok(AddressMap { gateways, control_machines, folder })
    }

    /// Attaches the sockets of a gateway to its links.
    pub fn connect_gateway(
        &self,
        gateway: usize,
        membership: Option<SocketAddr>,
        config_log: Option<SocketAddr>,
    ) {
        if let Some(address) = membership {
            self.relay.attach(self.index.membership(gateway), address);
        }
        if let Some((follower, address)) = self.index.follower(gateway).zip(config_log) {
            self.relay.attach(follower, address);
        }
    }

    /// Detaches a gateway from its links. Nothing that it sent is forwarded any more.
    pub fn disconnect_gateway(&self, gateway: usize) {
        self.relay.detach(self.index.membership(gateway));
        if let Some(follower) = self.index.follower(gateway) {
            self.relay.detach(follower);
        }
    }

    /// Attaches the socket of a control machine to its link.
    pub fn connect_control_machine(&self, number: usize, address: SocketAddr) {
        self.relay.attach(self.index.control_machine(number), address);
    }

    /// Detaches a control machine from its link. Nothing that it sent is forwarded any more.
    pub fn disconnect_control_machine(&self, number: usize) {
        self.relay.detach(self.index.control_machine(number));
    }

    /// Attaches the socket of an author to its link.
    pub fn connect_author(&self, number: usize, address: SocketAddr) {
        self.relay.attach(self.index.author(number), address);
    }

    /// Drops all datagrams between two regions.
    pub fn partition_regions(&self, regions: RegionPair) {
        self.relay.set_partitioned(regions, true);
    }

    /// Ends the partition between two regions.
    pub fn heal_partition(&self, regions: RegionPair) {
        self.relay.set_partitioned(regions, false);
    }

    /// Traffic of each link since the start.
    pub fn traffic(&self) -> Traffic {
        Traffic { per_link: self.relay.traffic(), index: self.index }
    }

    /// Datagrams that did not arrive since the start.
    pub fn lost_datagrams(&self) -> LostDatagrams {
        LostDatagrams { overflowed: self.relay.overflowed(), by_plan: self.relay.lost() }
    }

    /// Ports of all sockets of the relay and of the sockets attached to its links.
    pub fn ports(&self) -> BTreeSet<u16> {
        self.relay.ports()
    }
}

/// One-way latency in seconds, by source and destination region.
fn latencies(plan: &Plan) -> Vec<Vec<f64>> {
    let regions = 0..plan.regions.len();
    let from = |from| regions.clone().map(|to| plan.latency_between_regions(from, to)).collect();
    regions.clone().map(from).collect()
}

/// Datagrams and bytes of each link since the start.
pub struct Traffic {
    per_link: Vec<LinkTraffic>,
    index: LinkIndex,
}

impl Traffic {
    /// Traffic of the membership link of a gateway.
    pub fn membership(&self, gateway: usize) -> LinkTraffic {
        self.per_link[self.index.membership(gateway)]
    }

    /// Traffic of the configuration follower of a gateway, if it has one.
    pub fn follower(&self, gateway: usize) -> Option<LinkTraffic> {
        Some(self.per_link[self.index.follower(gateway)?])
    }

    /// Traffic of a control machine.
    pub fn control_machine(&self, number: usize) -> LinkTraffic {
        self.per_link[self.index.control_machine(number)]
    }
}
