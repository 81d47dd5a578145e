//! Limits on connections: how many the router opens and keeps within its file descriptor limit, which ones it closes
//! first, and when. Performs no I/O. Times are in seconds.

/// File descriptors reserved for everything but client and worker connections: standard streams, the async runtime,
/// the listener, the current and the next discovery connection, the configuration file, and connections being closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Fraction of the remaining descriptors for clients. The platform's own connections take at most a third of all, and
/// the other clients need a connection to be answered on.
const CLIENT_FRACTION: f64 = 0.55;
/// Number of attempts on one connection at which another connection is opened. A connection that fails takes all of
/// its attempts with it, but every new connection costs the worker a handshake.
const PREFERRED_MAX_ATTEMPTS: usize = 4;
/// Seconds that a client may stay connected without sending a complete line. The platform requires such connections
/// to be closed within 3 s.
const SILENCE_TIMEOUT: f64 = 2.0;
/// Seconds that the first line of a client may take. With a check every 0.2 s the connection is still closed within
/// those 3 s.
const FIRST_LINE_TIMEOUT: f64 = 2.5;
/// Idle time in seconds below which a client is evicted only after all others: it may have just connected.
const NEW_CLIENT_SECONDS: f64 = 0.3;
/// Fraction of the configured idle timeout after which a connection to a worker is closed, so that the router closes
/// it before the worker does.
const IDLE_FRACTION: f64 = 0.8;

/// The settings from which the limits are derived.
pub(crate) struct ConnectionSettings {
    /// File descriptors that the process may open.
    pub descriptors: usize,
    /// Concurrent attempts that a worker accepts on one connection.
    pub streams_per_connection: usize,
    /// Seconds after which a worker may close an idle connection.
    pub idle_timeout: f64,
    /// Connect timeout for workers, in seconds.
    pub connect_timeout: f64,
    /// The longest time that a client waits for a response, in seconds.
    pub longest_deadline: f64,
}

/// The current load of one connection to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionUse {
    /// Attempts on the connection, including queued ones.
    pub attempts: usize,
    /// Time since which a response has been outstanding with nothing received; `None` if no response is outstanding.
    pub silent_since: Option<f64>,
}

/// A client connection that may be evicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvictionCandidate {
    /// Slot of the connection.
    pub slot: usize,
    /// Whether a complete valid line was ever received.
    pub has_sent_message: bool,
    /// Seconds since the connection was last used.
    pub idle_seconds: f64,
}

/// The limits on connections.
pub(crate) struct ConnectionLimits {
    /// Maximum number of client connections. It is exceeded by a few while all of them wait for responses.
    pub clients: usize,
    /// Maximum number of connections to workers.
    pub worker_connections: usize,
    streams_per_connection: usize,
    idle_seconds: f64,
    connect_timeout: f64,
    longest_deadline: f64,
}

impl ConnectionLimits {
    /// Divides the descriptors between clients and workers; each side gets at least one.
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

    /// Index of the worker's connection that takes one more attempt; `None` for a new connection. `open` is the
    /// number of connections to all workers.
    ///
    /// If nothing was received on a connection for the connect timeout, a new one distinguishes a slow worker from an
    /// unreachable host: the connect fails for the latter, and no further attempts queue up on the silent connection.
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

    /// The order in which clients are evicted: silent clients first, then by idle time, longest first. Clients that
    /// have just connected come last, because they are about to send a call that would be lost.
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

    /// Whether a client that has sent lines for this many seconds, and no calls, gives its place to another one.
    pub fn is_without_calls(&self, seconds: f64) -> bool {
        seconds >= NEW_CLIENT_SECONDS
    }

    /// Whether a client has sent no complete line, or not read its responses, for too long since `last_progress`.
    pub fn is_silent(&self, now: f64, last_progress: f64) -> bool {
        now - last_progress >= SILENCE_TIMEOUT
    }

    /// Whether an incomplete line has timed out: either its bytes stopped arriving, the last ones at `last_received`,
    /// or it takes longer than any client waits for a response. The first line of a client gets less time.
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

    /// Whether a connection to a worker that was last used at `last_used` has been idle for so long that it is
    /// closed.
    pub fn is_idle(&self, now: f64, last_used: f64) -> bool {
        now - last_used >= self.idle_seconds
    }
}

#[cfg(test)]
mod tests;
