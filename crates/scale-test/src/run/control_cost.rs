//! Measures the control-plane cost of each gateway from samples before and after a period without other activity.

use super::plan_runner::PlanRunner;
use crate::fleet::{ControlMachineUsage, Fleet, Traffic};
use crate::host_protocol::{ConfigLogReading, GatewayReading};
use crate::machine_load::CpuTime;
use crate::relay::LinkTraffic;
use crate::report::{ControlCost, PlayResult};
use crate::stop_reason::StopReason;
use milletpath_gateway::hollow_gateway::clock;
use std::collections::BTreeMap;

/// Threads of a real gateway whose processor time counts as control-plane cost.
const MEMBERSHIP_THREAD: &str = "peers";
const FOLLOWER_THREAD: &str = "changes";

/// Minimum time between two readings of a gateway, as a fraction of the measured time.
const MIN_READING_FRACTION: f64 = 0.5;

impl PlanRunner {
    /// Measures the control-plane cost over `duration` seconds.
    pub(super) fn measure_control_cost(
        &mut self,
        duration: f64,
        result: &mut PlayResult,
    ) -> Result<(), StopReason> {
        let before = FleetSample::take(&mut self.fleet)?;
        let (started_at, cores_before) = (clock(), CpuTime::read());
        self.wait_until(started_at + duration)?;
        let after = FleetSample::take(&mut self.fleet)?;
        let mut cost = Measurement { seconds: after.at - before.at, before, after }.cost(&self.fleet);
        cost.follower.state_bytes = self.fleet.state_file_bytes().into_iter().collect();
        cost.memory_mb = self.fleet.gateway_memory_mb().into_iter().collect();
        cost.converged = self.fleet.is_converged();
        cost.utilization =
            cores_before.zip(CpuTime::read()).map(|(earlier, later)| later.utilization_since(earlier));
        result.control_cost = Some(cost);
        Ok(())
    }
}

/// A sample of the fleet at one time.
struct FleetSample {
    at: f64,
    readings: BTreeMap<usize, GatewayReading>,
    traffic: Traffic,
    /// Processor time of the threads of real gateways, in seconds.
    membership_cpu: BTreeMap<usize, f64>,
    follower_cpu: BTreeMap<usize, f64>,
    control_machines: BTreeMap<usize, ControlMachineUsage>,
    /// Incarnations of real gateways, which identify samples of the same process.
    incarnations: BTreeMap<usize, u64>,
}

impl FleetSample {
    fn take(fleet: &mut Fleet) -> Result<Self, StopReason> {
        fleet.refresh_readings()?;
        Ok(Self {
            at: clock(),
            readings: fleet.hosts.readings.latest().clone(),
            traffic: fleet.links.traffic(),
            membership_cpu: fleet.real_gateways.thread_cpu_seconds(MEMBERSHIP_THREAD),
            follower_cpu: fleet.real_gateways.thread_cpu_seconds(FOLLOWER_THREAD),
            control_machines: fleet.control_machines.usage(),
            incarnations: fleet.real_gateways.incarnations(),
        })
    }
}

/// Two samples and the time between them.
struct Measurement {
    before: FleetSample,
    after: FleetSample,
    seconds: f64,
}

impl Measurement {
    fn cost(&self, fleet: &Fleet) -> ControlCost {
        let mut cost = ControlCost { seconds: self.seconds, ..ControlCost::default() };
        self.add_hollow_gateways(&mut cost);
        self.add_real_gateways(&mut cost);
        self.add_traffic(&fleet.running_gateways(), &mut cost);
        self.add_control_machines(&mut cost);
        cost
    }

    /// Adds the processor time of hollow gateways that have timely readings in both samples.
    fn add_hollow_gateways(&self, cost: &mut ControlCost) {
        for (gateway, later) in &self.after.readings {
            let Some(earlier) = self.before.readings.get(gateway) else { continue };
            let Some(cpu) = HollowCpu::between(earlier, later, self.seconds) else {
                cost.unread_gateways += 1;
                continue;
            };
            cost.follower.cpu.extend(cpu.follower.map(|follower| (*gateway, follower)));
            cost.cpu.record(*gateway, cpu.membership + cpu.dispatcher + cpu.follower.unwrap_or(0.0));
            cost.dispatcher_cpu.record(*gateway, cpu.dispatcher);
        }
    }

    /// Adds the processor time of real gateways whose process is the same in both samples.
    fn add_real_gateways(&self, cost: &mut ControlCost) {
        let incarnations = self.after.incarnations.iter();
        let same =
            incarnations.filter(|(gateway, later)| self.before.incarnations.get(gateway) == Some(later));
        for (gateway, _) in same {
            let membership = self.rate_of(*gateway, &self.before.membership_cpu, &self.after.membership_cpu);
            let follower = self.rate_of(*gateway, &self.before.follower_cpu, &self.after.follower_cpu);
            cost.follower.cpu.extend(follower.map(|follower| (*gateway, follower)));
            if let Some(total) = membership.into_iter().chain(follower).reduce(|a, b| a + b) {
                cost.cpu.record(*gateway, total);
            }
        }
    }

    /// Processor time of a gateway in seconds per second.
    fn rate_of(
        &self,
        gateway: usize,
        before: &BTreeMap<usize, f64>,
        after: &BTreeMap<usize, f64>,
    ) -> Option<f64> {
        Some((after.get(&gateway)? - before.get(&gateway)?) / self.seconds)
    }

    /// Adds the traffic on the links of these gateways.
    fn add_traffic(&self, gateways: &[usize], cost: &mut ControlCost) {
        let (before, after) = (&self.before.traffic, &self.after.traffic);
        for gateway in gateways.iter().copied() {
            let mut total =
                Rates::between(before.membership(gateway), after.membership(gateway), self.seconds);
            if let Some((earlier, later)) = before.follower(gateway).zip(after.follower(gateway)) {
                let follower = Rates::between(earlier, later, self.seconds);
                cost.follower.bytes_in.record(gateway, follower.bytes_in);
                cost.follower.bytes_out.record(gateway, follower.bytes_out);
                total = total.plus(follower);
            }
            cost.bytes_in.record(gateway, total.bytes_in);
            cost.bytes_out.record(gateway, total.bytes_out);
            cost.datagrams_in.record(gateway, total.datagrams_in);
            cost.datagrams_out.record(gateway, total.datagrams_out);
        }
    }

    /// Adds the usage of control machines whose process is the same in both samples.
    fn add_control_machines(&self, cost: &mut ControlCost) {
        for (number, later) in &self.after.control_machines {
            let earlier = self.before.control_machines.get(number);
            let Some(earlier) = earlier.filter(|earlier| earlier.process_id == later.process_id) else {
                continue;
            };
            let (before, after) = (&self.before.traffic, &self.after.traffic);
            let rates =
                Rates::between(before.control_machine(*number), after.control_machine(*number), self.seconds);
            let machines = &mut cost.control_machines;
            machines.cpu.record(*number, (later.cpu_seconds - earlier.cpu_seconds) / self.seconds);
            machines.memory_mb.extend(later.memory_mb.map(|memory| (*number, memory)));
            machines.bytes_in.record(*number, rates.bytes_in);
            machines.bytes_out.record(*number, rates.bytes_out);
        }
    }
}

/// Processor time of a hollow gateway, in seconds per second.
struct HollowCpu {
    membership: f64,
    dispatcher: f64,
    /// `None` if it has no follower.
    follower: Option<f64>,
}

impl HollowCpu {
    /// Returns `None` if a thread lacks timely readings, or if the process is not the same in both.
    fn between(earlier: &GatewayReading, later: &GatewayReading, seconds: f64) -> Option<Self> {
        let elapsed = later.at - earlier.at;
        if elapsed < MIN_READING_FRACTION * seconds || later.membership_cpu < earlier.membership_cpu {
            return None;
        }
        let follower = match (&earlier.config_log, &later.config_log) {
            (Some(earlier), Some(later)) => Some(follower_cpu(earlier, later, seconds)?),
            _ => None,
        };
        Some(Self {
            membership: (later.membership_cpu - earlier.membership_cpu) / elapsed,
            dispatcher: (later.dispatcher_cpu - earlier.dispatcher_cpu) / seconds,
            follower,
        })
    }
}

/// Returns `None` if the thread lacks timely readings.
fn follower_cpu(earlier: &ConfigLogReading, later: &ConfigLogReading, seconds: f64) -> Option<f64> {
    let elapsed = later.at - earlier.at;
    if elapsed < MIN_READING_FRACTION * seconds {
        return None;
    }
    Some((later.cpu_seconds - earlier.cpu_seconds) / elapsed)
}

/// Traffic of a link per second.
#[derive(Clone, Copy)]
struct Rates {
    bytes_in: f64,
    bytes_out: f64,
    datagrams_in: f64,
    datagrams_out: f64,
}

impl Rates {
    fn between(earlier: LinkTraffic, later: LinkTraffic, seconds: f64) -> Self {
        let rate = |earlier: u64, later: u64| (later - earlier) as f64 / seconds;
        Self {
            bytes_in: rate(earlier.bytes_in, later.bytes_in),
            bytes_out: rate(earlier.bytes_out, later.bytes_out),
            datagrams_in: rate(earlier.datagrams_in, later.datagrams_in),
            datagrams_out: rate(earlier.datagrams_out, later.datagrams_out),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            datagrams_in: self.datagrams_in + other.datagrams_in,
            datagrams_out: self.datagrams_out + other.datagrams_out,
        }
    }
}

#[cfg(test)]
mod tests;
