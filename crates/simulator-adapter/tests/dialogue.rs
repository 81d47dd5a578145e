//! A long dialogue that covers every event, every outcome and every action that the decisions produce. A hash compares the
//! adapter's output byte for byte with the recorded one, so any change of the codec or of the decisions fails the test. A
//! commit that changes a decision on purpose records the new values and states so.

mod wire_rig;

use std::collections::{BTreeMap, BTreeSet};
use wire_rig::{RecordBuilder, Session, action, event, list_mode, worker_state};

const SETTINGS: &str = r#"{"Balancers":2,"Rank":0,"Tick":4000,"RegistryMode":"subscribe",
 "Classes":[{"Effect":"free","Objective":200000,"HardLimit":600000,"Gain":1.0},
  {"Effect":"guarded","KeyScope":"all","DedupWindow":5000000,"Objective":300000,"HardLimit":900000,"Gain":2.0},
  {"Effect":"single_shot","Objective":300000,"HardLimit":900000,"Gain":0.5}],
 "Tenants":[{"Name":"a","QuotaPerS":400.0,"Share":0.5},{"Name":"b","QuotaPerS":5.0,"Share":0.5}],
 "Limits":{"MaxAttempts":4,"MayDuplicate":true,"Cancelling":true,"Probing":true,"RetryAfter":true,
  "MaxRetryAfter":1000000},
 "FamilyInfo":{"PlacementCalls":true,"MissMode":"miss","KeepAlive":600000,"LoadWait":1000000,"TellsWarm":true,
  "SaysCompany":true,"MemoryMbByKind":[4096.0],"LoadPeriod":1000000,"FreeLoads":6.0,"LoadShare":0.3},
 "Kinds":["a"],"Zones":["a"],"Telemetry":{"Names":["rif","q","busy","x1"],"Via":"inline"},
 "Rules":{"DrainGrace":500000,"StartCapacity":0.2,"WarmUp":3000000,"TipMultiple":2.5,"OverloadFor":2000000,
  "AskWithin":10000000,"AnswerSlack":16000}}"#;

const TICK: u64 = 4_000;
const BATCHES: u64 = 3_000;
const INSTANCES: [u16; 2] = [3, 4];
const WORKERS: [u32; 4] = [0x2c90_11f2, 0x0312_4a07, 0x1111_1111, 0x2222_2222];

/// Outcomes of attempts, weighted by repetition.
const OUTCOMES: [u16; 16] = [200, 200, 200, 200, 200, 200, 200, 200, 502, 429, 429, 408, 521, 520, 409, 204];

/// The hash and the length of the recorded output.
const RECORDED_HASH: u64 = 195_025_279_659_404_107;
const RECORDED_BYTES: usize = 355_925;

/// The SplitMix64 generator, which yields the same numbers on every platform.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// Continues a 64-bit FNV-1a hash with more bytes.
fn hash(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The emulated platform that the adapter acts on; it answers each action some ticks later.
struct EmulatedPlatform {
    rng: SplitMix64,
    tick: u64,
    next_request: u64,
    /// Scheduled events, by the tick at which they are due.
    due: BTreeMap<u64, Vec<Vec<u8>>>,
    /// Number of attempts of each request, by instance and request ID.
    attempts: BTreeMap<(u16, u64), u16>,
    /// Requests that have received their final answer.
    finished: BTreeSet<(u16, u64)>,
    /// Cancelled attempts.
    cancelled: BTreeSet<(u16, u64, u16)>,
    actions: BTreeMap<u8, usize>,
}

impl EmulatedPlatform {
    fn new() -> Self {
        Self {
            rng: SplitMix64(7),
            tick: 0,
            next_request: 1,
            due: BTreeMap::new(),
            attempts: BTreeMap::new(),
            finished: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            actions: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, after: u64, event: Vec<u8>) {
        self.due.entry(self.tick + after).or_default().push(event);
    }

    fn request_arrived(&mut self, instance: u16) -> Vec<u8> {
        let request = self.next_request;
        self.next_request += 1;
        let function = 0xab00 + self.rng.below(40) * self.rng.below(3);
        let flags = if self.rng.one_in(8) { 2 } else { 0 };
        let load_milliseconds = if self.rng.one_in(2) { 250.0 } else { 0.0 };
        RecordBuilder::new(event::REQUEST_ARRIVED, instance)
            .u64(request)
            .f32(300.0)
            .u32(150_000 + self.rng.below(600_000) as u32)
            .u16(self.rng.below(3) as u16)
            .u32(self.rng.below(2) as u32)
            .f32(2.0)
            .u8(flags)
            .f32(load_milliseconds)
            .u64(function)
            .u32(0)
            .bytes()
    }

    /// Appends a load report of up to four values.
    fn add_load_report(&mut self, builder: RecordBuilder) -> RecordBuilder {
        let values = [0, 3, 4][self.rng.below(3) as usize];
        let builder = builder.u8(values);
        let scales = [12.0, 4.0, 1.0, 3.0];
        scales.into_iter().fold(builder, |builder, scale: f32| {
            let value =
                if self.rng.one_in(50) { f32::NAN } else { scale * self.rng.below(100) as f32 / 100.0 };
            builder.f32(value)
        })
    }

    fn attempt_ended(&mut self, instance: u16, request: u64, worker: u32, attempt: u16, outcome: u16) {
        let latency = 2 + self.rng.below(90);
        let note = match outcome {
            200 => 1 + self.rng.below(3) as u8 + 8 * self.rng.below(20) as u8,
            204 | 502 => 4 * self.rng.below(2) as u8,
            429 => 8 * self.rng.below(20) as u8,
            _ => 0,
        };
        let is_final = u8::from(outcome == 200 || self.finished.contains(&(instance, request)));
        let builder = RecordBuilder::new(event::ATTEMPT_ENDED, instance)
            .u64(request)
            .u32(worker)
            .u8(is_final)
            .u8(note)
            .u32((latency * TICK) as u32)
            .u16(outcome)
            .u16(attempt);
        let event = self.add_load_report(builder).bytes();
        if outcome == 200 {
            self.finished.insert((instance, request));
        }
        self.schedule(latency, event);
    }

    fn stream_started(&mut self, instance: u16, request: u64, worker: u32, attempt: u16) {
        let builder = RecordBuilder::new(event::STREAM_STARTED, instance).u64(request).u32(4_000);
        self.schedule(1, builder.u32(worker).u16(attempt).bytes());
    }

    fn on_attempt_sent(&mut self, instance: u16, request: u64, worker: u32) {
        let attempts = self.attempts.entry((instance, request)).or_insert(0);
        let attempt = *attempts;
        *attempts += 1;
        if self.rng.one_in(30) {
            self.stream_started(instance, request, worker, attempt);
        }
        let outcome = OUTCOMES[self.rng.below(OUTCOMES.len() as u64) as usize];
        self.attempt_ended(instance, request, worker, attempt, outcome);
        if self.rng.one_in(40) {
            self.schedule(1, RecordBuilder::new(event::CLIENT_GONE, instance).u64(request).bytes());
        }
    }

    fn on_attempt_cancelled(&mut self, instance: u16, request: u64, attempt: u16) {
        assert!(
            attempt < self.attempts[&(instance, request)],
            "an attempt was cancelled that was never sent"
        );
        if self.cancelled.insert((instance, request, attempt)) {
            let builder = RecordBuilder::new(event::ATTEMPT_ENDED, instance).u64(request).u32(WORKERS[0]);
            self.schedule(1, builder.u8(1).u8(0).u32(8_000).u16(444).u16(attempt).bytes());
        }
    }

    fn on_health_check(&mut self, instance: u16, worker: u32) {
        let outcome = if self.rng.one_in(6) { 408 } else { 200 };
        let builder =
            RecordBuilder::new(event::HEALTH_CHECK_ENDED, instance).u16(outcome).u32(worker).u32(900);
        let event = self.add_load_report(builder).bytes();
        self.schedule(1, event);
    }

    fn on_load_requested(&mut self, instance: u16, worker: u32, function: u64, instances: u8) {
        let outcome = [200, 200, 200, 429, 502, 520, 521, 408][self.rng.below(8) as usize];
        let loaded = if outcome == 200 { instances } else { 0 };
        let builder =
            RecordBuilder::new(event::LOAD_REQUEST_ENDED, instance).u16(outcome).u32(worker).u32(640_000);
        let after = 5 + self.rng.below(80);
        self.schedule(after, builder.u8(loaded).u64(function).bytes());
    }

    /// Counts an action and schedules its answer.
    fn apply(&mut self, record: &[u8]) {
        let field = |at: usize, bytes: usize| {
            record[at..at + bytes].iter().rev().fold(0u64, |value, byte| value << 8 | u64::from(*byte))
        };
        let instance = field(1, 2) as u16;
        *self.actions.entry(record[0]).or_insert(0) += 1;
        match record[0] {
            action::SEND_ATTEMPT => self.on_attempt_sent(instance, field(3, 8), field(11, 4) as u32),
            action::CANCEL_ATTEMPT => self.on_attempt_cancelled(instance, field(3, 8), field(11, 2) as u16),
            action::REJECT | action::FAIL => _ = self.finished.insert((instance, field(3, 8))),
            action::HEALTH_CHECK => self.on_health_check(instance, field(3, 4) as u32),
            action::REQUEST_LOAD => {
                self.on_load_requested(instance, field(3, 4) as u32, field(7, 8), field(15, 1) as u8);
            }
            action::SET_TIMER => {
                let after = field(3, 4).div_ceil(TICK).max(1);
                self.schedule(after, RecordBuilder::new(event::TIMER_FIRED, instance).u64(0).bytes());
            }
            action::WATCH_LIST => {
                let mode = if self.rng.one_in(3) { list_mode::FAILED } else { list_mode::DELTA };
                self.schedule(3, wire_rig::list_updated(instance, mode, 1));
            }
            action::UNLOAD | action::FATAL => {}
            other => panic!("unknown action code {other}"),
        }
    }

    /// The events of the current tick, and their tail.
    fn batch(&mut self) -> (Vec<Vec<u8>>, Vec<u8>) {
        if self.tick == 0 {
            return first_batch();
        }
        let mut events = self.due.remove(&self.tick).unwrap_or_default();
        let arrivals =
            if (self.tick / 250).is_multiple_of(2) { self.rng.below(3) } else { self.rng.below(12) };
        for _ in 0..arrivals {
            let instance = INSTANCES[self.rng.below(2) as usize];
            events.push(self.request_arrived(instance));
        }
        let mut tail = Vec::new();
        if self.tick.is_multiple_of(200) {
            let worker = WORKERS[self.rng.below(4) as usize];
            let state =
                [worker_state::READY, worker_state::READY, worker_state::DRAINING, worker_state::GONE]
                    [self.rng.below(4) as usize];
            tail = wire_rig::entry(worker, self.tick * TICK, state);
            events.push(wire_rig::worker_list(2, 0, 1));
            events.push(wire_rig::list_updated(INSTANCES[0], list_mode::DELTA, 2));
            events.push(wire_rig::list_updated(INSTANCES[1], list_mode::DELTA, 2));
        }
        if self.tick.is_multiple_of(701) {
            events
                .push(RecordBuilder::new(event::PEER_MESSAGE, INSTANCES[0]).u32(1).tail_range(0, 0).bytes());
            // No instance has this number.
            events.push(self.request_arrived(9));
        }
        if self.tick == BATCHES / 2 {
            return restart(events);
        }
        (events, tail)
    }
}

/// Both instances start with four ready workers, one of which has just started. A third start has invalid settings.
fn first_batch() -> (Vec<Vec<u8>>, Vec<u8>) {
    let bad_settings = SETTINGS.replace("\"free\"", "\"dear\"");
    let mut tail = [SETTINGS, &bad_settings].concat().into_bytes();
    let list = tail.len();
    for (index, worker) in WORKERS.into_iter().enumerate() {
        let started = if index == 3 { 4_000_000 } else { 0 };
        tail.extend(wire_rig::entry(worker, started, worker_state::READY));
    }
    let bad_start =
        RecordBuilder::new(event::START, 7).u64(1).tail_range(SETTINGS.len(), bad_settings.len()).bytes();
    let events = vec![
        wire_rig::start(INSTANCES[0], 9, SETTINGS),
        wire_rig::start(INSTANCES[1], 10, SETTINGS),
        bad_start,
        wire_rig::worker_list(0, list, WORKERS.len()),
        wire_rig::worker_list(1, list, 0),
        wire_rig::list_updated(INSTANCES[0], list_mode::CACHED, 0),
        wire_rig::list_updated(INSTANCES[1], list_mode::FULL, 0),
    ];
    (events, tail)
}

/// Adds events that stop an instance and start it again in the same batch.
fn restart(mut events: Vec<Vec<u8>>) -> (Vec<Vec<u8>>, Vec<u8>) {
    events.push(wire_rig::stop(INSTANCES[1]));
    events.push(wire_rig::start(INSTANCES[1], 11, SETTINGS));
    events.push(wire_rig::list_updated(INSTANCES[1], list_mode::CACHED, 0));
    (events, SETTINGS.as_bytes().to_vec())
}

#[test]
fn the_replies_of_a_long_dialogue_are_those_recorded() {
    let (mut session, mut platform) = (Session::start(), EmulatedPlatform::new());
    let (mut digest, mut bytes) = (0xcbf2_9ce4_8422_2325, 0);
    for tick in 0..BATCHES {
        platform.tick = tick;
        let (events, tail) = platform.batch();
        let reply = session.exchange(&wire_rig::frame(5_000_000 + tick * TICK, &events, &tail));
        (digest, bytes) = (hash(digest, &reply), bytes + reply.len());
        wire_rig::actions(&reply).iter().for_each(|record| platform.apply(record));
    }
    assert!(session.finish());
    // Every action that the adapter can encode, except UNLOAD, which no decision produces.
    let all = [10, 20, 30, 50, 70, 80, 100, 120, 130];
    let missing: Vec<u8> = all.into_iter().filter(|code| !platform.actions.contains_key(code)).collect();
    assert!(
        missing.is_empty(),
        "actions that never occurred: {missing:?}; counts of the others: {:?}",
        platform.actions
    );
    assert_eq!((digest, bytes), (RECORDED_HASH, RECORDED_BYTES), "{:?}", platform.actions);
}
