//! A replica with its log file: each record is made durable before any message that depends on it is sent. After a storage
//! failure the replica is suspended: it still learns entries and forwards changes, but does not vote. A complete rewrite
//! of the log is retried with exponential backoff, and when it succeeds the replica votes again.

use super::stored_log::{StoredLog, encode};
use crate::message::OutgoingMessage;
use crate::replica::{Action, Record, Replica};
use milletpath_storage::{AppendError, Backoff, Folder, RecordLog, ReplaceError};
use thiserror::Error;

/// Default of [`RewritePolicy::multiple`].
const REWRITE_MULTIPLE: u64 = 4;
/// Default of [`RewritePolicy::above`], in bytes: the records of some thousand changes.
const REWRITE_MIN_BYTES: u64 = 1 << 20;

/// When the log is rewritten in compact form. Both conditions must hold.
#[derive(Clone, Copy, Debug)]
pub struct RewritePolicy {
    /// The log has grown to this multiple of its size after the last rewrite.
    pub multiple: u64,
    /// The log is larger than this many bytes.
    pub above: u64,
}

impl Default for RewritePolicy {
    fn default() -> Self {
        Self { multiple: REWRITE_MULTIPLE, above: REWRITE_MIN_BYTES }
    }
}

/// Why records could not be made durable.
#[derive(Debug, Error)]
pub enum StorageError {
    /// Records could not be appended to the log file.
    #[error("a record can't be appended: {0}")]
    Append(#[from] AppendError),
    /// The log file could not be replaced by a rewritten one.
    #[error(transparent)]
    Replace(#[from] ReplaceError),
}

/// A change in the condition of the storage, for the caller to log.
#[derive(Debug)]
pub enum StorageEvent {
    /// A write failed.
    Failed {
        /// Cause of the failure.
        error: StorageError,
        /// Consecutive failures, including this one.
        consecutive_failures: u32,
        /// Seconds until the next attempt.
        retry_in: f64,
    },
    /// A rewritten log holds everything that the replica knows; the replica votes again.
    Recovered,
    /// The log was rewritten because it had grown.
    Rewritten {
        /// Number of records in the new file.
        records: usize,
    },
}

/// Result of [`DurableReplica::flush`].
#[must_use]
#[derive(Debug, Default)]
pub struct FlushOutput {
    /// Messages that may be sent now, in order: the records they depend on are durable.
    pub messages: Vec<OutgoingMessage>,
    /// What happened to the storage since the last flush.
    pub events: Vec<StorageEvent>,
}

/// Backoff of a failing operation and the time of its next attempt.
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
    /// For appends, and for the rewrite that recovers from a failure. The backoff is reset by a successful append, not by
    /// the rewrite, so that a new file to which no record can be appended counts as another failure in a row.
    storage: Retry,
    /// For rewrites of a grown log to which records can still be appended.
    rewrite: Retry,
    output: FlushOutput,
}

impl<F: Folder> DurableReplica<F> {
    /// Starts the replica that `start` creates from the records of the log. It is suspended at first if the log cannot be
    /// appended to, because [`StoredLog::renew`] has not succeeded.
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

    /// The replica, to pass received messages and timer events to. Call [`flush`](Self::flush) afterwards.
    #[must_use]
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Size of the log file, in bytes.
    #[must_use]
    pub fn log_size(&self) -> u64 {
        self.log.size()
    }

    /// When to call [`Replica::tick`] and [`flush`](Self::flush) next if no message is received: at the replica's own
    /// deadline, or when the storage is to be retried.
    #[must_use]
    pub fn next_deadline(&self) -> f64 {
        let deadline = self.replica.next_deadline();
        if self.replica.is_suspended() { deadline.min(self.storage.retry_at) } else { deadline }
    }

    /// Stores the records that the replica has yielded, retries a failed storage and rewrites a grown log if that is due,
    /// and returns the messages that may be sent.
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

    /// Runs the replica's actions until none is left.
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
            // While the replica is suspended, none of its messages depends on a record.
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

    /// Rewrites the log with everything that the replica knows.
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
            // If the disk has no room for a second file, the old one may still be appended to.
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
