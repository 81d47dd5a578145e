//! Status messages that a host writes to its standard output. Observations of gateways are buffered by their threads
//! and written before any later message about the same gateway.

use super::lock;
use crate::host_protocol::{AppliedChange, MembershipObservation, StatusMessage};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};

/// Capacity of each buffer: enough for more than two rounds in which every gateway of a full run observes all others.
/// Further observations are dropped.
const MAX_BUFFERED: usize = 4_000_000;

/// Observations that are not written yet. Clones share the buffers.
#[derive(Clone, Default)]
pub struct ObservationBuffer {
    membership: Arc<Mutex<Vec<MembershipObservation>>>,
    applied: Arc<Mutex<Vec<AppliedChange>>>,
}

impl ObservationBuffer {
    /// Adds a membership observation. `observe` is called under the lock, so that timestamps are in order.
    pub fn push_membership(&self, observe: impl FnOnce() -> MembershipObservation) {
        push_bounded(&self.membership, observe);
    }

    /// Adds a change applied by a gateway. `observe` is called under the lock, so that timestamps are in order.
    pub fn push_applied(&self, observe: impl FnOnce() -> AppliedChange) {
        push_bounded(&self.applied, observe);
    }
}

fn push_bounded<T>(buffer: &Mutex<Vec<T>>, item: impl FnOnce() -> T) {
    let mut buffer = lock(buffer);
    if buffer.len() < MAX_BUFFERED {
        buffer.push(item());
    }
}

/// Standard output of a host, for one writer at a time.
#[derive(Default)]
pub struct StatusOutput {
    observations: ObservationBuffer,
    write_lock: Mutex<()>,
}

impl StatusOutput {
    /// Returns a handle to the observation buffer.
    pub fn observations(&self) -> ObservationBuffer {
        self.observations.clone()
    }

    /// Waits for exclusive access to the output.
    pub fn lock(&self) -> StatusWriter<'_> {
        StatusWriter { observations: &self.observations, _write_lock: lock(&self.write_lock) }
    }
}

/// Exclusive access to the output, released on drop.
pub struct StatusWriter<'a> {
    observations: &'a ObservationBuffer,
    _write_lock: MutexGuard<'a, ()>,
}

impl StatusWriter<'_> {
    /// Writes one message as a line.
    pub fn write(&mut self, message: &StatusMessage) -> io::Result<()> {
        let mut output = io::stdout().lock();
        serde_json::to_writer(&mut output, message)?;
        output.write_all(b"\n")?;
        output.flush()
    }

    /// Writes the buffered observations.
    pub fn write_observations(&mut self) -> io::Result<()> {
        let membership = std::mem::take(&mut *lock(&self.observations.membership));
        if !membership.is_empty() {
            self.write(&StatusMessage::MembershipObservations(membership))?;
        }
        let applied = std::mem::take(&mut *lock(&self.observations.applied));
        if !applied.is_empty() {
            self.write(&StatusMessage::AppliedChanges(applied))?;
        }
        Ok(())
    }
}
