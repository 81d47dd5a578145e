//! A consistent-hashing ring of ready workers (Karger et al., 1997): every router finds the same order of
//! workers for a function, and a worker that is removed moves only the functions that it had. Hashes are
//! XXH3.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of a worker on the ring: enough for even shares, and for a lost worker's functions to go to
/// several.
const POINTS_PER_WORKER: u64 = 32;

struct Point {
    hash: u64,
    worker: usize,
}

#[derive(Default)]
pub(crate) struct HashRing {
    points: Vec<Point>,
    /// Counts how often the ring was built.
    revision: u64,
}

impl HashRing {
    /// Builds the ring from workers, by their index, and their names, which are the same on every router.
    pub(crate) fn build(&mut self, workers: impl Iterator<Item = usize>, name: impl Fn(usize) -> u64) {
        let point =
            |worker: usize, n| Point { hash: xxh3_64_with_seed(&name(worker).to_le_bytes(), n), worker };
        self.points = workers
            .flat_map(|w| (0..POINTS_PER_WORKER).map(move |n| (w, n)))
            .map(|(w, n)| point(w, n))
            .collect();
        self.points
            .sort_unstable_by(|a, b| a.hash.cmp(&b.hash).then_with(|| name(a.worker).cmp(&name(b.worker))));
        self.revision += 1;
    }

    /// Workers on the ring.
    pub(crate) fn workers(&self) -> f64 {
        self.points.len() as f64 / POINTS_PER_WORKER as f64
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Fills `order` with the workers in the order in which they follow the hash of a key. `known` is above
    /// any worker's index.
    pub(crate) fn successors(&self, key: u64, worker_count: usize, order: &mut Vec<usize>) {
        order.clear();
        let home = xxh3_64_with_seed(&key.to_le_bytes(), 0);
        let start = self.points.partition_point(|point| point.hash < home);
        let mut visited = vec![false; worker_count];
        for point in self.points[start..].iter().chain(&self.points[..start]) {
            if !std::mem::replace(&mut visited[point.worker], true) {
                order.push(point.worker);
            }
        }
    }
}
