//! Chooses the connection for a frame and queues the frame on it.

use super::task;
use crate::platform_router::{PlatformRouter, QueuedFrame, WorkerConnection};
use milletpath_dispatcher::dispatcher::{RequestId, WorkerProcess};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::spawn_local;

impl PlatformRouter {
    /// Sends an attempt of a request to a worker.
    pub fn send_attempt(&mut self, request: RequestId, attempt: usize, worker: usize) {
        let Some(id) = self.dispatcher.context(request).map(|context| context.id) else { return };
        let slot = self.select_connection(worker, Some(id));
        if let Some(context) = self.dispatcher.context(request) {
            let attempts = context.worker_connections.len().max(attempt + 1);
            context.worker_connections.resize(attempts, usize::MAX);
            context.worker_connections[attempt] = slot;
        }
        self.enqueue(slot, QueuedFrame::Attempt { request, attempt });
    }

    /// Asks a worker to load instances of a function.
    pub fn send_load_request(
        &mut self,
        load_request: RequestId,
        worker: usize,
        function: Arc<str>,
        instances: u8,
    ) {
        let slot = self.select_connection(worker, None);
        self.enqueue(slot, QueuedFrame::LoadRequest { load_request, function, instances });
    }

    /// Asks a worker to unload a function.
    pub fn send_unload(&mut self, worker: usize, function: Arc<str>) {
        let slot = self.select_connection(worker, None);
        self.enqueue(slot, QueuedFrame::Unload { function });
    }

    /// Sends a health check to a worker.
    pub fn send_health_check(&mut self, worker: usize, serial: u64) {
        let slot = self.select_connection(worker, None);
        self.enqueue(slot, QueuedFrame::HealthCheck { serial });
    }

    /// Cancels an attempt that the dispatcher has ended: removes it from the queue if nothing of it was written, and
    /// otherwise notifies the worker.
    pub fn cancel_attempt(&mut self, request: RequestId, attempt: usize) {
        let Some(slot) = self
            .dispatcher
            .context(request)
            .and_then(|context| context.worker_connections.get(attempt).copied())
        else {
            return;
        };
        let Some(connection) = self.worker_connections.get_mut(slot) else { return };
        if connection.remove_queued_attempt(request, attempt) {
            tracing::debug!(
                worker = connection.worker,
                connected = connection.stream.is_some(),
                still_queued = connection.queue.len(),
                unwritten = connection.write_buffer.remaining(),
                "an attempt was cancelled before its first byte was written"
            );
        }
        let Some(id) = connection.finish_attempt(request, attempt) else { return };
        if self.sends_cancels {
            self.enqueue(slot, QueuedFrame::Cancel { id });
        }
    }

    fn enqueue(&mut self, slot: usize, frame: QueuedFrame) {
        let now = self.now();
        let connection = &mut self.worker_connections[slot];
        connection.last_used = now;
        connection.queue.push_back(frame);
        self.flush_worker(slot);
    }

    /// Returns the connection for the next frame to a worker, opening one if necessary. `id` is the request id of an
    /// attempt.
    fn select_connection(&mut self, worker: usize, id: Option<u64>) -> usize {
        let WorkerProcess { address, process } = self.dispatcher.worker_process(worker);
        let usable = self.usable_connections(worker, process, id);
        if let Some(slot) = self.fallback_while_connect_fails(&usable) {
            return slot;
        }
        let now = self.now();
        let usage = usable.iter().map(|&slot| self.worker_connections[slot].usage());
        let chosen = self.connection_limits.choose_connection(now, usage, self.worker_connections.len());
        match chosen {
            Some(at) => usable[at],
            None => self.open_connection(worker, process, address),
        }
    }

    /// Connections to this worker process on which a frame with this id may be sent. Two attempts of a request have
    /// the same id, so their responses could not be told apart on one connection.
    fn usable_connections(&self, worker: usize, process: u64, id: Option<u64>) -> Vec<usize> {
        let known = self.connections_by_worker.get(&worker).into_iter().flatten().copied();
        let is_usable = |slot: &usize| {
            let connection = &self.worker_connections[*slot];
            connection.process == process && id.is_none_or(|id| !connection.uses_id(id))
        };
        known.filter(is_usable).collect()
    }

    /// While connecting to a worker fails for a local reason, returns the least loaded established connection or else
    /// the one still being retried, as opening another one would fail too.
    fn fallback_while_connect_fails(&self, usable: &[usize]) -> Option<usize> {
        let failing = usable.iter().copied().find(|&slot| self.worker_connections[slot].connect_failing)?;
        let connected = usable.iter().copied().filter(|&slot| self.worker_connections[slot].stream.is_some());
        Some(connected.min_by_key(|&slot| self.worker_connections[slot].attempts()).unwrap_or(failing))
    }

    /// Opens a connection. At the limit, the longest idle connection to any worker is closed to make room.
    fn open_connection(&mut self, worker: usize, process: u64, address: SocketAddr) -> usize {
        if self.worker_connections.len() >= self.connection_limits.worker_connections {
            let idle = self.worker_connections.iter().filter(|(_, connection)| connection.is_unused());
            let longest = idle.min_by(|(_, a), (_, b)| a.last_used.total_cmp(&b.last_used));
            if let Some(slot) = longest.map(|(slot, _)| slot) {
                self.remove_worker_connection(slot);
            }
        }
        let reservation = self.memory_budget.reserve(0);
        let connection =
            WorkerConnection::new(worker, process, reservation, self.now(), self.connect_timeout);
        let wake = connection.wake.clone();
        let slot = self.worker_connections.insert(connection);
        self.connections_by_worker.entry(worker).or_default().push(slot);
        if let Some(router) = self.weak_self.upgrade() {
            spawn_local(task::run_connection(router, slot, address, wake));
        }
        slot
    }
}
