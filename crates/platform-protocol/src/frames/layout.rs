//! The frame layout, which is the same in both directions. The header consists of the direction (1 byte), the code
//! (1 byte), the length of the fields (2 bytes), the length of the body (4 bytes) and the id (8 bytes). All integers
//! are big-endian.

/// Length of the header.
pub const HEADER_BYTES: usize = 16;
/// Length of the checksum, a CRC-32 of fields and body.
pub const CHECKSUM_BYTES: usize = 4;
/// First byte of a frame from a router.
pub const FROM_ROUTER: u8 = 126;
/// First byte of a frame from a worker.
pub const FROM_WORKER: u8 = 127;
