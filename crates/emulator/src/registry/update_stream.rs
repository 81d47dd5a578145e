//! The updates to one gateway, as the body of a response that does not end.

use crate::context::EmulatorContext;
use bytes::Bytes;
use http_body::{Body, Frame};
use milletpath_history_checker::HistoryEvent;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// What an update announces of one endpoint.
pub(super) struct AnnouncedEndpoint {
    /// The worker's number.
    pub(super) worker: usize,
    /// Whether it takes requests.
    pub(super) ready: bool,
}

/// One update on its way.
pub(super) struct Update {
    /// The line that is sent.
    pub(super) bytes: Bytes,
    /// What a gateway knows from it.
    pub(super) endpoints: Vec<AnnouncedEndpoint>,
}

/// A stream of updates; what is read from it is added to the history.
pub(super) struct UpdateStream {
    context: Rc<EmulatorContext>,
    gateway: usize,
    updates: mpsc::UnboundedReceiver<Rc<Update>>,
}

impl UpdateStream {
    /// The stream to one gateway.
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
