//! A replica combined with its log file.

mod replica;
mod stored_log;

pub use replica::{DurableReplica, FlushOutput, RewritePolicy, StorageError, StorageEvent};
pub use stored_log::{LoadError, StoredLog};
