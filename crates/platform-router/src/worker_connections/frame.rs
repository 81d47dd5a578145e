//! Encodes queued frames that may still be sent.

use crate::platform_router::{
    AwaitedResponse, DeferredFlush, OutstandingFrame, PlatformRouter, QueuedFrame, RequestContext,
    UnreadSocket,
};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::{frames, parse_hex_id};
use milletpath_policy::Outcome;

/// Result of encoding the next queued frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum FrameStatus {
    /// The frame was encoded, or dropped because it is no longer needed. The next one may follow.
    Done,
    /// The frame stays queued until another socket was read: that of its client or that of discovery.
    Deferred,
}

/// The id of an encoded frame and the response that it awaits.
struct EncodedFrame {
    id: u64,
    awaited: AwaitedResponse,
}

impl PlatformRouter {
    /// Encodes the next frame of a connection's queue into its empty write buffer, if it may still be sent.
    pub(super) fn encode_next_frame(&mut self, slot: usize, frame: QueuedFrame, now: f64) -> FrameStatus {
        let connection = &mut self.worker_connections[slot];
        let (worker, process) = (connection.worker, connection.process);
        if let Some(awaited) = frame.awaited_response()
            && self.dispatcher.worker_process(worker).process != process
        {
            // The worker's name now belongs to another process, which must not get frames meant for the previous one.
            self.report_no_response(worker, awaited, Outcome::NotSent);
            return FrameStatus::Done;
        }
        if frame.is_new_work() && !self.is_discovery_drained(now) {
            // An unread event may remove the worker from the list.
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
        if let QueuedFrame::Attempt { request, .. } = frame
            && !self.reserve_response(request)
        {
            self.reject_without_memory(request);
            return FrameStatus::Done;
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

    /// Appends a frame to `out`, or nothing if the dispatcher no longer needs it. Returns the response that it
    /// awaits.
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

    /// Appends the frame of an attempt, with the time that the client has left as the first byte is written.
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

    /// Returns an id for a load request or health check that clients are unlikely to choose and that is not in use on
    /// this connection.
    fn new_frame_id(&mut self, slot: usize) -> u64 {
        /// Multiplying by an odd constant spreads serial numbers over all ids, so that they are unlikely to collide
        /// with others.
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
