//! Builds frames of the simulator's wire protocol and runs the adapter on them. Offsets and codes are repeated here, so that
//! the tests do not share a mistake with the codec.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

pub const SETTINGS: &str = r#"{"Balancers":1,"Tick":4000,"Novelty":[1],"RegistryMode":"subscribe",
 "Classes":[{"Effect":"free","Objective":1000000,"HardLimit":3000000}],
 "Limits":{"MaxAttempts":4,"MayDuplicate":true,"Cancelling":true},
 "FamilyInfo":{"PlacementCalls":true,"MissMode":"miss","KeepAlive":9000000,"LoadWait":10000000},
 "Rules":{"DrainGrace":500000,"StartCapacity":0.2,"WarmUp":15000000,"TipMultiple":2.5,"OverloadFor":2000000}}"#;

pub mod event {
    pub const START: u8 = 10;
    pub const LIST_UPDATED: u8 = 20;
    pub const REQUEST_ARRIVED: u8 = 30;
    pub const STREAM_STARTED: u8 = 40;
    pub const ATTEMPT_ENDED: u8 = 50;
    pub const CLIENT_GONE: u8 = 60;
    pub const TIMER_FIRED: u8 = 70;
    pub const HEALTH_CHECK_ENDED: u8 = 80;
    pub const PEER_MESSAGE: u8 = 90;
    pub const STOP: u8 = 100;
    pub const LOAD_REQUEST_ENDED: u8 = 110;
    pub const WORKER_LIST: u8 = 120;
}

pub mod action {
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

pub mod list_mode {
    pub const DELTA: u8 = 0;
    pub const FULL: u8 = 1;
    pub const CACHED: u8 = 2;
    pub const FAILED: u8 = 3;
}

pub mod worker_state {
    pub const GONE: u8 = 0;
    pub const READY: u8 = 1;
    pub const DRAINING: u8 = 2;
}

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const REPLY_HEADER_BYTES: usize = 8;

/// Builds a record; the fields follow the code without padding.
#[derive(Clone)]
pub struct RecordBuilder(Vec<u8>);

impl RecordBuilder {
    /// Starts an event of an instance.
    pub fn new(code: u8, instance: u16) -> Self {
        Self([&[code][..], &instance.to_le_bytes()].concat())
    }

    /// Starts an event of the whole process.
    pub fn of_process(code: u8) -> Self {
        Self(vec![code])
    }

    pub fn u8(mut self, value: u8) -> Self {
        self.0.push(value);
        self
    }

    pub fn u16(mut self, value: u16) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    pub fn u32(mut self, value: u32) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    pub fn u64(mut self, value: u64) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    pub fn f32(mut self, value: f32) -> Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    /// Appends a reference to a part of the tail.
    pub fn tail_range(self, offset: usize, length: usize) -> Self {
        self.u32(offset as u32).u32(length as u32)
    }

    pub fn bytes(self) -> Vec<u8> {
        self.0
    }
}

/// A frame of events with a tail.
pub fn frame(clock: u64, events: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = (16 + EVENT_BYTES * events.len() + tail.len()) as u32;
    let mut bytes = [length.to_le_bytes(), (events.len() as u32).to_le_bytes()].concat();
    bytes.extend(clock.to_le_bytes());
    for event in events {
        bytes.extend(event);
        bytes.resize(bytes.len() + EVENT_BYTES - event.len(), 0);
    }
    bytes.extend(tail);
    bytes
}

pub fn start(instance: u16, seed: u64, settings: &str) -> Vec<u8> {
    RecordBuilder::new(event::START, instance).u64(seed).tail_range(0, settings.len()).bytes()
}

pub fn stop(instance: u16) -> Vec<u8> {
    RecordBuilder::new(event::STOP, instance).bytes()
}

/// A numbered worker list: `entries` entries at an offset in the tail.
pub fn worker_list(number: u32, offset: usize, entries: usize) -> Vec<u8> {
    RecordBuilder::of_process(event::WORKER_LIST).u32(number).tail_range(offset, entries).bytes()
}

pub fn list_updated(instance: u16, mode: u8, number: u32) -> Vec<u8> {
    RecordBuilder::new(event::LIST_UPDATED, instance).u8(mode).u64(0).u32(number).bytes()
}

/// An entry of a worker list with size 1, kind 0 and zone 0.
pub fn entry(worker: u32, started: u64, state: u8) -> Vec<u8> {
    RecordBuilder(worker.to_le_bytes().to_vec()).u64(started).u16(0).f32(1.0).u8(0).u8(state).u8(0).bytes()
}

/// The action records of a reply, each 24 bytes long with its code first.
pub fn actions(reply: &[u8]) -> Vec<Vec<u8>> {
    reply[REPLY_HEADER_BYTES..].chunks(ACTION_BYTES).take(number(reply, 0)).map(<[u8]>::to_vec).collect()
}

/// The actions of each reply in a sequence of replies.
pub fn actions_of_replies(mut output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut replies = Vec::new();
    while !output.is_empty() {
        replies.push(actions(output));
        output = &output[number(output, 4)..];
    }
    replies
}

fn number(bytes: &[u8], at: usize) -> usize {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes")) as usize
}

fn adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_milletpath-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts")
}

/// Runs the adapter on a complete input.
pub fn run(input: &[u8]) -> Output {
    let mut child = adapter();
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input)
        .expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter exits")
}

/// A running adapter that is sent one frame at a time.
pub struct Session(Child);

impl Session {
    pub fn start() -> Self {
        Self(adapter())
    }

    /// Sends a frame and reads its reply, header included.
    pub fn exchange(&mut self, frame: &[u8]) -> Vec<u8> {
        let input = self.0.stdin.as_mut().expect("standard input is piped");
        input.write_all(frame).and_then(|()| input.flush()).expect("the adapter reads its input");
        let output = self.0.stdout.as_mut().expect("standard output is piped");
        let mut reply = vec![0; REPLY_HEADER_BYTES];
        output.read_exact(&mut reply).expect("a reply");
        reply.resize(number(&reply, 4), 0);
        output.read_exact(&mut reply[REPLY_HEADER_BYTES..]).expect("a complete reply");
        reply
    }

    /// Closes the input and returns whether the adapter exited successfully.
    pub fn finish(mut self) -> bool {
        drop(self.0.stdin.take());
        self.0.wait().expect("the adapter exits").success()
    }
}
