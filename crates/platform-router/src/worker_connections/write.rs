//! Writes queued frames to workers, each after the socket has accepted the previous one.

use super::error::WorkerConnectionError;
use super::frame::FrameStatus;
use crate::platform_router::{PlatformRouter, QueuedFrame};
use crate::socket_errors::{self, Operation, Recovery};
use milletpath_policy::Outcome;
use std::io;

/// Whether more can be written to a worker now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
enum WriteStatus {
    /// The socket has accepted everything so far.
    Ready,
    /// The socket accepts no more now, or the connection has ended.
    Stopped,
}

impl PlatformRouter {
    /// Writes queued frames to a worker as far as the socket accepts them. Frames are encoded one by one, so that a
    /// frame cancelled before its first byte was written is not sent, no matter how long the worker reads nothing.
    pub fn flush_worker(&mut self, slot: usize) {
        loop {
            let now = self.now();
            if self.write_buffered(slot, now) == WriteStatus::Stopped {
                return;
            }
            let Some(connection) = self.worker_connections.get_mut(slot) else { return };
            connection.frame_source = None;
            if connection.queue.is_empty() {
                return;
            }
            // If an attempt were written to a connection that the worker has closed, it would count as one that may
            // have run.
            if connection.is_closed_by_worker() {
                return self.on_connection_lost(slot, &WorkerConnectionError::ClosedByWorker);
            }
            if let Some(frame) = connection.queue.pop_front()
                && self.encode_next_frame(slot, frame, now) == FrameStatus::Deferred
            {
                return;
            }
        }
    }

    /// Writes the encoded frame as far as the socket accepts it.
    fn write_buffered(&mut self, slot: usize, now: f64) -> WriteStatus {
        let Some(connection) = self.worker_connections.get_mut(slot) else { return WriteStatus::Stopped };
        let Some(stream) = connection.stream.clone() else { return WriteStatus::Stopped };
        if connection.write_backoff.pauses_until(now).is_some() {
            return WriteStatus::Stopped;
        }
        let before = connection.write_buffer.remaining();
        let result = connection.write_buffer.write(&*self.sockets, &stream);
        // Bytes written before an error count as well.
        let written = before - connection.write_buffer.remaining();
        if written > 0 {
            connection.bytes_written += written as u64;
            connection.last_used = now;
            connection.write_backoff.succeeded();
        }
        if let Err(error) = result {
            self.write_failed(slot, error, now);
            return WriteStatus::Stopped;
        }
        if connection.write_buffer.remaining() > 0 {
            connection.wake.notify_one();
            self.requeue_unsent(slot, now);
            return WriteStatus::Stopped;
        }
        WriteStatus::Ready
    }

    fn write_failed(&mut self, slot: usize, source: io::Error, now: f64) {
        if socket_errors::classify(Operation::Write, &source).recovery == Recovery::Close {
            let error = WorkerConnectionError::Io { operation: Operation::Write, source };
            return self.on_connection_lost(slot, &error);
        }
        self.requeue_unsent(slot, now);
        let Some(connection) = self.worker_connections.get_mut(slot) else { return };
        connection.write_backoff.failed(now);
        connection.wake.notify_one();
        if connection.write_backoff.exhausted(now) {
            self.fail_queued_as_unsent(slot);
        }
    }

    /// Ends the queued frames of a connection as not sent when a local fault delays them for too long. Frames that
    /// await no response stay queued.
    pub(crate) fn fail_queued_as_unsent(&mut self, slot: usize) {
        let Some(connection) = self.worker_connections.get_mut(slot) else { return };
        let worker = connection.worker;
        let awaited: Vec<_> = connection.queue.iter().filter_map(QueuedFrame::awaited_response).collect();
        connection.queue.retain(|frame| frame.awaited_response().is_none());
        for awaited in awaited {
            self.report_no_response(worker, awaited, Outcome::NotSent);
        }
    }

    /// Puts an encoded frame of which no byte was written back into the queue, so that the dispatcher is asked again
    /// before it is sent.
    fn requeue_unsent(&mut self, slot: usize, now: f64) {
        let Some(connection) = self.worker_connections.get_mut(slot) else { return };
        if connection.write_buffer.is_partially_written() {
            return;
        }
        let Some(frame) = connection.frame_source.take() else { return };
        let length = connection.write_buffer.remaining() as u64;
        connection.write_buffer.bytes.clear();
        connection.bytes_encoded -= length;
        if frame.awaited_response().is_some() {
            // The frame that was encoded last.
            connection.outstanding.pop();
        }
        match frame {
            QueuedFrame::Attempt { request, attempt } => {
                connection.queue.push_front(frame);
                self.dispatcher.attempt_not_written(now, request, attempt);
            }
            // The dispatcher has already counted it against the load rate limit; beginning it again would count it
            // twice.
            QueuedFrame::LoadRequest { load_request, .. } => {
                self.dispatcher.load_request_ended(now, load_request, Outcome::NotSent, 0);
            }
            QueuedFrame::Unload { .. } | QueuedFrame::HealthCheck { .. } | QueuedFrame::Cancel { .. } => {
                connection.queue.push_front(frame);
            }
        }
    }
}
