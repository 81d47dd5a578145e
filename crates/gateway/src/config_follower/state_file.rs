//! The file with a gateway's last known configuration state. It is replaced atomically and at a limited rate, and
//! failed writes are retried with backoff. All times are in seconds on the gateway's clock.

use milletpath_storage::{Backoff, Folder, ReplaceError, replace_file};

/// Minimum time between two writes. A crash loses at most a second of changes, which the control machines still have.
const MIN_INTERVAL_SECONDS: f64 = 1.0;

/// The pause before the next write is at least this many times the duration of the last one, which limits the load from
/// large states.
const PAUSE_FACTOR: f64 = 20.0;

/// Identifies one state of the configuration log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateId {
    /// The number of the last entry.
    pub number: u64,
    /// The digest of the applied state.
    pub digest: u64,
}

/// Writes the last known state to its file.
pub struct StateFile<F> {
    folder: F,
    name: String,
    /// The state currently in the file.
    stored: StateId,
    /// Earliest time of the next write.
    next_write: f64,
    backoff: Backoff,
    /// Number of successful writes.
    pub writes: u64,
    /// Number of failed writes.
    pub failures: u64,
}

impl<F: Folder> StateFile<F> {
    /// Creates a writer for a file that contains the state `stored`, and removes temporary files left over by killed
    /// processes.
    pub fn new(folder: F, name: String, stored: StateId, now: f64) -> Self {
        let prefix = format!("{name}.");
        let is_leftover = |other: &String| {
            let process = other.strip_prefix(&prefix).and_then(|rest| rest.strip_suffix(".new"));
            process.is_some_and(|id| !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_digit()))
        };
        let leftovers: Vec<String> =
            folder.names().unwrap_or_default().into_iter().filter(is_leftover).collect();
        for other in leftovers {
            // A leftover file that can't be removed only wastes space.
            let _ = folder.remove(&other);
        }
        Self { folder, name, stored, next_write: now, backoff: Backoff::default(), writes: 0, failures: 0 }
    }

    /// Writes a state if it differs from the one in the file and the next write is due. `encode` serializes it.
    pub fn save(&mut self, state: StateId, now: f64, encode: impl FnOnce() -> Vec<u8>) {
        if state != self.stored && now >= self.next_write {
            self.write(state, now, encode);
        }
    }

    /// Like [`save`](Self::save), but without waiting until the next write is due, because the process is about to end.
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

    /// Replaces the file. The temporary name contains the process id, because another process of the same gateway may
    /// still be writing.
    fn replace(&self, bytes: &[u8]) -> Result<(), ReplaceError> {
        let temporary = format!("{}.{}.new", self.name, std::process::id());
        replace_file(&self.folder, &self.name, &temporary, bytes).map(drop)
    }
}

#[cfg(test)]
mod tests;
