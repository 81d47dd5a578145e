//! A consistent-hashing ring of ready workers (Karger et al., 1997): every router computes the same order of workers
//! for a function, and removing a worker moves only the functions that it had. Hashes are XXH3.
//!
//! The points of all workers are not kept in one sorted list: a worker's place in the order of a key depends on its
//! first point after the key, which is found among its own points. A change of one worker therefore costs that worker,
//! however many there are, and an order that was computed before the change is brought up to date by moving it alone.

use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points per worker on the ring: enough for even shares, and for a lost worker's functions to spread over several
/// workers.
const POINTS_PER_WORKER: usize = 32;

/// Maximum number of changes that are applied to an existing order one by one. Past it a new order costs less.
const MAX_APPLIED_CHANGES: usize = 64;

/// A worker that is on the ring, or was.
#[derive(Clone)]
struct Member {
    name: u64,
    points: [u64; POINTS_PER_WORKER],
    is_on_ring: bool,
    /// The revision of the ring by which the worker last joined, left or was replaced.
    changed_in: u64,
}

impl Member {
    const UNKNOWN: Self = Self { name: 0, points: [0; POINTS_PER_WORKER], is_on_ring: false, changed_in: 0 };

    /// Distance from a position on the ring to the worker's first point at or after it.
    fn distance_from(&self, position: u64) -> u64 {
        self.points.iter().map(|point| point.wrapping_sub(position)).min().unwrap_or(u64::MAX)
    }
}

/// What orders the workers after a position. Points at the same place are ordered by the workers' names.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    distance: u64,
    name: u64,
    worker: usize,
}

/// The workers in the order in which they follow a key on the ring.
#[derive(Default)]
pub(crate) struct RingOrder {
    workers: Vec<usize>,
    /// The revision of the ring that the order was computed from.
    revision: u64,
}

impl RingOrder {
    /// The workers' indices, in order.
    pub(crate) fn workers(&self) -> &[usize] {
        &self.workers
    }
}

/// The ring. Its members are the workers that are ready.
#[derive(Default)]
pub(crate) struct HashRing {
    /// By worker index; includes workers that are not on the ring.
    members: Vec<Member>,
    /// Number of workers on the ring.
    size: usize,
    /// Number of changes so far.
    revision: u64,
    /// Workers of the latest changes, at most [`MAX_APPLIED_CHANGES`], the most recent one last.
    changed: VecDeque<usize>,
}

impl HashRing {
    /// Puts a worker on the ring. `name` is the hash of its name, which is the same on every router. Has no effect if
    /// the worker is there by this name.
    pub(crate) fn insert(&mut self, worker: usize, name: u64) {
        if worker >= self.members.len() {
            self.members.resize(worker + 1, Member::UNKNOWN);
        }
        let member = &mut self.members[worker];
        if member.is_on_ring && member.name == name {
            return;
        }
        if !member.is_on_ring {
            self.size += 1;
        }
        member.is_on_ring = true;
        member.name = name;
        member.points = std::array::from_fn(|n| xxh3_64_with_seed(&name.to_le_bytes(), n as u64));
        self.record_change(worker);
    }

    /// Takes a worker off the ring, if it is there.
    pub(crate) fn remove(&mut self, worker: usize) {
        if let Some(member) = self.members.get_mut(worker).filter(|member| member.is_on_ring) {
            member.is_on_ring = false;
            self.size -= 1;
            self.record_change(worker);
        }
    }

    fn record_change(&mut self, worker: usize) {
        self.revision += 1;
        self.members[worker].changed_in = self.revision;
        if self.changed.len() == MAX_APPLIED_CHANGES {
            self.changed.pop_front();
        }
        self.changed.push_back(worker);
    }

    /// Number of workers on the ring.
    pub(crate) fn len(&self) -> usize {
        self.size
    }

    /// Brings an order up to date: the workers in the order in which they follow the hash of `key`. An order must always
    /// be passed with the same key.
    pub(crate) fn update_order(&self, key: u64, order: &mut RingOrder) {
        let missed = usize::try_from(self.revision - order.revision).unwrap_or(usize::MAX);
        if missed == 0 {
            return;
        }
        let position = xxh3_64_with_seed(&key.to_le_bytes(), 0);
        if missed > self.changed.len() {
            self.compute_order(position, order);
        } else {
            self.apply_changes(position, missed, order);
        }
        order.revision = self.revision;
    }

    fn compute_order(&self, position: u64, order: &mut RingOrder) {
        let on_ring = (0..self.members.len()).filter(|&worker| self.members[worker].is_on_ring);
        let mut ranks: Vec<_> = on_ring.map(|worker| self.rank(position, worker)).collect();
        ranks.sort_unstable();
        order.workers.clear();
        order.workers.extend(ranks.into_iter().map(|rank| rank.worker));
    }

    /// Moves the workers of the last `missed` changes to their places in the order.
    fn apply_changes(&self, position: u64, missed: usize, order: &mut RingOrder) {
        let known = order.revision;
        order.workers.retain(|&worker| self.members[worker].changed_in <= known);
        let first = self.changed.len() - missed;
        let mut changed: Vec<_> = self.changed.range(first..).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        for worker in changed.into_iter().filter(|&worker| self.members[worker].is_on_ring) {
            let rank = self.rank(position, worker);
            let at = order.workers.partition_point(|&other| self.rank(position, other) < rank);
            order.workers.insert(at, worker);
        }
    }

    fn rank(&self, position: u64, worker: usize) -> Rank {
        let member = &self.members[worker];
        Rank { distance: member.distance_from(position), name: member.name, worker }
    }
}

#[cfg(test)]
mod tests;
