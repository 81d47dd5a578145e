//! The shutdown step by step: the listener is closed with nothing left in its queue, every call that is read is
//! answered, and each connection is closed once it is idle.

use super::ClientConnection;
use crate::platform_router::{PlatformRouter, SharedRouter};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::lines;
use socket2::SockRef;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The listener, and the task that accepts connections from it.
pub struct Acceptor {
    listener: Rc<TcpListener>,
    accept_task: JoinHandle<()>,
}

impl Acceptor {
    pub fn open(router: SharedRouter, listener: TcpListener) -> Self {
        let listener = Rc::new(listener);
        let accept_task = tokio::task::spawn_local(super::accept_connections(router, listener.clone()));
        Self { listener, accept_task }
    }
}

impl PlatformRouter {
    /// Takes the next step of a shutdown that has begun; true where the process may exit.
    pub fn step_shutdown(&mut self, acceptor: &mut Option<Acceptor>) -> bool {
        let now = self.now();
        if !self.shutdown.admission_over(now) {
            return false;
        }
        if let Some(Acceptor { listener, accept_task }) = acceptor {
            if !accept_task.is_finished() {
                // It holds the listener until it has ended, before the next step.
                accept_task.abort();
                return false;
            }
            let result = self.accept_queued(|| SockRef::from(&**listener).accept().map(|(socket, _)| socket));
            if result.empty || self.shutdown.exit_due(now) {
                *acceptor = None;
            }
            if result.accepted > 0 && !self.shutdown.answers_due(now) {
                // Their sockets are known to be readable only in the next step.
                return false;
            }
        }
        self.read_unread();
        self.shutdown.close_admission();
        if self.shutdown.answers_due(now) {
            self.answer_all_open(now);
        }
        self.run_actions();
        self.shut_down_idle(now, |_| true);
        self.close_shut_down(now);
        if self.shutdown.exit_due(now) {
            let (open, connections) = (self.dispatcher.open_requests(), self.clients.len());
            tracing::info!(open, connections, "SIGKILL may come soon; the router exits");
            return true;
        }
        acceptor.is_none() && self.dispatcher.open_requests() == 0 && self.clients.is_empty()
    }

    /// Reads what lies unread in the sockets of clients.
    fn read_unread(&mut self) {
        let unread = |c: &ClientConnection| !c.closing && c.write_closed_at.is_none() && !c.nothing_unread();
        let unread: Vec<_> = self.clients.iter().filter(|(_, c)| unread(c)).map(|(key, _)| key).collect();
        for key in unread {
            self.on_client_readable(key);
        }
    }

    /// Gives every call that is open its final answer, by what is known of it: one that may have run has failed, one
    /// that has not begun is rejected.
    fn answer_all_open(&mut self, now: f64) {
        let open = |(key, c): (usize, &ClientConnection)| {
            c.open.iter().map(move |(n, request)| (key, *n, *request)).collect()
        };
        let open: Vec<Vec<(usize, u64, RequestId)>> = self.clients.iter().map(open).collect();
        for (key, number, request) in open.into_iter().flatten() {
            if let Some(context) = self.dispatcher.context(request) {
                let id = context.id;
                self.open_request_ids.remove(&id);
            }
            let may_have_run = self.dispatcher.client_gone(now, request);
            let Some(client) = self.clients.get_mut(key) else { continue };
            client.open.retain(|(open, _)| *open != number);
            if may_have_run {
                lines::write_failed(&mut client.write_buffer.bytes, number);
            } else {
                lines::write_rejected(&mut client.write_buffer.bytes, number, self.retry_after);
            }
            self.flush_client(key);
        }
    }
}
