//! The links between gateways, control machines and authors: all their datagrams pass one relay, which knows the region
//! of each.

use super::link_index::LinkIndex;
use crate::host_protocol::AddressMap;
use crate::plan::{Plan, RegionPair};
use crate::relay::{LinkDelays, LinkTraffic, Relay};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Threads of the relay: the datagrams of a full fleet keep two busy, and a third serves peaks.
const RELAY_THREADS: usize = 3;

/// The relay, and whose link is which.
pub struct Links {
    relay: Relay,
    index: LinkIndex,
}

/// Datagrams that did not arrive.
#[derive(Clone, Copy, Debug)]
pub struct LostDatagrams {
    /// Dropped by the relay, as its queues were full.
    pub overflowed: u64,
    /// Lost by the plan: at random, or between regions that are cut from each other.
    pub by_plan: u64,
}

impl Links {
    /// Opens a link for each gateway, and for control machines, followers and authors where there are some.
    pub fn start(plan: &Plan) -> io::Result<Self> {
        let index = LinkIndex::new(plan);
        let delays =
            LinkDelays { regions: index.regions(plan), latency: latencies(plan), loss: plan.links.loss };
        Ok(Self { relay: Relay::start(delays, RELAY_THREADS, plan.seed)?, index })
    }

    /// Where the others reach gateways and control machines.
    pub fn addresses(&self, plan: &Plan, folder: PathBuf) -> io::Result<AddressMap> {
        let all = self.relay.addresses()?;
        let gateways = (0..plan.gateways).map(|gateway| all[self.index.membership(gateway)]).collect();
        let machines = 0..plan.control_machines;
        let control_machines = machines.map(|machine| all[self.index.control_machine(machine)]).collect();
        Ok(AddressMap { gateways, control_machines, folder })
    }

    /// A gateway listens at these addresses from now on.
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

    /// A gateway listens no more, and nothing that it sent is passed on.
    pub fn disconnect_gateway(&self, gateway: usize) {
        self.relay.detach(self.index.membership(gateway));
        if let Some(follower) = self.index.follower(gateway) {
            self.relay.detach(follower);
        }
    }

    /// A control machine listens at this address from now on.
    pub fn connect_control_machine(&self, number: usize, address: SocketAddr) {
        self.relay.attach(self.index.control_machine(number), address);
    }

    /// A control machine listens no more, and nothing that it sent is passed on.
    pub fn disconnect_control_machine(&self, number: usize) {
        self.relay.detach(self.index.control_machine(number));
    }

    /// An author listens at this address from now on.
    pub fn connect_author(&self, number: usize, address: SocketAddr) {
        self.relay.attach(self.index.author(number), address);
    }

    /// Lets nothing pass between two regions.
    pub fn partition_regions(&self, regions: RegionPair) {
        self.relay.set_partitioned(regions, true);
    }

    /// Lets datagrams pass between two regions again.
    pub fn heal_partition(&self, regions: RegionPair) {
        self.relay.set_partitioned(regions, false);
    }

    /// What passed each link since the start.
    pub fn traffic(&self) -> Traffic {
        Traffic { per_link: self.relay.traffic(), index: self.index }
    }

    /// Datagrams that did not arrive since the start.
    pub fn lost_datagrams(&self) -> LostDatagrams {
        LostDatagrams { overflowed: self.relay.overflowed(), by_plan: self.relay.lost() }
    }

    /// The ports of all sockets of the relay, and of those that use it.
    pub fn ports(&self) -> BTreeSet<u16> {
        self.relay.ports()
    }
}

/// Seconds from region to region.
fn latencies(plan: &Plan) -> Vec<Vec<f64>> {
    let regions = 0..plan.regions.len();
    let from = |from| regions.clone().map(|to| plan.latency_between_regions(from, to)).collect();
    regions.clone().map(from).collect()
}

/// Datagrams and bytes that passed each link since the start.
pub struct Traffic {
    per_link: Vec<LinkTraffic>,
    index: LinkIndex,
}

impl Traffic {
    /// Of a gateway's membership link.
    pub fn membership(&self, gateway: usize) -> LinkTraffic {
        self.per_link[self.index.membership(gateway)]
    }

    /// Of a gateway's configuration follower, if it has one.
    pub fn follower(&self, gateway: usize) -> Option<LinkTraffic> {
        Some(self.per_link[self.index.follower(gateway)?])
    }

    /// Of a control machine.
    pub fn control_machine(&self, number: usize) -> LinkTraffic {
        self.per_link[self.index.control_machine(number)]
    }
}
