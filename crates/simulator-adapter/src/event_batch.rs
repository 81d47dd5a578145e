//! Reads frames of events: a header, fixed-size records, and a tail for variable-length data.

use crate::error::WireError;
use crate::record::Record;
use std::io::Read;

const HEADER_BYTES: usize = 16;
const EVENT_BYTES: usize = 48;

/// Offsets of the fields in the header.
const LENGTH: usize = 0;
const COUNT: usize = 4;
const CLOCK: usize = 8;

/// A frame of events, all of which have the same time.
pub struct EventBatch {
    bytes: Vec<u8>,
    count: usize,
    /// Time of all events, in microseconds since an arbitrary origin.
    pub clock: u64,
}

impl EventBatch {
    /// Reads the next batch; `None` at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Self>, WireError> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        read_up_to(input, &mut bytes, HEADER_BYTES)?;
        if bytes.is_empty() {
            return Ok(None);
        }
        if bytes.len() < HEADER_BYTES {
            return Err(WireError::TruncatedHeader);
        }
        let header = Record(&bytes);
        let (length, count) = (header.u32(LENGTH) as usize, header.u32(COUNT) as usize);
        let clock = header.u64(CLOCK);
        let needed = count.checked_mul(EVENT_BYTES).and_then(|n| n.checked_add(HEADER_BYTES));
        if needed.is_none_or(|needed| needed > length) {
            return Err(WireError::TooManyRecords { length, count });
        }
        read_up_to(input, &mut bytes, length - HEADER_BYTES)?;
        if bytes.len() < length {
            return Err(WireError::TruncatedFrame { read: bytes.len(), length });
        }
        Ok(Some(Self { bytes, count, clock }))
    }

    /// The events, in the order of the frame.
    pub fn events(&self) -> impl Iterator<Item = Record<'_>> {
        self.bytes[HEADER_BYTES..].chunks_exact(EVENT_BYTES).take(self.count).map(Record)
    }

    /// A part of the tail.
    pub fn tail(&self, offset: u32, length: usize) -> Result<&[u8], WireError> {
        let tail = &self.bytes[HEADER_BYTES + self.count * EVENT_BYTES..];
        let start = offset as usize;
        let end = start.checked_add(length).filter(|end| *end <= tail.len());
        end.map(|end| &tail[start..end]).ok_or(WireError::BeyondTail)
    }
}

/// Appends up to `count` bytes of the input; fewer only if the input ends.
fn read_up_to(input: &mut impl Read, bytes: &mut Vec<u8>, count: usize) -> Result<(), WireError> {
    input.take(count as u64).read_to_end(bytes).map(|_| ()).map_err(WireError::Read)
}
