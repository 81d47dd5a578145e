//! Makes the frame of what is queued, if it may still go.

use crate::platform_router::{
    AwaitedResponse, DeferredFlush, OutstandingFrame, PlatformRouter, QueuedFrame, RequestContext,
    UnreadSocket,
};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::{frames, parse_hex_id};
use milletpath_policy::Outcome;

/// What became of a frame whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum FrameStatus {
    /// It was made, or dropped as no longer wanted: the next may follow.
    Done,
    /// It waits until another socket was read: its client's or that of discovery.
    Deferred,
}

/// The id of a frame that was made, and the response that it awaits.
struct EncodedFrame {
    id: u64,
    awaited: AwaitedResponse,
}

impl PlatformRouter {
    /// Makes the frame of what is next in a connection's queue, in its empty write buffer, if it may still go.
    pub(super) fn encode_next_frame(&mut self, slot: usize, frame: QueuedFrame, now: f64) -> FrameStatus {
        let connection = &mut self.worker_connections[slot];
        let (worker, process) = (connection.worker, connection.process);
        if let Some(awaited) = frame.awaited_response()
            && self.dispatcher.worker_process(worker).process != process
        {
            // Another process has the worker's name by now; what was meant for the one before is not for it.
            self.report_no_response(worker, awaited, Outcome::NotSent);
            return FrameStatus::Done;
        }
        if frame.is_new_work() && !self.is_discovery_drained(now) {
            // An event among what is unread may take the worker off the list.
            let unread = UnreadSocket::Discovery;
            self.deferred_flushes.push(DeferredFlush { unread, worker_connection: slot });
            self.worker_connections[slot].queue.push_front(frame);
            return FrameStatus::Deferred;
        }
        if let QueuedFrame::Attempt { request, .. } = frame
            && !self.may_begin_attempt(request, slot, now)
        {
            self.worker_connections[slot].queue.push_front(frame);
            return FrameStatus::Deferred;
        }
        let mut out = std::mem::take(&mut self.worker_connections[slot].write_buffer.bytes);
        let awaited = self.encode_frame(slot, &frame, &mut out, now);
        let Some(connection) = self.worker_connections.get_mut(slot) else { return FrameStatus::Deferred };
        connection.bytes_encoded += out.len() as u64;
        connection.frame_source = (!out.is_empty()).then_some(frame);
        connection.write_buffer.bytes = out;
        if let Some(EncodedFrame { id, awaited }) = awaited {
            let end_offset = connection.bytes_encoded;
            connection.outstanding.push(OutstandingFrame { id, awaited, end_offset, encoded_at: now });
        }
        FrameStatus::Done
    }

    /// Appends a frame to `out`: nothing where the dispatcher no longer wants it. Returns the response that it awaits.
    fn encode_frame(
        &mut self,
        slot: usize,
        frame: &QueuedFrame,
        out: &mut Vec<u8>,
        now: f64,
    ) -> Option<EncodedFrame> {
        match frame {
            QueuedFrame::Attempt { request, attempt } => self.encode_attempt(out, *request, *attempt, now),
            QueuedFrame::LoadRequest { load_request, function, instances } => {
                if !self.dispatcher.begin_load_request(now, *load_request) {
                    return None;
                }
                let id = self.new_frame_id(slot);
                frames::write_load_request(out, id, function, *instances);
                Some(EncodedFrame {
                    id,
                    awaited: AwaitedResponse::LoadRequest { load_request: *load_request },
                })
            }
            QueuedFrame::Unload { function } => {
                if let Some(id) = parse_hex_id(function) {
                    frames::write_unload(out, id);
                }
                None
            }
            QueuedFrame::HealthCheck { serial } => {
                let id = self.new_frame_id(slot);
                frames::write_probe(out, id, self.load_reports);
                Some(EncodedFrame { id, awaited: AwaitedResponse::HealthCheck { serial: *serial } })
            }
            QueuedFrame::Cancel { id } => {
                frames::write_cancel(out, *id);
                None
            }
        }
    }

    /// The frame states how much time the client has left as its first byte goes.
    fn encode_attempt(
        &mut self,
        out: &mut Vec<u8>,
        request: RequestId,
        attempt: usize,
        now: f64,
    ) -> Option<EncodedFrame> {
        let remaining = self.dispatcher.time_left(now, request, attempt)?;
        if !self.dispatcher.begin_attempt(now, request, attempt) {
            return None;
        }
        let function = self.dispatcher.function(request)?;
        let context = self.dispatcher.context(request)?;
        context.last_attempt_at = now;
        let RequestContext { id, idempotency_key, body, profile, .. } = &*context;
        let profile = &self.profiles[*profile];
        let frame = frames::Attempt { id: *id, profile, function: &function, idempotency_key, body };
        frames::write_attempt(out, &frame, remaining);
        Some(EncodedFrame { id: *id, awaited: AwaitedResponse::Attempt { request, attempt } })
    }

    /// An id for a frame of the router's own, which no client is likely to have chosen, and none has open here.
    fn new_frame_id(&mut self, slot: usize) -> u64 {
        /// An odd multiplier spreads serial numbers over all ids, so that none follows from another by chance.
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        loop {
            self.serial += 1;
            let id = self.serial.wrapping_mul(SPREAD);
            if !self.worker_connections[slot].uses_id(id) {
                return id;
            }
        }
    }
}
