//! Follows the replicated log of configuration changes: runs the follower of `milletpath-config-log` on a thread with
//! one UDP socket. Committed changes are applied to the dispatcher in batches, and no request ever waits for the
//! network. The last known state is stored in a file and applied before the first request after a restart, even if no
//! control machine answers.

mod state_file;
mod status_log;

use crate::control_thread::{self, ControlLoop, ControlThreadError, bind};
use crate::datagram_receiver::is_power_of_ten;
use crate::key_file::read_control_key;
use crate::process_clocks::thread_cpu_seconds;
use crate::shared_runtime::SharedRuntime;
use crate::status_pages::StatusPages;
use milletpath_config::{ConfigChange, ConfigLogConfig, Subject};
use milletpath_config_log::message::{self, Key, MAX_APPLY_ERROR_BYTES, MAX_DATAGRAM_BYTES, Message};
use milletpath_config_log::{Entry, Follower, FollowerConfig, FollowerView, OutgoingMessage, Timing};
use milletpath_storage::{DiskFolder, survive_file_size_limit};
use serde::{Deserialize, Serialize};
use state_file::{StateFile, StateId};
use status_log::StatusLog;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;

/// The socket and key of a configuration follower whose thread has not been started yet.
pub struct ConfigFeed {
    socket: UdpSocket,
    key: Key,
}

impl ConfigFeed {
    /// Opens the configured socket and reads the control machines' key.
    ///
    /// # Errors
    ///
    /// Fails if the key file can't be used or the address can't be bound.
    pub fn open(settings: &ConfigLogConfig) -> Result<Self, ControlThreadError> {
        let key = read_control_key(&settings.key_file)?;
        let socket = bind(settings.listen)?;
        Ok(Self { socket, key })
    }

    /// Returns the address on which datagrams are received.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket's address is not available.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

/// The status of a gateway's configuration follower, as shown by `milletpath changes --here`. Operators read its JSON,
/// so the serde names of its fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The applied state, and what is known about each replica.
    #[serde(flatten)]
    pub view: FollowerView,
    /// CPU time of the follower's thread since the start, in seconds.
    #[serde(rename = "cpu")]
    pub cpu_seconds: f64,
    /// Datagrams rejected because they were sealed with another key or altered.
    #[serde(rename = "seals")]
    pub rejected_seal: u64,
    /// Datagrams rejected for any other reason.
    #[serde(rename = "unread")]
    pub rejected_other: u64,
    /// Number of times that the last known state was written to its file.
    #[serde(rename = "kept")]
    pub saves: u64,
    /// Number of times that writing it failed.
    #[serde(rename = "not_kept")]
    pub failed_saves: u64,
}

/// Observes the follower on its own thread.
pub(crate) trait FollowerObserver: Send {
    /// Called when the dispatcher has applied all changes up to this log entry number.
    fn applied(&mut self, number: u64);
    /// Called after each iteration of the thread's loop.
    fn after_turn(&mut self, follower: &Follower);
    /// Whether the thread must end as if its process had been killed, without storing its state.
    fn is_killed(&self) -> bool;
}

/// Applies the stored last known state, then starts the follower's thread. The thread ends once `shared_runtime` is
/// stopping; the caller joins it.
///
/// # Errors
///
/// Fails if the configuration has no section `changes`, the path of the state file has no file name, or the thread
/// can't be started.
pub fn start(
    shared_runtime: Arc<SharedRuntime>,
    feed: ConfigFeed,
) -> Result<JoinHandle<()>, ControlThreadError> {
    start_observed(shared_runtime, feed, None)
}

/// Like [`start`], with an observer.
pub(crate) fn start_observed(
    shared_runtime: Arc<SharedRuntime>,
    feed: ConfigFeed,
    observer: Option<Box<dyn FollowerObserver>>,
) -> Result<JoinHandle<()>, ControlThreadError> {
    let Some(settings) = shared_runtime.config.config_log.clone() else {
        return Err(ControlThreadError::NotConfigured("changes"));
    };
    let Some((folder, name)) = DiskFolder::of_file(&settings.state_file) else {
        return Err(ControlThreadError::StateFileName(settings.state_file));
    };
    if let Err(e) = survive_file_size_limit() {
        tracing::warn!("a limit on the size of files will end this process: {e}");
    }
    let (saved, now) = (read_saved_state(&settings.state_file), shared_runtime.now());
    let was_saved = saved.is_some();
    // Random for each process, so that gateways that start together do not poll at the same time.
    let seed = RandomState::new().hash_one(std::process::id());
    let config =
        FollowerConfig { name: settings.name, replicas: settings.control, timing: Timing::default(), seed };
    let follower = Follower::new(config, now, saved.as_deref());
    log_initial_state(&settings.state_file, was_saved, follower.state().head());
    let state_file = StateFile::new(folder, name, state_id(&follower), now);
    let mut thread = FollowerThread {
        follower,
        shared_runtime: shared_runtime.clone(),
        feed,
        state_file,
        status_pages: StatusPages::default(),
        rejected_seal: 0,
        rejected_other: 0,
        status_log: StatusLog::new(now),
        observer,
    };
    thread.apply_changes();
    control_thread::spawn(thread, shared_runtime)
}

/// Reads the stored state; `None` if there is no file or it can't be read.
fn read_saved_state(path: &Path) -> Option<Vec<u8>> {
    match std::fs::read(path) {
        Ok(saved) => Some(saved),
        Err(e) if e.kind() == ErrorKind::NotFound => None,
        Err(e) => {
            let file = path.display();
            tracing::error!(%file, "the last known state can't be read: {e}; the values of the configuration file apply");
            None
        }
    }
}

/// Logs which state is applied before the first request. `number` is its entry number, 0 if there is no state.
fn log_initial_state(path: &Path, was_saved: bool, number: u64) {
    let file = path.display();
    match (was_saved, number) {
        (true, 0) => tracing::error!(
            %file,
            "the last known state is corrupt or empty: the values of the configuration file apply until a control machine answers"
        ),
        (true, _) => tracing::info!(number, "the last known state is applied"),
        (false, _) => tracing::info!("no state is known yet: the values of the configuration file apply"),
    }
}

struct FollowerThread {
    follower: Follower,
    shared_runtime: Arc<SharedRuntime>,
    feed: ConfigFeed,
    state_file: StateFile<DiskFolder>,
    status_pages: StatusPages,
    rejected_seal: u64,
    rejected_other: u64,
    status_log: StatusLog,
    observer: Option<Box<dyn FollowerObserver>>,
}

impl ControlLoop for FollowerThread {
    const THREAD_NAME: &'static str = "changes";
    const MAX_DATAGRAM_BYTES: usize = MAX_DATAGRAM_BYTES;
    const READ_FAILED: &'static str = "datagrams of control machines can't be received";

    fn socket(&self) -> &UdpSocket {
        &self.feed.socket
    }

    fn wait_until(&self) -> f64 {
        self.follower.next_deadline()
    }

    fn next_tick(&self) -> f64 {
        self.follower.next_deadline()
    }

    fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        match message::open(&self.feed.key, datagram) {
            Ok(Message::StatusRequest { query_id, page }) => self.answer_query(query_id, page, from),
            Ok(message) => self.follower.receive(self.shared_runtime.now(), from, message),
            Err(why) => {
                let wrong_seal = matches!(why, message::OpenError::InvalidTag);
                self.rejected_seal += u64::from(wrong_seal);
                self.rejected_other += u64::from(!wrong_seal);
                let rejected = self.rejected_seal + self.rejected_other;
                if is_power_of_ten(rejected) {
                    tracing::warn!(%from, rejected, "a datagram of a control machine is rejected: {why}");
                }
            }
        }
    }

    fn tick(&mut self, now: f64) {
        self.follower.tick(now);
    }

    fn process_output(&mut self, now: f64) {
        self.apply_changes();
        self.send_outgoing();
        self.state_file.save(state_id(&self.follower), now, || self.follower.save());
        self.status_log.update(&self.follower, now);
        if let Some(observer) = &mut self.observer {
            observer.after_turn(&self.follower);
        }
    }

    fn is_killed(&self) -> bool {
        self.observer.as_ref().is_some_and(|observer| observer.is_killed())
    }

    fn finish(mut self) {
        self.state_file
            .save_last(state_id(&self.follower), self.shared_runtime.now(), || self.follower.save());
        let ConfigStatus { cpu_seconds, saves, failed_saves, view, .. } = self.view();
        tracing::info!(
            number = view.number,
            cpu_seconds,
            saves,
            failed_saves,
            "the configuration follower stopped"
        );
    }
}

impl FollowerThread {
    /// Applies new changes to the dispatcher, one batch at a time. A change that is invalid for this gateway's
    /// configuration is reported to the control machines, and the previous value of its key is kept.
    fn apply_changes(&mut self) {
        while let Some(batch) = self.follower.take_updates() {
            let config = &self.shared_runtime.config;
            let mut config_changes: Vec<ConfigChange> = Vec::with_capacity(batch.len());
            for Entry { number, change } in &batch {
                if change.text.is_none() && Subject::from_key(&change.key).is_none() {
                    // The removal of a key unknown to this version, which never applied a value for it.
                    continue;
                }
                match config.parse_change(&change.key, change.text.as_deref()) {
                    Ok(config_change) => config_changes.push(config_change),
                    Err(mistakes) => {
                        let why = mistakes.first().map(ToString::to_string).unwrap_or_default();
                        tracing::error!(
                            number,
                            key = change.key,
                            "a configuration change can't be applied here: {why}"
                        );
                        self.follower.report_apply_error(*number, truncate_reason(why));
                    }
                }
            }
            let (number, entries) = (self.follower.state().head(), config_changes.len());
            self.shared_runtime.with_dispatcher(None, |dispatcher, _| {
                config_changes.iter().for_each(|config_change| {
                    dispatcher.apply_config_change(config_change, &config.functions);
                });
            });
            tracing::info!(number, entries, "configuration changes are applied");
            self.observer.iter_mut().for_each(|observer| observer.applied(number));
        }
    }

    /// Sends all outgoing messages of the follower.
    fn send_outgoing(&mut self) {
        while let Some(OutgoingMessage { to, message }) = self.follower.next_outgoing() {
            if let Ok(datagram) = message::seal(&self.feed.key, &message) {
                // A send error is equivalent to a lost datagram; the follower resends what is needed.
                let _ = self.feed.socket.send_to(&datagram, to);
            }
        }
    }

    fn view(&self) -> ConfigStatus {
        let (rejected_seal, rejected_other) = (self.rejected_seal, self.rejected_other);
        let (saves, failed_saves) = (self.state_file.writes, self.state_file.failures);
        let view = self.follower.view(self.shared_runtime.now());
        ConfigStatus {
            view,
            cpu_seconds: thread_cpu_seconds(),
            rejected_seal,
            rejected_other,
            saves,
            failed_saves,
        }
    }

    /// Answers an operator's query with one page of the follower's status.
    fn answer_query(&mut self, request_id: u64, page: u32, from: SocketAddr) {
        let mut status_pages = std::mem::take(&mut self.status_pages);
        let reply = status_pages.page(from, request_id, page, || serde_json::to_vec(&self.view()).ok());
        self.status_pages = status_pages;
        if let Some(datagram) = reply.and_then(|reply| message::seal(&self.feed.key, &reply).ok()) {
            // If the page is lost, the operator's client requests it again.
            let _ = self.feed.socket.send_to(&datagram, from);
        }
    }
}

/// Returns the identity of the applied state.
fn state_id(follower: &Follower) -> StateId {
    StateId { number: follower.state().head(), digest: follower.state().digest() }
}

/// Truncates a reason to the length that fits into a message.
fn truncate_reason(mut why: String) -> String {
    let end =
        (0..=MAX_APPLY_ERROR_BYTES.min(why.len())).rev().find(|end| why.is_char_boundary(*end)).unwrap_or(0);
    why.truncate(end);
    why
}
