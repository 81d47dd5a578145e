//! Signals of the operating system, which both routers wait for.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod signals;
