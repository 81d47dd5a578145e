//! The layout that frames of both directions share. All numbers are big-endian: one byte for the direction, one for the
//! code, two for the length of the fields, four for that of the body, eight for the id.

/// Bytes of the header.
pub const HEADER_BYTES: usize = 16;
/// Bytes of the checksum: CRC-32 of fields and body.
pub const CHECKSUM_BYTES: usize = 4;
/// The first byte of a router's frame.
pub const FROM_ROUTER: u8 = 126;
/// The first byte of a worker's frame.
pub const FROM_WORKER: u8 = 127;
