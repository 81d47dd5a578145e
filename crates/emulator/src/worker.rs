//! An emulated worker: a [`WorkerModel`] served over HTTP on loopback. It has one address per gateway, so that the
//! socket tells which gateway sent an attempt.

mod fault;
pub mod headers;
mod http_service;
mod responses;

pub use fault::{FalseRejection, ResponseCorruption, WorkerFault};

use crate::context::EmulatorContext;
use crate::corrupting_stream::{CorruptingStream, Corruption};
use crate::worker_model::{Job, LoadFigures, WorkerEvent, WorkerModel, WorkerSpec};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use milletpath_history_checker::HistoryEvent;
use milletpath_protocol::worker::{InstanceState, Rejection};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, JoinSet, spawn_local};

/// Seconds after which a rejection by the store arrives, as if over a network.
pub const FETCH_REJECTION_DELAY: f64 = 0.002;

/// Seconds to wait while the model has no timer set.
const NO_DEADLINE_WAIT: f64 = 3600.0;

/// Start options of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Its number, which is unique in the fleet.
    pub number: usize,
    /// The group of workers with which it shares idempotency keys.
    pub key_group: u32,
    /// Its resources and behaviour.
    pub spec: WorkerSpec,
    /// When its process started, on the context's clock; a warm worker started at least `warm_up` seconds ago.
    pub started: f64,
}

/// The properties of a request that are needed when its job runs.
#[derive(Clone, Debug)]
struct RequestInfo {
    call: u64,
    idempotency_key: Option<String>,
}

/// How a job ended.
enum JobOutcome {
    Completed { instance_state: InstanceState, concurrent_requests: u32 },
    Rejected { reason: Rejection, load_failed: bool },
}

/// How a load request ended.
struct LoadOutcome {
    instances: u32,
    failed: bool,
}

struct PendingJob {
    request: RequestInfo,
    outcome: oneshot::Sender<JobOutcome>,
}

/// An emulated worker process.
pub struct Worker {
    /// Its number.
    pub number: usize,
    key_group: u32,
    context: Rc<EmulatorContext>,
    model: RefCell<WorkerModel>,
    fault: Cell<WorkerFault>,
    jobs: RefCell<BTreeMap<u64, PendingJob>>,
    load_requests: RefCell<BTreeMap<u64, oneshot::Sender<LoadOutcome>>>,
    /// Wakes the timer task after a change of the model.
    model_changed: Notify,
    /// Its address for each gateway.
    pub addresses: Vec<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Worker {
    /// Starts a worker with one port per gateway.
    ///
    /// # Errors
    /// It can't listen on loopback.
    pub async fn start(
        context: Rc<EmulatorContext>,
        options: WorkerOptions,
        gateways: usize,
    ) -> io::Result<Rc<Self>> {
        let mut listeners = Vec::new();
        for _ in 0..gateways {
            listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        Self::serve(context, options, listeners)
    }

    /// Starts a worker on these sockets, one per gateway. It runs until [`kill`](Self::kill) is called.
    ///
    /// # Errors
    /// The address of a socket can't be determined.
    pub fn serve(
        context: Rc<EmulatorContext>,
        options: WorkerOptions,
        listeners: Vec<TcpListener>,
    ) -> io::Result<Rc<Self>> {
        let WorkerOptions { number, key_group, spec, started } = options;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let warm = context.now() - started >= spec.warm_up;
        context.record(HistoryEvent::WorkerStarted { worker: number, capacity: spec.capacity(), warm });
        let worker = Rc::new(Self {
            number,
            key_group,
            context,
            model: RefCell::new(WorkerModel::new(spec, started)),
            fault: Cell::default(),
            jobs: RefCell::default(),
            load_requests: RefCell::default(),
            model_changed: Notify::new(),
            addresses,
            tasks: RefCell::default(),
        });
        let accept =
            |(gateway, listener)| spawn_local(worker.clone().accept(gateway, listener)).abort_handle();
        let mut tasks: Vec<_> = listeners.into_iter().enumerate().map(accept).collect();
        tasks.push(spawn_local(worker.clone().run_timers()).abort_handle());
        worker.tasks.replace(tasks);
        Ok(worker)
    }

    /// Ends the process immediately, with its listeners, its connections and all its jobs.
    pub fn kill(&self) {
        self.tasks.take().iter().for_each(AbortHandle::abort);
    }

    /// The fault currently injected.
    #[must_use]
    pub fn fault(&self) -> WorkerFault {
        self.fault.get()
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.fault.set(fault);
    }

    /// Calls the model with the current time, and processes its events.
    pub fn with_model<R>(self: &Rc<Self>, call: impl FnOnce(&mut WorkerModel, f64) -> R) -> R {
        let result = call(&mut self.model.borrow_mut(), self.context.now());
        self.process_events();
        result
    }

    fn load_figures(&self) -> LoadFigures {
        self.model.borrow().load_figures()
    }

    /// Submits a job and waits for its outcome; an overloaded worker gives none.
    async fn run(self: &Rc<Self>, job: Job, request: RequestInfo) -> Option<JobOutcome> {
        let (sender, outcome) = oneshot::channel();
        // Its first events may already be queued, so the job is registered before they are processed.
        let id = self.model.borrow_mut().submit(self.context.now(), job);
        self.jobs.borrow_mut().insert(id, PendingJob { request, outcome: sender });
        self.process_events();
        outcome.await.ok()
    }

    /// Requests instances, and waits until they are loaded or the load request has failed.
    async fn request_load(self: &Rc<Self>, function: &str, instances: u32) -> LoadOutcome {
        let known = self.context.function(function);
        let (sender, outcome) = oneshot::channel();
        let now = self.context.now();
        let id = self.model.borrow_mut().request_load(now, known.number, known.model, instances);
        self.load_requests.borrow_mut().insert(id, sender);
        self.process_events();
        outcome.await.unwrap_or(LoadOutcome { instances: 0, failed: true })
    }

    fn process_events(self: &Rc<Self>) {
        loop {
            let Some(event) = self.model.borrow_mut().next_event() else { break };
            self.process(event);
        }
        self.model_changed.notify_one();
    }

    fn process(self: &Rc<Self>, event: WorkerEvent) {
        match event {
            WorkerEvent::JobStarted { job } => self.job_started(job),
            WorkerEvent::JobCompleted { job, instance_state, concurrent_requests } => {
                self.context.count_completed_request(instance_state);
                self.end_job(job, JobOutcome::Completed { instance_state, concurrent_requests });
            }
            WorkerEvent::JobRejected { job, reason, load_failed } => {
                self.end_job(job, JobOutcome::Rejected { reason, load_failed });
            }
            WorkerEvent::FetchStarted { load, seconds, .. } => {
                let fetch = self.context.store.borrow_mut().begin_fetch(self.context.now(), seconds);
                spawn_local(self.clone().await_fetch(load, fetch));
            }
            WorkerEvent::LoadRequestCompleted { load_request, instances, failed } => {
                if let Some(sender) = self.load_requests.borrow_mut().remove(&load_request) {
                    // The gateway may have closed its connection.
                    let _ = sender.send(LoadOutcome { instances, failed });
                }
            }
            WorkerEvent::Overloaded => {
                tracing::warn!(worker = self.number, "worker overloaded while warming up; it stops");
                self.kill();
            }
        }
    }

    /// Records that a call was executed, unless its idempotency key was already used.
    fn job_started(&self, job: u64) {
        let jobs = self.jobs.borrow();
        let Some(PendingJob { request, .. }) = jobs.get(&job) else { return };
        let key = request.idempotency_key.as_ref();
        if key.is_none_or(|key| self.context.register_key(self.key_group, key)) {
            self.context.record(HistoryEvent::RequestExecuted { call: request.call, worker: self.number });
        }
    }

    fn end_job(&self, job: u64, outcome: JobOutcome) {
        if let Some(pending) = self.jobs.borrow_mut().remove(&job) {
            // The gateway may have closed its connection.
            let _ = pending.outcome.send(outcome);
        }
    }

    /// Waits for a fetch that takes this many seconds, or for its rejection if `fetch` is `None`.
    async fn await_fetch(self: Rc<Self>, load: u64, fetch: Option<f64>) {
        tokio::time::sleep(Duration::from_secs_f64(fetch.unwrap_or(FETCH_REJECTION_DELAY))).await;
        if fetch.is_some() {
            self.context.store.borrow_mut().fetch_ended();
        }
        self.with_model(|model, now| model.fetch_ended(now, load, fetch.is_some()));
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let deadline = self.model.borrow().next_deadline();
            let wait = deadline.map_or(NO_DEADLINE_WAIT, |deadline| (deadline - self.context.now()).max(0.0));
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(wait)) => {}
                () = self.model_changed.notified() => {}
            }
            let deadline = self.model.borrow().next_deadline();
            if deadline.is_some_and(|deadline| deadline <= self.context.now()) {
                self.with_model(WorkerModel::advance);
            }
        }
    }

    async fn accept(self: Rc<Self>, gateway: usize, listener: TcpListener) {
        // Dropped together with this task, which closes all connections.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn_local(self.clone().serve_connection(gateway, stream));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Rc<Self>, gateway: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let corruption: Rc<Cell<Corruption>> = Rc::default();
        let stream = CorruptingStream::new(stream, corruption.clone());
        let service = service_fn(move |request| {
            let (worker, corruption) = (self.clone(), corruption.clone());
            async move { Ok::<_, Infallible>(worker.respond(gateway, request, &corruption).await) }
        });
        // Connection errors are left to the gateway, or are caused by a fault.
        let _ = http1::Builder::new().serve_connection(stream, service).await;
    }
}
