//! Runs a gateway: accepts client connections until it is stopped, and then finishes the open requests. Accepting and
//! supervision run on the calling thread; each core has a thread of its own.

use crate::config_follower::{self, ConfigFeed};
use crate::core_message::{CoreMessage, FaultInjection};
use crate::io_fault::{AcceptFault, Backoff};
use crate::membership_link::{self, MembershipLink};
use crate::shared_runtime::SharedRuntime;
use crate::supervisor::{Supervisor, SupervisorTask};
use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::Counters;
use milletpath_process_environment::listener::ACCEPT_QUEUE_LENGTH;
use socket2::SockRef;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

/// Seconds after the last deadline for writing the last responses. Together with the time that the cores take to end,
/// this is below the 0.7 s after which the process may be killed.
const FINAL_WRITE_SECONDS: f64 = 0.2;

/// Runs a gateway on a listener until `stop` completes, and then finishes its open requests. Returns the request
/// counters. Must run within a `LocalSet`.
pub async fn serve(config: GatewayConfig, listener: TcpListener, stop: impl Future<Output = ()>) -> Counters {
    let (_, no_faults) = tokio::sync::mpsc::unbounded_channel();
    serve_with_faults(config, listener, Links::default(), stop, no_faults).await
}

/// The sockets that connect a gateway to the rest of its fleet.
#[derive(Default)]
pub struct Links {
    /// The socket for membership and shared budgets, if configured.
    pub peers: Option<MembershipLink>,
    /// The socket for configuration changes, if configured.
    pub changes: Option<ConfigFeed>,
}

/// Like [`serve`], with links to the fleet and with faults injected by tests. Each fault comes with the index of its
/// core; the index after the last core addresses the supervisor.
pub async fn serve_with_faults(
    config: GatewayConfig,
    listener: TcpListener,
    links: Links,
    stop: impl Future<Output = ()>,
    faults: UnboundedReceiver<(usize, FaultInjection)>,
) -> Counters {
    let supervisor = Rc::new(Supervisor::new(config));
    let shared_runtime = supervisor.shared_runtime().clone();
    tracing::info!(cores = shared_runtime.cores(), "serving");
    let control_threads = ControlThreads::start(&shared_runtime, links);
    let mut supervisor_task = SupervisorTask::start(supervisor.clone());
    let mut acceptor = Acceptor::new(supervisor.clone(), listener);
    acceptor.run(pin!(stop), faults, &mut supervisor_task).await;
    shut_down(acceptor, &supervisor, supervisor_task).await;
    control_threads.join();
    supervisor.log_totals();
    shared_runtime.counters()
}

/// Finishes the open requests within the longest deadline of any request, and ends the cores.
async fn shut_down(acceptor: Acceptor, supervisor: &Rc<Supervisor>, mut supervisor_task: SupervisorTask) {
    let shared_runtime = supervisor.shared_runtime();
    supervisor.begin_shutdown();
    tracing::info!(
        open = shared_runtime.query_dispatcher(|dispatcher| dispatcher.open_requests()),
        connections = shared_runtime.client_connections.open_count(),
        "stopping"
    );
    let deadlines = shared_runtime.config.profiles.iter().map(|profile| profile.deadline);
    let longest = deadlines.fold(0.0, f64::max) + FINAL_WRITE_SECONDS;
    let _ = tokio::time::timeout(Duration::from_secs_f64(longest), async {
        tokio::select! {
            () = acceptor.drain() => {}
            () = supervisor_task.keep_running() => {}
        }
    })
    .await;
    supervisor.join_cores().await;
}

/// Accepts client connections and assigns them to cores.
struct Acceptor {
    supervisor: Rc<Supervisor>,
    shared_runtime: Arc<SharedRuntime>,
    listener: TcpListener,
    backoff: Backoff,
    /// The end of the pause after a failed accept.
    paused_until: Option<Instant>,
}

impl Acceptor {
    fn new(supervisor: Rc<Supervisor>, listener: TcpListener) -> Self {
        let shared_runtime = supervisor.shared_runtime().clone();
        Self { supervisor, shared_runtime, listener, backoff: Backoff::default(), paused_until: None }
    }

    /// Accepts connections until `stop` completes. Meanwhile forwards faults and keeps the supervisor's task running.
    async fn run(
        &mut self,
        mut stop: Pin<&mut impl Future<Output = ()>>,
        mut faults: UnboundedReceiver<(usize, FaultInjection)>,
        supervisor_task: &mut SupervisorTask,
    ) {
        let client_connections = self.shared_runtime.client_connections.clone();
        let mut accepts_faults = true;
        loop {
            let has_capacity = !client_connections.is_full();
            let paused_until = self.paused_until;
            tokio::select! {
                biased;
                () = &mut stop => return,
                () = supervisor_task.keep_running() => {}
                fault = faults.recv(), if accepts_faults => match fault {
                    Some((core, fault)) => self.inject_fault(core, fault),
                    None => accepts_faults = false,
                },
                accepted = self.listener.accept(), if has_capacity && paused_until.is_none() => {
                    self.handle_accepted(accepted.map(|(stream, _)| stream));
                }
                () = sleep_until(paused_until), if paused_until.is_some() => self.paused_until = None,
                () = client_connections.wait_for_release(), if !has_capacity => {}
            }
        }
    }

    fn inject_fault(&self, core: usize, fault: FaultInjection) {
        if core <= self.shared_runtime.cores() {
            self.shared_runtime.send(core, CoreMessage::InjectFault(fault));
        } else {
            tracing::warn!(core, ?fault, "fault not injected: there is no such core");
        }
    }

    fn handle_accepted(&mut self, accepted: io::Result<TcpStream>) {
        match accepted.and_then(TcpStream::into_std) {
            Ok(stream) => {
                self.backoff.succeeded();
                self.supervisor.assign(stream);
            }
            Err(error) => self.paused_until = Some(Instant::now() + pause_after(&mut self.backoff, &error)),
        }
    }

    /// Stops listening, and waits until the last client connection has ended.
    async fn drain(mut self) {
        self.assign_waiting_connections().await;
        let Self { supervisor, shared_runtime, listener, .. } = self;
        drop(listener);
        supervisor.stop_accepting();
        while shared_runtime.client_connections.open_count() > 0 {
            shared_runtime.client_connections.wait_for_release().await;
        }
    }

    /// Assigns the connections in the accept queue, because closing the listener would reset them together with the
    /// requests sent on them. Accepts from the socket directly, as the runtime may not know about them yet.
    async fn assign_waiting_connections(&mut self) {
        self.backoff = Backoff::default();
        for _ in 0..ACCEPT_QUEUE_LENGTH {
            while self.shared_runtime.client_connections.is_full() {
                self.shared_runtime.client_connections.wait_for_release().await;
            }
            let accepted = SockRef::from(&self.listener).accept();
            match accepted.and_then(|(socket, _)| socket.set_nonblocking(true).map(|()| socket)) {
                Ok(socket) => {
                    self.backoff.succeeded();
                    self.supervisor.assign(socket.into());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => tokio::time::sleep(pause_after(&mut self.backoff, &error)).await,
            }
        }
    }
}

async fn sleep_until(time: Option<Instant>) {
    if let Some(time) = time {
        tokio::time::sleep_until(time).await;
    }
}

/// Returns how long to wait after an error of `accept`.
fn pause_after(backoff: &mut Backoff, error: &io::Error) -> Duration {
    let fault = AcceptFault::of(error);
    if fault == AcceptFault::Resources {
        // Open connections continue to be served, and those that close release resources.
        tracing::error!(%error, "no connection can be accepted; raise the limit on open files");
    }
    backoff.after_accept(fault)
}

/// The threads that communicate with the rest of the fleet.
struct ControlThreads {
    changes: Option<JoinHandle<()>>,
    peers: Option<JoinHandle<()>>,
}

impl ControlThreads {
    /// Starts the threads of the given links. The gateway continues without a thread that can't start.
    fn start(shared_runtime: &Arc<SharedRuntime>, links: Links) -> Self {
        let changes = links.changes.and_then(|feed| {
            let thread = config_follower::start(shared_runtime.clone(), feed);
            log_start_failure(thread, "configuration changes don't arrive, the file's values stay in force")
        });
        let peers = links.peers.and_then(|link| {
            let thread = membership_link::start(shared_runtime.clone(), link);
            log_start_failure(thread, "this gateway shares no budgets with others")
        });
        Self { changes, peers }
    }

    /// Joins the threads, which end soon after the shutdown has begun.
    fn join(self) {
        if self.changes.is_some_and(|thread| thread.join().is_err()) {
            tracing::error!("the thread that follows configuration changes panicked");
        }
        if self.peers.is_some_and(|thread| thread.join().is_err()) {
            tracing::error!("the thread that talks to other gateways panicked");
        }
    }
}

/// Returns the thread. If it could not start, logs the error with the consequence `without`, and returns `None`.
fn log_start_failure<E: Display>(thread: Result<JoinHandle<()>, E>, without: &str) -> Option<JoinHandle<()>> {
    thread.inspect_err(|error| tracing::error!(%error, "a control thread can't start; {without}")).ok()
}
