//! Makes the frames for workers and writes them, each no sooner than the socket has taken the one before.

use super::{AwaitedResponse, OutstandingFrame, QueuedFrame};
use crate::platform_router::{PlatformRouter, RequestContext};
use crate::socket_errors::{self, FaultOrigin, Operation, Recovery};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::frames;
use milletpath_policy::host::Outcome;
use std::collections::VecDeque;
use std::io;

impl PlatformRouter {
    /// Writes what waits for a worker, as far as the socket takes it: frame by frame, so that what is withdrawn before
    /// its first byte has gone is not sent, however long the worker takes nothing.
    pub fn flush_worker(&mut self, key: usize) {
        loop {
            let now = self.now();
            let Some(connection) = self.worker_connections.get_mut(key) else { return };
            let Some(stream) = connection.stream.clone() else { return };
            if connection.write_backoff.pauses_until(now).is_some() {
                return;
            }
            let before = connection.write_buffer.remaining();
            let bytes_written = connection.write_buffer.write_with(&*self.sockets, &stream);
            // What went before an error counts as well.
            let taken = before - connection.write_buffer.remaining();
            if taken > 0 {
                connection.bytes_written += taken as u64;
                connection.last_used = now;
                connection.write_backoff.succeeded();
            }
            if let Err(error) = bytes_written {
                return self.write_failed(key, &error, now);
            }
            if connection.write_buffer.remaining() > 0 {
                connection.wake.notify_one();
                return self.requeue_unsent(key, now);
            }
            connection.frame_source = None;
            if connection.queue.is_empty() {
                return;
            }
            // Written into a connection that its worker has closed, a shot would count as one that may have run.
            if connection.is_closed_by_worker() {
                return self.connection_broken(key, "it was closed", FaultOrigin::Remote);
            }
            if let Some(frame) = connection.queue.pop_front()
                && !self.make_frame(key, frame, now)
            {
                return;
            }
        }
    }

    fn write_failed(&mut self, key: usize, error: &io::Error, now: f64) {
        let fault = socket_errors::classify(Operation::Write, error);
        if fault.recovery == Recovery::Close {
            return self.connection_broken(key, &error.to_string(), fault.origin);
        }
        self.requeue_unsent(key, now);
        let Some(connection) = self.worker_connections.get_mut(key) else { return };
        connection.write_backoff.failed(now);
        connection.wake.notify_one();
        if connection.write_backoff.exhausted(now) {
            self.fail_queued_as_unsent(key);
        }
    }

    /// Ends what waits on a link as never sent: its turn does not come soon, for a local reason. What nobody awaits
    /// an answer for goes on waiting.
    pub fn fail_queued_as_unsent(&mut self, key: usize) {
        let Some(connection) = self.worker_connections.get_mut(key) else { return };
        let (worker, queue) = (connection.worker, std::mem::take(&mut connection.queue));
        let (awaited, rest) = queue.into_iter().partition(|frame| frame.awaited_response().is_some());
        connection.queue = rest;
        let awaited: VecDeque<QueuedFrame> = awaited;
        for awaited in awaited.iter().filter_map(QueuedFrame::awaited_response) {
            self.report_no_response(worker, awaited, Outcome::Unsent);
        }
    }

    /// A frame of which no byte has gone was never begun: it waits again, to be asked about anew.
    fn requeue_unsent(&mut self, key: usize, now: f64) {
        let Some(connection) = self
            .worker_connections
            .get_mut(key)
            .filter(|connection| !connection.write_buffer.is_partially_written())
        else {
            return;
        };
        let Some(frame) = connection.frame_source.take() else { return };
        let bytes_made = connection.write_buffer.remaining() as u64;
        connection.write_buffer.bytes.clear();
        connection.bytes_made -= bytes_made;
        if frame.awaited_response().is_some() {
            connection.open.pop();
        }
        match frame {
            QueuedFrame::Attempt(request, attempt) => {
                connection.queue.push_front(frame);
                self.dispatcher.attempt_not_written(now, request, attempt);
            }
            // It has its place in the ration: given again it would have two.
            QueuedFrame::LoadRequest(load_request, ..) => {
                self.dispatcher.load_request_ended(now, load_request, Outcome::Unsent, 0)
            }
            QueuedFrame::Unload(_) | QueuedFrame::HealthCheck(_) | QueuedFrame::Cancel(_) => {
                connection.queue.push_front(frame)
            }
        }
    }

    /// Makes the frame of something whose turn has come, if it still may go. False where it waits for a look at what
    /// its client has said meanwhile.
    fn make_frame(&mut self, key: usize, frame: QueuedFrame, now: f64) -> bool {
        let (worker, process) = (self.worker_connections[key].worker, self.worker_connections[key].process);
        if let Some(awaited) =
            frame.awaited_response().filter(|_| self.dispatcher.worker_process(worker).process != process)
        {
            // Another process has the worker's name by now; what was meant for that one was not meant for this.
            self.report_no_response(worker, awaited, Outcome::Unsent);
            return true;
        }
        if let QueuedFrame::Attempt(request, _) = frame
            && !self.may_begin_attempt(request, key, now)
        {
            self.worker_connections[key].queue.push_front(frame);
            return false;
        }
        let mut out = std::mem::take(&mut self.worker_connections[key].write_buffer.bytes);
        let open = match &frame {
            QueuedFrame::Attempt(request, attempt) => self.make_attempt(&mut out, *request, *attempt, now),
            QueuedFrame::LoadRequest(load_request, function, instances) => {
                self.dispatcher.begin_load_request(now, *load_request).then(|| {
                    let id = self.new_frame_id(key);
                    frames::write_load_request(&mut out, id, function, *instances);
                    (id, AwaitedResponse::LoadRequest(*load_request))
                })
            }
            QueuedFrame::Unload(function) => {
                if let Some(id) = milletpath_platform_protocol::parse_hex_id(function) {
                    frames::write_unload(&mut out, id);
                }
                None
            }
            QueuedFrame::HealthCheck(serial) => {
                let id = self.new_frame_id(key);
                frames::write_probe(&mut out, id, self.load_reports);
                Some((id, AwaitedResponse::HealthCheck(*serial)))
            }
            QueuedFrame::Cancel(id) => {
                frames::write_cancel(&mut out, *id);
                None
            }
        };
        let Some(connection) = self.worker_connections.get_mut(key) else { return false };
        connection.bytes_made += out.len() as u64;
        connection.frame_source = (!out.is_empty()).then_some(frame);
        connection.write_buffer.bytes = out;
        if let Some((id, awaited)) = open {
            let end_offset = connection.bytes_made;
            connection.open.push(OutstandingFrame { id, awaited, end_offset, at: now });
        }
        true
    }

    /// The id of a frame of our own, which no client is likely to have chosen, and none has open here.
    fn new_frame_id(&mut self, key: usize) -> u64 {
        loop {
            self.serial += 1;
            // An odd multiplier spreads them over all numbers, so that none follows from another by chance.
            let id = self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            if !self.worker_connections[key].uses_id(id) {
                return id;
            }
        }
    }

    fn make_attempt(
        &mut self,
        out: &mut Vec<u8>,
        request: RequestId,
        attempt: usize,
        now: f64,
    ) -> Option<(u64, AwaitedResponse)> {
        let remaining = self.dispatcher.time_left(now, request, attempt)?;
        if !self.dispatcher.begin_attempt(now, request, attempt) {
            return None;
        }
        let function = self.dispatcher.function(request)?;
        let context = self.dispatcher.context(request)?;
        context.last_attempt_at = now;
        let RequestContext { id, idempotency_key, body, .. } = &*context;
        let profile = &self.profiles[context.profile];
        frames::write_attempt(
            out,
            &frames::Attempt { id: *id, profile, function: &function, idempotency_key, body },
            remaining,
        );
        Some((context.id, AwaitedResponse::Attempt(request, attempt)))
    }
}
