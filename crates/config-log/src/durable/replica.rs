//! A replica on a log file: a record is durable before any message goes out that depends on it. While the storage fails,
//! the replica is suspended but goes on learning and relaying; a new file is tried at growing intervals, and once it holds
//! all that is known the replica votes again.

use super::stored_log::{StoredLog, encode};
use crate::message::OutgoingMessage;
use crate::replica::{Action, Record, Replica};
use milletpath_storage::{AppendError, Backoff, Folder, RecordLog, ReplaceError};
use thiserror::Error;

/// The log is rewritten when it has grown to this multiple of its size after the last rewrite, and
const REWRITE_MULTIPLE: u64 = 4;
/// is larger than this many bytes, which are some thousand changes.
const REWRITE_MIN_BYTES: u64 = 1 << 20;

/// When a log that has grown is rewritten.
#[derive(Clone, Copy, Debug)]
pub struct RewritePolicy {
    /// It has grown to this multiple of its size after the last rewrite,
    pub multiple: u64,
    /// and is larger than this many bytes.
    pub above: u64,
}

impl Default for RewritePolicy {
    fn default() -> Self {
        Self { multiple: REWRITE_MULTIPLE, above: REWRITE_MIN_BYTES }
    }
}

/// Why records are not on the disk.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The file does not take another record.
    #[error("a record can't be appended: {0}")]
    Append(#[from] AppendError),
    /// A new file cannot be written.
    #[error(transparent)]
    Replace(#[from] ReplaceError),
}

/// What happened to the storage, for logs and operators.
#[derive(Debug)]
pub enum StorageEvent {
    /// A write failed.
    Failed {
        /// Why.
        error: StorageError,
        /// Failures in a row, this one included.
        consecutive_failures: u32,
        /// Seconds until the next attempt.
        retry_in: f64,
    },
    /// A new file holds all that is known; the replica votes again.
    Recovered,
    /// The log had grown and was rewritten.
    Rewritten {
        /// Records of the new file.
        records: usize,
    },
}

/// What a flush leaves to its caller.
#[must_use]
#[derive(Debug, Default)]
pub struct FlushOutput {
    /// Messages that may be sent now, in order.
    pub messages: Vec<OutgoingMessage>,
    /// What happened to the storage.
    pub events: Vec<StorageEvent>,
}

/// A failing operation that is tried again at growing intervals.
#[derive(Debug)]
struct Retry {
    backoff: Backoff,
    retry_at: f64,
}

impl Retry {
    fn new(now: f64) -> Self {
        Self { backoff: Backoff::default(), retry_at: now }
    }

    fn failed(&mut self, now: f64, error: StorageError) -> StorageEvent {
        let retry_in = self.backoff.failed();
        self.retry_at = now + retry_in;
        StorageEvent::Failed { error, consecutive_failures: self.backoff.failures(), retry_in }
    }
}

/// A replica and its log file.
pub struct DurableReplica<F: Folder> {
    replica: Replica,
    log: RecordLog<F>,
    policy: RewritePolicy,
    /// For appending, and for the new file after a failure. A new file that then takes no records counts as a failure.
    storage: Retry,
    /// For rewriting a log that has grown and still takes records.
    rewrite: Retry,
    output: FlushOutput,
}

impl<F: Folder> DurableReplica<F> {
    /// Starts a replica that `start` makes from the records of a log. If these could not be renewed yet, it is suspended.
    #[must_use]
    pub fn new(
        stored: StoredLog<F>,
        policy: RewritePolicy,
        now: f64,
        start: impl FnOnce(Vec<Record>) -> Replica,
    ) -> Self {
        let StoredLog { log, records, .. } = stored;
        let mut replica = start(records);
        if !log.is_appendable() {
            replica.storage_failed();
        }
        let (storage, rewrite) = (Retry::new(now), Retry::new(now));
        Self { replica, log, policy, storage, rewrite, output: FlushOutput::default() }
    }

    /// The replica.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The replica, for received messages and timers. Call [`flush`](Self::flush) afterwards.
    #[must_use]
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Size of the log file, in bytes.
    #[must_use]
    pub fn log_size(&self) -> u64 {
        self.log.size()
    }

    /// When [`Replica::tick`] and [`flush`](Self::flush) are due next, if no message is received: the replica has
    /// something due, or the storage is to be tried again.
    #[must_use]
    pub fn next_deadline(&self) -> f64 {
        let deadline = self.replica.next_deadline();
        if self.replica.is_suspended() { deadline.min(self.storage.retry_at) } else { deadline }
    }

    /// Stores what has to be stored.
    pub fn flush(&mut self, now: f64) -> FlushOutput {
        self.run_actions(now);
        if self.replica.is_suspended() && now >= self.storage.retry_at {
            self.recover(now);
            self.run_actions(now);
        }
        let has_grown = self.log.has_grown(self.policy.multiple, self.policy.above);
        if has_grown && !self.replica.is_suspended() && now >= self.rewrite.retry_at {
            self.rewrite_log(now);
            self.run_actions(now);
        }
        std::mem::take(&mut self.output)
    }

    /// Carries out the replica's actions until there are none left.
    fn run_actions(&mut self, now: f64) {
        loop {
            let (mut records, mut messages) = (Vec::new(), Vec::new());
            while let Some(action) = self.replica.next_action() {
                match action {
                    Action::Store(record) => records.push(record),
                    Action::Send(message) => messages.push(message),
                }
            }
            if records.is_empty() && messages.is_empty() {
                return;
            }
            // While the replica is suspended, no message depends on records that it yields.
            if !records.is_empty() && !self.replica.is_suspended() {
                if let Err(error) = self.log.append(&encode(&records)) {
                    self.suspend(now, error.into());
                    continue;
                }
                self.storage.backoff.succeeded();
                self.replica.confirm_stored();
            }
            self.output.messages.append(&mut messages);
        }
    }

    /// Writes a new file with all that the replica knows.
    fn recover(&mut self, now: f64) {
        match self.log.rewrite(&encode(&self.replica.compact())) {
            Ok(()) => {
                self.output.events.push(StorageEvent::Recovered);
                self.replica.storage_recovered();
            }
            Err(error) => self.suspend(now, error.into()),
        }
    }

    fn rewrite_log(&mut self, now: f64) {
        let records = encode(&self.replica.compact());
        match self.log.rewrite(&records) {
            Ok(()) => {
                self.rewrite.backoff.succeeded();
                self.output.events.push(StorageEvent::Rewritten { records: records.len() });
            }
            // With no room for a new file the old one may still take records.
            Err(error) if self.log.is_appendable() => {
                let event = self.rewrite.failed(now, error.into());
                self.output.events.push(event);
            }
            Err(error) => self.suspend(now, error.into()),
        }
    }

    fn suspend(&mut self, now: f64, error: StorageError) {
        self.replica.storage_failed();
        let event = self.storage.failed(now, error);
        self.output.events.push(event);
    }
}
