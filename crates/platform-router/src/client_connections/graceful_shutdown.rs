//! The steps of a graceful shutdown: the listener is closed once its queue is empty, every call that was read is
//! answered, and each connection is closed once it is idle.

use super::accept::accept_connections;
use crate::platform_router::{PlatformRouter, SharedRouter};
use socket2::SockRef;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The listener and the task that accepts connections from it.
pub(crate) struct Acceptor {
    listener: Rc<TcpListener>,
    accept_task: JoinHandle<()>,
}

impl Acceptor {
    /// Starts a task that accepts connections.
    pub fn open(router: SharedRouter, listener: TcpListener) -> Self {
        let listener = Rc::new(listener);
        let accept_task = tokio::task::spawn_local(accept_connections(router, listener.clone()));
        Self { listener, accept_task }
    }
}

impl PlatformRouter {
    /// Performs the next step of a shutdown in progress; returns true if the process may exit. Sets `acceptor` to
    /// `None`, which closes the listener, once its queue is empty.
    pub fn step_shutdown(&mut self, acceptor: &mut Option<Acceptor>) -> bool {
        let now = self.now();
        self.shutdown.record_step(now);
        if !self.shutdown.admission_over(now) {
            return false;
        }
        let acceptor_closed = self.close_acceptor(acceptor, now);
        // Where there is no time left to serve a call, nothing has to be read before the admission is closed.
        if self.shutdown.rejects(now) {
            self.shutdown.close_admission();
        } else if !acceptor_closed {
            return false;
        }
        if self.shutdown.answers_due(now) {
            self.answer_open_calls(now);
        } else {
            self.read_clients(now);
            self.shutdown.close_admission();
        }
        self.run_actions();
        self.shut_down_idle(now, |_| true);
        self.close_lingering(now);
        self.may_exit(acceptor.is_none())
    }

    /// Whether the process may exit after a step: nothing is open any more, or the SIGKILL may come before the next one.
    fn may_exit(&self, acceptor_closed: bool) -> bool {
        let (open_requests, connections) = (self.dispatcher.open_requests(), self.clients.len());
        if self.shutdown.exit_due(self.now()) {
            tracing::info!(open_requests, connections, "exiting before the earliest SIGKILL");
            return true;
        }
        acceptor_closed && open_requests == 0 && connections == 0
    }

    /// Accepts what is queued at the listener, then closes it. Returns false if the shutdown can only continue in the
    /// next step, because the queue could not be emptied.
    fn close_acceptor(&mut self, acceptor: &mut Option<Acceptor>, now: f64) -> bool {
        let Some(Acceptor { listener, accept_task }) = acceptor else { return true };
        // From now on only the steps accept connections.
        accept_task.abort();
        let result = self.accept_queued(|| SockRef::from(&**listener).accept().map(|(socket, _)| socket));
        if !result.empty && !self.shutdown.exit_due(now) {
            return self.shutdown.answers_due(now);
        }
        // The aborted task holds the listener until the runtime has dropped it. Until then connections would be queued that
        // nobody accepts, among them those of the clients whose connections are shut down in this step.
        if let Err(error) = SockRef::from(&**listener).shutdown(Shutdown::Read) {
            tracing::debug!(%error, "the listener can't be shut down; it is closed by the next step");
        }
        *acceptor = None;
        true
    }

    /// Reads the sockets of all clients, and shuts down those connections that are idle then and whose calls are rejected
    /// from now on.
    fn read_clients(&mut self, now: f64) {
        for slot in self.clients_where(|_, client| client.write_closed_at.is_none()) {
            self.read_and_shut_down(slot, now);
            self.run_actions();
        }
    }

    /// Sends every open call its final response and shuts down each connection: failed if it may have run, rejected if it has not started.
    fn answer_open_calls(&mut self, now: f64) {
        for slot in self.clients_where(|_, client| client.write_closed_at.is_none()) {
            self.answer_calls_of(slot, now);
            // The client may have sent more calls, which are rejected, since its socket was last read.
            self.read_and_shut_down(slot, now);
        }
    }

    /// Reads a client's socket until it is empty and shuts its connection down at once if it is idle then. The runtime
    /// does not look at sockets during a step, so it is not asked whether there is something to read: most clients have
    /// sent more since it looked.
    fn read_and_shut_down(&mut self, slot: usize, now: f64) {
        let empty = self.read_client_until_empty(slot);
        if empty && self.shutdown.admission_closed() {
            self.shut_down_empty_if_idle(slot, now);
        }
    }

    /// Does the same for the calls of one client.
    fn answer_calls_of(&mut self, slot: usize, now: f64) {
        let open_calls = self.clients.get(slot).map_or_else(Vec::new, |client| client.open_calls.clone());
        for call in open_calls {
            self.end_call(slot, call, now);
        }
        self.flush_client(slot);
    }
}
