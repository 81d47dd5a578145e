//! The running router.

pub mod indices;
pub mod wheel;
