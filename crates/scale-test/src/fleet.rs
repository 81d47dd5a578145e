//! The fleet of a run: its processes, the links between them, and the books that are kept of both. It begins
//! and ends gateways, hears what they say, and stops the run when its time or the machine's room is over.

use crate::budgets::BudgetTotals;
use crate::change_propagation::ChangePropagation;
use crate::children::{ChildMessage, Host, Real};
use crate::control::{self, Machine};
use crate::gateway_config;
use crate::host_protocol::{AddressMap, HostCommand, Minimum, Reading, StatusMessage};
use crate::machine_load::{self, CpuTime};
use crate::membership_tracker::MembershipTracker;
use crate::plan::{Component, Plan};
use crate::relay::{LinkDelays, Relay};
use milletpath_gateway::hollow_gateway::{BudgetLevel, MinimumTracker, clock};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

mod changes;
mod lines;
mod stage;
mod used;

pub use lines::Lines;
pub use stage::{descriptors, folder, tidy};

/// Why a run ends before its plan does.
#[derive(Clone, Debug, PartialEq)]
pub enum StopReason {
    /// Told to.
    Stopped,
    /// Its time is over.
    TimeLimit,
    /// It has more memory than it may, in GB.
    MemoryLimit { gigabytes: f64 },
    /// A process of it failed.
    Failed(String),
}

/// Threads of the relay: letters of a full fleet fill two, and a third has room for what comes at once.
const CARRIERS: usize = 3;

/// Gateways up to which real ones are asked for their budgets four times a second; what they answer grows
/// with the fleet, and past this it would be a load of its own.
const ASKED: usize = 200;

/// Words that wait to be heard; whoever has more to say waits.
const HEARD: usize = 4096;

/// Seconds between two looks at the machine, and between two readings of all hollow gateways.
const LOOK: f64 = 1.0;
const READ: f64 = 2.0;

/// Where a run has its programs and files.
#[derive(Clone, Debug)]
pub struct RunFiles {
    pub program: PathBuf,
    pub folder: PathBuf,
}

/// Real gateways as the threads see them that ask and call them: where each is, while it is there.
type ReachableGateways = Arc<Mutex<BTreeMap<usize, (SocketAddr, Option<SocketAddr>)>>>;

pub struct Fleet {
    pub plan: Plan,
    pub relay: Relay,
    pub lines: Lines,
    pub book: MembershipTracker,
    pub sums: BudgetTotals,
    pub changed: ChangePropagation,
    /// Changes that authors were told to propose in this run, and control machines.
    changes: usize,
    machines: Vec<Option<Machine>>,
    stage: RunFiles,
    places: AddressMap,
    workers: Vec<SocketAddr>,
    hosts: Vec<Host>,
    reals: BTreeMap<usize, Real>,
    pub reached: ReachableGateways,
    lives: u64,
    heard: Receiver<ChildMessage>,
    tell: SyncSender<ChildMessage>,
    /// To begin anew as soon as they have ended.
    anew: BTreeSet<usize>,
    /// Told to begin or to end, and not yet heard to have.
    pub pending: BTreeSet<usize>,
    /// The latest reading of each hollow gateway; the number asked for last, and hosts that have not answered
    /// it.
    pub readings: BTreeMap<usize, Reading>,
    number: u64,
    awaited: usize,
    /// Editions of the worker list that are not yet taken by all hosts; the processor time of the slowest so
    /// far.
    pub listing: usize,
    pub slowest: f64,
    stop: Arc<AtomicBool>,
    pub began: f64,
    looked: f64,
    read_at: f64,
    /// Part of all cores that was in use, second by second.
    pub busy: Vec<(f64, f64)>,
    cores: Option<CpuTime>,
    pub most_memory: f64,
    asking: Arc<AtomicBool>,
}

impl Fleet {
    pub fn new(
        plan: &Plan,
        text: &str,
        stage: RunFiles,
        workers: Vec<SocketAddr>,
        stop: Arc<AtomicBool>,
    ) -> io::Result<Self> {
        let regions = 0..plan.regions.len();
        let latency = |a: usize, b: usize| {
            if a == b { plan.links.within_region } else { plan.links.between_regions[a][b] }
        };
        let ways = LinkDelays {
            regions: Lines::of(plan).regions(plan),
            latency: regions.clone().map(|a| regions.clone().map(|b| latency(a, b)).collect()).collect(),
            loss: plan.links.loss,
        };
        let relay = Relay::start(ways, CARRIERS, plan.seed)?;
        let all = relay.addresses()?;
        let links = all[..plan.gateways].to_vec();
        let control = all[plan.gateways..][..plan.control_machines].to_vec();
        let places = AddressMap { links, control, folder: stage.folder.clone() };
        for key in [gateway_config::peers_key(&places), gateway_config::changes_key(&places)] {
            std::fs::write(
                key,
                format!("the secret of a scale run on loopback, with the seed {}", plan.seed),
            )?;
        }
        let mut machines = Vec::new();
        for number in 0..plan.control_machines {
            let machine = control::start(&stage.program, &places, number, true)?;
            relay.attach(plan.gateways + number, machine.at);
            machines.push(Some(machine));
        }
        let (tell, heard) = sync_channel(HEARD);
        let mut hosts = Vec::new();
        for number in 0..plan.host_processes.min(plan.gateways - plan.real_gateways) {
            let log = File::create(stage.folder.join(format!("host-{number}.log")))?;
            let host = Host::start(&stage.program, number, log, tell.clone())?;
            let (text, seed) = (text.to_owned(), plan.seed);
            let places = places.clone();
            host.order(HostCommand::Plan { text, gateways: plan.gateways, seed, places });
            hosts.push(host);
        }
        let now = clock();
        Ok(Self {
            relay,
            lines: Lines::of(plan),
            book: MembershipTracker::new(plan.gateways, now),
            sums: BudgetTotals::new(plan.gateways),
            changed: ChangePropagation::new(plan.gateways, now),
            changes: 0,
            machines,
            stage,
            places,
            workers,
            hosts,
            reals: BTreeMap::new(),
            reached: ReachableGateways::default(),
            lives: 0,
            heard,
            tell,
            anew: BTreeSet::new(),
            pending: BTreeSet::new(),
            readings: BTreeMap::new(),
            number: 0,
            awaited: 0,
            listing: 0,
            slowest: 0.0,
            stop,
            began: now,
            looked: now,
            read_at: now,
            busy: Vec::new(),
            cores: CpuTime::read(),
            most_memory: 0.0,
            asking: Arc::new(AtomicBool::new(true)),
            plan: plan.clone(),
        })
    }

    pub fn is_real(&self, gateway: usize) -> bool {
        gateway < self.plan.real_gateways
    }

    fn host_of(&self, gateway: usize) -> usize {
        (gateway - self.plan.real_gateways) % self.hosts.len()
    }

    /// Begins one.
    pub fn begin(&mut self, gateway: usize) -> Result<(), StopReason> {
        self.pending.insert(gateway);
        if !self.is_real(gateway) {
            self.hosts[self.host_of(gateway)].order(HostCommand::Begin { gateway });
            return Ok(());
        }
        let failed = |e: io::Error| StopReason::Failed(format!("gateway {gateway} can't begin: {e}"));
        let path = self.stage.folder.join(format!("gateway-{gateway}.hcl"));
        let text = gateway_config::text(&self.plan, gateway, &self.places, &self.workers);
        std::fs::write(&path, &text).map_err(failed)?;
        self.lives += 1;
        let life = self.lives;
        let real =
            Real::start(&self.stage.program, &path, (gateway, life), self.tell.clone()).map_err(failed)?;
        self.began(gateway, (real.link, real.feed), real.began);
        if let Some(link) =
            real.link.filter(|_| self.plan.gateways <= ASKED && self.plan.runs(Component::Budgets))
        {
            self.ask(gateway, &text, link).map_err(failed)?;
        }
        self.place(gateway, Some((real.address, real.link)));
        self.reals.insert(gateway, real);
        Ok(())
    }

    fn place(&self, gateway: usize, at: Option<(SocketAddr, Option<SocketAddr>)>) {
        let mut places = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        match at {
            Some(at) => _ = places.insert(gateway, at),
            None => _ = places.remove(&gateway),
        }
    }

    /// Asks a real gateway for its budgets as an operator would, for as long as it is there.
    fn ask(&self, gateway: usize, text: &str, link: SocketAddr) -> io::Result<()> {
        let mistakes = |m: Vec<_>| io::Error::other(format!("its charter can't be read: {m:?}"));
        let mut house = milletpath_config::read(text).map_err(mistakes)?;
        house.membership.iter_mut().for_each(|p| p.listen = link);
        let (asking, tell, places) = (self.asking.clone(), self.tell.clone(), self.reached.clone());
        let there = move || {
            let places = places.lock().unwrap_or_else(PoisonError::into_inner);
            places.get(&gateway).is_some_and(|(_, at)| *at == Some(link))
        };
        std::thread::Builder::new().name("ask".into()).spawn(move || {
            /// Seconds between two questions.
            const EACH: f64 = 0.25;
            let mut lows = MinimumTracker::default();
            while asking.load(Ordering::Acquire) {
                std::thread::sleep(Duration::from_secs_f64(EACH));
                if !there() {
                    return;
                }
                let Ok(told) = milletpath_gateway::query_membership(&house) else { continue };
                let budgets = told
                    .budgets
                    .into_iter()
                    .map(|b| (b.name, BudgetLevel { quota: b.quota, allowed: b.allowed }))
                    .collect();
                if let Some(low) = lows.record(clock(), told.view.fraction, budgets) {
                    let low = Minimum {
                        second: low.second,
                        fraction: low.fraction,
                        budgets: low
                            .budgets
                            .into_iter()
                            .map(|(name, level)| (name, (level.quota, level.allowed)))
                            .collect(),
                    };
                    let _ = tell.send(ChildMessage::RealLow { gateway, low });
                }
            }
        })?;
        Ok(())
    }

    /// Ends some at once; those that are to begin anew do so when they have ended.
    pub fn end(&mut self, gateways: &[usize], killed: bool, anew: bool) -> Result<(), StopReason> {
        let mut by_host: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let running: Vec<usize> = gateways.iter().copied().filter(|g| self.book.is_running(*g)).collect();
        for gateway in running {
            if killed {
                self.relay.detach(gateway);
                self.lines.feed(gateway).into_iter().for_each(|feed| self.relay.detach(feed));
            }
            if anew {
                self.anew.insert(gateway);
            }
            self.pending.insert(gateway);
            let Some(real) = self.reals.remove(&gateway) else {
                if self.is_real(gateway) {
                    // On its way out already.
                    continue;
                }
                by_host.entry(self.host_of(gateway)).or_default().push(gateway);
                continue;
            };
            self.place(gateway, None);
            if killed {
                let at = clock();
                drop(real);
                self.ended(gateway, at)?;
            } else {
                let failed = |e| StopReason::Failed(format!("gateway {gateway} can't be told to stop: {e}"));
                real.leave(gateway, self.tell.clone()).map_err(failed)?;
            }
        }
        for (host, gateways) in by_host {
            self.hosts[host].order(HostCommand::End { gateways, killed });
        }
        Ok(())
    }

    fn ended(&mut self, gateway: usize, at: f64) -> Result<(), StopReason> {
        self.book.record_stop(gateway, at);
        self.changed.record_stop(gateway);
        self.readings.remove(&gateway);
        self.pending.remove(&gateway);
        if self.anew.remove(&gateway) { self.begin(gateway) } else { Ok(()) }
    }

    /// Passes one edition of the worker list to all hollow gateways.
    pub fn list(&mut self, workers: &[usize], generation: u32, there: bool) {
        for host in &self.hosts {
            host.order(HostCommand::List { workers: workers.to_vec(), generation, there });
        }
        self.listing += self.hosts.len();
    }

    /// Hears what there is until then, and looks after the run meanwhile.
    pub fn pump(&mut self, until: f64) -> Result<(), StopReason> {
        /// Seconds for which it waits at a time.
        const TURN: f64 = 0.05;
        loop {
            let now = clock();
            self.look(now)?;
            let left = until - now;
            if left <= 0.0 {
                return Ok(());
            }
            if let Ok(heard) = self.heard.recv_timeout(Duration::from_secs_f64(left.min(TURN))) {
                self.hear(heard)?;
                while let Ok(more) = self.heard.try_recv() {
                    self.hear(more)?;
                }
            }
        }
    }

    fn hear(&mut self, heard: ChildMessage) -> Result<(), StopReason> {
        match heard {
            ChildMessage::Host(told) => return self.told(told),
            // The signal that stops a run may reach its hosts first.
            ChildMessage::HostEnded(_) if self.stop.load(Ordering::Acquire) => {
                return Err(StopReason::Stopped);
            }
            ChildMessage::HostEnded(number) => {
                return Err(StopReason::Failed(format!("host {number} ended; its log is host-{number}.log")));
            }
            ChildMessage::Real { gateway, life, about, says, at } => {
                if self.reals.get(&gateway).is_some_and(|r| r.life == life) {
                    self.book.record_report(gateway, about, says, at);
                }
            }
            ChildMessage::RealChanged { gateway, life, number, at } => {
                if self.reals.get(&gateway).is_some_and(|r| r.life == life) {
                    self.changed.record_applied(gateway, number, at);
                }
            }
            ChildMessage::Answered { change, at, answered, outcome } => {
                self.changed.record_outcome(change, at, answered, outcome);
            }
            ChildMessage::RealEnded { gateway, at } => return self.ended(gateway, at),
            ChildMessage::RealLow { gateway, low } => self.sums.record_minimum(gateway, &low),
        }
        Ok(())
    }

    /// A gateway runs, and hears others and changes there.
    fn began(&mut self, gateway: usize, (link, feed): (Option<SocketAddr>, Option<SocketAddr>), at: f64) {
        link.into_iter().for_each(|link| self.relay.attach(gateway, link));
        let feed = self.lines.feed(gateway).zip(feed);
        feed.into_iter().for_each(|(line, feed)| self.relay.attach(line, feed));
        self.book.record_start(gateway, at);
        self.changed.record_start(gateway, at);
        self.pending.remove(&gateway);
    }

    fn told(&mut self, told: StatusMessage) -> Result<(), StopReason> {
        match told {
            StatusMessage::Began { gateway, link, feed, at } => self.began(gateway, (link, feed), at),
            StatusMessage::Failed { gateway, why } => {
                return Err(StopReason::Failed(format!("gateway {gateway}: {why}")));
            }
            StatusMessage::Ended { gateway, at } => return self.ended(gateway, at),
            StatusMessage::Events(events) => {
                for (observer, about, says, at) in events {
                    self.book.record_report(observer as usize, about as usize, says, at);
                }
            }
            StatusMessage::Changed(changes) => {
                for (gateway, number, at) in changes {
                    self.changed.record_applied(gateway as usize, number, at);
                }
            }
            StatusMessage::Listed { slowest, .. } => {
                self.listing = self.listing.saturating_sub(1);
                self.slowest = self.slowest.max(slowest);
            }
            StatusMessage::Readings { number, readings } => {
                for reading in readings {
                    reading.lows.iter().for_each(|low| self.sums.record_minimum(reading.gateway, low));
                    self.readings.insert(reading.gateway, reading);
                }
                self.awaited -= usize::from(number == self.number && self.awaited > 0);
            }
        }
        Ok(())
    }

    fn read(&mut self) {
        self.number += 1;
        self.awaited = self.hosts.len();
        self.hosts.iter().for_each(|host| host.order(HostCommand::Read { number: self.number }));
    }

    /// Reads all hollow gateways now, and waits for what they say.
    pub fn read_now(&mut self) -> Result<(), StopReason> {
        /// Seconds for which a host that is slow is waited for.
        const WAIT: f64 = 15.0;
        self.read();
        let until = clock() + WAIT;
        self.read_at = until;
        while self.awaited > 0 && clock() < until {
            self.pump(clock() + 0.02)?;
        }
        self.read_at = clock();
        Ok(())
    }

    /// Looks whether the run may go on, and at the machine now and then.
    fn look(&mut self, now: f64) -> Result<(), StopReason> {
        if self.stop.load(Ordering::Acquire) {
            return Err(StopReason::Stopped);
        }
        if now - self.began > self.plan.time_limit {
            return Err(StopReason::TimeLimit);
        }
        if now >= self.read_at + READ {
            self.read_at = now;
            self.read();
        }
        if now >= self.looked + LOOK {
            self.looked = now;
            for (number, machine) in self.machines.iter_mut().enumerate() {
                if machine.as_mut().is_some_and(|m| !m.runs()) {
                    let why =
                        format!("control machine {number} ended by itself; its log is control-{number}.told");
                    return Err(StopReason::Failed(why));
                }
            }
            self.sums.close_seconds(now);
            let cores = CpuTime::read();
            if let (Some(cores), Some(before)) = (cores, self.cores) {
                self.busy.push((now, cores.utilization_since(before)));
            }
            self.cores = cores;
            let memory: f64 =
                self.processes().into_iter().filter_map(machine_load::process_memory_mb).sum::<f64>() / 1e3;
            self.most_memory = self.most_memory.max(memory);
            if memory > self.plan.memory_limit_gb {
                return Err(StopReason::MemoryLimit { gigabytes: memory });
            }
        }
        Ok(())
    }

    /// Whether all that run believe what is so; and have in force what was made, where that is all there is.
    pub fn settled(&self) -> bool {
        match self.plan.runs(Component::Membership) {
            true => self.book.converged_observers() == self.book.running_count(),
            false => self.pending.is_empty() && self.changed.is_converged(),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.asking.store(false, Ordering::Release);
        // Nobody waits to be heard any more.
        self.heard = sync_channel(0).1;
        // All are let go at once, so that each has its time while the others are waited for.
        self.hosts.iter_mut().for_each(Host::release);
        self.reals.clear();
        self.machines.clear();
    }
}
