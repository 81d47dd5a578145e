//! Which connections a router opens, keeps and closes, within the descriptors that it may hold. Free of I/O.

/// Descriptors for what is neither client nor worker: standard streams, the runtime's own, listener, bulletin and its
/// successor, the file, and connections that are on their way out.
const RESERVE: usize = 32;
/// Part of the rest for clients: the platform's own hold a third of all at most, and the others need room to be told.
const CLIENTS: f64 = 0.55;
/// Shots on one connection past which another is opened: what breaks takes all on it along, and each connection
/// costs the worker a handshake.
const CROWD: usize = 4;
/// Seconds that a client may be connected without a whole word: the platform wants such closed within 3 s.
const SILENT: f64 = 2.0;
/// Part of the stated idle time after which a connection to a worker is closed: before the worker does.
const IDLE: f64 = 0.8;

/// What a router may hold.
pub struct Keeping {
    pub clients: usize,
    pub links: usize,
    lanes: usize,
    idle: f64,
}

impl Keeping {
    pub fn new(descriptors: usize, lanes: usize, idle: f64) -> Self {
        let room = descriptors.saturating_sub(RESERVE).max(2);
        let clients = ((room as f64 * CLIENTS) as usize).max(1);
        Self { clients, links: (room - clients).max(1), lanes: lanes.max(1), idle: idle * IDLE }
    }

    /// Where one more shot for a worker goes, by the shots on each of its connections; none for a new one.
    pub fn pick(&self, open: impl Iterator<Item = usize>, links: usize) -> Option<usize> {
        let least = open.enumerate().min_by_key(|&(_, open)| open);
        let more = links < self.links;
        least.filter(|&(_, open)| open < CROWD.min(self.lanes) || !more).map(|(at, _)| at)
    }

    /// Which client makes room for another, by whether each said something, whether an answer is owed to it, and
    /// since when nothing passed: those that never spoke before others, and the longest idle.
    pub fn evict(&self, clients: impl Iterator<Item = (usize, bool, bool, f64)>) -> Option<usize> {
        let idle = clients.filter(|(_, _, owed, _)| !owed);
        let first =
            idle.min_by(|a, b| (a.1, a.3).partial_cmp(&(b.1, b.3)).unwrap_or(std::cmp::Ordering::Equal));
        first.map(|(key, ..)| key)
    }

    /// Whether a client that has never sent a whole word is closed, or one in the midst of another.
    pub fn silent(&self, now: f64, since: f64) -> bool {
        now - since >= SILENT
    }

    pub fn idle(&self, now: f64, used: f64) -> bool {
        now - used >= self.idle
    }
}
