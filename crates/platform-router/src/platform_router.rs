//! All that the router on the platform has: the desk, the clients, the links to workers. Sockets are read and
//! written here without waiting; the tasks around it only wait until a socket or a time is ready.

use crate::client_connections::{Acceptor, ClientConnection};
use crate::connection_limits::ConnectionLimits;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::shutdown::{Liveness, Shutdown};
use crate::sockets::{Sockets, SystemSockets};
use crate::worker_connection::WorkerConnection;
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId};
use milletpath_gateway::wall_clock::unix_time;
use milletpath_platform_protocol::bootstrap::{self, Bootstrap};
use milletpath_platform_protocol::lines;
use milletpath_process_signals::{Heard, SIGHUP, SIGTERM};
use nix::sys::resource::{Resource, getrlimit};
use slab::Slab;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Bytes that are read at a time from one socket: its fair turn.
pub const READ_SIZE: usize = 64 << 10;

/// Who asked for an activation.
pub struct RequestContext {
    /// The client's place and serial number, and the number of its line.
    pub client: (usize, u64),
    pub number: u64,
    pub id: u64,
    pub profile: usize,
    pub idempotency_key: String,
    pub body: Vec<u8>,
    /// What these take of the room for buffers.
    pub _reservation: MemoryReservation,
    /// When it came in, and when its last shot was begun.
    pub received_at: f64,
    pub last_attempt_at: f64,
    /// The links that its shots went to.
    pub worker_connections: Vec<usize>,
}

pub type SharedRouter = Rc<RefCell<PlatformRouter>>;

pub struct PlatformRouter {
    pub weak_self: Weak<RefCell<PlatformRouter>>,
    pub dispatcher: Dispatcher<RequestContext>,
    pub profiles: Vec<String>,
    pub groups: Vec<String>,
    pub clients: Slab<ClientConnection>,
    /// A connection that was accepted and waits for a place among them.
    pub pending_connection: Option<TcpStream>,
    pub worker_connections: Slab<WorkerConnection>,
    /// The links to each worker.
    pub connections_by_worker: BTreeMap<usize, Vec<usize>>,
    /// Activations in hand, by their ids.
    pub open_request_ids: BTreeSet<u64>,
    pub connection_limits: ConnectionLimits,
    pub memory_budget: Rc<MemoryBudget>,
    pub shutdown: Shutdown,
    liveness: Liveness,
    pub connect_timeout: f64,
    pub load_reports: bool,
    pub sends_cancels: bool,
    /// The longest advice to come back, for what the desk has no room for.
    pub retry_after: Option<f64>,
    pub read_buffer: Vec<u8>,
    /// Clients whose sockets are read before the link beside them is written on.
    pub unread_clients: Vec<(usize, usize)>,
    pub serial: u64,
    /// The system calls on connections to workers.
    pub sockets: Rc<dyn Sockets>,
    started_at: Instant,
    /// The time for which the time keeper is set, and how it hears of an earlier one.
    timer_set_for: f64,
    pub timer_changed: Rc<Notify>,
}

impl PlatformRouter {
    fn new(bootstrap: &Bootstrap) -> SharedRouter {
        let started_at = Instant::now();
        let config = &bootstrap.config;
        let longest_deadline = config.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max);
        let mut dispatcher = Dispatcher::new(config, unix_time());
        for bootstrap::WorkerList { complete, entries } in &bootstrap.worker_lists {
            dispatcher.update_endpoints(0.0, *complete, entries);
        }
        Rc::new_cyclic(|weak_self| {
            RefCell::new(Self {
                weak_self: weak_self.clone(),
                dispatcher,
                profiles: config.profiles.iter().map(|p| p.name.clone()).collect(),
                groups: config.clients.clone(),
                clients: Slab::new(),
                pending_connection: None,
                worker_connections: Slab::new(),
                connections_by_worker: BTreeMap::new(),
                open_request_ids: BTreeSet::new(),
                connection_limits: ConnectionLimits::new(
                    bootstrap.descriptors,
                    bootstrap.streams_per_connection,
                    config.limits.idle_timeout,
                    config.limits.connect_timeout,
                    longest_deadline,
                ),
                memory_budget: MemoryBudget::new(bootstrap.memory_bytes),
                shutdown: Shutdown::new(longest_deadline),
                liveness: Liveness::default(),
                connect_timeout: config.limits.connect_timeout,
                load_reports: bootstrap.load_reports,
                sends_cancels: config.policy.cancels,
                retry_after: config.policy.come_back,
                read_buffer: vec![0; READ_SIZE],
                unread_clients: Vec::new(),
                serial: 0,
                sockets: Rc::new(SystemSockets),
                started_at,
                timer_set_for: f64::INFINITY,
                timer_changed: Rc::new(Notify::new()),
            })
        })
    }

    pub fn now(&self) -> f64 {
        let now = self.started_at.elapsed().as_secs_f64();
        self.liveness.note(now);
        now
    }

    /// Does what the desk wants done, until it wants no more.
    pub fn run_actions(&mut self) {
        loop {
            self.run_queued_actions();
            let Some((client, worker_connection)) = self.unread_clients.pop() else { break };
            self.read_client(client);
            self.run_queued_actions();
            self.flush_worker(worker_connection);
        }
        if self.dispatcher.next_deadline().is_some_and(|at| at < self.timer_set_for) {
            self.timer_changed.notify_one();
        }
    }

    fn run_queued_actions(&mut self) {
        while let Some(action) = self.dispatcher.next_action() {
            match action {
                Action::SendAttempt { request, attempt, worker } => {
                    self.send_attempt(request, attempt, worker)
                }
                Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
                Action::Reject { request, retry_after } => {
                    self.send_final_response(request, |out, number| {
                        lines::write_rejected(out, number, retry_after)
                    });
                }
                Action::Fail { request, .. } => self.send_final_response(request, lines::write_failed),
                Action::LoadFunction { load_request, worker, function, instances } => {
                    self.send_load_request(load_request, worker, function, instances)
                }
                Action::UnloadFunction { worker, function } => self.send_unload(worker, &function),
                Action::HealthCheck { worker, serial } => self.send_health_check(worker, serial),
                // The bulletin is followed in any case.
                Action::WatchEndpoints => {}
            }
        }
    }

    /// Gives the client its final answer.
    pub fn send_final_response(&mut self, request: RequestId, write: impl FnOnce(&mut Vec<u8>, u64)) {
        let Some(context) = self.dispatcher.context(request) else { return };
        let ((key, serial), number) = (context.client, context.number);
        self.open_request_ids.remove(&context.id);
        let Some(client) = self.clients.get_mut(key).filter(|c| c.serial == serial) else { return };
        client.open.retain(|&(n, _)| n != number);
        write(&mut client.write_buffer.bytes, number);
        self.flush_client(key);
    }

    /// Reads one fair turn from a socket and passes it on, or why there will be no more. Whoever calls has looked up
    /// whose socket it is, and carries out what comes of it: the room to read into is given back on every way out of
    /// here.
    pub fn read(&mut self, stream: &TcpStream, on_read: impl FnOnce(&mut Self, Result<&[u8], String>)) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        match stream.try_read(&mut read_buffer) {
            Ok(0) => on_read(self, Err("it was closed".into())),
            Ok(n) => on_read(self, Ok(&read_buffer[..n])),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => on_read(self, Err(e.to_string())),
        }
        self.read_buffer = read_buffer;
    }

    /// Time has passed.
    fn on_timer(&mut self) {
        let now = self.now();
        self.dispatcher.advance(now);
        self.run_actions();
    }

    /// Closes what has been idle or silent for too long.
    fn clean_up(&mut self) {
        let now = self.now();
        self.close_stale_clients(now);
        self.close_idle_worker_connections(now);
        self.run_actions();
    }
}

async fn run_timer(router: SharedRouter) {
    loop {
        let (next, timer_changed) = {
            let mut s = router.borrow_mut();
            s.on_timer();
            let next = s.dispatcher.next_deadline();
            s.timer_set_for = next.unwrap_or(f64::INFINITY);
            (next.map(|at| s.started_at + Duration::from_secs_f64(at.max(0.0))), s.timer_changed.clone())
        };
        match next {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at) => {}
                () = timer_changed.notified() => {}
            },
            None => timer_changed.notified().await,
        }
    }
}

async fn run_cleanup(router: SharedRouter) {
    /// Seconds between two looks: short against the times that are kept.
    const CLEANUP_INTERVAL: Duration = Duration::from_millis(200);
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        router.borrow_mut().clean_up();
    }
}

/// Runs the router until it is asked to end. `file` is what it starts from, `address` where it listens instead of
/// where the file says.
pub async fn run(file: &Path, address: Option<SocketAddr>) -> ExitCode {
    // Before all else: a signal at any time after this ends nothing by itself.
    let signals =
        Heard::new(SIGHUP).and_then(|hangup| Heard::new(SIGTERM).map(|terminate| (hangup, terminate)));
    let (mut hangup, mut terminate) = match signals {
        Ok(signals) => signals,
        Err(e) => {
            tracing::error!("signals can't be heard: {e}");
            return ExitCode::FAILURE;
        }
    };
    let read = std::fs::read(file).map_err(|e| e.to_string());
    let read = read.and_then(|text| {
        bootstrap::read(&text).map(|bootstrap| (bootstrap, text)).map_err(|e| e.to_string())
    });
    let (mut bootstrap, first) = match read {
        Ok((bootstrap, text)) => (bootstrap, Rc::<[u8]>::from(text)),
        Err(e) => {
            tracing::error!("{}: {e}; LB_CONFIG must name the platform's file", file.display());
            return ExitCode::from(2);
        }
    };
    if let Ok((granted, _)) = getrlimit(Resource::RLIMIT_NOFILE)
        && granted < bootstrap.descriptors as u64
    {
        tracing::warn!(
            granted,
            stated = bootstrap.descriptors,
            "the system grants fewer descriptors than the file states"
        );
        bootstrap.descriptors = granted as usize;
    }
    let address = address.unwrap_or(bootstrap.config.listen);
    let listener = match milletpath_gateway::listen(address) {
        Ok(listener) => listener,
        Err(e) => {
            tracing::error!("can't listen on {address}: {e}");
            return ExitCode::FAILURE;
        }
    };
    tracing::debug!(policy = ?bootstrap.config.policy, limits = ?bootstrap.config.limits, "what the platform states");
    let address = listener.local_addr().unwrap_or(address);
    let router = PlatformRouter::new(&bootstrap);
    router.borrow_mut().run_actions();
    tracing::info!(%address, descriptors = bootstrap.descriptors, last = bootstrap.last_event, "the router listens");
    let (discovery_address, discovery) = watch::channel(bootstrap.discovery);
    spawn_local(crate::discovery_watch::watch_discovery(router.clone(), discovery, bootstrap.last_event));
    spawn_local(run_timer(router.clone()));
    spawn_local(run_cleanup(router.clone()));
    let mut acceptor = Some(Acceptor::open(router.clone(), listener));
    loop {
        /// Seconds between two steps of a shutdown.
        const STEP: Duration = Duration::from_millis(20);
        let begun = router.borrow().shutdown.begun();
        tokio::select! {
            () = hangup.next() => {
                spawn_local(reload_bootstrap(file.to_owned(), first.clone(), discovery_address.clone()));
            }
            () = terminate.next() => {
                tracing::info!("asked to end: what still comes is taken, what was taken is answered");
                let mut s = router.borrow_mut();
                let now = s.now();
                let earliest = s.liveness.earliest(now);
                s.shutdown.begin(now, earliest);
            }
            () = tokio::time::sleep(STEP), if begun => {
                if router.borrow_mut().step_shutdown(&mut acceptor) {
                    tracing::info!("the router exits");
                    return ExitCode::SUCCESS;
                }
            }
        }
    }
}

/// Reads the file again, whole or not at all; one that is caught half-replaced is tried again shortly.
async fn reload_bootstrap(
    file: std::path::PathBuf,
    first: Rc<[u8]>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    /// Tries soon, as the file may be caught half-replaced, and then for as long as that may take where descriptors or
    /// a disk are wanted for: 4 s after the signal what the new address tells counts as told.
    const MAX_TRIES: u32 = 60;
    const PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
    let [mut pause, longest] = PAUSES;
    for n in 0..MAX_TRIES {
        let read = std::fs::read(&file).map_err(|e| e.to_string());
        match read.and_then(|text| bootstrap::reread(&text, &first).map_err(|e| e.to_string())) {
            Ok(bootstrap::Reread { discovery, ignored_changes }) => {
                tracing::info!(%discovery, "the file was read again");
                if !ignored_changes.is_empty() {
                    tracing::warn!(
                        "the file also says otherwise: {}; it holds from the next start",
                        ignored_changes.join(", ")
                    );
                }
                // A stream that stands is not begun anew for the same address.
                discovery_address
                    .send_if_modified(|current| std::mem::replace(current, discovery) != discovery);
                return;
            }
            Err(e) => tracing::warn!("{}: {e}; what it said before stands", file.display()),
        }
        tokio::time::sleep(pause).await;
        pause = if n < MAX_TRIES / 3 { pause } else { (2 * pause).min(longest) };
    }
}

#[cfg(test)]
pub mod tests;
