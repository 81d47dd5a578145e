//! Checks a line of a client against what is known of its connection and of all others.

use crate::platform_router::PlatformRouter;
use milletpath_platform_protocol::lines::{self, Call, ClientMessage, InvalidLine};
use milletpath_protocol::InputError;

/// Calls that may be open on one connection.
const MAX_OPEN_CALLS: usize = 32;

impl PlatformRouter {
    /// Reads one line, checks it and adds it to the messages that came with it. An empty line is none. A cancel takes
    /// its call off the messages before it, so that the call never reaches the dispatcher.
    ///
    /// # Errors
    ///
    /// Why the line is invalid; the client gets it as the error.
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
        let message = lines::read(line)?;
        match &message {
            ClientMessage::Call(call) => self
                .check_call(slot, call, messages)
                .map_err(|fault| InvalidLine { number: Some(call.number), fault })?,
            ClientMessage::Cancel { id, number } => {
                let is_cancelled = |call: &Call| Some(call.id) == *id || Some(call.number) == *number;
                messages
                    .retain(|message| !matches!(message, ClientMessage::Call(call) if is_cancelled(call)));
            }
            ClientMessage::Probe { number } => self
                .use_number(slot, *number)
                .map_err(|fault| InvalidLine { number: Some(*number), fault })?,
        }
        messages.push(message);
        Ok(())
    }

    /// Checks a call against those that are open, on its connection or any other, and those that came with it.
    fn check_call(&mut self, slot: usize, call: &Call, messages: &[ClientMessage]) -> Result<(), InputError> {
        self.use_number(slot, call.number)?;
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

    /// Records a number as used on its connection; an error where it was used before.
    fn use_number(&mut self, slot: usize, number: u64) -> Result<(), InputError> {
        let Some(client) = self.clients.get_mut(slot) else { return Ok(()) };
        let is_new = client.request_ids_seen.insert(number);
        if is_new { Ok(()) } else { Err(InputError::new("id", "was used before on this connection")) }
    }
}

/// The calls among messages.
pub(super) fn calls(messages: &[ClientMessage]) -> impl Iterator<Item = &Call> {
    messages.iter().filter_map(|message| match message {
        ClientMessage::Call(call) => Some(&**call),
        _ => None,
    })
}
