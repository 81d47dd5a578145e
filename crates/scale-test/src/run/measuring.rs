//! What control costs, from what is read before and after a time.

use super::Playing;
use crate::fleet::StopReason;
use crate::host_protocol::Reading;
use crate::machine::Cores;
use crate::relay::Passed;
use crate::report::{Cost, Played};
use milletpath_gateway::hollow_gateway::clock;
use std::collections::BTreeMap;

impl Playing {
    /// What control costs while nothing happens.
    pub(super) fn measure(&mut self, seconds: f64, played: &mut Played) -> Result<(), StopReason> {
        let mut before = self.look()?;
        let began = (clock(), Cores::read());
        self.wait(began.0 + seconds, |_| false)?;
        let after = self.look()?;
        let took = after.at - before.at;
        let mut cost = Cost { seconds: took, ..Cost::default() };
        for (gateway, now) in &after.readings {
            // Of one process, and one that was read lately both times.
            let Some(then) = before.readings.remove(gateway) else { continue };
            let between = now.at - then.at;
            if between < 0.5 * took || now.control < then.control {
                cost.unread += 1;
                continue;
            }
            let (control, desk) = ((now.control - then.control) / between, (now.desk - then.desk) / took);
            let changes = match (now.changes, then.changes) {
                (Some(now), Some(then)) if now.at - then.at < 0.5 * took => {
                    cost.unread += 1;
                    continue;
                }
                (Some(now), Some(then)) => Some((now.cpu - then.cpu) / (now.at - then.at)),
                _ => None,
            };
            cost.changes.cpu.extend(changes.map(|changes| (*gateway, changes)));
            cost.cpu.push((*gateway, control + desk + changes.unwrap_or(0.0)));
            cost.desk.push((*gateway, desk));
        }
        for (gateway, _) in after.lives.iter().filter(|(g, life)| before.lives.get(g) == Some(life)) {
            let used = |now: &BTreeMap<usize, f64>, then: &BTreeMap<usize, f64>| {
                Some((now.get(gateway)? - then.get(gateway)?) / took)
            };
            let (control, changes) =
                (used(&after.control, &before.control), used(&after.changes, &before.changes));
            cost.changes.cpu.extend(changes.map(|changes| (*gateway, changes)));
            if let Some(all) = control.into_iter().chain(changes).reduce(|a, b| a + b) {
                cost.cpu.push((*gateway, all));
            }
        }
        let passed: Vec<Rates> =
            after.passed.iter().zip(&before.passed).map(|b| Rates::of(b, took)).collect();
        let running: Vec<usize> =
            (0..self.fleet.plan.gateways).filter(|g| self.fleet.book.runs(*g)).collect();
        for gateway in running {
            let mut all = passed[gateway];
            if let Some(changes) = self.fleet.lines.feed(gateway).map(|line| passed[line]) {
                cost.changes.bytes_in.push((gateway, changes.bytes_in));
                cost.changes.bytes_out.push((gateway, changes.bytes_out));
                all = all.and(changes);
            }
            cost.bytes_in.push((gateway, all.bytes_in));
            cost.bytes_out.push((gateway, all.bytes_out));
            cost.letters_in.push((gateway, all.letters_in));
            cost.letters_out.push((gateway, all.letters_out));
        }
        for (number, (process, used, memory)) in &after.machines {
            let Some((_, then, _)) = before.machines.get(number).filter(|(p, ..)| p == process) else {
                continue;
            };
            let rates = passed[self.fleet.lines.machine(*number)];
            cost.machines.cpu.push((*number, (used - then) / took));
            cost.machines.memory.extend(memory.map(|memory| (*number, memory)));
            cost.machines.bytes_in.push((*number, rates.bytes_in));
            cost.machines.bytes_out.push((*number, rates.bytes_out));
        }
        cost.changes.state = self.fleet.state_bytes();
        cost.memory = self.fleet.memory().into_iter().collect();
        cost.settled = self.fleet.settled();
        if let (Some(then), Some(now)) = (began.1, Cores::read()) {
            cost.busy = Some(now.since(then));
        }
        played.cost = Some(cost);
        Ok(())
    }

    fn look(&mut self) -> Result<Look, StopReason> {
        self.fleet.read_now()?;
        Ok(Look {
            at: clock(),
            readings: self.fleet.readings.clone(),
            passed: self.fleet.relay.passed(),
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
    letters_in: f64,
    letters_out: f64,
}

impl Rates {
    fn of((now, then): (&Passed, &Passed), took: f64) -> Self {
        let rate = |now: u64, then: u64| (now - then) as f64 / took;
        Self {
            bytes_in: rate(now.bytes_in, then.bytes_in),
            bytes_out: rate(now.bytes_out, then.bytes_out),
            letters_in: rate(now.letters_in, then.letters_in),
            letters_out: rate(now.letters_out, then.letters_out),
        }
    }

    /// Both together.
    fn and(self, other: Self) -> Self {
        Self {
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            letters_in: self.letters_in + other.letters_in,
            letters_out: self.letters_out + other.letters_out,
        }
    }
}

/// What is read before and after a time.
struct Look {
    at: f64,
    readings: BTreeMap<usize, Reading>,
    passed: Vec<Passed>,
    control: BTreeMap<usize, f64>,
    changes: BTreeMap<usize, f64>,
    machines: BTreeMap<usize, (u32, f64, Option<f64>)>,
    lives: BTreeMap<usize, u64>,
}
