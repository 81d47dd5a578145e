//! The messages of one read, which are validated together before the first of them is processed.

use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::lines::{Call, ClientMessage};

/// A call among the messages, by what a cancel identifies it with.
#[derive(Clone, Copy, Debug)]
struct ReceivedCall {
    /// The number of its line.
    number: u64,
    /// The request id; `None` if the parameters were not read.
    id: Option<u64>,
}

/// The valid messages of one read, in order. Bounded by the size of a read.
#[derive(Debug, Default)]
pub(super) struct ReceivedMessages {
    messages: Vec<ClientMessage>,
    calls: Vec<ReceivedCall>,
    /// Open calls that one of the messages cancels, each once.
    cancelled: Vec<RequestId>,
    /// Whether there was any valid message, including cancels that had nothing left to do.
    any: bool,
}

impl ReceivedMessages {
    /// Whether no valid message was received.
    pub fn is_empty(&self) -> bool {
        !self.any
    }

    /// The messages to process.
    pub fn into_messages(self) -> Vec<ClientMessage> {
        self.messages
    }

    /// Whether a call is among the messages, or an open one was cancelled.
    pub fn has_call(&self) -> bool {
        !self.calls.is_empty() || !self.cancelled.is_empty()
    }

    /// Number of calls among the messages.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls that were open before this read and are cancelled by it.
    pub fn cancelled_calls(&self) -> usize {
        self.cancelled.len()
    }

    /// Whether a call with this request id is among the messages.
    pub fn has_request_id(&self, id: u64) -> bool {
        self.calls.iter().any(|call| call.id == Some(id))
    }

    /// The numbers of the calls among the messages.
    pub fn call_numbers(&self) -> impl Iterator<Item = u64> {
        self.calls.iter().map(|call| call.number)
    }

    /// Adds a call.
    pub fn push_call(&mut self, call: Box<Call>) {
        self.calls.push(ReceivedCall { number: call.number, id: Some(call.id) });
        self.push(ClientMessage::Call(call));
    }

    /// Adds a call of which only the number was read.
    pub fn push_unread_call(&mut self, number: u64) {
        self.calls.push(ReceivedCall { number, id: None });
        self.push(ClientMessage::UnreadCall { number });
    }

    /// Adds a health check.
    pub fn push_probe(&mut self, number: u64) {
        self.push(ClientMessage::Probe { number });
    }

    /// Adds a cancel of the calls with this request id or, if no id is given, this line number. Calls among the messages
    /// are removed, so that they never reach the dispatcher. `open_calls` are those that were open before this read and
    /// match.
    pub fn push_cancel(&mut self, id: Option<u64>, number: Option<u64>, open_calls: Vec<RequestId>) {
        self.any = true;
        let is_cancelled =
            |call: &ReceivedCall| if id.is_some() { call.id == id } else { Some(call.number) == number };
        if let Some(at) = self.calls.iter().position(is_cancelled) {
            let ReceivedCall { number, .. } = self.calls.remove(at);
            self.messages.retain(|message| call_number(message) != Some(number));
        }
        let is_new = |request: &RequestId| !self.cancelled.contains(request);
        let newly_cancelled: Vec<_> = open_calls.into_iter().filter(is_new).collect();
        if !newly_cancelled.is_empty() {
            self.cancelled.extend(newly_cancelled);
            self.messages.push(ClientMessage::Cancel { id, number });
        }
    }

    fn push(&mut self, message: ClientMessage) {
        self.any = true;
        self.messages.push(message);
    }
}

/// The line number of a message that is a call.
fn call_number(message: &ClientMessage) -> Option<u64> {
    match message {
        ClientMessage::Call(call) => Some(call.number),
        ClientMessage::UnreadCall { number } => Some(*number),
        ClientMessage::Cancel { .. } | ClientMessage::Probe { .. } => None,
    }
}
