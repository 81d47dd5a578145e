//! Plays a plan: one play after the other, each with what it measured; and what could not be played any more.

use crate::change_propagation::ChangeOutcomes;
use crate::control::AUTHORS;
use crate::emulated_workers::{Calls, EmulatedWorkers};
use crate::fleet::{Fleet, RunFiles, StopReason, folder};
use crate::host_protocol::Reading;
use crate::machine_load::{self, CpuTime};
use crate::plan::{Action, Component, Plan, Play, RegionPair};
use crate::report::{Convergence, FailureDetection, FinalState, Findings, PlayResult, Report};
use milletpath_gateway::hollow_gateway::clock;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::io::{self, IsTerminal, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

mod changes;
mod measuring;

/// How a plan is to be played.
pub struct Asked<'a> {
    /// The plan's text, as hosts read it themselves.
    pub text: &'a str,
    /// The program that hosts and real gateways are started from.
    pub program: PathBuf,
    /// Set from elsewhere, it ends the run.
    pub stop: Arc<AtomicBool>,
}

/// Descriptors beside the gateways' own: pipes, files, workers, clients.
const SPARE: u64 = 256;

pub fn run(plan: &Plan, asked: Asked<'_>) -> io::Result<Report> {
    let links = if plan.runs(Component::ConfigChanges) {
        2 * plan.gateways + plan.control_machines + 2 * AUTHORS
    } else {
        plan.gateways
    };
    crate::fleet::descriptors(links as u64 + 4 * plan.real_gateways as u64 + SPARE)?;
    let folder = folder()?;
    let report = staged(plan, asked, folder.clone());
    match &report {
        Ok(report) if report.broken.is_empty() => crate::fleet::tidy(&folder),
        _ => eprintln!("charters and logs of the run are in {}", folder.display()),
    }
    report
}

fn staged(plan: &Plan, asked: Asked<'_>, folder: PathBuf) -> io::Result<Report> {
    let stand_ins = EmulatedWorkers::start(plan.workers.real, plan.seed)?;
    let stage = RunFiles { program: asked.program, folder };
    let before = (CpuTime::read(), machine_load::process_cpu_seconds(std::process::id()));
    let fleet = Fleet::new(plan, asked.text, stage, stand_ins.addresses.clone(), asked.stop)?;
    let calls = Calls::start(plan, fleet.reached.clone())?;
    let mut stage = Playing {
        chance: Rand64::new(u128::from(plan.seed) ^ 0x5ca1e),
        fleet,
        calls,
        played: Vec::new(),
        generation: 0,
        state: None,
        terminal: io::stderr().is_terminal(),
    };
    let over = stage.plays().err();
    stage.end(plan, over, before)
}

struct Playing {
    fleet: Fleet,
    calls: Calls,
    chance: Rand64,
    played: Vec<PlayResult>,
    /// Of the worker list: processes under one name are told apart by it.
    generation: u32,
    /// What is in force at the end.
    state: Option<FinalState>,
    terminal: bool,
}

impl Playing {
    fn plays(&mut self) -> Result<(), StopReason> {
        for play in self.fleet.plan.plays.clone() {
            let began = clock();
            self.fleet.sums.begin_play(began, &play.label);
            let mut played = PlayResult::new(&play, began - self.fleet.began);
            let done = self.play(&play, &mut played);
            let done = done.and_then(|()| self.settle(&play, &mut played));
            let done = done.and_then(|()| self.in_force(&play));
            played.seconds = clock() - began;
            let learnt = self.fleet.book.take_times();
            if self.fleet.plan.runs(Component::Membership) {
                played.membership_times = learnt;
            }
            let made = self.fleet.changed.take_outcomes(clock());
            played.changes = (made != ChangeOutcomes::default()).then_some(made);
            // What a play that was broken off had measured is kept.
            self.played.push(played);
            done?;
        }
        self.state()
    }

    fn play(&mut self, play: &Play, played: &mut PlayResult) -> Result<(), StopReason> {
        // Those that a play does not begin with in mind are proposed as it goes on.
        if matches!(
            play.action,
            Action::SteadyState { .. } | Action::RollingRestart { .. } | Action::ConfigChanges
        ) {
            self.propose(play)?;
        }
        match play.action {
            Action::Start { duration } => {
                let all = self.shuffled((0..self.fleet.plan.gateways).collect());
                self.one_by_one(&all, duration, |fleet, gateway| fleet.begin(gateway))
            }
            Action::SteadyState { duration } => self.measure(duration, played),
            Action::RollingRestart { gateways, duration } => {
                let mut some = self.shuffled((0..self.fleet.plan.gateways).collect());
                some.truncate(gateways);
                self.one_by_one(&some, duration, |fleet, gateway| fleet.end(&[gateway], false, true))
            }
            Action::RackFailure { gateways, downtime } => {
                let zone = self.chance.rand_range(0..self.fleet.plan.zones.len() as u64) as usize;
                let rack: Vec<usize> = self.fleet.plan.gateways_in_zone(zone).take(gateways).collect();
                self.away(&rack, &[], play, downtime, played)
            }
            Action::ZoneFailure { zone, downtime } => {
                let all: Vec<usize> = self.fleet.plan.gateways_in_zone(zone).collect();
                let plan = &self.fleet.plan;
                let control = (0..plan.control_machines)
                    .filter(|m| plan.zone_of_control_machine(*m) == zone)
                    .collect::<Vec<_>>();
                self.away(&all, &control, play, downtime, played)
            }
            Action::Partition { regions, duration } => self.cut(regions, duration, play),
            Action::EndpointUpdates { zone, revisions, duration } => {
                self.list(zone, revisions, duration, played)
            }
            Action::ConfigChanges => Ok(()),
            Action::LeaderFailure { downtime } => self.control(play, downtime, played),
        }
    }

    fn shuffled(&mut self, mut all: Vec<usize>) -> Vec<usize> {
        for n in (1..all.len()).rev() {
            all.swap(n, self.chance.rand_range(0..n as u64 + 1) as usize);
        }
        all
    }

    /// Does something to each, spread evenly over some seconds, and waits until it is done.
    fn one_by_one(
        &mut self,
        all: &[usize],
        over: f64,
        mut what: impl FnMut(&mut Fleet, usize) -> Result<(), StopReason>,
    ) -> Result<(), StopReason> {
        let began = clock();
        for (n, gateway) in all.iter().enumerate() {
            self.fleet.pump(began + over * n as f64 / all.len() as f64)?;
            what(&mut self.fleet, *gateway)?;
            if n % 16 == 0 {
                self.progress(&format!("{n} of {}", all.len()));
            }
        }
        self.done()
    }

    /// Waits until all that was told to begin or to end has.
    fn done(&mut self) -> Result<(), StopReason> {
        while !self.fleet.pending.is_empty() {
            self.fleet.pump(clock() + 0.05)?;
        }
        Ok(())
    }

    /// Kills some at once, and control machines with them, and begins them anew.
    fn away(
        &mut self,
        some: &[usize],
        control: &[usize],
        play: &Play,
        away: f64,
        played: &mut PlayResult,
    ) -> Result<(), StopReason> {
        let began = clock();
        self.fleet.kill_control(control);
        self.fleet.end(some, true, false)?;
        self.done()?;
        self.propose(play)?;
        // They come back when all know that they are gone, and what was changed meanwhile is in force; where that
        // takes too long it is told how many did.
        let known = self.fleet.plan.runs(Component::Membership);
        let enough = move |fleet: &Fleet| {
            let changed = fleet.changed.is_converged();
            if known {
                changed && fleet.book.converged_observers() == fleet.book.running_count()
            } else {
                play.changes > 0 && changed
            }
        };
        self.wait(began + away, enough)?;
        if known {
            played.failure_known = Some(FailureDetection {
                detected_by: self.fleet.book.converged_observers(),
                of: self.fleet.book.running_count(),
            });
        }
        self.fleet.begin_control()?;
        self.one_by_one(some, 0.0, |fleet, gateway| fleet.begin(gateway))
    }

    fn cut(&mut self, regions: RegionPair, seconds: f64, play: &Play) -> Result<(), StopReason> {
        let of: Vec<usize> = (0..self.fleet.plan.gateways).map(|g| self.fleet.plan.region_of(g)).collect();
        let began = clock();
        self.fleet.relay.set_partitioned(regions, true);
        self.fleet.book.begin_partition(move |a, b| regions.joins(of[a], of[b]));
        let done = self.propose(play).and_then(|()| self.wait(began + seconds, |_| false));
        self.fleet.relay.set_partitioned(regions, false);
        self.fleet.book.end_partition(clock());
        done
    }

    fn list(
        &mut self,
        zone: usize,
        editions: usize,
        over: f64,
        played: &mut PlayResult,
    ) -> Result<(), StopReason> {
        if !self.fleet.plan.runs(Component::EndpointList) {
            return Ok(());
        }
        let plan = &self.fleet.plan;
        let workers: Vec<usize> = (0..plan.workers.hollow)
            .filter(|w| crate::gateway_config::worker_zone(plan, *w) == zone)
            .collect();
        let editions = editions.min(workers.len());
        self.fleet.read_now()?;
        let before = desks(&self.fleet.readings);
        self.fleet.slowest = 0.0;
        self.fleet.list(&workers, self.generation, false);
        self.listed()?;
        let gone = self.fleet.slowest;
        self.generation += 1;
        let began = clock();
        for (n, edition) in workers.chunks(workers.len().div_ceil(editions.max(1))).enumerate() {
            self.fleet.pump(began + over * n as f64 / editions as f64)?;
            self.fleet.list(edition, self.generation, true);
        }
        self.listed()?;
        let took = clock() - began;
        self.fleet.read_now()?;
        let after = desks(&self.fleet.readings);
        let used = after.iter().filter_map(|(g, desk)| Some(desk - before.get(g)?)).collect();
        played.endpoint_updates = Some(crate::report::EndpointUpdateCost {
            workers: workers.len(),
            revisions: editions,
            seconds: took,
            slowest_removal: gone,
            slowest_addition: self.fleet.slowest,
            dispatcher_cpu: crate::distribution::Distribution::of(used),
        });
        Ok(())
    }

    /// Waits until all hosts have taken all editions.
    fn listed(&mut self) -> Result<(), StopReason> {
        while self.fleet.listing > 0 {
            self.fleet.pump(clock() + 0.05)?;
        }
        Ok(())
    }

    fn wait(&mut self, until: f64, enough: impl Fn(&Fleet) -> bool) -> Result<(), StopReason> {
        /// Seconds between two looks.
        const LOOK: f64 = 0.2;
        loop {
            let now = clock();
            if now >= until || enough(&self.fleet) {
                return Ok(());
            }
            self.progress("");
            self.fleet.pump(until.min(now + LOOK))?;
        }
    }

    /// Waits until all that run believe what is so, for some seconds at most.
    fn settle(&mut self, play: &Play, played: &mut PlayResult) -> Result<(), StopReason> {
        let Some(most) = play.settle_timeout else { return Ok(()) };
        // What else is waited for is when changes are in force.
        if !self.fleet.plan.runs(Component::Membership)
            || matches!(play.action, Action::ConfigChanges | Action::LeaderFailure { .. })
        {
            return Ok(());
        }
        let began = clock();
        let all = Fleet::settled;
        let done = self.wait(began + most, all);
        let settled = all(&self.fleet);
        let (agreed, of) = (self.fleet.book.agreed_gateways(), self.fleet.book.running_count());
        let waited = clock() - began;
        // Of one that was broken off nobody knows whether it would have.
        if done.is_ok() || settled {
            played.convergence = Some(Convergence { after: settled.then_some(waited), waited, agreed, of });
        }
        done
    }

    /// One line that is written over and over, for whoever looks on.
    fn progress(&self, what: &str) {
        if !self.terminal {
            return;
        }
        let play = self.fleet.plan.plays.get(self.played.len()).map_or("", |p| p.label.as_str());
        let (settled, running) = (self.fleet.book.converged_observers(), self.fleet.book.running_count());
        let at = clock() - self.fleet.began;
        let busy = self.fleet.busy.last().map_or(0.0, |(_, busy)| 100.0 * busy);
        let _ = write!(
            io::stderr(),
            "\r\x1b[K{at:6.1} s  {play}: {running} run, {settled} believe what is so; \
             {busy:.0}% of the cores busy  {what}"
        );
    }

    fn end(
        self,
        plan: &Plan,
        over: Option<StopReason>,
        before: (Option<CpuTime>, f64),
    ) -> io::Result<Report> {
        let Self { fleet, calls, played, state, terminal, .. } = self;
        if terminal {
            let _ = write!(io::stderr(), "\r\x1b[K");
        }
        let took = clock() - fleet.began;
        let processes = fleet.processes();
        let own: f64 =
            processes.iter().map(|p| machine_load::process_cpu_seconds(*p)).sum::<f64>() - before.1;
        let busy = before.0.zip(CpuTime::read()).map(|(then, now)| now.utilization_since(then));
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let dropped = machine_load::dropped_datagrams(&fleet.relay.ports());
        let machine = crate::report::MachineUsage {
            cores,
            utilization: busy,
            utilization_while_measuring: None,
            highest_utilization: fleet
                .busy
                .iter()
                .map(|(_, busy)| *busy)
                .fold(None, |most, b| Some(most.map_or(b, |m: f64| m.max(b)))),
            own_utilization: own / took.max(1e-9) / cores as f64,
            memory_gb: fleet.most_memory,
            dropped_datagrams: dropped,
            overflowed_datagrams: fleet.relay.overflowed(),
            lost_datagrams: fleet.relay.lost(),
        };
        let calls = calls.end();
        let mut fleet = fleet;
        let sums = std::mem::replace(&mut fleet.sums, crate::budgets::BudgetTotals::new(plan.gateways));
        // From here on nothing of the run is left.
        drop(fleet);
        let found = Findings { plays: played, budgets: sums.finish(), machine, calls, state };
        Ok(Report::new(plan, found, over, took))
    }
}

fn desks(readings: &BTreeMap<usize, Reading>) -> BTreeMap<usize, f64> {
    readings.iter().map(|(g, r)| (*g, r.desk)).collect()
}
