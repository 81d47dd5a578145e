//! The file of a gateway's last known state: replaced as a whole, at most once in a while, and again after a failure.

use milletpath_storage::{Backoff, Folder, ReplaceError, replace_file};

/// Seconds between two times: what a crash can cost is a second of changes, which the control machines still have.
const MIN_INTERVAL_SECONDS: f64 = 1.0;

/// A large state takes its time: of that, so many times as much lies between.
const REST_FACTOR: f64 = 20.0;

/// Which state: its number and digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateId {
    pub number: u64,
    pub digest: u64,
}

pub struct StateFile<F> {
    folder: F,
    name: String,
    /// What the file holds.
    stored: StateId,
    /// When it may be written next.
    next: f64,
    backoff: Backoff,
    /// Times that it was written, and that it could not be.
    pub writes: u64,
    pub failures: u64,
}

impl<F: Folder> StateFile<F> {
    /// A file that holds that state. What earlier processes left half written beside it goes.
    pub fn new(folder: F, name: String, stored: StateId, now: f64) -> Self {
        let prefix = format!("{name}.");
        let is_leftover = |other: &String| {
            let process = other.strip_prefix(&prefix).and_then(|rest| rest.strip_suffix(".new"));
            process.is_some_and(|p| !p.is_empty() && p.bytes().all(|b| b.is_ascii_digit()))
        };
        let leftovers: Vec<String> =
            folder.names().unwrap_or_default().into_iter().filter(is_leftover).collect();
        for other in leftovers {
            // One that can't be removed does no harm but take room.
            let _ = folder.remove(&other);
        }
        Self { folder, name, stored, next: now, backoff: Backoff::default(), writes: 0, failures: 0 }
    }

    /// Writes a state, where it is another than the file holds and the last time is long enough ago.
    pub fn save(&mut self, state: StateId, now: f64, encode: impl FnOnce() -> Vec<u8>) {
        if state != self.stored && now >= self.next {
            self.write(state, now, encode);
        }
    }

    /// As [`save`](Self::save), however short ago the last time is: the process ends.
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
                    tracing::error!(%file, "the last known state can't be stored, it would not outlive a restart: {e}");
                }
                self.failures += 1;
            }
        }
        self.next = now + wait.max(REST_FACTOR * began.elapsed().as_secs_f64());
    }

    /// The temporary name is this process's own: another process of the same gateway may still write.
    fn replace(&self, bytes: &[u8]) -> Result<(), ReplaceError> {
        let temporary = format!("{}.{}.new", self.name, std::process::id());
        replace_file(&self.folder, &self.name, &temporary, bytes).map(drop)
    }
}

#[cfg(test)]
mod tests;
