//! The file in which a control machine keeps what it must know again after a crash: records one behind the
//! other, each with its length and a checksum. What was appended is on the disk when [`RecordFile::append`]
//! comes back. A record that a crash cut short is taken off the end; one that is rotten is an error, as what
//! it promised can't be known.

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// What such a file begins with.
const HEAD: &[u8] = b"milletpath control log 1\n";

/// Before each record: its length, a checksum of that, and a checksum of the record.
const FRAME: usize = 4 + 4 + 8;

/// Bytes of one record: far more than a change has.
const LARGEST: u32 = 1 << 20;

pub struct RecordFile {
    path: PathBuf,
    file: File,
    size: u64,
    /// Its size when it was last written anew.
    base: u64,
}

/// What a file held.
#[derive(Debug, Default, PartialEq)]
pub struct Held {
    pub records: Vec<Vec<u8>>,
    /// Bytes of a record that a crash had cut short.
    pub cut: u64,
}

#[derive(Debug)]
pub enum Unfit {
    Io(io::Error),
    /// It holds something else from its first byte on.
    Other,
    /// The record at this byte is not what was written.
    Rotten(u64),
}

impl From<io::Error> for Unfit {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "it can't be read or written: {e}; mend the disk or its permissions"),
            Self::Other => write!(f, "it is no log of a control machine; move it away"),
            Self::Rotten(at) => write!(
                f,
                "the record at byte {at} is rotten; while more than half of the control machines run, move the file \
                 away and begin this one again: it learns all from the others"
            ),
        }
    }
}

impl RecordFile {
    /// Opens the file, or makes it.
    pub fn open(path: &Path) -> Result<(Self, Held), Unfit> {
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let held = if bytes.len() < HEAD.len() && HEAD.starts_with(&bytes) {
            // New, or cut short before it held anything.
            file.set_len(0)?;
            file.write_all(HEAD)?;
            file.sync_all()?;
            sync_folder(path)?;
            Held::default()
        } else {
            let body = bytes.strip_prefix(HEAD).ok_or(Unfit::Other)?;
            let held = read(body).map_err(|at| Unfit::Rotten((HEAD.len() + at) as u64))?;
            if held.cut > 0 {
                file.set_len(bytes.len() as u64 - held.cut)?;
                file.sync_all()?;
            }
            held
        };
        let size = (bytes.len().max(HEAD.len()) as u64) - held.cut;
        Ok((Self { path: path.to_owned(), file, size, base: size }, held))
    }

    /// Writes records behind the others; they are on the disk when this comes back. After an error nothing
    /// may be sent that builds on them: a part may have been written, and is taken off at the next start.
    pub fn append(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let bytes = framed(records)?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Bytes of the file.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Whether it has grown to such a multiple of what it was when it was last written anew; not while it is
    /// small.
    pub fn has_grown(&self, multiple: u64, small: u64) -> bool {
        self.size > small && self.size > multiple * self.base
    }

    /// Holds these records instead of all others. At every moment of a crash the file is the old or the new
    /// one.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut name = self.path.clone().into_os_string();
        name.push(".new");
        let beside = PathBuf::from(name);
        let mut bytes = HEAD.to_vec();
        bytes.extend(framed(records)?);
        // One that a crash left behind goes first: opened for appending, as the file stays.
        match std::fs::remove_file(&beside) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut file = OpenOptions::new().read(true).append(true).create_new(true).open(&beside)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)?;
        sync_folder(&self.path)?;
        (self.file, self.size, self.base) = (file, bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }
}

/// That a name stands in its folder is on the disk as well.
fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

fn framed(records: &[Vec<u8>]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for record in records {
        let length = u32::try_from(record.len()).ok().filter(|n| *n <= LARGEST);
        let length = length.ok_or_else(|| io::Error::other("a record is too large"))?.to_le_bytes();
        bytes.extend(length);
        bytes.extend((xxh3_64(&length) as u32).to_le_bytes());
        bytes.extend(xxh3_64(record).to_le_bytes());
        bytes.extend(record);
    }
    Ok(bytes)
}

/// The records of a file behind its head; the error is where a rotten one stands.
fn read(bytes: &[u8]) -> Result<Held, usize> {
    /// What a crash leaves of a write that did not reach the disk: the file ends early, or in zeros.
    const ZEROS: usize = 8;
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        let cut = Held { records: Vec::new(), cut: rest.len() as u64 };
        let zeros = |part: &[u8]| part.iter().all(|b| *b == 0);
        let Some((frame, behind)) = rest.split_at_checked(FRAME) else {
            return Ok(Held { records, ..cut });
        };
        let (length, checks) = frame.split_at(4);
        let (of_length, of_record) = checks.split_at(4);
        let size = length.iter().rev().fold(0, |n, b| n << 8 | usize::from(*b));
        if of_length != (xxh3_64(length) as u32).to_le_bytes() || size > LARGEST as usize {
            return if zeros(rest) { Ok(Held { records, ..cut }) } else { Err(at) };
        }
        let Some((record, after)) = behind.split_at_checked(size) else {
            return Ok(Held { records, ..cut });
        };
        if of_record != xxh3_64(record).to_le_bytes() {
            let end = &record[size.saturating_sub(ZEROS)..];
            return if size > 0 && zeros(end) && zeros(after) {
                Ok(Held { records, ..cut })
            } else {
                Err(at)
            };
        }
        records.push(record.to_vec());
        at += FRAME + size;
    }
    Ok(Held { records, cut: 0 })
}

#[cfg(test)]
mod tests;
