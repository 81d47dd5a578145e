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
/// Seconds that the first line of a client may take: with a look each 0.2 s still closed within those 3 s.
const SLOW: f64 = 2.5;
/// Seconds after which a client that has not spoken is taken for a silent one, where room is wanted.
const FRESH: f64 = 0.3;
/// Part of the stated idle time after which a connection to a worker is closed: before the worker does.
const IDLE: f64 = 0.8;

/// What a router may hold.
pub struct Keeping {
    pub clients: usize,
    pub links: usize,
    lanes: usize,
    idle: f64,
    connect: f64,
    patience: f64,
}

impl Keeping {
    /// Within so many descriptors, with so many shots a connection to a worker. Those are closed once idle
    /// for so many seconds and made within so many; and no client waits longer for an answer than the last
    /// says.
    pub fn new(descriptors: usize, lanes: usize, idle: f64, connect: f64, patience: f64) -> Self {
        let room = descriptors.saturating_sub(RESERVE).max(2);
        let clients = ((room as f64 * CLIENTS) as usize).max(1);
        let (links, patience) = ((room - clients).max(1), patience.max(SLOW));
        Self { clients, links, lanes: lanes.max(1), idle: idle * IDLE, connect, patience }
    }

    /// Where one more shot for a worker goes, by the shots on each of its connections and since when each is unheard;
    /// none for a new one. Where nothing was heard for as long as a connection may take to be made, a new one tells
    /// a slow worker from a machine that is gone: that one never comes up, and nothing piles up on the silent one.
    pub fn pick(
        &self,
        now: f64,
        each: impl Iterator<Item = (usize, Option<f64>)>,
        links: usize,
    ) -> Option<usize> {
        let silent = |since: Option<f64>| since.is_some_and(|since| now - since >= self.connect);
        let each = each.enumerate().map(|(at, (open, since))| (silent(since), open, at));
        let more = links < self.links;
        let least = each.min();
        least.filter(|&(silent, open, _)| !silent && open < CROWD.min(self.lanes) || !more).map(|(.., at)| at)
    }

    /// Which clients make room for another, the first first, by whether each ever said something and for how long
    /// nothing passed: those that keep silent, then the longest idle. One that has only just come is about to
    /// speak: closed, its call would be lost.
    pub fn evict(&self, clients: impl Iterator<Item = (usize, bool, f64)>) -> impl Iterator<Item = usize> {
        let rank = |said: bool, idle: f64| match (said, idle < FRESH) {
            (false, false) => 0,
            (true, false) => 1,
            (_, true) => 2,
        };
        let mut all: Vec<_> = clients.map(|(key, said, idle)| (rank(said, idle), idle, key)).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        all.into_iter().map(|(.., key)| key)
    }

    /// Whether a client that has never sent a whole word is closed, or one that does not read what it was
    /// sent.
    pub fn silent(&self, now: f64, since: f64) -> bool {
        now - since >= SILENT
    }

    /// Whether a line that began at `since` is waited for no longer: its pieces, the last of them at `heard`,
    /// stopped coming, or it takes longer than any client waits for an answer. Less is borne of one who never
    /// sent a whole one.
    pub fn unfinished(&self, now: f64, since: f64, heard: f64, said: bool) -> bool {
        self.silent(now, heard) || now - since >= if said { self.patience } else { SLOW }
    }

    pub fn idle(&self, now: f64, used: f64) -> bool {
        now - used >= self.idle
    }
}

#[cfg(test)]
mod tests;
