//! The thread of a control machine: it receives datagrams, stores records, and sends datagrams. A change that is
//! invalid under the machine's own configuration is denied here, before it is proposed.

use super::STOP_CHECK_INTERVAL;
use super::receiver::{self, BatchEnd, Receiver};
use crate::control_status::ControlStatus;
use milletpath_config::GatewayConfig;
use milletpath_config_log::message::{self, Key, MAX_DATAGRAM_BYTES, MAX_DENIAL_BYTES, Message};
use milletpath_config_log::{Change, DurableReplica, FlushOutput, StorageEvent};
use milletpath_gateway::{StatusPages, is_power_of_ten, thread_cpu_seconds};
use milletpath_storage::DiskFolder;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Seconds between checks whether the role has changed.
const ROLE_CHECK_INTERVAL: f64 = 1.0;

/// Minimum wait for a datagram, in seconds.
const MIN_WAIT: f64 = 0.001;

/// A replica whose log file is on disk.
pub type StoredReplica = DurableReplica<DiskFolder>;

/// The configuration and the socket of a control machine.
pub struct MachineSettings {
    /// The gateway configuration, against which proposed changes are validated.
    pub config: GatewayConfig,
    /// Addresses of all control machines, in the order of their numbers.
    pub control: Vec<SocketAddr>,
    /// Socket for receiving and sending datagrams.
    pub socket: Arc<UdpSocket>,
    /// Key that authenticates datagrams.
    pub key: Key,
}

/// Role of a control machine in the cluster, as reported in the process log.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Role {
    /// Whether it votes.
    votes: bool,
    /// Whether a majority of the control machines confirmed its state recently.
    has_majority: bool,
}

/// State of the thread of a control machine. Times are in seconds since `started_at`.
pub struct ControlMachine {
    /// The replica of the configuration log.
    replica: StoredReplica,
    settings: MachineSettings,
    started_at: Instant,
    status_pages: StatusPages,
    /// Number of datagrams that could not be authenticated or decoded.
    rejected_datagrams: u64,
    /// Why the log file cannot be written at present, if so.
    log_error: Option<String>,
    /// Time of the next check of the role.
    next_role_check: f64,
    /// The role that was last logged.
    logged_role: Option<Role>,
}

impl ControlMachine {
    /// Creates a control machine whose clock starts now.
    pub fn new(replica: StoredReplica, settings: MachineSettings) -> Self {
        Self {
            replica,
            settings,
            started_at: Instant::now(),
            status_pages: StatusPages::default(),
            rejected_datagrams: 0,
            log_error: None,
            next_role_check: 0.0,
            logged_role: None,
        }
    }

    /// Returns the seconds since the start.
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Runs until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        let mut receiver = Receiver::new(self.settings.socket.clone(), MAX_DATAGRAM_BYTES);
        while !stop.load(Ordering::Acquire) {
            let wait = self.time_to_deadline();
            let end = receiver.receive(wait, |datagram, from| self.handle_datagram(datagram, from));
            // Datagrams that arrived while this thread was paused are handled before any timeout fires.
            if end == BatchEnd::Drained {
                let now = self.now();
                self.replica.replica_mut().tick(now);
            }
            self.flush();
            self.log_role_change();
        }
    }

    /// Returns how long the thread may wait for a datagram.
    fn time_to_deadline(&self) -> Duration {
        let seconds = self.replica.next_deadline() - self.now();
        Duration::from_secs_f64(seconds.clamp(MIN_WAIT, STOP_CHECK_INTERVAL.as_secs_f64()))
    }

    /// Handles one datagram: answers it here, or passes its message to the replica.
    fn handle_datagram(&mut self, datagram: &[u8], from: SocketAddr) {
        let message = match message::open(&self.settings.key, datagram) {
            Ok(message) => message,
            Err(error) => return self.count_rejected_datagram(from, &error),
        };
        match message {
            Message::Propose { change } if self.denies(&change, from) => {}
            Message::StatusRequest { query_id, page } => self.answer_status_request(query_id, page, from),
            message => {
                let now = self.now();
                self.replica.replica_mut().receive(now, from, message);
            }
        }
    }

    /// Counts a rejected datagram, and logs the 1st, 10th, 100th and so on.
    fn count_rejected_datagram(&mut self, from: SocketAddr, error: &message::OpenError) {
        self.rejected_datagrams += 1;
        if is_power_of_ten(self.rejected_datagrams) {
            let total = self.rejected_datagrams;
            tracing::warn!(%from, total, %error, "a datagram is rejected");
        }
    }

    /// Denies a change that is invalid under the configuration. Returns whether it was denied.
    fn denies(&self, change: &Change, from: SocketAddr) -> bool {
        // A change forwarded by another control machine was validated there.
        if self.settings.control.contains(&from) {
            return false;
        }
        let Err(errors) = self.settings.config.parse_change(&change.key, change.text.as_deref()) else {
            return false;
        };
        let reason = denial_reason(errors.first().map(ToString::to_string).unwrap_or_default());
        tracing::info!(%from, key = change.key, reason, "a change is denied");
        self.send(from, &Message::ChangeDenied { id: change.id, reason });
        true
    }

    /// Sends a page of the status report to the process that requested it.
    fn answer_status_request(&mut self, query_id: u64, page: u32, from: SocketAddr) {
        let now = self.now();
        let (log_bytes, log_error) = (self.replica.log_size(), self.log_error.clone());
        let replica = self.replica.replica_mut();
        let reply = self.status_pages.page(from, query_id, page, || {
            let status = ControlStatus {
                view: replica.view(now),
                uptime: now,
                cpu_seconds: thread_cpu_seconds(),
                log_bytes,
                log_error,
            };
            serde_json::to_vec(&status).ok()
        });
        if let Some(reply) = reply {
            self.send(from, &reply);
        }
    }

    /// Sends a message. One that cannot be encoded or sent is dropped, just as the network may drop it.
    fn send(&self, to: SocketAddr, message: &Message) {
        if let Ok(datagram) = message::seal(&self.settings.key, message) {
            receiver::send(&self.settings.socket, &datagram, to);
        }
    }

    /// Stores the new records, then sends the messages that depend on them.
    fn flush(&mut self) {
        let FlushOutput { messages, events } = self.replica.flush(self.now());
        messages.iter().for_each(|outgoing| self.send(outgoing.to, &outgoing.message));
        events.into_iter().for_each(|event| self.log_storage_event(event));
    }

    /// Logs a storage failure, its end, or a rewrite of the log file, and updates the error in the status report.
    fn log_storage_event(&mut self, event: StorageEvent) {
        match event {
            StorageEvent::Failed { error, consecutive_failures, retry_in } => {
                let votes = !self.replica.replica().is_suspended();
                if is_power_of_ten(consecutive_failures.into()) {
                    tracing::error!(consecutive_failures, retry_in, votes, %error, "the log can't be written");
                }
                self.log_error = Some(error.to_string());
            }
            StorageEvent::Recovered => {
                tracing::info!("a new log file is on the disk: it votes again");
                self.log_error = None;
            }
            StorageEvent::Rewritten { records } => {
                tracing::info!(records, "the log had grown and was written anew");
                self.log_error = None;
            }
        }
    }

    /// Logs a change of the machine's role, checked every [`ROLE_CHECK_INTERVAL`].
    fn log_role_change(&mut self) {
        let now = self.now();
        if now < self.next_role_check {
            return;
        }
        self.next_role_check = now + ROLE_CHECK_INTERVAL;
        let view = self.replica.replica_mut().view(now);
        let role = Role { votes: view.votes, has_majority: view.majority };
        if self.logged_role != Some(role) {
            let Role { votes, has_majority } = role;
            let (number, reachable) = (view.number, &view.reachable);
            tracing::info!(
                number,
                votes,
                has_majority,
                ?reachable,
                "role among the control machines changed"
            );
            self.logged_role = Some(role);
        }
    }
}

/// Truncates a reason to the maximum size of a denial, at a character boundary.
fn denial_reason(mut reason: String) -> String {
    let end = (0..=MAX_DENIAL_BYTES.min(reason.len())).rev().find(|n| reason.is_char_boundary(*n));
    reason.truncate(end.unwrap_or(0));
    reason
}
