//! A log of records in one file. What was appended is durable when [`RecordLog::append`] comes back. After an error the
//! file is not touched again: all that the log must hold goes into a fresh file by [`RecordLog::rewrite`], at a start
//! as well, as it can't be known whether what is read there ever reached the disk.

use crate::folder::{Folder, FolderFile, ReplaceError, replace};
use crate::framing::{self, FormatError, HEADER};
use std::fmt;
use std::io::{self, Write};

/// What a log held when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    pub records: Vec<Vec<u8>>,
    /// Bytes of a record that a crash or a failed write cut short; they are passed over.
    pub torn_bytes: u64,
}

/// Why a log can't be opened.
#[derive(Debug)]
pub enum OpenError {
    Io(io::Error),
    /// The file is something else from its first byte on.
    NoLog,
    /// The record at this byte is not what was written.
    CorruptAt(u64),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "it can't be read: {e}; mend the disk or its permissions"),
            Self::NoLog => write!(f, "it is no log of a control machine; move it away"),
            Self::CorruptAt(at) => write!(
                f,
                "the record at byte {at} is rotten; while more than half of the control machines run, move the file \
                 away and begin this one again: it learns all from the others"
            ),
        }
    }
}

impl std::error::Error for OpenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(e) => Some(e),
            _ => None,
        }
    }
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

    /// Appends records; they are durable when this comes back. After an error nothing may be acknowledged that builds
    /// on them, though after a crash some may be there.
    pub fn append(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = Vec::new();
        framing::frame(records, &mut bytes)?;
        let State::Appendable(file) = &mut self.state else {
            return Err(io::Error::other("the log must be rewritten first"));
        };
        let written = file.write_all(&bytes).and_then(|()| file.sync());
        match written {
            Ok(()) => self.size += bytes.len() as u64,
            Err(_) => self.state = State::NeedsRewrite,
        }
        written
    }

    /// Holds these records instead of all others, in a fresh file. At every moment of a crash the log is the old or the
    /// new one. An error before the new file takes the old one's name leaves an appendable log appendable.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = HEADER.to_vec();
        framing::frame(records, &mut bytes)?;
        let beside = format!("{}.new", self.name);
        match replace(&self.folder, &self.name, &beside, &bytes) {
            Ok(file) => {
                self.state = State::Appendable(file);
                (self.size, self.rewritten_size) = (bytes.len() as u64, bytes.len() as u64);
                Ok(())
            }
            Err(ReplaceError::Before(e)) => Err(e),
            Err(ReplaceError::Uncertain(e)) => {
                self.state = State::NeedsRewrite;
                Err(e)
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
