//! The file of a gateway's last known state: replaced as a whole, at most once in a while, and again after a failure.

use milletpath_storage::{Backoff, Folder, ReplaceError, replace_file};

/// Seconds between two times: what a crash can cost is a second of changes, which the control machines still have.
const AGAIN: f64 = 1.0;

/// A large state takes its time: of that, so many times as much lies between.
const REST: f64 = 20.0;

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
    kept: StateId,
    /// When it may be written next.
    next: f64,
    backoff: Backoff,
    /// Times that it was written, and that it could not be.
    pub written: u64,
    pub failed: u64,
}

impl<F: Folder> StateFile<F> {
    /// A file that holds that state. What earlier processes left half written beside it goes.
    pub fn new(folder: F, name: String, kept: StateId, now: f64) -> Self {
        let prefix = format!("{name}.");
        let is_left = |other: &String| {
            let process = other.strip_prefix(&prefix).and_then(|rest| rest.strip_suffix(".new"));
            process.is_some_and(|p| !p.is_empty() && p.bytes().all(|b| b.is_ascii_digit()))
        };
        let left: Vec<String> = folder.names().unwrap_or_default().into_iter().filter(is_left).collect();
        for other in left {
            // One that can't be removed does no harm but take room.
            let _ = folder.remove(&other);
        }
        Self { folder, name, kept, next: now, backoff: Backoff::default(), written: 0, failed: 0 }
    }

    /// Writes a state, where it is another than the file holds and the last time is long enough ago.
    pub fn keep(&mut self, state: StateId, now: f64, save: impl FnOnce() -> Vec<u8>) {
        if state != self.kept && now >= self.next {
            self.write(state, now, save);
        }
    }

    /// As [`keep`](Self::keep), however short ago the last time is: the process ends.
    pub fn keep_last(&mut self, state: StateId, now: f64, save: impl FnOnce() -> Vec<u8>) {
        if state != self.kept {
            self.write(state, now, save);
        }
    }

    fn write(&mut self, state: StateId, now: f64, save: impl FnOnce() -> Vec<u8>) {
        let began = std::time::Instant::now();
        let mut wait = AGAIN;
        match self.replace(&save()) {
            Ok(()) => {
                self.kept = state;
                self.written += 1;
                self.backoff.succeeded();
            }
            Err(e) => {
                wait = wait.max(self.backoff.failed());
                if self.failed == 0 {
                    let file = &self.name;
                    tracing::error!(%file, "the last known state can't be kept, it would not outlive a restart: {e}");
                }
                self.failed += 1;
            }
        }
        self.next = now + wait.max(REST * began.elapsed().as_secs_f64());
    }

    /// The name beside it is this process's own: another process of the same gateway may still write.
    fn replace(&self, bytes: &[u8]) -> Result<(), ReplaceError> {
        let beside = format!("{}.{}.new", self.name, std::process::id());
        replace_file(&self.folder, &self.name, &beside, bytes).map(drop)
    }
}

#[cfg(test)]
mod tests;
