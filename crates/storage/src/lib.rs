//! Crash-safe files on disks that may fail temporarily.
//!
//! [`Folder`] is the only interface between durable state and the operating system. [`DiskFolder`] is a folder of the file
//! system; `testing::FaultyFolder` is an in-memory folder with fault injection. [`RecordLog`], the log file of a control
//! machine, and [`replace_file`], which replaces a file atomically, are built on it. Both follow one rule: after a failed
//! write or sync, a file is never appended to or synced again, and its contents are written to a new file. The state of a
//! file after a failed fsync is undefined (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
//! 2020).

mod backoff;
mod disk;
mod folder;
mod framing;
mod record_log;
#[cfg(feature = "testing")]
pub mod testing;

pub use backoff::Backoff;
pub use disk::{DiskFolder, survive_file_size_limit};
pub use folder::{Folder, FolderFile, ReplaceError, is_transient, replace_file};
pub use record_log::{AppendError, OpenError, RecordLog, Recovered};
