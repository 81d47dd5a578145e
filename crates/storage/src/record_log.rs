//! A log of records in one file. What was appended is durable when [`RecordLog::append`] comes back. After an error the
//! file is not touched again: all that the log must hold goes into a fresh file by [`RecordLog::rewrite`], at a start
//! as well, as it can't be known whether what is read there ever reached the disk.

use crate::folder::{Folder, FolderFile, ReplaceError, replace_file};
use crate::framing::{self, FormatError, HEADER};
use std::io::{self, Write};
use thiserror::Error;

/// What a log held when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    pub records: Vec<Vec<u8>>,
    /// Bytes of a record that a crash or a failed write cut short; they are passed over.
    pub torn_bytes: u64,
}

/// Why a log can't be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    #[error("it can't be read: {0}; mend the disk or its permissions")]
    Io(#[source] io::Error),
    /// The file is something else from its first byte on.
    #[error("it is no log of a control machine; move it away")]
    NoLog,
    /// The record at this byte is not what was written.
    #[error(
        "the record at byte {0} is rotten; while more than half of the control machines run, move the file away and \
         begin this one again: it learns all from the others"
    )]
    CorruptAt(u64),
}

/// Why records could not be appended. After either nothing may be acknowledged that builds on them.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The disk failed, now: a part may be there after a crash. All that the log must hold is to be rewritten.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The disk failed before, and the log has not been rewritten since.
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

/// What the file is good for.
#[derive(Debug)]
enum State<T> {
    /// All that was acknowledged is in this file, and it can be appended to.
    Appendable(T),
    /// Only a fresh file is to be trusted.
    NeedsRewrite,
}

pub struct RecordLog<F: Folder> {
    folder: F,
    name: String,
    state: State<F::File>,
    size: u64,
    /// Its size when it was last written anew.
    rewritten_size: u64,
}

impl<F: Folder> RecordLog<F> {
    /// Reads a log; a file that is not there holds nothing. It takes records once it was rewritten.
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

    /// Whether records can be appended; if not, all that the log must hold is to be rewritten first.
    pub fn is_appendable(&self) -> bool {
        matches!(self.state, State::Appendable(_))
    }

    /// Appends records; they are durable when this comes back.
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

    /// Holds these records instead of all others, in a fresh file. At every moment of a crash the log is the old or the
    /// new one. An error before the new file takes the old one's name leaves an appendable log appendable.
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

    /// Bytes of the file.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Whether it has grown to such a multiple of what it was when it was last rewritten; not while it is small.
    pub fn has_grown(&self, multiple: u64, small: u64) -> bool {
        self.size > small && self.size > multiple * self.rewritten_size
    }
}
