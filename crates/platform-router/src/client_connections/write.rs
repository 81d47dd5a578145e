//! Writes responses to clients. A client that reads slowly gets all of its responses, however many bytes they are: one
//! that reads nothing is closed after a time (`close.rs`), and a request is sent to a worker only if there is memory for
//! its response (`response_memory.rs`).

use super::close::CloseReason;
use crate::platform_router::PlatformRouter;
use crate::sockets::{DirectSockets, Sockets, SystemSockets};

impl PlatformRouter {
    /// Writes buffered responses as far as the socket accepts them.
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
        client.write_buffer.drop_written();
        client.update_reservation();
        if client.write_buffer.remaining() > 0 {
            client.wake.notify_one();
        } else if client.closing {
            self.close_client(slot, &CloseReason::InvalidLine);
        }
    }
}
