//! Frames between a router and a worker of the platform, written and read from the platform's page and not with the
//! codec that they test.

use std::io::Read;

/// Bytes of a frame before its fields.
pub const HEADER_BYTES: usize = 16;

/// Bytes of the checksum behind a frame's body.
const CHECKSUM_BYTES: usize = 4;

/// The first byte of each frame that a worker writes.
const FROM_WORKER: u8 = 127;

/// Codes of frames that a router sends.
pub mod request {
    /// An attempt of a call.
    pub const ATTEMPT: u8 = 2;
    /// The router waits no longer for an attempt.
    pub const CANCEL: u8 = 3;
    /// A health check.
    pub const HEALTH_CHECK: u8 = 4;
    /// A health check that asks for the worker's load as well.
    pub const HEALTH_CHECK_WITH_LOAD: u8 = 5;
    /// A load request: an instance of a function is to be loaded.
    pub const LOAD: u8 = 6;
}

/// Codes of frames that a worker answers with.
pub mod response {
    /// The call has succeeded, or the function is loaded.
    pub const DONE: u8 = 200;
    /// The worker has no instance of the function, and has not run the call.
    pub const MISS: u8 = 202;
    /// The worker is full or drains, and has not run the call.
    pub const REJECTED: u8 = 203;
    /// The call has failed.
    pub const ERROR: u8 = 204;
    /// The worker is healthy.
    pub const HEALTHY: u8 = 206;
    /// The worker takes no new work.
    pub const UNHEALTHY: u8 = 207;
}

/// A frame that a worker has received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// One of the codes in [`request`].
    pub code: u8,
    /// Id of the call, or of what else is asked.
    pub id: u64,
    /// The fields, as text.
    pub fields: String,
}

/// The head of a frame.
#[derive(Clone, Copy, Debug)]
pub struct FrameHeader {
    /// One of the codes in [`request`].
    pub code: u8,
    /// Id of the call, or of what else is asked.
    pub id: u64,
    field_bytes: usize,
    body_bytes: usize,
}

impl FrameHeader {
    /// Reads the first bytes of a frame.
    pub fn parse(head: &[u8; HEADER_BYTES]) -> Self {
        let number = |bytes: &[u8]| bytes.iter().fold(0, |number, &byte| number << 8 | u64::from(byte));
        Self {
            code: head[1],
            id: number(&head[8..]),
            field_bytes: number(&head[2..4]) as usize,
            body_bytes: number(&head[4..8]) as usize,
        }
    }

    /// Bytes of the frame behind its head: fields, body and checksum.
    pub fn remaining_bytes(&self) -> usize {
        self.field_bytes + self.body_bytes + CHECKSUM_BYTES
    }
}

/// Reads the next frame; `None` where the connection ends, or nothing comes before its read timeout.
pub fn read_frame(from: &mut impl Read) -> Option<Frame> {
    let mut head = [0; HEADER_BYTES];
    from.read_exact(&mut head).ok()?;
    let head = FrameHeader::parse(&head);
    let mut rest = vec![0; head.remaining_bytes()];
    from.read_exact(&mut rest).ok()?;
    rest.truncate(head.field_bytes);
    let fields = String::from_utf8(rest).expect("fields are text");
    Some(Frame { code: head.code, id: head.id, fields })
}

/// A frame as a worker writes it; `code` is one of [`response`].
pub fn frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![FROM_WORKER, code];
    bytes.extend((fields.len() as u16).to_be_bytes());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(id.to_be_bytes());
    let content = [fields.as_bytes(), body].concat();
    bytes.extend(&content);
    bytes.extend(crc32fast::hash(&content).to_be_bytes());
    bytes
}
