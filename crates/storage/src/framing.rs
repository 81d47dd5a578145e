//! The form of a record log: a header, then records one behind the other, each with its length and checksums.

use xxhash_rust::xxh3::xxh3_64;

/// What such a file begins with.
pub const HEADER: &[u8] = b"milletpath control log 1\n";

/// Before each record: its length, a checksum of that, and a checksum of the record.
const FRAME: usize = 4 + 4 + 8;

/// Bytes of one record at most: far more than a change has.
const LARGEST_RECORD: u32 = 1 << 20;

/// Why a file can't be read as a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormatError {
    NoLog,
    /// The record at this byte is not what was written.
    CorruptAt(u64),
}

/// What a file holds.
#[derive(Debug, Default, PartialEq)]
pub struct Parsed {
    pub records: Vec<Vec<u8>>,
    /// Bytes at the end of a record that a crash or a failed write cut short.
    pub torn_bytes: u64,
}

/// Adds records to `bytes`, each in its frame.
///
/// # Panics
///
/// Where a record is larger than [`LARGEST_RECORD`]: its author bounds it far below.
pub fn frame(records: &[Vec<u8>], bytes: &mut Vec<u8>) {
    for record in records {
        let length = u32::try_from(record.len()).ok().filter(|n| *n <= LARGEST_RECORD);
        let length = length.expect("a record within its bound").to_le_bytes();
        bytes.extend(length);
        bytes.extend((xxh3_64(&length) as u32).to_le_bytes());
        bytes.extend(xxh3_64(record).to_le_bytes());
        bytes.extend(record);
    }
}

/// The records of a whole file.
pub fn parse(bytes: &[u8]) -> Result<Parsed, FormatError> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        // New, or cut short before it held anything.
        return Ok(Parsed::default());
    }
    let mut rest = bytes.strip_prefix(HEADER).ok_or(FormatError::NoLog)?;
    let mut records = Vec::new();
    while !rest.is_empty() {
        match parse_record(rest) {
            Next::Record(record, behind) => {
                records.push(record.to_vec());
                rest = behind;
            }
            Next::Torn => break,
            Next::Corrupt => return Err(FormatError::CorruptAt((bytes.len() - rest.len()) as u64)),
        }
    }
    Ok(Parsed { records, torn_bytes: rest.len() as u64 })
}

enum Next<'a> {
    /// A record, and the bytes behind it.
    Record(&'a [u8], &'a [u8]),
    Torn,
    Corrupt,
}

fn parse_record(bytes: &[u8]) -> Next<'_> {
    /// Zeros at the end of a record whose bytes did not reach the disk.
    const TORN_ZEROS: usize = 8;
    let zeros = |part: &[u8]| part.iter().all(|b| *b == 0);
    let Some((frame, behind)) = bytes.split_at_checked(FRAME) else { return Next::Torn };
    let (length, checks) = frame.split_at(4);
    let (of_length, of_record) = checks.split_at(4);
    let size = length.iter().rev().fold(0, |n, b| n << 8 | usize::from(*b));
    if of_length != (xxh3_64(length) as u32).to_le_bytes() || size > LARGEST_RECORD as usize {
        return if zeros(bytes) { Next::Torn } else { Next::Corrupt };
    }
    let Some((record, after)) = behind.split_at_checked(size) else { return Next::Torn };
    if of_record == xxh3_64(record).to_le_bytes() {
        return Next::Record(record, after);
    }
    let end = &record[size.saturating_sub(TORN_ZEROS)..];
    if size > 0 && zeros(end) && zeros(after) { Next::Torn } else { Next::Corrupt }
}
