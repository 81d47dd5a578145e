//! A control machine with its storage: what the replica says is to be stored is durable before anything goes out that
//! builds on it. Where the storage fails, the replica is suspended, and goes on learning and relaying; a fresh file is
//! tried again and again, ever more rarely, and once it holds all that is known the replica votes again.

use crate::message::Message;
use crate::replica::{Action, Record, Replica};
use milletpath_storage::{AppendError, Backoff, Folder, OpenError, RecordLog, ReplaceError};
use std::net::SocketAddr;
use thiserror::Error;

/// The log is rewritten when it has grown to so many times what it was then, and is larger than that many bytes: some
/// thousand changes.
const REWRITE_MULTIPLE: u64 = 4;
const REWRITE_ABOVE: u64 = 1 << 20;

/// When a log that has grown is rewritten.
#[derive(Clone, Copy, Debug)]
pub struct RewritePolicy {
    /// It has grown to so many times what it was when it was last rewritten,
    pub multiple: u64,
    /// and is larger than so many bytes.
    pub above: u64,
}

impl Default for RewritePolicy {
    fn default() -> Self {
        Self { multiple: REWRITE_MULTIPLE, above: REWRITE_ABOVE }
    }
}

/// The log of a control machine, read and not yet written on.
pub struct StoredLog<F: Folder> {
    log: RecordLog<F>,
    records: Vec<Record>,
    /// Bytes of a record that a crash or a failed write cut short; they are passed over.
    pub torn_bytes: u64,
}

/// Why the log of a control machine can't be gone by.
#[derive(Debug, Error)]
pub enum LoadError {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("record {0} is of a kind that this program does not know; run the program that wrote it")]
    UnknownRecord(usize),
}

/// Why a record is not on the disk.
#[derive(Debug, Error)]
pub enum StorageError {
    #[error("a record can't be appended: {0}")]
    Append(#[from] AppendError),
    #[error(transparent)]
    Replace(#[from] ReplaceError),
}

impl<F: Folder> StoredLog<F> {
    /// Reads the log of that name; one that is not there is empty.
    pub fn load(folder: F, name: &str) -> Result<Self, LoadError> {
        let (log, recovered) = RecordLog::open(folder, name)?;
        let decoded = |(n, bytes): (usize, &Vec<u8>)| {
            minicbor::decode::<Record>(bytes).map_err(|_| LoadError::UnknownRecord(n))
        };
        let records = recovered.records.iter().enumerate().map(decoded).collect::<Result<_, _>>()?;
        Ok(Self { log, records, torn_bytes: recovered.torn_bytes })
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What was read, or for a new log its first record, goes into a fresh file. Whether what was read ever reached the
    /// disk can't be known, so it binds nobody before that.
    pub fn renew(&mut self, initialize: bool) -> Result<(), ReplaceError> {
        if initialize {
            self.records.push(Record::Initialized);
        }
        self.log.rewrite(&encoded(&self.records))
    }
}

/// What happened to the storage, for logs and operators.
#[derive(Debug)]
pub enum StorageEvent {
    /// The first failure in a row, or a further one.
    Failed {
        error: StorageError,
        consecutive_failures: u32,
        retry_in: f64,
    },
    Recovered,
    /// The log had grown, and was rewritten.
    Rewritten {
        records: usize,
    },
}

pub struct DurableReplica<F: Folder> {
    replica: Replica,
    log: RecordLog<F>,
    policy: RewritePolicy,
    /// Failures of the storage in a row, a fresh file that then took no records among them, and when the next is tried.
    backoff: Backoff,
    retry_at: f64,
    /// Failures in a row to rewrite a log that has grown and still takes records, and when that is tried next.
    grown_backoff: Backoff,
    grown_retry_at: f64,
    events: Vec<StorageEvent>,
    out: Vec<(SocketAddr, Message)>,
}

impl<F: Folder> DurableReplica<F> {
    /// A replica made by `begin` from the records of a log. Where those could not be renewed yet, it begins suspended.
    pub fn new(
        stored: StoredLog<F>,
        policy: RewritePolicy,
        now: f64,
        begin: impl FnOnce(Vec<Record>) -> Replica,
    ) -> Self {
        let StoredLog { log, records, .. } = stored;
        let mut replica = begin(records);
        if !log.is_appendable() {
            replica.storage_failed();
        }
        Self {
            replica,
            log,
            policy,
            backoff: Backoff::default(),
            retry_at: now,
            grown_backoff: Backoff::default(),
            grown_retry_at: now,
            events: Vec::new(),
            out: Vec::new(),
        }
    }

    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Bytes of its log.
    pub fn log_size(&self) -> u64 {
        self.log.size()
    }

    /// When [`flush`](Self::flush) is wanted next though nothing came: the replica has something due, or the storage is
    /// to be tried again.
    pub fn next_deadline(&self) -> f64 {
        match self.replica.is_suspended() {
            true => self.replica.next_deadline().min(self.retry_at),
            false => self.replica.next_deadline(),
        }
    }

    /// Stores what is to be stored; gives what may be sent, and what happened to the storage.
    pub fn flush(&mut self, now: f64) -> (Vec<(SocketAddr, Message)>, Vec<StorageEvent>) {
        self.carry_out(now);
        if self.replica.is_suspended() && now >= self.retry_at {
            self.recover(now);
            self.carry_out(now);
        }
        let has_grown = self.log.has_grown(self.policy.multiple, self.policy.above);
        if has_grown && !self.replica.is_suspended() && now >= self.grown_retry_at {
            self.rewrite_grown(now);
            self.carry_out(now);
        }
        (std::mem::take(&mut self.out), std::mem::take(&mut self.events))
    }

    /// Carries out the replica's actions until it has none left.
    fn carry_out(&mut self, now: f64) {
        loop {
            let (mut records, mut sends) = (Vec::new(), Vec::new());
            while let Some(action) = self.replica.next_action() {
                match action {
                    Action::Store(record) => records.push(record),
                    Action::Send { to, message } => sends.push((to, message)),
                }
            }
            if records.is_empty() && sends.is_empty() {
                return;
            }
            // While it is suspended nothing that goes out builds on what it would store.
            if !records.is_empty() && !self.replica.is_suspended() {
                if let Err(error) = self.log.append(&encoded(&records)) {
                    self.suspend(now, error.into());
                    continue;
                }
                self.backoff.succeeded();
                self.replica.confirm_stored();
            }
            self.out.append(&mut sends);
        }
    }

    /// A fresh file with all that the replica knows.
    fn recover(&mut self, now: f64) {
        match self.log.rewrite(&encoded(&self.replica.compact())) {
            Ok(()) => {
                self.events.push(StorageEvent::Recovered);
                self.replica.storage_recovered();
            }
            Err(error) => self.suspend(now, error.into()),
        }
    }

    fn rewrite_grown(&mut self, now: f64) {
        let records = encoded(&self.replica.compact());
        match self.log.rewrite(&records) {
            Ok(()) => {
                self.grown_backoff.succeeded();
                self.events.push(StorageEvent::Rewritten { records: records.len() });
            }
            // With no room for a fresh file the old one still takes records.
            Err(error) if self.log.is_appendable() => {
                let retry_in = self.grown_backoff.failed();
                self.grown_retry_at = now + retry_in;
                let consecutive_failures = self.grown_backoff.failures();
                self.events.push(StorageEvent::Failed {
                    error: error.into(),
                    consecutive_failures,
                    retry_in,
                });
            }
            Err(error) => self.suspend(now, error.into()),
        }
    }

    fn suspend(&mut self, now: f64, error: StorageError) {
        self.replica.storage_failed();
        let retry_in = self.backoff.failed();
        self.retry_at = now + retry_in;
        let consecutive_failures = self.backoff.failures();
        self.events.push(StorageEvent::Failed { error, consecutive_failures, retry_in });
    }
}

fn encoded(records: &[Record]) -> Vec<Vec<u8>> {
    records.iter().map(|record| minicbor::to_vec(record).expect("a vector takes all")).collect()
}
