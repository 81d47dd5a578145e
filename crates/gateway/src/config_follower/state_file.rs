//! The file of a gateway's last known configuration state. It is replaced as a whole, at a limited rate, and a failed write
//! is retried with a backoff. All times are in seconds on the gateway's clock.

use milletpath_storage::{Backoff, Folder, ReplaceError, replace_file};

/// Seconds between two writes: a crash loses at most a second of changes, which the control machines still have.
const MIN_INTERVAL_SECONDS: f64 = 1.0;

/// A large state takes long to write: the pause before the next write is this many times the duration of the last one.
const PAUSE_FACTOR: f64 = 20.0;

/// Identifies a state of the configuration log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateId {
    /// The number of its last entry.
    pub number: u64,
    /// The digest over all that is applied.
    pub digest: u64,
}

/// Writes the last known state to its file.
pub struct StateFile<F> {
    folder: F,
    name: String,
    /// The state in the file.
    stored: StateId,
    /// When the file may be written next.
    next_write: f64,
    backoff: Backoff,
    /// Successful writes.
    pub writes: u64,
    /// Failed writes.
    pub failures: u64,
}

impl<F: Folder> StateFile<F> {
    /// A file that holds the state `stored`. Removes temporary files that killed processes left beside it.
    pub fn new(folder: F, name: String, stored: StateId, now: f64) -> Self {
        let prefix = format!("{name}.");
        let is_leftover = |other: &String| {
            let process = other.strip_prefix(&prefix).and_then(|rest| rest.strip_suffix(".new"));
            process.is_some_and(|id| !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_digit()))
        };
        let leftovers: Vec<String> =
            folder.names().unwrap_or_default().into_iter().filter(is_leftover).collect();
        for other in leftovers {
            // One that can't be removed only takes up space.
            let _ = folder.remove(&other);
        }
        Self { folder, name, stored, next_write: now, backoff: Backoff::default(), writes: 0, failures: 0 }
    }

    /// Writes a state where it differs from the one in the file and the last write is long enough ago; `encode` gives its
    /// bytes.
    pub fn save(&mut self, state: StateId, now: f64, encode: impl FnOnce() -> Vec<u8>) {
        if state != self.stored && now >= self.next_write {
            self.write(state, now, encode);
        }
    }

    /// As [`save`](Self::save), however recent the last write is: the process is about to end.
    pub fn save_last(&mut self, state: StateId, now: f64, encode: impl FnOnce() -> Vec<u8>) {
        if state != self.stored {
            self.write(state, now, encode);
        }
    }

    fn write(&mut self, state: StateId, now: f64, encode: impl FnOnce() -> Vec<u8>) {
        let began = std::time::Instant::now();
        let mut wait = MIN_INTERVAL_SECONDS;
        match self.replace(&encode()) {
            Ok(()) => {
                self.stored = state;
                self.writes += 1;
                self.backoff.succeeded();
            }
            Err(e) => {
                wait = wait.max(self.backoff.failed());
                if self.failures == 0 {
                    let file = &self.name;
                    tracing::error!(%file, "the last known state can't be written and would be lost in a restart: {e}");
                }
                self.failures += 1;
            }
        }
        self.next_write = now + wait.max(PAUSE_FACTOR * began.elapsed().as_secs_f64());
    }

    /// The temporary name is this process's own: another process of the same gateway may still write.
    fn replace(&self, bytes: &[u8]) -> Result<(), ReplaceError> {
        let temporary = format!("{}.{}.new", self.name, std::process::id());
        replace_file(&self.folder, &self.name, &temporary, bytes).map(drop)
    }
}

#[cfg(test)]
mod tests;
