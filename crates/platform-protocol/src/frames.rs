//! Binary frames between a router and workers: a 16-byte header, fields, a body, and a checksum of fields and body. A
//! frame is accepted only if its first byte, code, lengths and checksum are valid. Lengths are checked against their
//! limits before anything is allocated for the frame.

mod layout;
mod read;
mod write;

pub use read::{Frame, MAX_FIELDS, MAX_RESPONSE_BODY, MAX_SPECIFIED_RESPONSE, WorkerResponse, read};
pub use write::{Attempt, write_attempt, write_cancel, write_load_request, write_probe, write_unload};
