//! The thread of a control machine: receives datagrams, stores records, and sends datagrams.

use super::receiver::{self, Receiver, Turn};
use super::{ControlStatus, STOP_CHECK_INTERVAL};
use milletpath_config::GatewayConfig;
use milletpath_config_log::message::{self, Key, MAX_DATAGRAM_BYTES, MAX_DENIAL_BYTES, Message};
use milletpath_config_log::{DurableReplica, FlushOutput, StorageEvent};
use milletpath_gateway::{StatusPages, is_power_of_ten, thread_cpu_seconds};
use milletpath_storage::DiskFolder;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub struct ControlMachine {
    replica: DurableReplica<DiskFolder>,
    config: GatewayConfig,
    control: Vec<SocketAddr>,
    socket: Arc<UdpSocket>,
    key: Key,
    started_at: Instant,
    status_pages: StatusPages,
    /// Datagrams that could not be opened.
    rejected_datagrams: u64,
    /// Why the log file cannot be written at present.
    log_error: Option<String>,
    next_role_check: f64,
    /// Whether it voted and had a majority when that was last logged.
    logged_role: Option<(bool, bool)>,
}

impl ControlMachine {
    pub fn new(
        replica: DurableReplica<DiskFolder>,
        config: GatewayConfig,
        control: Vec<SocketAddr>,
        socket: Arc<UdpSocket>,
        key: Key,
        started_at: Instant,
    ) -> Self {
        Self {
            replica,
            config,
            control,
            socket,
            key,
            started_at,
            status_pages: StatusPages::default(),
            rejected_datagrams: 0,
            log_error: None,
            next_role_check: 0.0,
            logged_role: None,
        }
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Runs until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        let mut receiver = Receiver::new(self.socket.clone(), MAX_DATAGRAM_BYTES);
        while !stop.load(Ordering::Acquire) {
            let wait =
                (self.replica.next_deadline() - self.now()).clamp(0.001, STOP_CHECK_INTERVAL.as_secs_f64());
            let turn = receiver.receive(Duration::from_secs_f64(wait), |datagram, from| {
                self.handle_datagram(datagram, from);
            });
            // All datagrams that arrived during a pause of this thread are handled before any timeout.
            if turn == Turn::Drained {
                let now = self.now();
                self.replica.replica_mut().tick(now);
            }
            self.flush();
            self.log_role_change();
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8], from: SocketAddr) {
        let message = match message::open(&self.key, datagram) {
            Ok(message) => message,
            Err(why) => {
                self.rejected_datagrams += 1;
                if is_power_of_ten(self.rejected_datagrams) {
                    tracing::warn!(%from, all = self.rejected_datagrams, "a message is not taken: {why}");
                }
                return;
            }
        };
        if let Message::Propose { change } = &message
            // The control machine that forwards a change has checked it.
            && !self.control.contains(&from)
            && let Err(mistakes) = self.config.parse_change(&change.key, change.text.as_deref())
        {
            let mut why = mistakes.first().map(ToString::to_string).unwrap_or_default();
            let end = (0..=MAX_DENIAL_BYTES.min(why.len())).rev().find(|n| why.is_char_boundary(*n));
            why.truncate(end.unwrap_or(0));
            tracing::info!(%from, key = change.key, "a change is refused: {why}");
            return self.send(from, &Message::ChangeDenied { id: change.id, reason: why });
        }
        if let Message::StatusRequest { query_id, page } = message {
            return self.answer_status_request(query_id, page, from);
        }
        let now = self.now();
        self.replica.replica_mut().receive(now, from, message);
    }

    /// Sends a page of the status report to an operator.
    fn answer_status_request(&mut self, query_id: u64, page: u32, from: SocketAddr) {
        let (up, log, log_error) = (self.now(), self.replica.log_size(), self.log_error.clone());
        let replica = self.replica.replica_mut();
        let reply = self.status_pages.page(from, query_id, page, || {
            serde_json::to_vec(&ControlStatus {
                view: replica.view(up),
                up,
                cpu: thread_cpu_seconds(),
                log,
                log_error,
            })
            .ok()
        });
        if let Some(reply) = reply {
            self.send(from, &reply);
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let Ok(datagram) = message::seal(&self.key, message) {
            receiver::send(&self.socket, &datagram, to);
        }
    }

    /// Stores records, and sends the messages that may go out once they are on the disk.
    fn flush(&mut self) {
        let FlushOutput { messages, events } = self.replica.flush(self.now());
        messages.iter().for_each(|outgoing| self.send(outgoing.to, &outgoing.message));
        events.into_iter().for_each(|event| self.log_storage_event(event));
    }

    fn log_storage_event(&mut self, event: StorageEvent) {
        match event {
            StorageEvent::Failed { error, consecutive_failures: in_a_row, retry_in } => {
                let votes = !self.replica.replica().is_suspended();
                if is_power_of_ten(in_a_row.into()) {
                    tracing::error!(in_a_row, retry_in, votes, "the log can't be written: {error}");
                }
                self.log_error = Some(error.to_string());
            }
            StorageEvent::Recovered => {
                tracing::info!("a fresh log is on the disk: it votes again");
                self.log_error = None;
            }
            StorageEvent::Rewritten { records } => {
                tracing::info!(records, "the log was written anew");
                self.log_error = None;
            }
        }
    }

    /// Logs when it begins or ceases to vote or to have a majority.
    fn log_role_change(&mut self) {
        /// Seconds between two checks.
        const ROLE_CHECK_INTERVAL: f64 = 1.0;
        let now = self.now();
        if now < self.next_role_check {
            return;
        }
        self.next_role_check = now + ROLE_CHECK_INTERVAL;
        let view = self.replica.replica_mut().view(now);
        let role = Some((view.votes, view.majority));
        if role != self.logged_role {
            let (number, votes, majority, heard) = (view.number, view.votes, view.majority, &view.reachable);
            tracing::info!(number, votes, majority, ?heard, "how it stands among the control machines");
            self.logged_role = role;
        }
    }
}
