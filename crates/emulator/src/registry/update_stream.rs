//! The updates to one gateway, as an open-ended response body.

use crate::context::EmulatorContext;
use bytes::Bytes;
use http_body::{Body, Frame};
use milletpath_history_checker::HistoryEvent;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The state of one endpoint, as announced by an update.
pub(super) struct AnnouncedEndpoint {
    /// The worker's number.
    pub(super) worker: usize,
    /// Whether it accepts requests.
    pub(super) ready: bool,
}

/// An update to be sent.
pub(super) struct Update {
    /// The encoded line.
    pub(super) bytes: Bytes,
    /// The endpoints that it announces.
    pub(super) endpoints: Vec<AnnouncedEndpoint>,
}

/// A stream of updates; each update that is read from it is recorded in the history.
pub(super) struct UpdateStream {
    context: Rc<EmulatorContext>,
    gateway: usize,
    updates: mpsc::UnboundedReceiver<Rc<Update>>,
}

impl UpdateStream {
    /// Creates the stream to one gateway.
    pub(super) fn new(
        context: Rc<EmulatorContext>,
        gateway: usize,
        updates: mpsc::UnboundedReceiver<Rc<Update>>,
    ) -> Self {
        Self { context, gateway, updates }
    }
}

impl Body for UpdateStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.updates.poll_recv(cx).map(|update| {
            let update = update?;
            for &AnnouncedEndpoint { worker, ready } in &update.endpoints {
                self.context.record(HistoryEvent::EndpointNotified { gateway: self.gateway, worker, ready });
            }
            Some(Ok(Frame::data(update.bytes.clone())))
        })
    }
}
