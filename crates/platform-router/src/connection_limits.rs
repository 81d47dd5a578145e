//! How many connections a router opens and keeps, which it closes first and when, within the descriptors that it may
//! hold. Free of I/O. Times are in seconds.

/// Descriptors for what is neither client nor worker: standard streams, the runtime's own, the listener, the discovery
/// connection and its successor, the file, and connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Fraction of the rest for clients: the platform's own hold a third of all at most, and the others need a place to be
/// answered on.
const CLIENT_FRACTION: f64 = 0.55;
/// Attempts on one connection from which on another is opened: a connection that breaks takes all on it along, and each
/// costs the worker a handshake.
const PREFERRED_MAX_ATTEMPTS: usize = 4;
/// Seconds that a client may be connected without a whole line: the platform wants such closed within 3 s.
const SILENCE_TIMEOUT: f64 = 2.0;
/// Seconds that the first line of a client may take: with a look each 0.2 s it is still closed within those 3 s.
const FIRST_LINE_TIMEOUT: f64 = 2.5;
/// Seconds after which a client that has sent nothing counts as silent, where its place is needed.
const NEW_CLIENT_SECONDS: f64 = 0.3;
/// Fraction of the stated idle time after which a connection to a worker is closed: before the worker does.
const IDLE_FRACTION: f64 = 0.8;

/// What the limits are derived from.
pub(crate) struct ConnectionSettings {
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// Attempts that a worker takes on one connection at a time.
    pub streams_per_connection: usize,
    /// Seconds after which a worker may close an idle connection.
    pub idle_timeout: f64,
    /// Seconds that a connection to a worker may take to be made.
    pub connect_timeout: f64,
    /// The longest time in seconds that a client waits for a response.
    pub longest_deadline: f64,
}

/// The use of one connection to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionUse {
    /// Attempts on it, queued ones included.
    pub attempts: usize,
    /// Since when a response has been awaited with nothing coming; none where none is awaited.
    pub silent_since: Option<f64>,
}

/// A client's connection that may be closed for another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvictionCandidate {
    /// Position of the connection.
    pub slot: usize,
    /// Whether a whole valid line ever came.
    pub has_sent_message: bool,
    /// Seconds since it was last of use.
    pub idle_seconds: f64,
}

/// The limits on connections.
pub(crate) struct ConnectionLimits {
    /// Connections of clients, but for a few beyond the limit while all others wait for responses.
    pub clients: usize,
    /// Connections to workers.
    pub worker_connections: usize,
    streams_per_connection: usize,
    idle_seconds: f64,
    connect_timeout: f64,
    longest_deadline: f64,
}

impl ConnectionLimits {
    /// Divides the descriptors among clients and workers; each side gets one at least.
    pub fn new(settings: &ConnectionSettings) -> Self {
        let available = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let clients = ((available as f64 * CLIENT_FRACTION) as usize).max(1);
        Self {
            clients,
            worker_connections: (available - clients).max(1),
            streams_per_connection: settings.streams_per_connection.max(1),
            idle_seconds: settings.idle_timeout * IDLE_FRACTION,
            connect_timeout: settings.connect_timeout,
            longest_deadline: settings.longest_deadline.max(FIRST_LINE_TIMEOUT),
        }
    }

    /// Which of a worker's connections takes one more attempt, by position; none for a new one. `open` is the number of
    /// connections to all workers.
    ///
    /// Where nothing came for as long as a connection may take to be made, a new one tells a slow worker from a machine
    /// that is gone: to that one it never comes up, and no more attempts gather on the silent one.
    pub fn choose_connection(
        &self,
        now: f64,
        connections: impl Iterator<Item = ConnectionUse>,
        open: usize,
    ) -> Option<usize> {
        let is_silent = |since: Option<f64>| since.is_some_and(|since| now - since >= self.connect_timeout);
        let ranked =
            connections.enumerate().map(|(at, usage)| (is_silent(usage.silent_since), usage.attempts, at));
        let (is_silent, attempts, at) = ranked.min()?;
        let has_capacity = !is_silent && attempts < PREFERRED_MAX_ATTEMPTS.min(self.streams_per_connection);
        (has_capacity || open >= self.worker_connections).then_some(at)
    }

    /// The order in which clients are closed for another: those that keep silent, then the longest idle. The last are
    /// those that have only just come and are about to send something: closed, their call would be lost.
    pub fn eviction_order(
        &self,
        clients: impl Iterator<Item = EvictionCandidate>,
    ) -> impl Iterator<Item = usize> {
        let rank = |client: &EvictionCandidate| match client {
            EvictionCandidate { idle_seconds, .. } if *idle_seconds < NEW_CLIENT_SECONDS => 2,
            EvictionCandidate { has_sent_message: true, .. } => 1,
            EvictionCandidate { has_sent_message: false, .. } => 0,
        };
        let mut order: Vec<_> = clients.collect();
        order.sort_by(|a, b| rank(a).cmp(&rank(b)).then(b.idle_seconds.total_cmp(&a.idle_seconds)));
        order.into_iter().map(|client| client.slot)
    }

    /// Whether a client has sent no whole line, or not read what it was sent, for too long since `last_progress`.
    pub fn is_silent(&self, now: f64, last_progress: f64) -> bool {
        now - last_progress >= SILENCE_TIMEOUT
    }

    /// Whether the rest of a line is waited for no longer: its pieces, the last of them at `last_received`, stopped
    /// coming, or it takes longer than any client waits for a response. A client's first line gets less time.
    pub fn line_timed_out(
        &self,
        now: f64,
        line_started: f64,
        last_received: f64,
        has_sent_message: bool,
    ) -> bool {
        let limit = if has_sent_message { self.longest_deadline } else { FIRST_LINE_TIMEOUT };
        self.is_silent(now, last_received) || now - line_started >= limit
    }

    /// Whether a connection to a worker is closed that has been unused since `last_used`.
    pub fn is_idle(&self, now: f64, last_used: f64) -> bool {
        now - last_used >= self.idle_seconds
    }
}

#[cfg(test)]
mod tests;
