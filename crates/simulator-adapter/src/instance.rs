//! A router and the mapping between its indices and the IDs on the wire. Instances share no state.

use crate::error::WireError;
use crate::event::{ENTRY_BYTES, Entry, Event, ListMode, RequestArrived};
use crate::id_map::IdMap;
use crate::record::{MICROSECONDS, Record};
use crate::reply::{Reply, microseconds};
use milletpath_platform_settings as platform_settings;
use milletpath_platform_settings::SettingsError;
use milletpath_policy::{Arrival, Effects, Router};

/// A running router.
pub struct Instance {
    router: Router,
    context: WireContext,
}

/// State for translating between the router and the wire.
struct WireContext {
    /// The instance's number on the wire.
    instance: u16,
    /// The wire's clock in microseconds when the router started; the router's clock starts here at zero.
    origin: u64,
    /// Names of the values in a load report.
    report_values: Vec<String>,
    requests: IdMap<u64>,
    functions: IdMap<u64>,
    workers: IdMap<u32>,
}

impl WireContext {
    fn new(instance: u16, origin: u64, report_values: Vec<String>) -> Self {
        Self {
            instance,
            origin,
            report_values,
            requests: IdMap::new(),
            functions: IdMap::new(),
            workers: IdMap::new(),
        }
    }

    /// Converts the wire's clock to seconds of the router's clock.
    fn now(&self, clock: u64) -> f64 {
        clock.saturating_sub(self.origin) as f64 / MICROSECONDS
    }

    /// Converts a worker's start to seconds of the router's clock; negative if the worker started before the router.
    fn started_at(&self, clock: u64) -> f64 {
        (clock as f64 - self.origin as f64) / MICROSECONDS
    }
}

/// Encodes the effects that the router requests while it handles an event as actions of a reply.
struct ReplyEffects<'a> {
    context: &'a mut WireContext,
    reply: &'a mut Reply,
}

impl Effects for ReplyEffects<'_> {
    fn send_attempt(&mut self, request: usize, worker: usize, until: f64) {
        let context = &self.context;
        let deadline = context.origin + microseconds(until);
        let (request, worker) = (context.requests.id(request), context.workers.id(worker));
        self.reply.send_attempt(context.instance, request, worker, deadline);
    }

    fn cancel_attempt(&mut self, request: usize, attempt: usize) {
        let context = &self.context;
        self.reply.cancel_attempt(context.instance, context.requests.id(request), attempt as u16);
    }

    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        let context = &self.context;
        self.reply.reject(context.instance, context.requests.id(request), retry_after.unwrap_or(0.0));
    }

    fn fail(&mut self, request: usize) {
        self.reply.fail(self.context.instance, self.context.requests.id(request));
    }

    fn request_load(&mut self, worker: usize, function: usize, instances: u8) {
        let context = &self.context;
        let (worker, function) = (context.workers.id(worker), context.functions.id(function));
        self.reply.request_load(context.instance, worker, function, instances);
    }

    fn unload(&mut self, worker: usize, function: usize) {
        let context = &self.context;
        let (worker, function) = (context.workers.id(worker), context.functions.id(function));
        self.reply.unload(context.instance, function, worker);
    }

    fn check_health(&mut self, worker: usize) {
        self.reply.health_check(self.context.instance, self.context.workers.id(worker));
    }

    fn wake_after(&mut self, after: f64) {
        self.reply.set_timer(self.context.instance, after);
    }

    fn watch_endpoints(&mut self) {
        self.reply.watch_list(self.context.instance);
    }

    fn release_request(&mut self, request: usize) {
        self.context.requests.release(request);
    }

    fn release_function(&mut self, function: usize) {
        self.context.functions.release(function);
    }
}

impl Instance {
    /// Starts a router; fails if the settings are invalid.
    pub fn start(
        instance: u16,
        seed: u64,
        clock: u64,
        settings: &[u8],
        reply: &mut Reply,
    ) -> Result<Self, SettingsError> {
        let settings = platform_settings::parse(settings)?;
        let config = platform_settings::policy_config(&settings, seed)?;
        let report_values = platform_settings::load_report_names(&settings);
        let mut context = WireContext::new(instance, clock, report_values);
        let router = Router::new(config, 0.0, &mut ReplyEffects { context: &mut context, reply });
        Ok(Self { router, context })
    }

    /// Applies an update of the worker list.
    pub fn update_list(
        &mut self,
        clock: u64,
        mode: ListMode,
        entries: &[u8],
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        let Self { router, context } = self;
        let now = context.now(clock);
        match mode {
            ListMode::Failed => {
                router.watch_failed(now, &mut ReplyEffects { context, reply });
                return Ok(());
            }
            ListMode::Full => router.begin_full_list(),
            ListMode::Delta => {}
        }
        for entry in entries.chunks_exact(ENTRY_BYTES).map(Record) {
            let entry = Entry::decode(entry)?;
            let started_at = entry.started.map(|started| context.started_at(started));
            router.update_endpoint(entry.to_update(context.workers.assign(entry.worker), started_at));
        }
        router.end_list(now, &mut ReplyEffects { context, reply });
        Ok(())
    }

    /// Applies any other event. Events for unknown requests, workers or functions are ignored.
    pub fn apply(&mut self, clock: u64, record: Record<'_>, reply: &mut Reply) -> Result<(), WireError> {
        let event = Event::decode(record, &self.context.report_values)?;
        let now = self.context.now(clock);
        if let Event::RequestArrived(arrived) = event {
            self.request_arrived(now, &arrived, reply);
            return Ok(());
        }
        let Self { router, context } = self;
        let request_index = |request: u64| context.requests.index(request);
        match event {
            Event::StreamStarted { request, attempt } => {
                if let Some(request) = request_index(request) {
                    router.close_request(request, Some(attempt), &mut ReplyEffects { context, reply });
                }
            }
            Event::AttemptEnded { request, completion } => {
                if let Some(request) = request_index(request) {
                    router.attempt_ended(now, request, completion, &mut ReplyEffects { context, reply });
                }
            }
            Event::ClientGone { request } => {
                if let Some(request) = request_index(request) {
                    router.close_request(request, None, &mut ReplyEffects { context, reply });
                }
            }
            Event::TimerFired => router.timer_fired(now, &mut ReplyEffects { context, reply }),
            Event::HealthCheckEnded { worker, outcome, report } => {
                if let Some(worker) = context.workers.index(worker) {
                    let effects = &mut ReplyEffects { context, reply };
                    router.health_check_ended(now, worker, outcome, report, effects);
                }
            }
            Event::LoadRequestEnded { worker, function, outcome, instances } => {
                let indices = context.workers.index(worker).zip(context.functions.index(function));
                if let Some((worker, function)) = indices {
                    let effects = &mut ReplyEffects { context, reply };
                    router.load_request_ended(now, worker, function, outcome, instances, effects);
                }
            }
            Event::PeerMessage | Event::RequestArrived(_) => {}
        }
        Ok(())
    }

    fn request_arrived(&mut self, now: f64, arrived: &RequestArrived, reply: &mut Reply) {
        let Self { router, context } = self;
        let request = context.requests.assign(arrived.request);
        let arrival = Arrival {
            function: context.functions.assign(arrived.function),
            name: arrived.function,
            profile: arrived.profile,
            client: arrived.client,
            timeout: arrived.timeout,
            is_retry: arrived.is_retry,
            concurrency: arrived.concurrency,
            memory: arrived.memory,
            load_time: arrived.load_time,
        };
        router.request_arrived(now, request, arrival, &mut ReplyEffects { context, reply });
    }
}
