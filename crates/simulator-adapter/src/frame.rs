//! Frames of the wire: little-endian records of fixed size with one tail for what varies in length.

use std::io::{self, Read};

/// Why a frame cannot be used; the text is meant for whoever started the program.
#[derive(Debug)]
pub struct Malformed(pub String);

impl From<&str> for Malformed {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

const HEADER: usize = 16;
const EVENT: usize = 48;
const ACTION: usize = 24;
pub const ENTRY: usize = 21;

/// One batch of events.
pub struct Batch {
    bytes: Vec<u8>,
    count: usize,
    pub clock: u64,
}

impl Batch {
    /// Reads the next batch; none at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Self>, Malformed> {
        let mut bytes = Vec::with_capacity(HEADER);
        fill(input, &mut bytes, HEADER)?;
        if bytes.is_empty() {
            return Ok(None);
        }
        if bytes.len() < HEADER {
            return Err("the input ends within a frame's header".into());
        }
        let header = Cells(&bytes);
        let (length, count, clock) = (header.u32(0) as usize, header.u32(4) as usize, header.u64(8));
        let records = count.checked_mul(EVENT).and_then(|n| n.checked_add(HEADER));
        if records.is_none_or(|n| n > length) {
            return Err(Malformed(format!("a frame of {length} bytes cannot hold {count} records")));
        }
        fill(input, &mut bytes, length - HEADER)?;
        if bytes.len() < length {
            return Err(Malformed(format!("the input ends {} bytes into a frame of {length}", bytes.len())));
        }
        Ok(Some(Self { bytes, count, clock }))
    }

    pub fn events(&self) -> impl Iterator<Item = Cells<'_>> {
        self.bytes[HEADER..].chunks_exact(EVENT).take(self.count).map(Cells)
    }

    /// The part of the tail that a field names.
    pub fn tail(&self, offset: u32, length: usize) -> Result<&[u8], Malformed> {
        let tail = &self.bytes[HEADER + self.count * EVENT..];
        let from = offset as usize;
        let to = from.checked_add(length).filter(|&to| to <= tail.len());
        to.map(|to| &tail[from..to]).ok_or_else(|| "a field points beyond its frame's tail".into())
    }
}

/// Appends up to `wanted` bytes of the input; fewer only where it ends.
fn fill(input: &mut impl Read, bytes: &mut Vec<u8>, wanted: usize) -> Result<(), Malformed> {
    let read = input.take(wanted as u64).read_to_end(bytes);
    read.map(|_| ()).map_err(|e| Malformed(format!("the input cannot be read: {e}")))
}

/// The bytes of one record or entry, read by position.
#[derive(Clone, Copy)]
pub struct Cells<'a>(pub &'a [u8]);

impl Cells<'_> {
    fn at<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }

    pub fn u8(self, at: usize) -> u8 {
        self.0[at]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.at(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.at(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.at(at))
    }

    pub fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.at(at)))
    }

    /// A time span in seconds.
    pub fn span(self, at: usize) -> f64 {
        f64::from(self.u32(at)) / 1e6
    }
}

/// The actions of one reply.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Adds an action of the given code with its fields in order.
    pub fn action(&mut self, code: u8, fields: &[&[u8]]) {
        let from = self.records.len();
        self.records.push(code);
        fields.iter().for_each(|f| self.records.extend_from_slice(f));
        debug_assert!(self.records.len() <= from + ACTION);
        self.records.resize(from + ACTION, 0);
        self.count += 1;
    }

    /// Adds an action that ends in a text.
    pub fn text(&mut self, code: u8, instance: u16, text: &str) {
        let (offset, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.action(code, &[&instance.to_le_bytes(), &offset.to_le_bytes(), &length.to_le_bytes()]);
    }

    pub fn write(&self, output: &mut impl io::Write) -> io::Result<()> {
        let length = (8 + self.records.len() + self.tail.len()) as u32;
        output.write_all(&self.count.to_le_bytes())?;
        output.write_all(&length.to_le_bytes())?;
        output.write_all(&self.records)?;
        output.write_all(&self.tail)?;
        output.flush()
    }
}
