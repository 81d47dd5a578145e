//! The hosts of hollow gateways and the data that they report.

use crate::child_message::ChildMessage;
use crate::children::HostProcess;
use crate::host_protocol::{AddressMap, GatewayReading, HostCommand};
use crate::machine_load;
use crate::plan::Plan;
use crate::run_files::RunFiles;
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::SyncSender;

/// Interval between two readings of all hollow gateways, in seconds.
const READING_INTERVAL: f64 = 2.0;

/// The host processes of a run.
pub struct Hosts {
    processes: Vec<HostProcess>,
    /// Number of the first hollow gateway.
    first_hollow: usize,
    /// Readings that the hosts reported.
    pub readings: Readings,
    /// Updates of the endpoint list that were sent to the hosts.
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

    /// Returns the host of a hollow gateway. Gateways are assigned to hosts in round-robin order.
    fn host_of(&self, gateway: usize) -> usize {
        (gateway - self.first_hollow) % self.processes.len()
    }

    /// Sends the command to start a hollow gateway to its host.
    pub fn start_gateway(&self, gateway: usize) {
        self.processes[self.host_of(gateway)].send(HostCommand::StartGateway { gateway });
    }

    /// Sends the command to stop these hollow gateways to their hosts. Each host stops all of its own at once.
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

    /// Sends an update of the endpoint list to all hollow gateways.
    pub fn update_endpoints(&mut self, workers: &[usize], generation: u32, present: bool) {
        for host in &self.processes {
            host.send(HostCommand::UpdateEndpoints { workers: workers.to_vec(), generation, present });
        }
        self.endpoint_updates.pending += self.processes.len();
    }

    /// Requests readings from all hosts.
    pub fn request_readings(&mut self) {
        let request_id = self.readings.begin_request(self.processes.len());
        for host in &self.processes {
            host.send(HostCommand::ReadGateways { request_id });
        }
    }

    /// Requests readings from all hosts if the reading interval has elapsed since the last request.
    pub fn request_readings_if_due(&mut self, now: f64) {
        if now >= self.readings.requested_at + READING_INTERVAL {
            self.readings.requested_at = now;
            self.request_readings();
        }
    }

    /// Resident memory of these hollow gateways in MB: the memory of each host, divided equally among its gateways.
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

    /// Process ids of all hosts.
    pub fn process_ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.processes.iter().map(HostProcess::process_id)
    }

    /// Closes the inputs of all hosts, so that they exit concurrently.
    pub fn close_inputs(&mut self) {
        self.processes.iter_mut().for_each(HostProcess::close_input);
    }
}

/// Readings of hollow gateways.
pub struct Readings {
    latest: BTreeMap<usize, GatewayReading>,
    request_id: u64,
    /// Number of hosts that have not answered the latest request.
    pending_hosts: usize,
    /// Time of the last request, or a future time that postpones the next periodic request.
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

    /// Records the answer of a host to a request.
    pub fn receive(&mut self, request_id: u64, readings: Vec<GatewayReading>) {
        self.latest.extend(readings.into_iter().map(|reading| (reading.gateway, reading)));
        if request_id == self.request_id {
            self.pending_hosts = self.pending_hosts.saturating_sub(1);
        }
    }

    /// Discards the reading of a gateway that has stopped.
    pub fn remove(&mut self, gateway: usize) {
        self.latest.remove(&gateway);
    }

    /// Whether all hosts have answered the latest request.
    pub fn is_complete(&self) -> bool {
        self.pending_hosts == 0
    }

    /// Latest reading of each running hollow gateway.
    pub fn latest(&self) -> &BTreeMap<usize, GatewayReading> {
        &self.latest
    }
}

/// Updates of the endpoint list that are being applied by the hosts.
#[derive(Debug, Default)]
pub struct EndpointUpdates {
    /// Number of outstanding acknowledgements, one for each update and host.
    pending: usize,
    /// Maximum processor time that a gateway needed for one update, in seconds.
    max_cpu_seconds: f64,
}

impl EndpointUpdates {
    /// Records that a host has applied an update, and the processor time of its slowest gateway.
    pub fn receive(&mut self, max_cpu_seconds: f64) {
        self.pending = self.pending.saturating_sub(1);
        self.max_cpu_seconds = self.max_cpu_seconds.max(max_cpu_seconds);
    }

    /// Whether all hosts have applied all updates.
    pub fn is_complete(&self) -> bool {
        self.pending == 0
    }

    /// Maximum processor time of one update at one gateway since the last reset, in seconds.
    pub fn max_cpu_seconds(&self) -> f64 {
        self.max_cpu_seconds
    }

    /// Resets the maximum processor time.
    pub fn reset_max_cpu(&mut self) {
        self.max_cpu_seconds = 0.0;
    }
}
