//! The format of a record log: a header, then the records, each behind a frame with its length and two checksums.

use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of a record log.
pub const HEADER: &[u8] = b"milletpath control log 1\n";

/// Size of a frame: the length of the record (4 bytes), a checksum of the length (4), and a checksum of the record (8);
/// integers are little-endian, checksums are XXH3, cut to the lower bytes.
const FRAME_BYTES: usize = 4 + 4 + 8;

/// Largest size of a record, in bytes; a change is far smaller.
const MAX_RECORD_BYTES: u32 = 1 << 20;

/// Why a file can't be read as a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormatError {
    /// It does not begin with the header.
    NoLog,
    /// The record at this byte offset was changed after it was written.
    CorruptAt(u64),
}

/// The contents of a file.
#[derive(Debug, Default, PartialEq)]
pub struct Parsed {
    /// All complete records.
    pub records: Vec<Vec<u8>>,
    /// Size of a last record that a crash or a failed write cut short, in bytes.
    pub torn_bytes: u64,
}

/// Appends records to `bytes`, each behind its frame.
///
/// # Panics
///
/// If a record is larger than [`MAX_RECORD_BYTES`]; callers bound their records far below that.
pub fn frame(records: &[Vec<u8>], bytes: &mut Vec<u8>) {
    for record in records {
        let length = u32::try_from(record.len()).ok().filter(|n| *n <= MAX_RECORD_BYTES);
        let length = length.expect("a record within its bound").to_le_bytes();
        bytes.extend(length);
        bytes.extend((xxh3_64(&length) as u32).to_le_bytes());
        bytes.extend(xxh3_64(record).to_le_bytes());
        bytes.extend(record);
    }
}

/// Parses the contents of a log file.
pub fn parse(bytes: &[u8]) -> Result<Parsed, FormatError> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        // New, or cut short before its first record.
        return Ok(Parsed::default());
    }
    let mut rest = bytes.strip_prefix(HEADER).ok_or(FormatError::NoLog)?;
    let mut records = Vec::new();
    while !rest.is_empty() {
        match parse_record(rest) {
            ParsedRecord::Complete { record, rest: following } => {
                records.push(record.to_vec());
                rest = following;
            }
            ParsedRecord::Torn => break,
            ParsedRecord::Corrupt => return Err(FormatError::CorruptAt((bytes.len() - rest.len()) as u64)),
        }
    }
    Ok(Parsed { records, torn_bytes: rest.len() as u64 })
}

/// What the bytes at the position of a record hold.
enum ParsedRecord<'a> {
    Complete {
        record: &'a [u8],
        /// The bytes that follow it.
        rest: &'a [u8],
    },
    /// Its end did not reach the disk.
    Torn,
    /// It was changed after it had been written.
    Corrupt,
}

fn parse_record(bytes: &[u8]) -> ParsedRecord<'_> {
    /// Zeros at the end of a record by which it counts as torn: its last bytes did not reach the disk.
    const TORN_ZEROS: usize = 8;
    let zeros = |part: &[u8]| part.iter().all(|b| *b == 0);
    let Some((frame, following)) = bytes.split_at_checked(FRAME_BYTES) else { return ParsedRecord::Torn };
    let (length, checks) = frame.split_at(4);
    let (length_checksum, record_checksum) = checks.split_at(4);
    let size = length.iter().rev().fold(0, |n, b| n << 8 | usize::from(*b));
    if length_checksum != (xxh3_64(length) as u32).to_le_bytes() || size > MAX_RECORD_BYTES as usize {
        return if zeros(bytes) { ParsedRecord::Torn } else { ParsedRecord::Corrupt };
    }
    let Some((record, after)) = following.split_at_checked(size) else { return ParsedRecord::Torn };
    if record_checksum == xxh3_64(record).to_le_bytes() {
        return ParsedRecord::Complete { record, rest: after };
    }
    let end = &record[size.saturating_sub(TORN_ZEROS)..];
    if size > 0 && zeros(end) && zeros(after) { ParsedRecord::Torn } else { ParsedRecord::Corrupt }
}
