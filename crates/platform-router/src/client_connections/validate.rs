//! Validates a line of a client against the state of its connection and of all other connections.

use super::received_messages::ReceivedMessages;
use crate::platform_router::PlatformRouter;
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::lines::{self, Call, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;

/// Maximum number of open calls on one connection.
pub(super) const MAX_OPEN_CALLS: usize = 32;

impl PlatformRouter {
    /// Parses and validates one line and adds it to the messages received with it. Empty lines are ignored.
    ///
    /// # Errors
    ///
    /// Why the line is invalid, which is also sent to the client.
    pub(super) fn check_line(
        &mut self,
        slot: usize,
        line: &[u8],
        received: &mut ReceivedMessages,
    ) -> Result<(), InvalidLine> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        tracing::trace!(slot, line = %String::from_utf8_lossy(line), "received a line from a client");
        let message =
            if self.rejects_all_calls() { lines::read_for_rejection(line) } else { lines::read(line) }?;
        let invalid = |number| move |fault| InvalidLine { number: Some(number), fault };
        match message {
            ClientMessage::Call(call) => {
                self.check_call(slot, &call, received).map_err(invalid(call.number))?;
                received.push_call(call);
            }
            ClientMessage::Cancel { id, number } => {
                let open_calls = self.calls_to_cancel(slot, id, number);
                received.push_cancel(id, number, open_calls);
            }
            ClientMessage::UnreadCall { number } => {
                self.mark_number_used(slot, number).map_err(invalid(number))?;
                received.push_unread_call(number);
            }
            ClientMessage::Probe { number } => {
                self.mark_number_used(slot, number).map_err(invalid(number))?;
                received.push_probe(number);
            }
        }
        Ok(())
    }

    /// Validates a call against the open calls on all connections and against the messages received with it.
    fn check_call(
        &mut self,
        slot: usize,
        call: &Call,
        received: &ReceivedMessages,
    ) -> Result<(), InputError> {
        self.mark_number_used(slot, call.number)?;
        let open_before = self.clients.get(slot).map_or(0, |client| client.open_calls.len());
        let open_calls = open_before - received.cancelled_calls() + received.calls();
        if open_calls >= MAX_OPEN_CALLS {
            return Err(InputError::new("id", "is one open call too many"));
        }
        if self.open_request_ids.contains(&call.id) || received.has_request_id(call.id) {
            return Err(InputError::new("i", "is open already"));
        }
        let now = self.now();
        if self.abandoned_ids.contains(now, call.id) {
            return Err(InputError::new("i", "was used before"));
        }
        if !self.profiles.contains(&call.profile) {
            return Err(InputError::new("method", "is unknown"));
        }
        if !self.is_known_group(&call.client) {
            return Err(InputError::new("t", "is unknown"));
        }
        Ok(())
    }

    /// Whether a call may name this client group. Where there are none, it must name none (an empty name).
    fn is_known_group(&self, name: &str) -> bool {
        if self.groups.is_empty() { name.is_empty() } else { self.groups.iter().any(|group| group == name) }
    }

    /// The open calls of a client that have this request id or, if no id is given, this line number.
    pub(super) fn calls_to_cancel(
        &mut self,
        slot: usize,
        id: Option<u64>,
        number: Option<u64>,
    ) -> Vec<RequestId> {
        let Some(client) = self.clients.get(slot) else { return Vec::new() };
        let dispatcher = &mut self.dispatcher;
        let matching = client.open_calls.iter().filter(|call| match id {
            Some(id) => dispatcher.context(call.request).is_some_and(|context| context.id == id),
            None => Some(call.number) == number,
        });
        matching.map(|call| call.request).collect()
    }

    /// Records a number as used on its connection; an error if it was used before.
    pub(super) fn mark_number_used(&mut self, slot: usize, number: u64) -> Result<(), InputError> {
        let Some(client) = self.clients.get_mut(slot) else { return Ok(()) };
        let is_new = client.request_ids_seen.insert(number);
        if is_new { Ok(()) } else { Err(InputError::new("id", "was used before on this connection")) }
    }
}
