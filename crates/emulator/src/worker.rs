//! A stand-in worker on loopback sockets around its [`WorkerModel`]. It listens once for each gateway, so that who sent
//! a shot is known by the socket that it came on.

use crate::context::EmulatorContext;
use crate::corrupting_stream::{CorruptingStream, Corruption};
use crate::worker_model::{Job, WorkerEvent, WorkerModel, WorkerSpec};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use milletpath_history_checker::HistoryEvent;
use milletpath_protocol::worker as wire;
use milletpath_protocol::{field, invoke, orca};
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

/// Header fields by which stand-in clients tell stand-in workers what a call is; gateways pass them on unread.
pub mod fields {
    use http::HeaderName;

    /// The call and the client's try, as `17.0`.
    pub static CALL: HeaderName = HeaderName::from_static("standin-call");
    /// Seconds of work, and of waiting beside it.
    pub static WORK: HeaderName = HeaderName::from_static("standin-work");
    pub static IO: HeaderName = HeaderName::from_static("standin-io");
    /// The number of the client's group.
    pub static GROUP: HeaderName = HeaderName::from_static("standin-group");
    /// Bytes that the answer has.
    pub static ANSWER: HeaderName = HeaderName::from_static("standin-answer");
}

/// What ails a worker, by chance of each answer where a figure is below 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFault {
    /// Quickly fails activations, unrun.
    pub fails: f64,
    /// Takes activations and answers none; probes are answered.
    pub silent: bool,
    /// Answers are lost after the work is done.
    pub loses: f64,
    /// Answers are spoilt on the wire after the work is done.
    pub spoils: f64,
    pub spoil: Corruption,
    /// Turns away what this client group sends, though there is room.
    pub wrong_full: Option<(usize, f64)>,
}

/// What a call says of itself.
#[derive(Clone, Debug)]
struct Told {
    call: u64,
    attempt: u32,
    group: usize,
    mark: Option<String>,
}

enum Ended {
    Done(wire::InstanceState, u32),
    Refused(wire::Rejection, bool),
}

pub struct Worker {
    pub number: usize,
    /// The group of workers that know each other's receipts.
    receipts: u32,
    context: Rc<EmulatorContext>,
    engine: RefCell<WorkerModel>,
    pub mood: Cell<WorkerFault>,
    jobs: RefCell<BTreeMap<u64, (Told, oneshot::Sender<Ended>)>>,
    orders: RefCell<BTreeMap<u64, oneshot::Sender<(u32, bool)>>>,
    earlier: Notify,
    /// One address for each gateway.
    pub addresses: Vec<SocketAddr>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Worker {
    /// Starts a worker with a port for each gateway.
    pub async fn start(
        context: Rc<EmulatorContext>,
        number: usize,
        receipts: u32,
        worker_spec: WorkerSpec,
        born: f64,
        gateways: usize,
    ) -> io::Result<Rc<Self>> {
        let mut listeners = Vec::new();
        for _ in 0..gateways {
            listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        Self::on(context, number, receipts, worker_spec, born, listeners)
    }

    /// Starts a worker that is cold if `born` is lately; it stops when [`kill`](Self::kill)ed.
    pub fn on(
        context: Rc<EmulatorContext>,
        number: usize,
        receipts: u32,
        worker_spec: WorkerSpec,
        born: f64,
        listeners: Vec<TcpListener>,
    ) -> io::Result<Rc<Self>> {
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let warm = context.now() - born >= worker_spec.warm_up;
        context.note(HistoryEvent::WorkerStarted { worker: number, capacity: worker_spec.capacity(), warm });
        let worker = Rc::new(Self {
            number,
            receipts,
            context,
            engine: RefCell::new(WorkerModel::new(worker_spec, born)),
            mood: Cell::default(),
            jobs: RefCell::default(),
            orders: RefCell::default(),
            earlier: Notify::new(),
            addresses,
            tasks: RefCell::default(),
        });
        let mut tasks: Vec<_> = listeners
            .into_iter()
            .enumerate()
            .map(|(gateway, listener)| spawn_local(worker.clone().accept(gateway, listener)).abort_handle())
            .collect();
        tasks.push(spawn_local(worker.clone().keep_time()).abort_handle());
        worker.tasks.replace(tasks);
        Ok(worker)
    }

    /// Ends the process at once: listeners, connections, all that it held.
    pub fn kill(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Asks something of the engine, and does what it says.
    pub fn tell<R>(self: &Rc<Self>, what: impl FnOnce(&mut WorkerModel, f64) -> R) -> R {
        let result = what(&mut self.engine.borrow_mut(), self.context.now());
        self.listen_to_engine();
        result
    }

    fn listen_to_engine(self: &Rc<Self>) {
        loop {
            let Some(say) = self.engine.borrow_mut().next_event() else { break };
            match say {
                WorkerEvent::JobStarted { job } => {
                    let jobs = self.jobs.borrow();
                    let Some((told, _)) = jobs.get(&job) else { continue };
                    let repeat = told.mark.as_ref().is_some_and(|m| self.context.known(self.receipts, m));
                    if !repeat {
                        self.context
                            .note(HistoryEvent::RequestExecuted { call: told.call, worker: self.number });
                    }
                }
                WorkerEvent::JobCompleted { job, instance_state: found, concurrent_requests } => {
                    let (warm, all) = self.context.warm.get();
                    self.context.warm.set((warm + u64::from(found == wire::InstanceState::Loaded), all + 1));
                    self.end(job, Ended::Done(found, concurrent_requests));
                }
                WorkerEvent::JobRejected { job, reason: why, load_failed: failed_load } => {
                    self.end(job, Ended::Refused(why, failed_load));
                }
                WorkerEvent::FetchStarted { load, seconds, .. } => {
                    let takes = self.context.store.borrow_mut().begin_fetch(self.context.now(), seconds);
                    spawn_local(self.clone().fetch(load, takes));
                }
                WorkerEvent::LoadRequestCompleted { load_request: order, instances: copies, failed } => {
                    if let Some(sender) = self.orders.borrow_mut().remove(&order) {
                        let _ = sender.send((copies, failed));
                    }
                }
                WorkerEvent::Overloaded => {
                    tracing::warn!(worker = self.number, "pushed over");
                    self.kill();
                }
            }
        }
        self.earlier.notify_one();
    }

    fn end(&self, job: u64, ended: Ended) {
        if let Some((_, sender)) = self.jobs.borrow_mut().remove(&job) {
            // Nobody may be waiting any more.
            let _ = sender.send(ended);
        }
    }

    async fn fetch(self: Rc<Self>, load: u64, takes: Option<f64>) {
        // What is turned away is told in a moment, as over a network.
        tokio::time::sleep(Duration::from_secs_f64(takes.unwrap_or(0.002))).await;
        if takes.is_some() {
            self.context.store.borrow_mut().fetch_ended();
        }
        self.tell(|engine, now| engine.fetch_ended(now, load, takes.is_some()));
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.engine.borrow().next_deadline();
            let wait = next.map_or(3600.0, |at| (at - self.context.now()).max(0.0));
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(wait)) => {}
                () = self.earlier.notified() => {}
            }
            let due = self.engine.borrow().next_deadline().is_some_and(|at| at <= self.context.now());
            if due {
                self.tell(|engine, now| engine.advance(now));
            }
        }
    }

    async fn accept(self: Rc<Self>, gateway: usize, listener: TcpListener) {
        // Dropped with this task, and every connection with it.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn_local(self.clone().connection(gateway, stream));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn connection(self: Rc<Self>, gateway: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let spoil: Rc<Cell<Corruption>> = Rc::default();
        let io = CorruptingStream::new(stream, spoil.clone());
        let service = service_fn(move |request| {
            let (worker, spoil) = (self.clone(), spoil.clone());
            async move { Ok::<_, Infallible>(worker.answer(gateway, request, &spoil).await) }
        });
        let _ = http1::Builder::new().serve_connection(io, service).await;
    }

    async fn answer(
        self: Rc<Self>,
        gateway: usize,
        request: Request<Incoming>,
        spoil: &Cell<Corruption>,
    ) -> Answer {
        let (parts, body) = request.into_parts();
        match wire::route(parts.uri.path()) {
            Some(wire::Route::Ready) => self.with_load(plain(StatusCode::OK)),
            Some(wire::Route::Infer(name)) => self.infer(gateway, name, &parts.headers, body, spoil).await,
            Some(wire::Route::Load(name)) => self.load(gateway, name, &parts.headers).await,
            Some(wire::Route::Unload(name)) => {
                let (function, _) = self.context.function_model(name);
                self.tell(|engine, _| engine.unload(function));
                plain(StatusCode::OK)
            }
            None => plain(StatusCode::NOT_FOUND),
        }
    }

    async fn load(self: &Rc<Self>, gateway: usize, name: &str, headers: &HeaderMap) -> Answer {
        let copies = wire::count_field(headers, &wire::INSTANCES).ok().flatten().unwrap_or(1);
        if copies > 0 {
            self.context.note(HistoryEvent::LoadRequested { gateway, worker: self.number });
        }
        let (function, function_model) = self.context.function_model(name);
        let (sender, stands) = oneshot::channel();
        // Said at once where the instances stand: the sender must be there before the engine is listened to.
        let order =
            self.engine.borrow_mut().request_load(self.context.now(), function, function_model, copies);
        self.orders.borrow_mut().insert(order, sender);
        self.listen_to_engine();
        let (copies, failed) = stands.await.unwrap_or((0, true));
        let mut answer = plain(if failed { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK });
        answer.headers_mut().insert(&wire::INSTANCES, HeaderValue::from(copies));
        answer
    }

    async fn infer(
        self: &Rc<Self>,
        gateway: usize,
        name: &str,
        headers: &HeaderMap,
        body: Incoming,
        spoil: &Cell<Corruption>,
    ) -> Answer {
        /// Bytes of a body that a stand-in reads.
        const BODY: usize = 64 << 20;
        let figure =
            |name: &http::HeaderName| field(headers, name).ok().flatten().and_then(|t| t.parse::<f64>().ok());
        let (call, attempt) = field(headers, &fields::CALL)
            .ok()
            .flatten()
            .and_then(|t| t.split_once('.'))
            .and_then(|(call, attempt)| Some((call.parse().ok()?, attempt.parse().ok()?)))
            .unwrap_or((u64::MAX, 0));
        let work = figure(&fields::WORK).unwrap_or(0.0);
        self.context.note(HistoryEvent::AttemptReceived {
            call,
            attempt,
            gateway,
            worker: self.number,
            work,
        });
        let _over = Over { context: self.context.clone(), gateway, worker: self.number };
        let Ok(body) = Limited::new(body, BODY).collect().await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let group = figure(&fields::GROUP).map_or(usize::MAX, |g| g as usize);
        let mark = field(headers, &invoke::IDEMPOTENCY_KEY).ok().flatten().map(str::to_owned);
        let told = Told { call, attempt, group, mark };
        let mood = self.mood.get();
        if mood.silent {
            return std::future::pending().await;
        }
        if self.context.happens(mood.fails) {
            return plain(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if mood.wrong_full.is_some_and(|(group, part)| group == told.group && self.context.happens(part)) {
            return self.with_load(refusal(wire::Rejection::Full));
        }
        let (function, function_model) = self.context.function_model(name);
        let (sender, ended) = oneshot::channel();
        let job = Job { function, function_model, work, io: figure(&fields::IO).unwrap_or(0.0) };
        tracing::trace!(worker = self.number, call, attempt = told.attempt, "came");
        let id = self.engine.borrow_mut().submit(self.context.now(), job);
        self.jobs.borrow_mut().insert(id, (told, sender));
        self.listen_to_engine();
        let answer = match ended.await {
            Ok(Ended::Done(found, concurrent_requests)) => {
                let bytes = figure(&fields::ANSWER).map_or(body, |n| vec![b'x'; n as usize].into());
                let mut answer = Response::new(Full::new(bytes));
                let headers = answer.headers_mut();
                if self.context.tells.found {
                    headers.insert(
                        &wire::INSTANCE_STATE,
                        HeaderValue::from_static(wire::instance_state_word(found)),
                    );
                }
                if self.context.tells.concurrent_requests {
                    headers.insert(&wire::CONCURRENT_REQUESTS, HeaderValue::from(concurrent_requests));
                }
                answer
            }
            Ok(Ended::Refused(why, failed_load)) => {
                let mut answer = refusal(why);
                if failed_load {
                    let word =
                        HeaderValue::from_static(wire::instance_state_word(wire::InstanceState::LoadFailed));
                    answer.headers_mut().insert(&wire::INSTANCE_STATE, word);
                }
                answer
            }
            // Fallen over.
            Err(_) => return std::future::pending().await,
        };
        let mood = self.mood.get();
        if self.context.happens(mood.loses) {
            return std::future::pending().await;
        }
        if self.context.happens(mood.spoils) {
            spoil.set(mood.spoil);
        }
        if self.context.tells.load { self.with_load(answer) } else { answer }
    }

    /// Adds the worker's load report.
    fn with_load(&self, mut answer: Answer) -> Answer {
        let figures = self.engine.borrow().load_figures();
        let text = orca::write([
            (orca::IN_FLIGHT, figures.in_flight),
            (orca::QUEUED, figures.queued),
            (orca::CPU_UTILIZATION, figures.utilization),
            (orca::MEMORY_UTILIZATION, figures.memory),
            (orca::LOADING, figures.loading),
        ]);
        if let Ok(value) = HeaderValue::from_str(&text) {
            answer.headers_mut().insert(&orca::HEADER, value);
        }
        answer
    }
}

/// Notes that a shot is over, however its handling ends: also when its connection is gone.
struct Over {
    context: Rc<EmulatorContext>,
    gateway: usize,
    worker: usize,
}

impl Drop for Over {
    fn drop(&mut self) {
        self.context.note(HistoryEvent::AttemptFinished { gateway: self.gateway, worker: self.worker });
    }
}

type Answer = Response<Full<Bytes>>;

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// The worker's own word that nothing ran.
fn refusal(why: wire::Rejection) -> Answer {
    let status = if why == wire::Rejection::NotLoaded {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut answer = plain(status);
    answer.headers_mut().insert(&wire::REJECTION, HeaderValue::from_static(wire::rejection_word(why)));
    answer
}
