//! An emulated worker: a [`WorkerModel`] behind HTTP on loopback. It has an address for each gateway, so that the gateway
//! of an attempt is known by the socket that it arrived on.

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

/// Seconds after which a rejection by the store arrives, as over a network.
pub const FETCH_REJECTION_DELAY: f64 = 0.002;

/// Seconds between two looks at a model that has no timer set.
const NO_DEADLINE_WAIT: f64 = 3600.0;

/// What a worker is started with.
#[derive(Clone, Copy, Debug)]
pub struct WorkerOptions {
    /// Its number, which is unique in the fleet.
    pub number: usize,
    /// The group of workers that share their idempotency keys.
    pub key_group: u32,
    /// Its resources.
    pub spec: WorkerSpec,
    /// When its process started, by the context's clock; at least its `warm_up` ago for a warm one.
    pub started: f64,
}

/// What is needed of a request once its job runs.
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

/// One worker's process.
pub struct Worker {
    /// Its number.
    pub number: usize,
    key_group: u32,
    context: Rc<EmulatorContext>,
    model: RefCell<WorkerModel>,
    fault: Cell<WorkerFault>,
    jobs: RefCell<BTreeMap<u64, PendingJob>>,
    load_requests: RefCell<BTreeMap<u64, oneshot::Sender<LoadOutcome>>>,
    /// Wakes the timer's task after the model was changed.
    model_changed: Notify,
    /// Its address for each gateway.
    pub addresses: Vec<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Worker {
    /// Starts a worker with a port for each gateway.
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

    /// Starts a worker on these sockets, one for each gateway. It runs until [`kill`](Self::kill) is called.
    ///
    /// # Errors
    /// A socket has no address.
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

    /// Ends the process at once, with its listeners, its connections and all its jobs.
    pub fn kill(&self) {
        self.tasks.take().iter().for_each(AbortHandle::abort);
    }

    /// What is wrong with it at present.
    #[must_use]
    pub fn fault(&self) -> WorkerFault {
        self.fault.get()
    }

    /// Injects a fault in place of the one before.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.fault.set(fault);
    }

    /// Calls the model with the present time, and carries out its events.
    pub fn with_model<R>(self: &Rc<Self>, call: impl FnOnce(&mut WorkerModel, f64) -> R) -> R {
        let result = call(&mut self.model.borrow_mut(), self.context.now());
        self.process_events();
        result
    }

    fn load_figures(&self) -> LoadFigures {
        self.model.borrow().load_figures()
    }

    /// Runs a job; none if the worker is overloaded.
    async fn run(self: &Rc<Self>, job: Job, request: RequestInfo) -> Option<JobOutcome> {
        let (sender, outcome) = oneshot::channel();
        // Its first events may come at once, so it is entered before they are processed.
        let id = self.model.borrow_mut().submit(self.context.now(), job);
        self.jobs.borrow_mut().insert(id, PendingJob { request, outcome: sender });
        self.process_events();
        outcome.await.ok()
    }

    /// Requests instances, and waits until they are there or can't be had.
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

    /// Records that a call took effect, unless its idempotency key shows that it did before.
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

    /// Waits for a fetch of so many seconds, or for its rejection.
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
        // Dropped with this task, and every connection with it.
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
        // How the connection ends is the gateway's affair, or a fault's.
        let _ = http1::Builder::new().serve_connection(stream, service).await;
    }
}
