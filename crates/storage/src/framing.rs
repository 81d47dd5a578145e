//! The file format of a record log: a file header, then the records, each preceded by a record header with its length and
//! two checksums.

use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of a record log.
pub const FILE_HEADER: &[u8] = b"milletpath control log 1\n";

/// Size of a record header: the length of the record (4 bytes), a checksum of the length (4), and a checksum of the record
/// (8). Integers are little-endian. Checksums are XXH3-64; that of the length is truncated to its lower 32 bits.
const RECORD_HEADER_BYTES: usize = 4 + 4 + 8;

/// Maximum size of a record, in bytes. Configuration changes are far smaller.
const MAX_RECORD_BYTES: u32 = 1 << 20;

/// Why the contents of a file can't be parsed as a record log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormatError {
    /// The file does not begin with the file header.
    NotALog,
    /// The record at this byte offset was altered after it was written.
    CorruptAt(u64),
}

/// The parsed contents of a log file.
#[derive(Debug, Default, PartialEq)]
pub struct Parsed {
    /// All complete records.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of a torn record at the end: one that a crash or a failed write left incomplete.
    pub torn_bytes: u64,
}

/// Appends records to `bytes`, each preceded by its record header.
///
/// # Panics
///
/// If a record is larger than [`MAX_RECORD_BYTES`]. Callers limit their records to far less.
pub fn encode(records: &[Vec<u8>], bytes: &mut Vec<u8>) {
    for record in records {
        let length = u32::try_from(record.len()).ok().filter(|n| *n <= MAX_RECORD_BYTES);
        let length = length.expect("a record of at most MAX_RECORD_BYTES").to_le_bytes();
        bytes.extend(length);
        bytes.extend((xxh3_64(&length) as u32).to_le_bytes());
        bytes.extend(xxh3_64(record).to_le_bytes());
        bytes.extend(record);
    }
}

/// Parses the contents of a log file.
pub fn parse(bytes: &[u8]) -> Result<Parsed, FormatError> {
    if bytes.len() < FILE_HEADER.len() && FILE_HEADER.starts_with(bytes) {
        // The file is new, or a crash truncated it within the file header.
        return Ok(Parsed::default());
    }
    let mut rest = bytes.strip_prefix(FILE_HEADER).ok_or(FormatError::NotALog)?;
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

/// The result of parsing one record.
enum ParsedRecord<'a> {
    Complete {
        record: &'a [u8],
        /// The bytes after the record.
        rest: &'a [u8],
    },
    /// The end of the record did not reach the disk.
    Torn,
    /// The record was altered after it was written.
    Corrupt,
}

fn parse_record(bytes: &[u8]) -> ParsedRecord<'_> {
    /// A record with a wrong checksum counts as torn rather than corrupt if its last so many bytes, and all bytes after it,
    /// are zero: they did not reach the disk.
    const TORN_TRAILING_ZEROS: usize = 8;
    let all_zero = |part: &[u8]| part.iter().all(|b| *b == 0);
    let Some((header, following)) = bytes.split_at_checked(RECORD_HEADER_BYTES) else {
        return ParsedRecord::Torn;
    };
    let (length, checksums) = header.split_at(4);
    let (length_checksum, record_checksum) = checksums.split_at(4);
    let size = length.iter().rev().fold(0, |n, b| n << 8 | usize::from(*b));
    if length_checksum != (xxh3_64(length) as u32).to_le_bytes() || size > MAX_RECORD_BYTES as usize {
        return if all_zero(bytes) { ParsedRecord::Torn } else { ParsedRecord::Corrupt };
    }
    let Some((record, rest)) = following.split_at_checked(size) else { return ParsedRecord::Torn };
    if record_checksum == xxh3_64(record).to_le_bytes() {
        return ParsedRecord::Complete { record, rest };
    }
    let end = &record[size.saturating_sub(TORN_TRAILING_ZEROS)..];
    if size > 0 && all_zero(end) && all_zero(rest) { ParsedRecord::Torn } else { ParsedRecord::Corrupt }
}
