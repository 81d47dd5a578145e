use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The workers that follow the hash of a key, from all points of all workers in one sorted list: the definition of the
/// order.
fn order_by_points(on_ring: &BTreeMap<usize, u64>, key: u64) -> Vec<usize> {
    let mut points: Vec<(u64, u64, usize)> = Vec::new();
    for (&worker, &name) in on_ring {
        let hashes = (0..POINTS_PER_WORKER as u64).map(|n| xxh3_64_with_seed(&name.to_le_bytes(), n));
        points.extend(hashes.map(|hash| (hash, name, worker)));
    }
    points.sort_unstable();
    let home = xxh3_64_with_seed(&key.to_le_bytes(), 0);
    let start = points.partition_point(|&(hash, ..)| hash < home);
    let mut order = Vec::new();
    for &(_, _, worker) in points[start..].iter().chain(&points[..start]) {
        if !order.contains(&worker) {
            order.push(worker);
        }
    }
    order
}

#[derive(Clone, Debug)]
enum Change {
    /// Joins, returns, or takes over the index of another worker by its name.
    Insert { worker: usize, name: u64 },
    /// Drains or leaves.
    Remove { worker: usize },
    /// A complete list: only these workers are ready.
    Replace { ready: BTreeMap<usize, u64> },
    /// The order of this key is brought up to date, with all changes since it last was.
    Look { key: usize },
}

const WORKERS: usize = 24;
const KEYS: usize = 6;

/// Few names, so that some workers have the same one and tie at every point.
fn names() -> impl Strategy<Value = u64> {
    0..WORKERS as u64 + 4
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        6 => (0..WORKERS, names()).prop_map(|(worker, name)| Change::Insert { worker, name }),
        5 => (0..WORKERS).prop_map(|worker| Change::Remove { worker }),
        1 => prop::collection::btree_map(0..WORKERS, names(), 0..WORKERS)
            .prop_map(|ready| Change::Replace { ready }),
        3 => (0..KEYS).prop_map(|key| Change::Look { key }),
    ];
    prop::collection::vec(change, 1..300)
}

/// A ring, the workers that should be on it, and the orders of some keys.
#[derive(Default)]
struct Model {
    ring: HashRing,
    on_ring: BTreeMap<usize, u64>,
    orders: [RingOrder; KEYS],
}

impl Model {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Insert { worker, name } => {
                self.ring.insert(worker, name);
                self.on_ring.insert(worker, name);
            }
            Change::Remove { worker } => {
                self.ring.remove(worker);
                self.on_ring.remove(&worker);
            }
            Change::Replace { ready } => {
                for worker in 0..WORKERS {
                    match ready.get(&worker) {
                        Some(&name) => self.ring.insert(worker, name),
                        None => self.ring.remove(worker),
                    }
                }
                self.on_ring = ready;
            }
            Change::Look { key } => self.look(key),
        }
    }

    fn look(&mut self, key: usize) {
        let order = &mut self.orders[key];
        self.ring.update_order(key as u64, order);
        assert_eq!(order.workers(), order_by_points(&self.on_ring, key as u64), "key {key}");
        assert_eq!(self.ring.len(), self.on_ring.len());
    }
}

proptest! {
    /// Guards against an order that depends on the changes by which the ring came about: routers that saw other changes
    /// would send a function elsewhere.
    #[test]
    fn the_order_is_that_of_a_whole_build_after_any_changes(changes in changes()) {
        let mut model = Model::default();
        for change in changes {
            model.apply(change);
        }
        (0..KEYS).for_each(|key| model.look(key));
    }
}

/// Guards against a ring that counts a list without a difference as a change, after which every function's order is
/// computed again.
#[test]
fn a_list_without_a_difference_changes_no_revision() {
    let mut ring = HashRing::default();
    (0..10).for_each(|worker| ring.insert(worker, worker as u64));
    let revision = ring.revision;
    (0..10).for_each(|worker| ring.insert(worker, worker as u64));
    ring.remove(99);
    assert_eq!(ring.revision, revision);
}
