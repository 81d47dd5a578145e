//! A replica combined with a log file that may fail.

mod replica;
mod stored_log;

pub use replica::{DurableReplica, FlushOutput, RewritePolicy, StorageError, StorageEvent};
pub use stored_log::{LoadError, StoredLog};
