//! Durable files on disks that fail for a while.
//!
//! [`Folder`] is the one seam between durable state and the operating system: [`DiskFolder`] is a folder of the file
//! system, `testing::FaultyFolder` one in memory that fails where a test says. On it stand [`RecordLog`], the log of a
//! control machine, and [`replace_file`], by which a file is replaced as a whole. Both hold to one rule: after a failed
//! write or sync a file is never appended to or synced again; what it should hold goes into a fresh file.

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
