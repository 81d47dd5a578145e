//! What a fleet has of changes: authors who propose some, control machines that come and go, what is in force.

use super::{Fleet, StopReason};
use crate::applied_state::AppliedState;
use crate::control::{self, AUTHORS, Author, Machine};
use crate::gateway_config;
use crate::machine_load;
use milletpath_config_log::ReplicaView;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

impl Fleet {
    /// Has authors propose so many changes, spread evenly over some seconds from then on.
    pub fn propose(&mut self, changes: usize, from: f64, over: f64) -> Result<(), StopReason> {
        let failed = |e: io::Error| StopReason::Failed(format!("an author can't begin: {e}"));
        let mut wanted: Vec<Vec<control::Wanted>> = vec![Vec::new(); AUTHORS];
        for n in 0..changes {
            wanted[n % AUTHORS].push((self.changes + n, from + over * n as f64 / changes as f64));
        }
        self.changes += changes;
        self.changed.expect_proposals(changes);
        for (number, wanted) in wanted.into_iter().enumerate().filter(|(_, w)| !w.is_empty()) {
            let author = Author::new(&self.places).map_err(failed)?;
            self.relay.attach(self.lines.author(number), author.at().map_err(failed)?);
            author.propose(wanted, self.tell.clone()).map_err(failed)?;
        }
        Ok(())
    }

    /// The control machine that leads, by the word of those that run.
    pub fn leader(&self) -> Result<Option<usize>, StopReason> {
        let views = self.control_views()?;
        let leads = views.into_iter().filter(|(_, view)| view.as_ref().is_some_and(|v| v.leads));
        Ok(leads.max_by_key(|(_, view)| view.as_ref().map(|v| v.ballot)).map(|(number, _)| number))
    }

    /// What the control machines that run tell.
    pub fn control_views(&self) -> Result<BTreeMap<usize, Option<ReplicaView>>, StopReason> {
        let failed = |e: io::Error| StopReason::Failed(format!("control machines can't be asked: {e}"));
        let running = || self.machines.iter().enumerate().filter_map(|(n, m)| Some((n, m.as_ref()?.at)));
        let at: Vec<SocketAddr> = running().map(|(_, at)| at).collect();
        let views = control::views(&self.places, &at).map_err(failed)?;
        Ok(running().map(|(n, _)| n).zip(views).collect())
    }

    /// Number and digest of what is in force at each gateway that runs; none for one that does not say.
    pub fn states(&mut self) -> Result<BTreeMap<usize, Option<AppliedState>>, StopReason> {
        self.read_now()?;
        let failed = |e: io::Error| StopReason::Failed(format!("gateways can't be asked: {e}"));
        let mut states = BTreeMap::new();
        for gateway in (self.plan.real_gateways..self.plan.gateways).filter(|g| self.book.is_running(*g)) {
            let changes = self.readings.get(&gateway).and_then(|r| r.changes);
            states.insert(gateway, changes.map(|c| AppliedState { number: c.number, digest: c.digest }));
        }
        let (who, at): (Vec<usize>, Vec<SocketAddr>) =
            self.reals.iter().filter_map(|(g, r)| Some((*g, r.feed?))).unzip();
        let real = control::states(&self.places, &at).map_err(failed)?;
        states.extend(who.into_iter().zip(real));
        Ok(states)
    }

    /// Kills control machines.
    pub fn kill_control(&mut self, machines: &[usize]) {
        for number in machines {
            self.relay.detach(self.lines.machine(*number));
            self.machines[*number] = None;
        }
    }

    /// Begins those again that were killed, with their logs.
    pub fn begin_control(&mut self) -> Result<(), StopReason> {
        for number in 0..self.machines.len() {
            if self.machines[number].is_some() {
                continue;
            }
            let failed = |e| StopReason::Failed(format!("control machine {number} can't begin: {e}"));
            let machine = control::start(&self.stage.program, &self.places, number, false).map_err(failed)?;
            self.relay.attach(self.lines.machine(number), machine.at);
            self.machines[number] = Some(machine);
        }
        Ok(())
    }

    /// Processor time and memory in MB of each control machine that runs, with its process.
    pub fn control_used(&self) -> BTreeMap<usize, (u32, f64, Option<f64>)> {
        let used = |m: &Machine| {
            (
                m.process(),
                machine_load::process_cpu_seconds(m.process()),
                machine_load::process_memory_mb(m.process()),
            )
        };
        self.machines.iter().enumerate().filter_map(|(n, m)| Some((n, used(m.as_ref()?)))).collect()
    }

    /// Bytes that each gateway that runs keeps of what is in force.
    pub fn state_bytes(&self) -> Vec<(usize, f64)> {
        let size = |gateway: usize| {
            let kept = std::fs::metadata(gateway_config::state_file(&self.places, gateway)).ok()?;
            Some((gateway, kept.len() as f64))
        };
        let there = 0..if self.plan.control_machines > 0 { self.plan.gateways } else { 0 };
        there.filter(|g| self.book.is_running(*g)).filter_map(size).collect()
    }
}
