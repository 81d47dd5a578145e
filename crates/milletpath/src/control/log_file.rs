//! Opens the log file of a control machine: it is read at startup, and rewritten before the machine votes.

use milletpath_config_log::{LoadError, StoredLog};
use milletpath_storage::{Backoff, DiskFolder, Folder, OpenError, ReplaceError, is_transient};
use std::path::Path;
use std::time::Duration;

/// Why a log file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LogFileError {
    /// The path does not end in a file name.
    #[error("is not a file name")]
    NoFileName,
    /// The file cannot be read, is damaged, or was written by a later release.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A new log was requested, but the file already has records.
    #[error("holds a log already; start without --initialize")]
    AlreadyInitialized,
    /// The records cannot be written into a new file.
    #[error("{0}; mend the disk or its permissions")]
    Renew(#[source] ReplaceError),
}

/// Reads a log file, and rewrites its records into a new file. A read that fails for a transient reason is retried; a
/// rewrite that does is left to the running machine, unless `initialize` is set. `initialize` creates a new log.
///
/// # Errors
///
/// The file cannot be read or is damaged, the new file cannot be written for a reason that is not transient, or
/// `initialize` is set and the file has records or cannot be written.
pub fn open(path: &Path, initialize: bool) -> Result<StoredLog<DiskFolder>, LogFileError> {
    let file = path.display();
    let (folder, name) = DiskFolder::of_file(path).ok_or(LogFileError::NoFileName)?;
    let mut stored = load(&folder, &name, std::thread::sleep)?;
    if stored.torn_bytes > 0 {
        let bytes = stored.torn_bytes;
        tracing::warn!(%file, bytes, "a record that a crash cut short is taken off the log");
    }
    if initialize && !stored.is_empty() {
        return Err(LogFileError::AlreadyInitialized);
    }
    if !initialize && stored.is_empty() {
        tracing::warn!(
            "this control machine starts without a log: it learns from the others, and votes once all of them answered"
        );
    }
    match stored.renew(initialize) {
        Err(error) if initialize || !is_transient(error.io()) => return Err(LogFileError::Renew(error)),
        Err(error) => {
            tracing::error!(
                %file, %error,
                "the log file can't be rewritten; this control machine does not vote until it is"
            );
        }
        Ok(()) => {}
    }
    Ok(stored)
}

/// Reads the log file, and retries transient errors with exponential backoff; `sleep` waits between attempts.
fn load<F: Folder + Clone>(
    folder: &F,
    name: &str,
    mut sleep: impl FnMut(Duration),
) -> Result<StoredLog<F>, LoadError> {
    let mut backoff = Backoff::default();
    loop {
        match StoredLog::load(folder.clone(), name) {
            Err(LoadError::Open(OpenError::Io(error))) if is_transient(&error) => {
                let wait = backoff.failed();
                if backoff.failures() == 1 {
                    tracing::error!(file = name, %error, "the log can't be read; reading is tried again");
                }
                sleep(Duration::from_secs_f64(wait));
            }
            loaded => return loaded,
        }
    }
}

#[cfg(test)]
mod tests;
