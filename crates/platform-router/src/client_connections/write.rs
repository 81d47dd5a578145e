//! Writes responses to clients.

use super::close::CloseReason;
use crate::platform_router::PlatformRouter;
use crate::sockets::{DirectSockets, Sockets, SystemSockets};
use crate::write_buffer::RETAINED_CAPACITY;

/// Maximum number of response bytes buffered for a slow reader: several responses of the usual size, and small
/// compared with the smallest memory that a router is granted.
const MAX_UNWRITTEN: usize = 128 << 10;

impl PlatformRouter {
    /// Writes buffered responses as far as the socket accepts them, and closes a client that reads too slowly.
    pub fn flush_client(&mut self, slot: usize) {
        let now = self.now();
        // The process may exit before the runtime looks at the socket again.
        let sockets: &dyn Sockets =
            if self.shutdown.admission_closed() { &DirectSockets } else { &SystemSockets };
        let Some(client) = self.clients.get_mut(slot) else { return };
        match client.write_buffer.write(sockets, &client.stream) {
            Ok(0) => {}
            Ok(_) => client.last_progress = now,
            Err(error) => return self.close_client(slot, &CloseReason::Io(error)),
        }
        client.update_reservation();
        let (remaining, closing) = (client.write_buffer.remaining(), client.closing);
        if remaining > 0 {
            client.wake.notify_one();
            let limit = if self.memory_budget.is_full() { RETAINED_CAPACITY } else { MAX_UNWRITTEN };
            if remaining > limit {
                self.close_client(slot, &CloseReason::ReadsTooSlowly);
            }
        } else if closing {
            self.close_client(slot, &CloseReason::InvalidLine);
        }
    }
}
