//! A log of records in one file. Records are durable once [`RecordLog::append`] has returned. After an error the file is
//! not touched again, and all records have to go into a new file by [`RecordLog::rewrite`]; likewise after opening, as it
//! cannot be known whether the bytes that were read ever reached the disk.

use crate::folder::{Folder, FolderFile, ReplaceError, replace_file};
use crate::framing::{self, FormatError, HEADER};
use std::io::{self, Write};
use thiserror::Error;

/// The contents of a log that was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    /// All complete records, in order.
    pub records: Vec<Vec<u8>>,
    /// Size of a last record that a crash or a failed write cut short, in bytes; it is ignored.
    pub torn_bytes: u64,
}

/// Why a log cannot be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The operating system cannot read it.
    #[error("it can't be read: {0}; mend the disk or its permissions")]
    Io(#[source] io::Error),
    /// The file does not begin like a record log.
    #[error("it is no log of a control machine; move it away")]
    NoLog,
    /// The record at this byte offset was changed after it was written.
    #[error(
        "the record at byte {0} is rotten; while more than half of the control machines run, move the file away and \
         begin this one again: it learns all from the others"
    )]
    CorruptAt(u64),
}

/// Why records could not be appended. Nothing that depends on them may be acknowledged.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The disk failed just now; after a crash a part of the records may be there. The log has to be rewritten.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The disk failed earlier, and the log has not been rewritten since.
    #[error("the log must be rewritten first")]
    NeedsRewrite,
}

impl From<FormatError> for OpenError {
    fn from(error: FormatError) -> Self {
        match error {
            FormatError::NoLog => Self::NoLog,
            FormatError::CorruptAt(at) => Self::CorruptAt(at),
        }
    }
}

/// Whether the file can be appended to.
#[derive(Debug)]
enum State<T> {
    /// All acknowledged records are durable in this file.
    Appendable(T),
    /// Only a new file can be trusted.
    NeedsRewrite,
}

/// A log of records in one file.
pub struct RecordLog<F: Folder> {
    folder: F,
    name: String,
    state: State<F::File>,
    size: u64,
    /// Its size after the last rewrite.
    rewritten_size: u64,
}

impl<F: Folder> RecordLog<F> {
    /// Reads a log; a missing file is an empty log. It can be appended to once it was rewritten.
    ///
    /// # Errors
    ///
    /// An [`OpenError`] if the file cannot be read, is no record log, or is corrupt.
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

    /// Whether records can be appended; if not, the log has to be rewritten first.
    #[must_use]
    pub fn is_appendable(&self) -> bool {
        matches!(self.state, State::Appendable(_))
    }

    /// Appends records and makes them durable.
    ///
    /// # Errors
    ///
    /// An [`AppendError`] if the records may not be durable; the log then has to be rewritten.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), AppendError> {
        let mut bytes = Vec::new();
        framing::frame(records, &mut bytes);
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

    /// Replaces all records, in a new file. After a crash at any time the log is either the old or the new one.
    ///
    /// # Errors
    ///
    /// A [`ReplaceError`]. After [`ReplaceError::Before`] an appendable log is still appendable.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), ReplaceError> {
        let mut bytes = HEADER.to_vec();
        framing::frame(records, &mut bytes);
        let temporary_name = format!("{}.new", self.name);
        match replace_file(&self.folder, &self.name, &temporary_name, &bytes) {
            Ok(file) => {
                self.state = State::Appendable(file);
                (self.size, self.rewritten_size) = (bytes.len() as u64, bytes.len() as u64);
                Ok(())
            }
            Err(error) => {
                if matches!(error, ReplaceError::Uncertain(_)) {
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

    /// Whether it is larger than `min_bytes`, and than that multiple of its size after the last rewrite.
    #[must_use]
    pub fn has_grown(&self, multiple: u64, min_bytes: u64) -> bool {
        self.size > min_bytes && self.size > multiple * self.rewritten_size
    }
}
