//! Encodes the reply to a batch: action records and a tail for their texts.

use crate::record::MICROSECONDS;
use std::io::{self, Write};

const HEADER_BYTES: usize = 8;
const ACTION_BYTES: usize = 24;

/// Action codes.
mod code {
    pub const CANCEL_ATTEMPT: u8 = 10;
    pub const REJECT: u8 = 20;
    pub const HEALTH_CHECK: u8 = 30;
    pub const FAIL: u8 = 50;
    pub const REQUEST_LOAD: u8 = 70;
    pub const SEND_ATTEMPT: u8 = 80;
    pub const SET_TIMER: u8 = 100;
    pub const UNLOAD: u8 = 110;
    pub const FATAL: u8 = 120;
    pub const WATCH_LIST: u8 = 130;
}

/// The actions of a reply. Requests, functions and workers are identified by their IDs on the wire.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Sends an attempt of a request, to be abandoned at `deadline`, in microseconds of the wire's clock.
    pub fn send_attempt(&mut self, instance: u16, request: u64, worker: u32, deadline: u64) {
        let fields: [&[u8]; 3] = [&request.to_le_bytes(), &worker.to_le_bytes(), &deadline.to_le_bytes()];
        self.action(code::SEND_ATTEMPT, instance, &fields);
    }

    /// Cancels an attempt.
    pub fn cancel_attempt(&mut self, instance: u16, request: u64, attempt: u16) {
        self.action(code::CANCEL_ATTEMPT, instance, &[&request.to_le_bytes(), &attempt.to_le_bytes()]);
    }

    /// Rejects a request; asks the client to wait `retry_after` seconds, or gives no advice if it is 0.
    pub fn reject(&mut self, instance: u16, request: u64, retry_after: f64) {
        self.action(code::REJECT, instance, &[&request.to_le_bytes(), &microseconds_u32(retry_after)]);
    }

    /// Fails a request.
    pub fn fail(&mut self, instance: u16, request: u64) {
        self.action(code::FAIL, instance, &[&request.to_le_bytes()]);
    }

    /// Requests a worker to hold at least `instances` instances of a function.
    pub fn request_load(&mut self, instance: u16, worker: u32, function: u64, instances: u8) {
        let fields: [&[u8]; 3] = [&worker.to_le_bytes(), &function.to_le_bytes(), &[instances]];
        self.action(code::REQUEST_LOAD, instance, &fields);
    }

    /// Unloads the idle instances of a function on a worker.
    pub fn unload(&mut self, instance: u16, function: u64, worker: u32) {
        self.action(code::UNLOAD, instance, &[&function.to_le_bytes(), &worker.to_le_bytes()]);
    }

    /// Sends a health check.
    pub fn health_check(&mut self, instance: u16, worker: u32) {
        self.action(code::HEALTH_CHECK, instance, &[&worker.to_le_bytes()]);
    }

    /// Sets a timer that fires after `after` seconds.
    pub fn set_timer(&mut self, instance: u16, after: f64) {
        self.action(code::SET_TIMER, instance, &[&microseconds_u32(after)]);
    }

    /// Subscribes to changes of the worker list.
    pub fn watch_list(&mut self, instance: u16) {
        const ENABLED: u8 = 1;
        self.action(code::WATCH_LIST, instance, &[&[ENABLED]]);
    }

    /// Reports that an instance cannot run.
    pub fn fatal(&mut self, instance: u16, text: &str) {
        let (offset, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.action(code::FATAL, instance, &[&offset.to_le_bytes(), &length.to_le_bytes()]);
    }

    /// Appends an action with its fields in order.
    fn action(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        debug_assert!(self.records.len() <= start + ACTION_BYTES);
        self.records.resize(start + ACTION_BYTES, 0);
        self.count += 1;
    }

    /// Writes the frame and flushes the output.
    pub fn write(&self, output: &mut impl Write) -> io::Result<()> {
        let length = (HEADER_BYTES + self.records.len() + self.tail.len()) as u32;
        output.write_all(&self.count.to_le_bytes())?;
        output.write_all(&length.to_le_bytes())?;
        output.write_all(&self.records)?;
        output.write_all(&self.tail)?;
        output.flush()
    }
}

/// Converts seconds to microseconds, rounded and clamped to zero.
pub fn microseconds(seconds: f64) -> u64 {
    (seconds * MICROSECONDS).round().max(0.0) as u64
}

/// Encodes a duration as 32-bit microseconds; a longer duration saturates.
fn microseconds_u32(seconds: f64) -> [u8; 4] {
    u32::try_from(microseconds(seconds)).unwrap_or(u32::MAX).to_le_bytes()
}
