//! Validates a line of a client against the state of its connection and of all other connections.

use crate::platform_router::PlatformRouter;
use milletpath_platform_protocol::lines::{self, Call, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;

/// Maximum number of open calls on one connection.
pub(super) const MAX_OPEN_CALLS: usize = 32;

impl PlatformRouter {
    /// Parses and validates one line and appends it to the messages received with it. Empty lines are ignored. A
    /// cancel removes its call from the preceding messages, so that the call never reaches the dispatcher.
    ///
    /// # Errors
    ///
    /// Why the line is invalid, which is also sent to the client.
    pub(super) fn check_line(
        &mut self,
        slot: usize,
        line: &[u8],
        messages: &mut Vec<ClientMessage>,
    ) -> Result<(), InvalidLine> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        tracing::trace!(slot, line = %String::from_utf8_lossy(line), "received a line from a client");
        let message =
            if self.rejects_all_calls() { lines::read_for_rejection(line) } else { lines::read(line) }?;
        match &message {
            ClientMessage::Call(call) => self
                .check_call(slot, call, messages)
                .map_err(|fault| InvalidLine { number: Some(call.number), fault })?,
            ClientMessage::Cancel { id, number } => {
                let is_cancelled = |message: &ClientMessage| match message {
                    ClientMessage::Call(call) => Some(call.id) == *id || Some(call.number) == *number,
                    ClientMessage::UnreadCall { number: unread } => Some(*unread) == *number,
                    _ => false,
                };
                messages.retain(|message| !is_cancelled(message));
            }
            ClientMessage::UnreadCall { number } | ClientMessage::Probe { number } => self
                .mark_number_used(slot, *number)
                .map_err(|fault| InvalidLine { number: Some(*number), fault })?,
        }
        messages.push(message);
        Ok(())
    }

    /// Validates a call against the open calls on all connections and against the calls received with it.
    fn check_call(&mut self, slot: usize, call: &Call, messages: &[ClientMessage]) -> Result<(), InputError> {
        self.mark_number_used(slot, call.number)?;
        let open_calls = self.clients.get(slot).map_or(0, |client| client.open_calls.len());
        if open_calls + calls(messages).count() >= MAX_OPEN_CALLS {
            return Err(InputError::new("id", "is one open call too many"));
        }
        let is_open = self.open_request_ids.contains(&call.id);
        if is_open || calls(messages).any(|other| other.id == call.id) {
            return Err(InputError::new("i", "is open already"));
        }
        if !self.profiles.contains(&call.profile) {
            return Err(InputError::new("method", "is unknown"));
        }
        if !(self.groups.is_empty() || self.groups.contains(&call.client)) {
            return Err(InputError::new("t", "is unknown"));
        }
        Ok(())
    }

    /// Records a number as used on its connection; an error if it was used before.
    fn mark_number_used(&mut self, slot: usize, number: u64) -> Result<(), InputError> {
        let Some(client) = self.clients.get_mut(slot) else { return Ok(()) };
        let is_new = client.request_ids_seen.insert(number);
        if is_new { Ok(()) } else { Err(InputError::new("id", "was used before on this connection")) }
    }
}

/// The numbers of the calls among the messages.
pub(super) fn call_numbers(messages: &[ClientMessage]) -> impl Iterator<Item = u64> {
    messages.iter().filter_map(|message| match message {
        ClientMessage::Call(call) => Some(call.number),
        ClientMessage::UnreadCall { number } => Some(*number),
        _ => None,
    })
}

/// The calls among the messages.
fn calls(messages: &[ClientMessage]) -> impl Iterator<Item = &Call> {
    messages.iter().filter_map(|message| match message {
        ClientMessage::Call(call) => Some(&**call),
        _ => None,
    })
}
