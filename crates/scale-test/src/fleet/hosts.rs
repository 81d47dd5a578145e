//! The hosts of hollow gateways, and what they report of them.

use crate::child_message::ChildMessage;
use crate::children::HostProcess;
use crate::host_protocol::{AddressMap, GatewayReading, HostCommand};
use crate::machine_load;
use crate::plan::Plan;
use crate::run_files::RunFiles;
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::SyncSender;

/// Seconds between two readings of all hollow gateways.
const READING_INTERVAL: f64 = 2.0;

/// The host processes of a run.
pub struct Hosts {
    processes: Vec<HostProcess>,
    /// The number of the first hollow gateway.
    first_hollow: usize,
    /// Readings and updates of the endpoint list that were requested and reported.
    pub readings: Readings,
    /// Updates of the endpoint list that were sent.
    pub endpoint_updates: EndpointUpdates,
}

impl Hosts {
    /// Starts the hosts and sends them the plan.
    pub fn start(
        plan: &Plan,
        plan_text: &str,
        files: &RunFiles,
        addresses: &AddressMap,
        now: f64,
        messages: &SyncSender<ChildMessage>,
    ) -> io::Result<Self> {
        let mut processes = Vec::new();
        for number in 0..plan.host_processes.min(plan.gateways - plan.real_gateways) {
            let log = files.create_host_log(number)?;
            let host = HostProcess::start(&files.program, number, log, messages.clone())?;
            host.send(HostCommand::Plan {
                text: plan_text.to_owned(),
                gateways: plan.gateways,
                seed: plan.seed,
                addresses: addresses.clone(),
            });
            processes.push(host);
        }
        Ok(Self {
            processes,
            first_hollow: plan.real_gateways,
            readings: Readings::new(now),
            endpoint_updates: EndpointUpdates::default(),
        })
    }

    /// The host of a hollow gateway. They are dealt out in turn.
    fn host_of(&self, gateway: usize) -> usize {
        (gateway - self.first_hollow) % self.processes.len()
    }

    /// Asks the host of a hollow gateway to start it.
    pub fn start_gateway(&self, gateway: usize) {
        self.processes[self.host_of(gateway)].send(HostCommand::StartGateway { gateway });
    }

    /// Asks the hosts of hollow gateways to stop them, each host all of its own at once.
    pub fn stop_gateways(&self, gateways: &[usize], killed: bool) {
        for (host, gateways) in self.group_by_host(gateways) {
            self.processes[host].send(HostCommand::StopGateways { gateways, killed });
        }
    }

    fn group_by_host(&self, gateways: &[usize]) -> BTreeMap<usize, Vec<usize>> {
        let mut by_host: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for gateway in gateways {
            by_host.entry(self.host_of(*gateway)).or_default().push(*gateway);
        }
        by_host
    }

    /// Passes an update of the endpoint list to all hollow gateways.
    pub fn update_endpoints(&mut self, workers: &[usize], generation: u32, present: bool) {
        for host in &self.processes {
            host.send(HostCommand::UpdateEndpoints { workers: workers.to_vec(), generation, present });
        }
        self.endpoint_updates.pending += self.processes.len();
    }

    /// Asks all hosts for readings.
    pub fn request_readings(&mut self) {
        let request_id = self.readings.begin_request(self.processes.len());
        for host in &self.processes {
            host.send(HostCommand::ReadGateways { request_id });
        }
    }

    /// Asks all hosts for readings if the latest request is some time ago.
    pub fn request_readings_if_due(&mut self, now: f64) {
        if now >= self.readings.requested_at + READING_INTERVAL {
            self.readings.requested_at = now;
            self.request_readings();
        }
    }

    /// Resident memory of these hollow gateways in MB: each has an equal part of its host's.
    pub fn memory_mb(&self, gateways: &[usize]) -> BTreeMap<usize, f64> {
        let mut memory = BTreeMap::new();
        for (host, gateways) in self.group_by_host(gateways) {
            if let Some(total) = machine_load::process_memory_mb(self.processes[host].process_id()) {
                let each = total / gateways.len() as f64;
                memory.extend(gateways.into_iter().map(|gateway| (gateway, each)));
            }
        }
        memory
    }

    /// The process ids of all hosts.
    pub fn process_ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.processes.iter().map(HostProcess::process_id)
    }

    /// Closes the inputs of all, so that they end at the same time.
    pub fn close_inputs(&mut self) {
        self.processes.iter_mut().for_each(HostProcess::close_input);
    }
}

/// The readings of hollow gateways.
pub struct Readings {
    latest: BTreeMap<usize, GatewayReading>,
    request_id: u64,
    /// Hosts that have not answered the latest request.
    pending_hosts: usize,
    /// When readings were requested last, or the time until which no request is sent by itself.
    pub requested_at: f64,
}

impl Readings {
    fn new(now: f64) -> Self {
        Self { latest: BTreeMap::new(), request_id: 0, pending_hosts: 0, requested_at: now }
    }

    fn begin_request(&mut self, hosts: usize) -> u64 {
        self.request_id += 1;
        self.pending_hosts = hosts;
        self.request_id
    }

    /// A host answered a request.
    pub fn receive(&mut self, request_id: u64, readings: Vec<GatewayReading>) {
        self.latest.extend(readings.into_iter().map(|reading| (reading.gateway, reading)));
        if request_id == self.request_id {
            self.pending_hosts = self.pending_hosts.saturating_sub(1);
        }
    }

    /// Forgets a gateway, which has stopped.
    pub fn remove(&mut self, gateway: usize) {
        self.latest.remove(&gateway);
    }

    /// Whether all hosts answered the latest request.
    pub fn is_complete(&self) -> bool {
        self.pending_hosts == 0
    }

    /// The latest reading of each hollow gateway that runs.
    pub fn latest(&self) -> &BTreeMap<usize, GatewayReading> {
        &self.latest
    }
}

/// Updates of the endpoint list on their way to the hosts.
#[derive(Debug, Default)]
pub struct EndpointUpdates {
    /// Updates times hosts that have not reported them as taken.
    pending: usize,
    /// The longest processor time that a gateway took for one update, in seconds.
    max_cpu_seconds: f64,
}

impl EndpointUpdates {
    /// A host reported that its gateways took an update, the slowest in that processor time.
    pub fn receive(&mut self, max_cpu_seconds: f64) {
        self.pending = self.pending.saturating_sub(1);
        self.max_cpu_seconds = self.max_cpu_seconds.max(max_cpu_seconds);
    }

    /// Whether all hosts took all updates.
    pub fn is_complete(&self) -> bool {
        self.pending == 0
    }

    /// The longest processor time of one update at one gateway since the last reset, in seconds.
    pub fn max_cpu_seconds(&self) -> f64 {
        self.max_cpu_seconds
    }

    /// Measures the longest processor time anew.
    pub fn reset_max_cpu(&mut self) {
        self.max_cpu_seconds = 0.0;
    }
}
