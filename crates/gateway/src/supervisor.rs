//! The keeper: the thread that accepts and deals connections, follows the worker list, keeps the desk's time and
//! watches the cores. It carries no calls; for a core that stands still it gives the answers that fall due.

use crate::changing::{self, Feed};
use crate::core_context::{CoreContext, HEARTBEAT_INTERVAL};
use crate::core_thread;
use crate::io_fault::{AcceptFault, Backoff};
use crate::message_handler;
use crate::peering::{self, Link};
use crate::response::{LocalResponse, local_response};
use crate::response_channel::{ResponseChannel, has_unread};
use crate::shared_runtime::{ConnectionPermit, CoreMessage, FaultInjection, SharedRuntime};
use milletpath_config::{GatewayConfig, WorkerSource};
use milletpath_dispatcher::dispatcher::{AttemptResult, Counters};
use milletpath_multicore::deal::{self, Deal, Seen};
use milletpath_multicore::watch::{Do, Watch};
use milletpath_policy::host::Outcome;
use milletpath_process_environment::listener::ACCEPT_QUEUE_LENGTH;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

/// Seconds past the longest time that a client may wait, in which the last answers are written. Together with what the
/// cores take to end it is less than the 0.7 s after which the process may be killed.
const FINAL_WRITES: f64 = 0.2;

/// Runs a gateway on a listener until `stop` comes, and finishes what it took. Must run within a `LocalSet`; the
/// calling thread is the keeper, and the cores are threads beside it.
pub async fn serve(config: GatewayConfig, listener: TcpListener, stop: impl Future<Output = ()>) -> Counters {
    let (_, no_faults) = tokio::sync::mpsc::unbounded_channel();
    serve_with_faults(config, listener, Links::default(), stop, no_faults).await
}

/// What a gateway has beside its clients and workers: a link to the other gateways, and a feed of changes.
#[derive(Default)]
pub struct Links {
    pub peers: Option<Link>,
    pub changes: Option<Feed>,
}

/// As [`serve`], with links to others, and with mischief for tests and days: what comes on the channel
/// befalls the core of that number; the one behind the last is the keeper.
pub async fn serve_with_faults(
    config: GatewayConfig,
    listener: TcpListener,
    links: Links,
    stop: impl Future<Output = ()>,
    mut faults: UnboundedReceiver<(usize, FaultInjection)>,
) -> Counters {
    let supervisor = Rc::new(Supervisor::new(config));
    let shared_runtime = supervisor.shared_runtime.clone();
    tracing::info!(cores = shared_runtime.cores(), "serving");
    let changing = links.changes.and_then(|feed| match changing::start(shared_runtime.clone(), feed) {
        Ok(thread) => Some(thread),
        Err(e) => {
            tracing::error!("changes can't be followed, the charter's figures hold: {e}");
            None
        }
    });
    let peering = links.peers.and_then(|link| match peering::start(shared_runtime.clone(), link) {
        Ok(thread) => Some(thread),
        Err(e) => {
            tracing::error!("the link to the other gateways can't start, this one shares nothing: {e}");
            None
        }
    });
    let mut time = spawn_local(supervisor.clone().run_timers());
    let mut stop = pin!(stop);
    let mut accepts_faults = true;
    let (mut backoff, mut pause_until, mut pausing) =
        (Backoff::default(), tokio::time::Instant::now(), false);
    loop {
        let has_capacity =
            shared_runtime.client_connections.used() < shared_runtime.client_connections.most();
        tokio::select! {
            biased;
            () = &mut stop => break,
            // It ends by a panic alone, and nothing goes on without it.
            _ = &mut time => {
                tracing::error!("the keeper's round broke; it begins anew");
                time = spawn_local(supervisor.clone().run_timers());
            }
            fault = faults.recv(), if accepts_faults => match fault {
                Some((core, fault)) if core <= shared_runtime.cores() => shared_runtime.send(core, CoreMessage::InjectFault(fault)),
                Some((core, _)) => tracing::warn!(core, "there is no such core to stir"),
                None => accepts_faults = false,
            },
            accepted = listener.accept(), if has_capacity && !pausing => {
                match accepted.and_then(|(stream, _)| stream.into_std()) {
                    Ok(stream) => {
                        backoff.succeeded();
                        supervisor.assign(stream);
                    }
                    Err(e) => {
                        pause_until = tokio::time::Instant::now() + pause_after(&mut backoff, &e);
                        pausing = true;
                    }
                }
            }
            () = tokio::time::sleep_until(pause_until), if pausing => pausing = false,
            () = shared_runtime.connection_closed.notified(), if !has_capacity => {}
        }
    }
    shared_runtime.stopping.store(true, Ordering::Release);
    shared_runtime.core_slots.iter().for_each(|core| core.wake.notify_one());
    tracing::info!(
        open = shared_runtime.query_dispatcher(|d| d.open_requests()),
        connections = shared_runtime.client_connections.used(),
        "stopping"
    );
    let longest =
        shared_runtime.config.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max) + FINAL_WRITES;
    let _ = tokio::time::timeout(Duration::from_secs_f64(longest), async {
        tokio::select! {
            () = supervisor.clone().drain(listener) => {}
            () = async { loop { let _ = (&mut time).await; time = spawn_local(supervisor.clone().run_timers()); } } => {}
        }
    })
    .await;
    supervisor.join_cores().await;
    time.abort();
    // Each ends within a look of its local after the stop was told.
    if changing.is_some_and(|thread| thread.join().is_err()) {
        tracing::error!("following changes broke");
    }
    if peering.is_some_and(|thread| thread.join().is_err()) {
        tracing::error!("the link to the other gateways broke");
    }
    supervisor.log_totals();
    shared_runtime.counters()
}

/// How long to wait after an error of `accept`.
fn pause_after(backoff: &mut Backoff, error: &io::Error) -> Duration {
    let fault = AcceptFault::of(error);
    if fault == AcceptFault::Resources {
        // What is open goes on, and closing gives some back.
        tracing::error!("no connection can be accepted: {error}; raise the limit of open files");
    }
    backoff.after_accept(fault)
}

/// The thread in a seat.
struct CoreThread {
    thread: Option<JoinHandle<()>>,
    incarnation: u32,
    watch: Watch,
}

struct Supervisor {
    shared_runtime: Arc<SharedRuntime>,
    context: Rc<CoreContext>,
    core_threads: RefCell<Vec<CoreThread>>,
    balancer: RefCell<Deal>,
    /// Whether connections may still be dealt to cores, which last until then.
    accepting: Arc<AtomicBool>,
}

impl Supervisor {
    fn new(config: GatewayConfig) -> Self {
        let shared_runtime = SharedRuntime::new(config);
        let context =
            CoreContext::new(shared_runtime.clone(), shared_runtime.cores(), 0, message_handler::handle);
        match &shared_runtime.config.source {
            WorkerSource::List(entries) => shared_runtime.update_endpoints(Some(context.core), true, entries),
            // Says what the desk had to say at its start: that the list is to be followed.
            WorkerSource::Registry(_) => shared_runtime.with_dispatcher(Some(context.core), |_, _| ()),
        }
        context.process_messages();
        let now = shared_runtime.now();
        let accepting = Arc::new(AtomicBool::new(true));
        let core_threads = (0..shared_runtime.cores()).map(|core| {
            let mut core_threads = CoreThread { thread: None, incarnation: 0, watch: Watch::new(now) };
            core_threads.start(&shared_runtime, core, &accepting);
            core_threads
        });
        let core_threads = RefCell::new(core_threads.collect());
        let balancer = RefCell::new(Deal::new(shared_runtime.cores(), now));
        Self { shared_runtime, context, core_threads, balancer, accepting }
    }

    /// Gives a connection to a core.
    fn assign(&self, stream: std::net::TcpStream) {
        if self.shared_runtime.client_connections.take(1) {
            let core = self.balancer.borrow_mut().pick();
            self.shared_runtime.send(
                core,
                CoreMessage::AcceptConnection(stream, ConnectionPermit(self.shared_runtime.clone())),
            );
        }
    }

    /// Waits until the last connection has ended.
    async fn drain(self: Rc<Self>, listener: TcpListener) {
        self.assign_waiting_connections(&listener).await;
        drop(listener);
        self.accepting.store(false, Ordering::Release);
        self.shared_runtime.core_slots.iter().for_each(|core| core.wake.notify_one());
        while self.shared_runtime.client_connections.used() > 0 {
            self.shared_runtime.connection_closed.notified().await;
        }
    }

    /// Deals the connections that wait to be accepted: the kernel would reset them with the listener, and the calls
    /// that lie on them unread. Asks the socket itself, as the runtime may not have heard of them.
    async fn assign_waiting_connections(&self, listener: &TcpListener) {
        let mut backoff = Backoff::default();
        for _ in 0..ACCEPT_QUEUE_LENGTH {
            while self.shared_runtime.client_connections.used()
                >= self.shared_runtime.client_connections.most()
            {
                self.shared_runtime.connection_closed.notified().await;
            }
            let accepted = SockRef::from(listener).accept();
            match accepted.and_then(|(socket, _)| socket.set_nonblocking(true).map(|()| socket)) {
                Ok(socket) => {
                    backoff.succeeded();
                    self.assign(socket.into());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => tokio::time::sleep(pause_after(&mut backoff, &e)).await,
            }
        }
    }

    /// Lets the desk's timers fire and looks after the cores. Runs for as long as the gateway.
    async fn run_timers(self: Rc<Self>) {
        let shared_runtime = &self.shared_runtime;
        let mut next_rebalance = 0.0;
        loop {
            let wait = (shared_runtime.schedule_wakeup(shared_runtime.now() + HEARTBEAT_INTERVAL)
                - shared_runtime.now())
            .max(0.0);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(wait)) => {}
                () = shared_runtime.deadline_moved.notified() => {}
                () = shared_runtime.supervisor().wake.notified() => {}
            }
            let stall_before = self.context.last_stall();
            self.context.beat().await;
            // A standstill from here on is one that the next beat sees: nobody is judged by a time behind it.
            let now = self.context.last_heartbeat();
            if self.context.last_stall() != stall_before {
                self.core_threads.borrow_mut().iter_mut().for_each(|f| f.watch.moved(now));
            }
            self.context.with_dispatcher(|dispatcher, now| dispatcher.advance(now));
            self.watch(now);
            if now >= next_rebalance {
                next_rebalance = now + deal::LOOK;
                self.rebalance(now);
            }
        }
    }

    /// Looks at how even the load is.
    fn rebalance(&self, now: f64) {
        let core_threads = self.core_threads.borrow();
        let seen = |(core, core_threads): (&crate::shared_runtime::CoreSlot, &CoreThread)| Seen {
            open: core.open.load(Ordering::Relaxed),
            calls: core.requests.load(Ordering::Relaxed),
            still: core_threads.thread.is_none()
                || core_threads.watch.look(now, core.pulse.seen()) != Do::Nothing,
        };
        let seen: Vec<_> = self.shared_runtime.core_slots.iter().zip(core_threads.iter()).map(seen).collect();
        for connections_to_close in self.balancer.borrow_mut().look(now, &seen) {
            let core = &self.shared_runtime.core_slots[connections_to_close.core];
            let (connections, most) = (connections_to_close.connections, connections_to_close.most);
            tracing::info!(
                core = connections_to_close.core,
                connections,
                "crowded: clients are asked to connect anew"
            );
            core.max_rate_to_close.store(most.to_bits(), Ordering::Relaxed);
            core.connections_to_close.store(connections, Ordering::Relaxed);
        }
        self.context.close_idle();
        self.shared_runtime.remove_unused_limits();
    }

    /// Looks at each core; does what must be done about it.
    fn watch(&self, now: f64) {
        let mut core_threads = self.core_threads.borrow_mut();
        for (core, thread) in core_threads.iter_mut().enumerate() {
            let pulse = &self.shared_runtime.core_slots[core].pulse;
            if thread.thread.as_ref().is_some_and(JoinHandle::is_finished)
                && !self.shared_runtime.stopping.load(Ordering::Acquire)
            {
                let panicked = thread.thread.take().is_some_and(|t| t.join().is_err());
                tracing::error!(
                    core,
                    panicked,
                    "a core has ended; its calls were answered, another takes its seat"
                );
                self.release_slot(core, thread, now);
            }
            match thread.watch.look(now, pulse.seen()) {
                Do::Nothing => {}
                Do::Answer => self.answer_due_requests(core),
                Do::StandIn => self.take_over_messages(core),
                Do::Replace => {
                    tracing::error!(core, seen = pulse.seen(), "a core stands still; another takes its seat");
                    thread.thread = None;
                    self.release_slot(core, thread, now);
                }
            }
            if thread.thread.is_none() {
                self.take_over_messages(core);
                if thread.watch.due(now) {
                    thread.start(&self.shared_runtime, core, &self.accepting);
                }
            }
        }
    }

    /// Empties a seat: what is left of its last incarnation learns that it is over.
    fn release_slot(&self, core: usize, thread: &mut CoreThread, now: f64) {
        let core_slot = &self.shared_runtime.core_slots[core];
        thread.incarnation = core_slot.pulse.succeed(thread.incarnation, now).unwrap_or(thread.incarnation);
        for (channel, may_have_run) in self.shared_runtime.cancel_requests_of_core(core) {
            channel.respond_from_other_core(local_response(LocalResponse::interrupted(may_have_run)));
        }
        for channel in std::mem::take(&mut *core_slot.channels()).values() {
            channel.answer_unread_and_close(local_response(LocalResponse::interrupted(false)));
            // A last word is still read by its client; what is left was amid its answer.
            if !channel.claim.spoken() {
                channel.close();
            }
        }
        thread.watch.lost(now);
        self.shared_runtime.cores_lost.fetch_add(1, Ordering::Relaxed);
    }

    /// What the cores did, for the log.
    fn log_totals(&self) {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let shared_runtime = &self.shared_runtime;
        let calls: Vec<_> = shared_runtime.core_slots[..shared_runtime.cores()]
            .iter()
            .map(|core| of(&core.requests))
            .collect();
        let (lost, error, responses_for_stalled_cores) = (
            of(&shared_runtime.cores_lost),
            of(&shared_runtime.dispatcher_restarts),
            of(&shared_runtime.responses_for_stalled_cores),
        );
        tracing::info!(
            ?calls,
            lost,
            error,
            responses_for_stalled_cores,
            "requests by core; cores lost; decisions broken; stood in for"
        );
    }

    /// Gives the final answers that fell due on a still core's connections; the pause_until waits for it.
    fn answer_due_requests(&self, core: usize) {
        for message in self.shared_runtime.core_slots[core].mail.take() {
            if let CoreMessage::Respond { local, channel, .. } = message {
                self.respond_from_other_core(&channel, local);
            } else {
                // Behind what came meanwhile: a shot whose call is over by then is kept back at the desk.
                self.shared_runtime.send(core, message);
            }
        }
    }

    fn respond_from_other_core(&self, channel: &ResponseChannel, local: LocalResponse) {
        if channel.respond_from_other_core(local_response(local)) {
            self.shared_runtime.responses_for_stalled_cores.fetch_add(1, Ordering::Relaxed);
            tracing::info!(?local, "answered for a core that stands still");
        }
    }

    /// Does a still core's errands where they can be done by another: final answers are given on its clients'
    /// connections, its shots count as never sent, its orders and probes are sent from here.
    fn take_over_messages(&self, core: usize) {
        // No more of them than connections may be open.
        let mut waiting = Vec::new();
        loop {
            let messages = self.shared_runtime.core_slots[core].mail.take();
            if messages.is_empty() {
                waiting.into_iter().for_each(|connection| self.shared_runtime.send(core, connection));
                return;
            }
            for message in messages {
                match message {
                    CoreMessage::Respond { local, channel, .. } => {
                        self.respond_from_other_core(&channel, local)
                    }
                    CoreMessage::SendAttempt { request, attempt, .. } => {
                        self.context.with_dispatcher(|dispatcher, now| {
                            dispatcher.attempt_ended(
                                now,
                                request,
                                attempt,
                                AttemptResult::from_outcome(Outcome::Unsent),
                            )
                        });
                    }
                    CoreMessage::AcceptConnection(stream, permit) => {
                        let other = self.balancer.borrow_mut().pick();
                        if other != core {
                            self.shared_runtime.send(other, CoreMessage::AcceptConnection(stream, permit));
                        } else if has_unread(&stream) {
                            self.reject_connection(stream, permit);
                        } else {
                            waiting.push(CoreMessage::AcceptConnection(stream, permit));
                        }
                    }
                    message @ (CoreMessage::LoadFunction { .. }
                    | CoreMessage::UnloadFunction { .. }
                    | CoreMessage::HealthCheck { .. }) => {
                        self.context.handle_message(message);
                    }
                    // Its local tasks and idle connections, which nobody else can reach.
                    CoreMessage::CancelAttempt { .. }
                    | CoreMessage::CloseIdleConnection { .. }
                    | CoreMessage::WatchEndpoints
                    | CoreMessage::InjectFault(_) => {}
                }
            }
        }
    }

    /// Answers the call on a new connection that no core takes up.
    fn reject_connection(&self, stream: std::net::TcpStream, permit: ConnectionPermit) {
        match TcpStream::from_std(stream) {
            Ok(stream) => {
                let channel = ResponseChannel::new(stream, self.shared_runtime.now());
                channel.answer_unread_and_close(local_response(LocalResponse::interrupted(false)));
                spawn_local(async move {
                    channel.linger().await;
                    drop(permit);
                });
            }
            Err(e) => tracing::warn!("a client's connection can't be taken up: {e}"),
        }
    }

    /// Ends the cores: those that have nothing left end by themselves, the others let go of what they have.
    async fn join_cores(&self) {
        /// Pulses within which a thread that runs has ended.
        const MAX_HEARTBEATS: u32 = 10;
        let mut threads: Vec<_> =
            self.core_threads.borrow_mut().iter_mut().filter_map(|f| f.thread.take()).collect();
        self.shared_runtime.core_slots.iter().for_each(|core| core.wake.notify_one());
        for n in 0..MAX_HEARTBEATS {
            threads.retain(|t| !t.is_finished());
            if threads.is_empty() {
                return;
            }
            // With connections left nobody waits for longer: their time is up.
            if n == 2 || n == 0 && self.shared_runtime.client_connections.used() > 0 {
                for core in &self.shared_runtime.core_slots[..self.shared_runtime.cores()] {
                    core.pulse.succeed(core.pulse.life(), self.shared_runtime.now());
                }
            }
            tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL)).await;
        }
        tracing::warn!(cores = threads.len(), "stopped with cores that stand still");
    }
}

impl CoreThread {
    fn start(&mut self, shared_runtime: &Arc<SharedRuntime>, core: usize, accepting: &Arc<AtomicBool>) {
        let now = shared_runtime.now();
        // Given time to be seen for the first time.
        shared_runtime.core_slots[core].pulse.beat(self.incarnation, now);
        match core_thread::start(shared_runtime, core, self.incarnation, accepting) {
            Ok(thread) => {
                self.thread = Some(thread);
                self.watch.filled(now);
            }
            Err(e) => {
                tracing::error!(core, "a core can't start: {e}");
                self.watch.lost(now);
            }
        }
    }
}
