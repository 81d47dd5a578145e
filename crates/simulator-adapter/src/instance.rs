//! One router with the ids it goes by on the wire. Nothing here is shared between instances.

use crate::frame::{Batch, Cells, Malformed, Reply};
use milletpath_platform_settings as platform_settings;
use milletpath_policy::Router;
use milletpath_policy::{
    Arrival, AttemptCompletion, Effects, EndpointState, EndpointUpdate, InstanceState, LoadReport, Outcome,
};
use std::collections::HashMap;
use std::hash::Hash;

/// Wire ids under small indices, which are used again once given back.
struct Ids<T> {
    index: HashMap<T, usize>,
    id: Vec<T>,
    free: Vec<usize>,
}

impl<T: Copy + Eq + Hash> Ids<T> {
    fn new() -> Self {
        Self { index: HashMap::new(), id: Vec::new(), free: Vec::new() }
    }

    fn get(&self, id: T) -> Option<usize> {
        self.index.get(&id).copied()
    }

    fn take(&mut self, id: T) -> usize {
        if let Some(index) = self.get(id) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.id.len());
        if index == self.id.len() {
            self.id.push(id);
        } else {
            self.id[index] = id;
        }
        self.index.insert(id, index);
        index
    }

    fn give_back(&mut self, index: usize) {
        if self.index.remove(&self.id[index]).is_some() {
            self.free.push(index);
        }
    }
}

pub struct Instance {
    router: Router,
    names: Names,
}

struct Names {
    number: [u8; 2],
    /// The clock at the start; the router's seconds count from here.
    origin: u64,
    report: Vec<String>,
    activations: Ids<u64>,
    functions: Ids<u64>,
    workers: Ids<u32>,
}

/// The wire as the router sees it during one event.
struct Wire<'a> {
    names: &'a mut Names,
    reply: &'a mut Reply,
}

impl Effects for Wire<'_> {
    fn send_attempt(&mut self, activation: usize, worker: usize, until: f64) {
        let n = &self.names;
        let until = n.origin + micros(until);
        let rid = n.activations.id[activation].to_le_bytes();
        self.reply.action(80, &[&n.number, &rid, &n.workers.id[worker].to_le_bytes(), &until.to_le_bytes()]);
    }

    fn cancel_attempt(&mut self, activation: usize, shot: usize) {
        let n = &self.names;
        let rid = n.activations.id[activation].to_le_bytes();
        self.reply.action(10, &[&n.number, &rid, &(shot as u16).to_le_bytes()]);
    }

    fn reject(&mut self, activation: usize, come_back: Option<f64>) {
        let n = &self.names;
        let rid = n.activations.id[activation].to_le_bytes();
        self.reply.action(20, &[&n.number, &rid, &span(come_back.unwrap_or(0.0))]);
    }

    fn fail(&mut self, activation: usize) {
        let n = &self.names;
        self.reply.action(50, &[&n.number, &n.activations.id[activation].to_le_bytes()]);
    }

    fn request_load(&mut self, worker: usize, function: usize, copies: u8) {
        let n = &self.names;
        let (worker, function) = (n.workers.id[worker].to_le_bytes(), n.functions.id[function].to_le_bytes());
        self.reply.action(70, &[&n.number, &worker, &function, &[copies]]);
    }

    fn unload(&mut self, worker: usize, function: usize) {
        let n = &self.names;
        let (worker, function) = (n.workers.id[worker].to_le_bytes(), n.functions.id[function].to_le_bytes());
        self.reply.action(110, &[&n.number, &function, &worker]);
    }

    fn probe(&mut self, worker: usize) {
        let n = &self.names;
        self.reply.action(30, &[&n.number, &n.workers.id[worker].to_le_bytes()]);
    }

    fn wake_after(&mut self, after: f64) {
        self.reply.action(100, &[&self.names.number, &span(after)]);
    }

    fn watch_endpoints(&mut self) {
        self.reply.action(130, &[&self.names.number, &[1]]);
    }

    fn release_request(&mut self, activation: usize) {
        self.names.activations.give_back(activation);
    }

    fn release_function(&mut self, function: usize) {
        self.names.functions.give_back(function);
    }
}

/// Whole microseconds; nothing below zero.
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round().max(0.0) as u64
}

fn span(seconds: f64) -> [u8; 4] {
    u32::try_from(micros(seconds)).unwrap_or(u32::MAX).to_le_bytes()
}

fn outcome(code: u16) -> Result<Outcome, Malformed> {
    Ok(match code {
        200 => Outcome::Succeeded,
        502 => Outcome::Failed,
        429 => Outcome::Rejected,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::ConnectionLost,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent,
        204 => Outcome::NotLoaded,
        other => return Err(Malformed(format!("{other} is no outcome"))),
    })
}

impl Instance {
    /// Starts a router; the error names what is wrong with the settings.
    pub fn start(
        number: u16,
        seed: u64,
        clock: u64,
        settings: &[u8],
        reply: &mut Reply,
    ) -> Result<Self, String> {
        let settings = platform_settings::parse(settings).map_err(|e| e.to_string())?;
        let charter = platform_settings::policy_config(&settings, seed).map_err(|e| e.to_string())?;
        let mut names = Names {
            number: number.to_le_bytes(),
            origin: clock,
            report: platform_settings::load_report_names(&settings),
            activations: Ids::new(),
            functions: Ids::new(),
            workers: Ids::new(),
        };
        let router = Router::new(charter, 0.0, &mut Wire { names: &mut names, reply });
        Ok(Self { router, names })
    }

    /// Passes on a list of workers.
    pub fn roster(
        &mut self,
        clock: u64,
        mode: u8,
        entries: &[u8],
        reply: &mut Reply,
    ) -> Result<(), Malformed> {
        let Self { router, names } = self;
        let now = now(clock, names.origin);
        match mode {
            0 => {}
            1 | 2 => router.begin_full_list(),
            3 => {
                router.watch_failed(now, &mut Wire { names, reply });
                return Ok(());
            }
            other => return Err(Malformed(format!("{other} is no kind of worker list"))),
        }
        for entry in entries.chunks_exact(crate::frame::ENTRY).map(Cells) {
            let (id, started) = (entry.u32(0), entry.u64(4));
            router.update_endpoint(EndpointUpdate {
                worker: names.workers.take(id),
                name: id.into(),
                started_at: (started > 0).then(|| (started as f64 - names.origin as f64) / 1e6),
                cell: entry.u16(12).into(),
                size: entry.f32(14),
                kind: entry.u8(18).into(),
                state: match entry.u8(19) {
                    0 => EndpointState::Gone,
                    1 => EndpointState::Ready,
                    2 => EndpointState::Draining,
                    other => return Err(Malformed(format!("{other} is no state of a worker"))),
                },
                zone: entry.u8(20).into(),
            });
        }
        router.end_list(now, &mut Wire { names, reply });
        Ok(())
    }

    /// Passes on any other event.
    pub fn event(&mut self, clock: u64, e: Cells<'_>, reply: &mut Reply) -> Result<(), Malformed> {
        let Self { router, names } = self;
        let now = now(clock, names.origin);
        match e.u8(0) {
            30 => {
                let id = names.activations.take(e.u64(3));
                let name = e.u64(34);
                let load = e.f32(30) / 1e3;
                let arrival = Arrival {
                    function: names.functions.take(name),
                    name,
                    profile: e.u16(19).into(),
                    client: e.u32(21) as usize,
                    timeout: e.span(15),
                    is_retry: e.u8(29) & 2 != 0,
                    concurrency: e.f32(25),
                    memory: e.f32(11),
                    load_time: (load > 0.0).then_some(load),
                };
                router.request_arrived(now, id, arrival, &mut Wire { names, reply });
            }
            40 => {
                if let Some(id) = names.activations.get(e.u64(3)) {
                    router.close_request(id, Some(e.u16(19).into()), &mut Wire { names, reply });
                }
            }
            50 => {
                let note = e.u8(16);
                let answer = AttemptCompletion {
                    attempt: e.u16(23).into(),
                    outcome: outcome(e.u16(21))?,
                    is_final: e.u8(15) != 0,
                    latency: e.span(17),
                    instance_state: match note & 7 {
                        1 => Some(InstanceState::Loaded),
                        2 => Some(InstanceState::LoadStarted),
                        3 => Some(InstanceState::LoadAwaited),
                        4 => Some(InstanceState::LoadFailed),
                        _ => None,
                    },
                    in_flight_of_function: f64::from(note >> 3),
                    report: report(&names.report, e, 25)?,
                };
                if let Some(id) = names.activations.get(e.u64(3)) {
                    router.attempt_ended(now, id, answer, &mut Wire { names, reply });
                }
            }
            60 => {
                if let Some(id) = names.activations.get(e.u64(3)) {
                    router.close_request(id, None, &mut Wire { names, reply });
                }
            }
            70 => router.timer_fired(now, &mut Wire { names, reply }),
            80 => {
                let (outcome, report) = (outcome(e.u16(3))?, report(&names.report, e, 13)?);
                if let Some(worker) = names.workers.get(e.u32(5)) {
                    router.health_check_ended(now, worker, outcome, report, &mut Wire { names, reply });
                }
            }
            // No router here sends word to others, so nothing that arrives concerns it.
            90 => {}
            110 => {
                let outcome = outcome(e.u16(1 + 2))?;
                let (worker, function) = (names.workers.get(e.u32(5)), names.functions.get(e.u64(14)));
                if let (Some(worker), Some(function)) = (worker, function) {
                    let copies = e.u8(13);
                    router.load_request_ended(
                        now,
                        worker,
                        function,
                        outcome,
                        copies,
                        &mut Wire { names, reply },
                    );
                }
            }
            other => return Err(Malformed(format!("{other} is no event"))),
        }
        Ok(())
    }
}

fn now(clock: u64, origin: u64) -> f64 {
    clock.saturating_sub(origin) as f64 / 1e6
}

/// A load report, where there is one.
fn report(names: &[String], e: Cells<'_>, at: usize) -> Result<Option<LoadReport>, Malformed> {
    let count = usize::from(e.u8(at));
    if count > 4 {
        return Err(Malformed(format!("a load report of {count} values")));
    }
    let mut report = LoadReport::default();
    for (n, name) in names.iter().take(count).enumerate() {
        platform_settings::set_report_value(&mut report, name, e.f32(at + 1 + 4 * n));
    }
    Ok((count > 0).then_some(report))
}

/// The entries of a numbered list.
pub fn entries<'b>(batch: &'b Batch, e: Cells<'_>) -> Result<&'b [u8], Malformed> {
    let length = (e.u32(9) as usize).checked_mul(crate::frame::ENTRY);
    batch.tail(e.u32(5), length.ok_or("a worker list of impossible length")?)
}
