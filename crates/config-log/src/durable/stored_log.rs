//! The log file of a replica, read and not yet written to.

use crate::replica::Record;
use milletpath_storage::{Folder, OpenError, RecordLog, ReplaceError};
use thiserror::Error;

/// The log file of a replica, read and not yet written to.
pub struct StoredLog<F: Folder> {
    pub(super) log: RecordLog<F>,
    pub(super) records: Vec<Record>,
    /// Bytes of a last record that a crash or a failed write cut short; they are ignored.
    pub torn_bytes: u64,
}

/// Why the log file of a replica cannot be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read, or is damaged.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// A record, by its index from 0, is of an unknown kind.
    #[error("record {0} is of a kind that this program does not know; run the program that wrote it")]
    UnknownRecord(usize),
}

impl<F: Folder> StoredLog<F> {
    /// Reads the log file of that name; a missing file is an empty log.
    ///
    /// # Errors
    ///
    /// A [`LoadError`] if the file cannot be read, is damaged, or was written by a later release.
    pub fn load(folder: F, name: &str) -> Result<Self, LoadError> {
        let (log, recovered) = RecordLog::open(folder, name)?;
        let decoded = |(index, bytes): (usize, &Vec<u8>)| {
            minicbor::decode::<Record>(bytes).map_err(|_| LoadError::UnknownRecord(index))
        };
        let records = recovered.records.iter().enumerate().map(decoded).collect::<Result<_, _>>()?;
        Ok(Self { log, records, torn_bytes: recovered.torn_bytes })
    }

    /// Whether the log has no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Writes the records into a new file, with a first record in front if `initialize` is set and the log is new. It
    /// cannot be known whether what was read ever reached the disk, so it must not bind the replica before that.
    ///
    /// # Errors
    ///
    /// A [`ReplaceError`] if the new file cannot be written; the old one is still in place.
    pub fn renew(&mut self, initialize: bool) -> Result<(), ReplaceError> {
        if initialize {
            self.records.push(Record::Initialized);
        }
        self.log.rewrite(&encode(&self.records))
    }
}

pub(super) fn encode(records: &[Record]) -> Vec<Vec<u8>> {
    records.iter().map(|record| minicbor::to_vec(record).expect("writing to a vector cannot fail")).collect()
}
