//! A consistent-hashing ring of ready workers (Karger et al., 1997): every router computes the same order of workers
//! for a function, and removing a worker moves only the functions that it had. Hashes are XXH3.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points per worker on the ring: enough for even shares, and for a lost worker's functions to spread over several
/// workers.
const POINTS_PER_WORKER: u64 = 32;

struct Point {
    hash: u64,
    worker: usize,
}

#[derive(Default)]
pub(crate) struct HashRing {
    points: Vec<Point>,
    /// Incremented each time the ring is built.
    revision: u64,
}

impl HashRing {
    /// Builds the ring from worker indices and from name hashes, which are the same on every router.
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

    /// Number of workers on the ring.
    pub(crate) fn workers(&self) -> f64 {
        self.points.len() as f64 / POINTS_PER_WORKER as f64
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Fills `order` with the workers in the order in which they follow the hash of a key. `worker_count` is greater
    /// than any worker's index.
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
