//! An append-only log of records in one file. Records are durable once [`RecordLog::append`] has succeeded. After a failed
//! append the file is never written to again, and [`RecordLog::rewrite`] must write all records to a new file. The same
//! holds after opening, as there is no way to tell whether the bytes that were read had reached the disk or only the page
//! cache.

use crate::folder::{Folder, FolderFile, ReplaceError, replace_file};
use crate::framing::{self, FILE_HEADER, FormatError};
use std::io::{self, Write};
use thiserror::Error;

/// What was recovered from a log file when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    /// All complete records, in order.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of a torn record at the end, which a crash or a failed write left incomplete. It is ignored.
    pub torn_bytes: u64,
}

/// Why a log could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The file could not be read.
    #[error("it can't be read: {0}; mend the disk or its permissions")]
    Io(#[source] io::Error),
    /// The file does not begin with the file header of a record log.
    #[error("it is not the log of a control machine; move it away")]
    NotALog,
    /// The record at this byte offset was altered after it was written.
    #[error(
        "the record at byte {0} is corrupt; while more than half of the control machines run, move the file away and \
         restart this one: it learns all records from the others"
    )]
    CorruptAt(u64),
}

/// Why records could not be appended. Nothing that depends on them may be acknowledged.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The write or the sync failed. Some of the records may be present after a crash. The log has to be rewritten.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The log has not been rewritten since it was opened, or since an earlier failure.
    #[error("the log must be rewritten first")]
    NeedsRewrite,
}

impl From<FormatError> for OpenError {
    fn from(error: FormatError) -> Self {
        match error {
            FormatError::NotALog => Self::NotALog,
            FormatError::CorruptAt(at) => Self::CorruptAt(at),
        }
    }
}

/// Whether the log file can be appended to.
#[derive(Debug)]
enum State<T> {
    /// All acknowledged records are durable in this file.
    Appendable(T),
    /// The state of the file on the disk is unknown; records must go to a new file.
    NeedsRewrite,
}

/// An append-only log of records in one file.
pub struct RecordLog<F: Folder> {
    folder: F,
    name: String,
    state: State<F::File>,
    size: u64,
    /// Size of the file after the last rewrite, or when it was opened.
    rewritten_size: u64,
}

impl<F: Folder> RecordLog<F> {
    /// Opens a log and reads its records; a missing file is an empty log. The log has to be rewritten before records can be
    /// appended.
    ///
    /// # Errors
    ///
    /// An [`OpenError`] if the file cannot be read, is not a record log, or is corrupt.
    pub fn open(folder: F, name: &str) -> Result<(Self, Recovered), OpenError> {
        let bytes = match folder.read(name) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            read => read.map_err(OpenError::Io)?,
        };
        let framing::Parsed { records, torn_bytes } = framing::parse(&bytes)?;
        let size = bytes.len() as u64;
        let log =
            Self { folder, name: name.to_owned(), state: State::NeedsRewrite, size, rewritten_size: size };
        Ok((log, Recovered { records, torn_bytes }))
    }

    /// Whether records can be appended. If not, the log has to be rewritten first.
    #[must_use]
    pub fn is_appendable(&self) -> bool {
        matches!(self.state, State::Appendable(_))
    }

    /// Appends records and makes them durable.
    ///
    /// # Errors
    ///
    /// An [`AppendError`] if the records may not be durable. The log then has to be rewritten.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        let mut bytes = Vec::new();
        framing::encode(records, &mut bytes);
        let State::Appendable(file) = &mut self.state else {
            return Err(AppendError::NeedsRewrite);
        };
        let written = file.write_all(&bytes).and_then(|()| file.sync());
        match written {
            Ok(()) => self.size += bytes.len() as u64,
            Err(_) => self.state = State::NeedsRewrite,
        }
        Ok(written?)
    }

    /// Atomically replaces the log by a new file with these records. A crash at any time leaves either the old or the new
    /// log.
    ///
    /// # Errors
    ///
    /// A [`ReplaceError`]. After [`ReplaceError::NotReplaced`] an appendable log is still appendable.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), ReplaceError> {
        let mut bytes = FILE_HEADER.to_vec();
        framing::encode(records, &mut bytes);
        let temporary_name = format!("{}.new", self.name);
        match replace_file(&self.folder, &self.name, &temporary_name, &bytes) {
            Ok(file) => {
                self.state = State::Appendable(file);
                (self.size, self.rewritten_size) = (bytes.len() as u64, bytes.len() as u64);
                Ok(())
            }
            Err(error) => {
                if matches!(error, ReplaceError::MayBeReplaced(_)) {
                    self.state = State::NeedsRewrite;
                }
                Err(error)
            }
        }
    }

    /// Size of the file, in bytes.
    #[must_use]
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Whether the file is larger than `min_bytes` and larger than `multiple` times its size after the last rewrite.
    #[must_use]
    pub fn has_grown(&self, multiple: u64, min_bytes: u64) -> bool {
        self.size > min_bytes && self.size > multiple * self.rewritten_size
    }
}
