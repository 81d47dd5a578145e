//! Worker frames: a header of 16 bytes, fields, body, and a checksum of both. A frame is accepted only where first byte,
//! code, lengths and checksum are right; its lengths are bounded before anything is allocated for it.

mod layout;
mod read;
mod write;

pub use read::{Frame, MAX_FIELDS, MAX_RESPONSE_BODY, WorkerResponse, read};
pub use write::{Attempt, write_attempt, write_cancel, write_load_request, write_probe, write_unload};
