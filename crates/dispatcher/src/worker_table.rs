//! The workers as the list names them: addresses, processes and states under the desk's indices. What the list
//! says is passed on to the decisions; what must be known at the moment of sending is kept here.

use crate::interner::Interner;
use crate::start_times::{StartTimes, is_another_process};
use milletpath_policy::host::{Listing, State};
use milletpath_protocol::registry::{Entry, Standing};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Workers that may be known at a time; a list that goes on inventing names is not followed further.
const MOST: usize = 65_536;

/// Starts that are kept of workers whose names were forgotten; past so many all are dropped, at the price of a slow
/// start for those that come back.
const MOST_FORMER: usize = 16_384;

/// When a process started: the stamp of the list, and what it makes on the monotonic clock.
#[derive(Clone, Copy, Default)]
struct Start {
    stamp: Option<f64>,
    at: Option<f64>,
}

pub struct WorkerTable {
    names: Interner,
    zones: Interner,
    cells: Interner,
    kinds: Vec<String>,
    address: Vec<SocketAddr>,
    /// Counts the processes that were seen under the name.
    process: Vec<u64>,
    start: Vec<Start>,
    state: Vec<State>,
    /// Since when each is gone.
    gone: Vec<f64>,
    /// Seconds after which nothing of one that is gone can be out any more: its index is given to another.
    forget: f64,
    pub start_times: StartTimes,
    /// Starts by the names that were forgotten, or that the roll before this one knew: a process that is listed again
    /// was known before its news.
    former: BTreeMap<Arc<str>, Start>,
    edition: u64,
    /// Counts the desks before this one; part of each process's number, so that no connection made for a worker of
    /// one desk is taken for another's.
    life: u64,
}

impl WorkerTable {
    pub fn new(kinds: &[String], seed: u64, start_times: StartTimes, life: u64, forget: f64) -> Self {
        Self {
            names: Interner::new(seed),
            zones: Interner::new(seed),
            cells: Interner::new(seed),
            kinds: kinds.to_vec(),
            address: Vec::new(),
            process: Vec::new(),
            start: Vec::new(),
            state: Vec::new(),
            gone: Vec::new(),
            forget,
            start_times,
            former: BTreeMap::new(),
            edition: 0,
            life,
        }
    }

    /// An empty one that takes this one's place. It keeps what is known of when processes started: their stamps would
    /// be judged anew by a clock that may have been stepped since.
    pub fn successor(&self, seed: u64) -> Self {
        let listed = self.listed().into_iter();
        let mut former = self.former.clone();
        former.extend(listed.map(|(worker, name)| (name, self.start[worker])));
        let life = self.life + 1;
        Self { former, ..Self::new(&self.kinds, seed, self.start_times.clone(), life, self.forget) }
    }

    /// Lists taken so far.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    pub fn life(&self) -> u64 {
        self.life
    }

    /// Workers that are not gone, and their names.
    pub fn listed(&self) -> Vec<(usize, Arc<str>)> {
        let there = (0..self.state.len()).filter(|&w| self.state[w] != State::Gone);
        there.map(|w| (w, self.names.name(w))).collect()
    }

    pub fn name(&self, worker: usize) -> Arc<str> {
        self.names.name(worker)
    }

    pub fn ready(&self, worker: usize) -> bool {
        self.state.get(worker) == Some(&State::Ready)
    }

    pub fn address(&self, worker: usize) -> (SocketAddr, u64) {
        let none = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        (self.address.get(worker).copied().unwrap_or(none), self.process.get(worker).copied().unwrap_or(0))
    }

    pub fn started(&self, worker: usize) -> Option<f64> {
        self.start.get(worker).and_then(|start| start.at)
    }

    /// Takes one edition, whole or changes only, and tells each line of it.
    pub fn take(&mut self, now: f64, whole: bool, entries: &[Entry], mut tell: impl FnMut(Listing)) {
        self.edition += 1;
        if whole {
            for worker in 0..self.state.len() {
                self.enter(now, worker, State::Gone);
            }
        }
        self.forget(now);
        for entry in entries {
            let new = self.names.get(&entry.name).is_none();
            if new && self.names.len() >= MOST {
                tracing::error!(worker = entry.name, "over {MOST} workers named; restart to forget old ones");
                continue;
            }
            let worker = self.names.take(&entry.name);
            if new && worker < self.state.len() {
                // An index used again: another process, that shares nothing with the one before.
                self.process[worker] += 1;
                self.gone[worker] = f64::INFINITY;
                self.address[worker] = entry.address;
                self.start[worker] = self.first_start(now, entry);
            } else if new {
                self.gone.push(f64::INFINITY);
                self.address.push(entry.address);
                self.process.push(self.life << 32 | 1);
                let start = self.first_start(now, entry);
                self.start.push(start);
                self.state.push(State::Gone);
            } else {
                self.change(now, worker, entry);
            }
            let state = match entry.state {
                Standing::Ready => State::Ready,
                Standing::Draining => State::Draining,
                Standing::Gone => State::Gone,
            };
            self.enter(now, worker, state);
            // Workers of no stated zone or cell share none: their receipts are known to nobody else.
            let alone = usize::MAX - worker;
            let part =
                |parts: &mut Interner, name: &str| if name.is_empty() { alone } else { parts.take(name) };
            tell(Listing {
                worker,
                name: xxh3_64(entry.name.as_bytes()),
                started: self.start[worker].at,
                size: entry.size,
                kind: self.kinds.iter().position(|k| *k == entry.kind).unwrap_or(usize::MAX),
                zone: part(&mut self.zones, &entry.zone),
                cell: part(&mut self.cells, &entry.cell),
                state: self.state[worker],
            });
        }
    }

    fn enter(&mut self, now: f64, worker: usize, state: State) {
        if state != State::Gone {
            self.gone[worker] = f64::INFINITY;
        } else if self.gone[worker] == f64::INFINITY {
            self.gone[worker] = now;
        }
        self.state[worker] = state;
    }

    /// Forgets the names of those long gone: where workers are replaced by others all day, they would pile up.
    fn forget(&mut self, now: f64) {
        for worker in 0..self.gone.len() {
            // Given back twice an index would go to two.
            if self.gone[worker] > f64::NEG_INFINITY && now - self.gone[worker] >= self.forget {
                self.keep_start(worker);
                self.names.give_back(worker);
                self.gone[worker] = f64::NEG_INFINITY;
            }
        }
    }

    /// Keeps the start of a worker whose name is forgotten; one that started early needs none.
    fn keep_start(&mut self, worker: usize) {
        if self.start[worker].at.is_none() {
            return;
        }
        if self.former.len() >= MOST_FORMER {
            self.former.clear();
        }
        self.former.insert(self.names.name(worker), self.start[worker]);
    }

    /// The start of a worker whose name is new here.
    fn first_start(&mut self, now: f64, entry: &Entry) -> Start {
        let former = self.former.remove(entry.name.as_str());
        match former {
            Some(start) if !is_another_process(entry.started, start.stamp) => start,
            _ => {
                let predecessor = former.and_then(|start| start.at);
                let at = entry.started.map(|stamp| self.start_times.started(now, stamp, predecessor));
                Start { stamp: entry.started, at }
            }
        }
    }

    /// A line for a worker that is known. Another address or another stamp is another process, cold and empty; one
    /// whose start nobody tells started now at the latest.
    fn change(&mut self, now: f64, worker: usize, entry: &Entry) {
        let before = self.start[worker];
        let another = is_another_process(entry.started, before.stamp);
        if !another && self.address[worker] == entry.address {
            return;
        }
        self.process[worker] += 1;
        self.address[worker] = entry.address;
        let stamp = entry.started.filter(|_| another);
        let at = stamp.map_or(now, |stamp| self.start_times.started(now, stamp, before.at));
        // The decisions tell processes apart by their starts.
        let at = before.at.map_or(at, |before| at.max(before.next_up()));
        self.start[worker] = Start { stamp: entry.started, at: Some(at) };
    }
}

#[cfg(test)]
mod tests;
