//! What control costs, from what is read before and after a time.

use super::Playing;
use crate::fleet::StopReason;
use crate::host_protocol::Reading;
use crate::machine_load::CpuTime;
use crate::relay::LinkTraffic;
use crate::report::{ControlCost, PlayResult};
use milletpath_gateway::hollow_gateway::clock;
use std::collections::BTreeMap;

impl Playing {
    /// What control costs while nothing happens.
    pub(super) fn measure(&mut self, seconds: f64, played: &mut PlayResult) -> Result<(), StopReason> {
        let mut before = self.look()?;
        let began = (clock(), CpuTime::read());
        self.wait(began.0 + seconds, |_| false)?;
        let after = self.look()?;
        let took = after.at - before.at;
        let mut cost = ControlCost { seconds: took, ..ControlCost::default() };
        for (gateway, now) in &after.readings {
            // Of one process, and one that was read lately both times.
            let Some(then) = before.readings.remove(gateway) else { continue };
            let between = now.at - then.at;
            if between < 0.5 * took || now.control < then.control {
                cost.unread_gateways += 1;
                continue;
            }
            let (control, desk) = ((now.control - then.control) / between, (now.desk - then.desk) / took);
            let changes = match (now.changes, then.changes) {
                (Some(now), Some(then)) if now.at - then.at < 0.5 * took => {
                    cost.unread_gateways += 1;
                    continue;
                }
                (Some(now), Some(then)) => Some((now.cpu - then.cpu) / (now.at - then.at)),
                _ => None,
            };
            cost.follower.cpu.extend(changes.map(|changes| (*gateway, changes)));
            cost.cpu.record(*gateway, control + desk + changes.unwrap_or(0.0));
            cost.dispatcher_cpu.record(*gateway, desk);
        }
        for (gateway, _) in after.lives.iter().filter(|(g, life)| before.lives.get(g) == Some(life)) {
            let used = |now: &BTreeMap<usize, f64>, then: &BTreeMap<usize, f64>| {
                Some((now.get(gateway)? - then.get(gateway)?) / took)
            };
            let (control, changes) =
                (used(&after.control, &before.control), used(&after.changes, &before.changes));
            cost.follower.cpu.extend(changes.map(|changes| (*gateway, changes)));
            if let Some(all) = control.into_iter().chain(changes).reduce(|a, b| a + b) {
                cost.cpu.record(*gateway, all);
            }
        }
        let passed: Vec<Rates> =
            after.passed.iter().zip(&before.passed).map(|b| Rates::of(b, took)).collect();
        let running: Vec<usize> =
            (0..self.fleet.plan.gateways).filter(|g| self.fleet.book.is_running(*g)).collect();
        for gateway in running {
            let mut all = passed[gateway];
            if let Some(changes) = self.fleet.lines.feed(gateway).map(|line| passed[line]) {
                cost.follower.bytes_in.record(gateway, changes.bytes_in);
                cost.follower.bytes_out.record(gateway, changes.bytes_out);
                all = all.and(changes);
            }
            cost.bytes_in.record(gateway, all.bytes_in);
            cost.bytes_out.record(gateway, all.bytes_out);
            cost.datagrams_in.record(gateway, all.datagrams_in);
            cost.datagrams_out.record(gateway, all.datagrams_out);
        }
        for (number, (process, used, memory)) in &after.machines {
            let Some((_, then, _)) = before.machines.get(number).filter(|(p, ..)| p == process) else {
                continue;
            };
            let rates = passed[self.fleet.lines.machine(*number)];
            cost.control_machines.cpu.record(*number, (used - then) / took);
            cost.control_machines.memory_mb.extend(memory.map(|memory| (*number, memory)));
            cost.control_machines.bytes_in.record(*number, rates.bytes_in);
            cost.control_machines.bytes_out.record(*number, rates.bytes_out);
        }
        cost.follower.state_bytes = self.fleet.state_bytes().into_iter().collect();
        cost.memory_mb = self.fleet.memory().into_iter().collect();
        cost.converged = self.fleet.settled();
        if let (Some(then), Some(now)) = (began.1, CpuTime::read()) {
            cost.utilization = Some(now.utilization_since(then));
        }
        played.control_cost = Some(cost);
        Ok(())
    }

    fn look(&mut self) -> Result<Look, StopReason> {
        self.fleet.read_now()?;
        Ok(Look {
            at: clock(),
            readings: self.fleet.readings.clone(),
            passed: self.fleet.relay.traffic(),
            control: self.fleet.real_thread("peers"),
            changes: self.fleet.real_thread("changes"),
            machines: self.fleet.control_used(),
            lives: self.fleet.real_lives(),
        })
    }
}

/// What passed at one link, by the second.
#[derive(Clone, Copy)]
struct Rates {
    bytes_in: f64,
    bytes_out: f64,
    datagrams_in: f64,
    datagrams_out: f64,
}

impl Rates {
    fn of((now, then): (&LinkTraffic, &LinkTraffic), took: f64) -> Self {
        let rate = |now: u64, then: u64| (now - then) as f64 / took;
        Self {
            bytes_in: rate(now.bytes_in, then.bytes_in),
            bytes_out: rate(now.bytes_out, then.bytes_out),
            datagrams_in: rate(now.datagrams_in, then.datagrams_in),
            datagrams_out: rate(now.datagrams_out, then.datagrams_out),
        }
    }

    /// Both together.
    fn and(self, other: Self) -> Self {
        Self {
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            datagrams_in: self.datagrams_in + other.datagrams_in,
            datagrams_out: self.datagrams_out + other.datagrams_out,
        }
    }
}

/// What is read before and after a time.
struct Look {
    at: f64,
    readings: BTreeMap<usize, Reading>,
    passed: Vec<LinkTraffic>,
    control: BTreeMap<usize, f64>,
    changes: BTreeMap<usize, f64>,
    machines: BTreeMap<usize, (u32, f64, Option<f64>)>,
    lives: BTreeMap<usize, u64>,
}
