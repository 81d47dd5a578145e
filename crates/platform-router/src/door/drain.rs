//! The shutdown step by step: the listener is closed with nothing left in its queue, every call that is read is
//! answered, and each connection is closed once it is idle.

use super::Client;
use crate::station::{Shared, Station};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::lines;
use socket2::SockRef;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The listener, and the task that accepts connections from it.
pub struct Entrance {
    listener: Rc<TcpListener>,
    accepting: JoinHandle<()>,
}

impl Entrance {
    pub fn open(station: Shared, listener: TcpListener) -> Self {
        let listener = Rc::new(listener);
        let accepting = tokio::task::spawn_local(super::accept(station, listener.clone()));
        Self { listener, accepting }
    }
}

impl Station {
    /// Takes the next step of a shutdown that has begun; true where the process may exit.
    pub fn step_shutdown(&mut self, entrance: &mut Option<Entrance>) -> bool {
        let now = self.now();
        if !self.shutdown.admission_over(now) {
            return false;
        }
        if let Some(Entrance { listener, accepting }) = entrance {
            if !accepting.is_finished() {
                // It holds the listener until it has ended, before the next step.
                accepting.abort();
                return false;
            }
            let drained = self.drain_queue(|| SockRef::from(&**listener).accept().map(|(socket, _)| socket));
            if drained.empty || self.shutdown.exit_due(now) {
                *entrance = None;
            }
            if drained.accepted > 0 && !self.shutdown.answers_due(now) {
                // Their sockets are known to be readable only in the next step.
                return false;
            }
        }
        self.read_unread();
        self.shutdown.close_admission();
        if self.shutdown.answers_due(now) {
            self.answer_all_open(now);
        }
        self.carry_out();
        self.finish_idle(now, |_| true);
        self.close_finished(now);
        if self.shutdown.exit_due(now) {
            let (open, connections) = (self.desk.open(), self.clients.len());
            tracing::info!(open, connections, "SIGKILL may come soon; the router exits");
            return true;
        }
        entrance.is_none() && self.desk.open() == 0 && self.clients.is_empty()
    }

    /// Reads what lies unread in the sockets of clients.
    fn read_unread(&mut self) {
        let unread = |c: &Client| !c.condemned && c.finished.is_none() && !c.quiet();
        let unread: Vec<_> = self.clients.iter().filter(|(_, c)| unread(c)).map(|(key, _)| key).collect();
        for key in unread {
            self.client_reads(key);
        }
    }

    /// Gives every call that is open its final answer, by what is known of it: one that may have run has failed, one
    /// that has not begun is rejected.
    fn answer_all_open(&mut self, now: f64) {
        let open = |(key, c): (usize, &Client)| c.open.iter().map(move |(n, tag)| (key, *n, *tag)).collect();
        let open: Vec<Vec<(usize, u64, RequestId)>> = self.clients.iter().map(open).collect();
        for (key, number, tag) in open.into_iter().flatten() {
            if let Some(asker) = self.desk.what(tag) {
                let id = asker.id;
                self.ids.remove(&id);
            }
            let may_have_run = self.desk.left(now, tag);
            let Some(client) = self.clients.get_mut(key) else { continue };
            client.open.retain(|(open, _)| *open != number);
            if may_have_run {
                lines::terminated(&mut client.out.bytes, number);
            } else {
                lines::bounced(&mut client.out.bytes, number, self.come_back);
            }
            self.client_writes(key);
        }
    }
}
