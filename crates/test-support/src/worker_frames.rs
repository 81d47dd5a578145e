//! Encoder and decoder for the frames between a router and a worker. They follow the protocol's specification and do
//! not use the codec of `milletpath-platform-protocol`, which they help to test.

use std::io::Read;

/// Size of a frame's header in bytes.
pub const HEADER_BYTES: usize = 16;

/// Size in bytes of the checksum that follows a frame's body.
const CHECKSUM_BYTES: usize = 4;

/// First byte of each frame that a worker sends.
const FROM_WORKER: u8 = 127;

/// Codes of frames that a router sends.
pub mod request {
    /// Runs an attempt of a call.
    pub const ATTEMPT: u8 = 2;
    /// Cancels an attempt: the router no longer waits for its response.
    pub const CANCEL: u8 = 3;
    /// Checks the worker's health.
    pub const HEALTH_CHECK: u8 = 4;
    /// Checks the worker's health and requests a load report.
    pub const HEALTH_CHECK_WITH_LOAD: u8 = 5;
    /// Requests that the worker load instances of a function; with the field `n=0` it only asks how many there are.
    pub const LOAD: u8 = 6;
}

/// Codes of frames that a worker sends in response.
pub mod response {
    /// The call succeeded, or the function is loaded.
    pub const DONE: u8 = 200;
    /// The worker has no instance of the function and did not run the call.
    pub const MISS: u8 = 202;
    /// The worker is at capacity or draining and did not run the call.
    pub const REJECTED: u8 = 203;
    /// The call failed.
    pub const ERROR: u8 = 204;
    /// The worker is healthy.
    pub const HEALTHY: u8 = 206;
    /// The worker accepts no new work.
    pub const UNHEALTHY: u8 = 207;
}

/// A frame received by a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// One of the codes in [`request`].
    pub code: u8,
    /// Id of the call, health check or load request.
    pub id: u64,
    /// The frame's fields as text.
    pub fields: String,
}

/// The header of a frame received by a worker.
#[derive(Clone, Copy, Debug)]
pub struct FrameHeader {
    /// One of the codes in [`request`].
    pub code: u8,
    /// Id of the call, health check or load request.
    pub id: u64,
    field_bytes: usize,
    body_bytes: usize,
}

impl FrameHeader {
    /// Decodes a header.
    pub fn parse(header: &[u8; HEADER_BYTES]) -> Self {
        let number = |bytes: &[u8]| bytes.iter().fold(0, |number, &byte| number << 8 | u64::from(byte));
        Self {
            code: header[1],
            id: number(&header[8..]),
            field_bytes: number(&header[2..4]) as usize,
            body_bytes: number(&header[4..8]) as usize,
        }
    }

    /// Size in bytes of the rest of the frame: fields, body and checksum.
    pub fn remaining_bytes(&self) -> usize {
        self.field_bytes + self.body_bytes + CHECKSUM_BYTES
    }
}

/// Reads the next frame; `None` if the connection ends or its read timeout expires.
pub fn read_frame(from: &mut impl Read) -> Option<Frame> {
    let mut header = [0; HEADER_BYTES];
    from.read_exact(&mut header).ok()?;
    let header = FrameHeader::parse(&header);
    let mut rest = vec![0; header.remaining_bytes()];
    from.read_exact(&mut rest).ok()?;
    rest.truncate(header.field_bytes);
    let fields = String::from_utf8(rest).expect("the fields are UTF-8");
    Some(Frame { code: header.code, id: header.id, fields })
}

/// Encodes a frame sent by a worker. `code` is one of the codes in [`response`].
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
