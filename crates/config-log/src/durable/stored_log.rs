//! Reading the log file of a replica at the start of the process.

use crate::replica::Record;
use milletpath_storage::{Folder, OpenError, RecordLog, ReplaceError};
use thiserror::Error;

/// The log file of a replica, read but not yet written to.
pub struct StoredLog<F: Folder> {
    pub(super) log: RecordLog<F>,
    pub(super) records: Vec<Record>,
    /// Bytes of an incomplete last record, left by a crash or a failed write; they are ignored.
    pub torn_bytes: u64,
}

/// Why the log file of a replica cannot be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read, or is corrupt.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The record at this index, from 0, cannot be decoded: a later release wrote it.
    #[error("record {0} is of a kind that this program does not know; run the program that wrote it")]
    UnknownRecord(usize),
}

impl<F: Folder> StoredLog<F> {
    /// Reads the log file `name`; a missing file is an empty log.
    ///
    /// # Errors
    ///
    /// A [`LoadError`] if the file cannot be read, is corrupt, or was written by a later release.
    pub fn load(folder: F, name: &str) -> Result<Self, LoadError> {
        let (log, recovered) = RecordLog::open(folder, name)?;
        let decoded = |(index, bytes): (usize, &Vec<u8>)| {
            minicbor::decode::<Record>(bytes).map_err(|_| LoadError::UnknownRecord(index))
        };
        let records = recovered.records.iter().enumerate().map(decoded).collect::<Result<_, _>>()?;
        Ok(Self { log, records, torn_bytes: recovered.torn_bytes })
    }

    /// Whether the log has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Writes the records to a new file, and [`Record::Initialized`] after them if `initialize` is set, which is only
    /// correct for a new, empty log. The records that were read may never have reached the disk, only the page cache, so
    /// the replica must not vote before they are written again.
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
