//! The supervisor runs the dispatcher's timers, balances client connections over the cores, and monitors the cores'
//! heartbeats. It serves no requests itself, but sends due responses on behalf of a stalled core, and replaces a core
//! that has ended or stays stalled.

use crate::core_context::{CoreContext, HEARTBEAT_INTERVAL};
use crate::core_message::CoreMessage;
use crate::core_thread::CoreThread;
use crate::message_handler;
use crate::response::{LocalResponse, local_response};
use crate::shared_runtime::{CancelledRequest, SharedRuntime};
use crate::stalled_core::StalledCore;
use milletpath_config::{GatewayConfig, WorkerSource};
use milletpath_multicore::connection_balancer::{ConnectionBalancer, CoreLoad, REBALANCE_INTERVAL};
use milletpath_multicore::watchdog::CoreAction;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Number of heartbeat intervals to wait for core threads to end; within this time every running thread ends.
const MAX_JOIN_HEARTBEATS: u32 = 10;

/// Number of heartbeat intervals after which cores are ended even if they still have connections.
const GRACE_HEARTBEATS: u32 = 2;

/// Supervises the cores of one gateway.
pub struct Supervisor {
    shared_runtime: Arc<SharedRuntime>,
    context: Rc<CoreContext>,
    core_threads: RefCell<Vec<CoreThread>>,
    balancer: RefCell<ConnectionBalancer>,
    /// Whether connections may still be assigned. The cores do not end while this is set.
    accepting: Arc<AtomicBool>,
}

impl Supervisor {
    /// Starts the cores and the endpoint watch. Must run within a `LocalSet`.
    pub fn new(config: GatewayConfig) -> Self {
        let shared_runtime = SharedRuntime::new(config);
        let supervisor = shared_runtime.cores();
        let context = CoreContext::new(shared_runtime.clone(), supervisor, 0, message_handler::handle);
        match &shared_runtime.config.source {
            WorkerSource::List(entries) => shared_runtime.update_endpoints(Some(supervisor), true, entries),
            // Posts the dispatcher's first action, which starts the endpoint watch.
            WorkerSource::Registry(_) => shared_runtime.with_dispatcher(Some(supervisor), |_, _| ()),
        }
        context.process_messages();
        let now = shared_runtime.now();
        let accepting = Arc::new(AtomicBool::new(true));
        let start = |core| CoreThread::start(&shared_runtime, core, &accepting);
        let core_threads = RefCell::new((0..shared_runtime.cores()).map(start).collect());
        let balancer = RefCell::new(ConnectionBalancer::new(shared_runtime.cores(), now));
        Self { shared_runtime, context, core_threads, balancer, accepting }
    }

    /// The state shared by all cores.
    pub fn shared_runtime(&self) -> &Arc<SharedRuntime> {
        &self.shared_runtime
    }

    /// Assigns a client connection to a core, or closes it if the limit on connections is reached.
    pub fn assign(&self, stream: TcpStream) {
        if let Some(permit) = self.shared_runtime.client_connections.reserve() {
            let core = self.balancer.borrow_mut().pick_core();
            self.shared_runtime.send(core, CoreMessage::AcceptConnection(stream, permit));
        }
    }

    /// Begins the shutdown: readiness checks fail from now on, and connections end after their open request.
    pub fn begin_shutdown(&self) {
        self.shared_runtime.stopping.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Lets cores without connections end, because no connection is assigned any more.
    pub fn stop_accepting(&self) {
        self.accepting.store(false, Ordering::Release);
        self.wake_all();
    }

    fn wake_all(&self) {
        self.shared_runtime.core_slots.iter().for_each(|slot| slot.wake.notify_one());
    }

    /// Runs the dispatcher's timers and monitors the cores, forever.
    async fn run(self: Rc<Self>) {
        let mut next_rebalance = 0.0;
        loop {
            self.wait_for_deadline().await;
            let stall_before = self.context.last_stall();
            self.context.beat().await;
            // A stall after this point is detected at the next heartbeat. Cores are evaluated at the time of the last
            // heartbeat, so that such a stall is not attributed to them.
            let now = self.context.last_heartbeat();
            if self.context.last_stall() != stall_before {
                self.core_threads.borrow_mut().iter_mut().for_each(|thread| thread.watchdog.resume(now));
            }
            self.context.with_dispatcher(|dispatcher, now| dispatcher.advance(now));
            self.watch_cores(now);
            if now >= next_rebalance {
                next_rebalance = now + REBALANCE_INTERVAL;
                self.rebalance(now);
                self.context.close_idle();
                self.shared_runtime.remove_unused_limits();
            }
        }
    }

    async fn wait_for_deadline(&self) {
        let shared_runtime = &self.shared_runtime;
        let deadline = shared_runtime.schedule_wakeup(shared_runtime.now() + HEARTBEAT_INTERVAL);
        let wait = (deadline - shared_runtime.now()).max(0.0);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(wait)) => {}
            () = shared_runtime.deadline_moved.notified() => {}
            () = shared_runtime.supervisor().wake.notified() => {}
        }
    }

    /// Tells overloaded cores to close some of their client connections.
    fn rebalance(&self, now: f64) {
        let core_threads = self.core_threads.borrow();
        let slots = &self.shared_runtime.core_slots;
        let loads = slots.iter().zip(core_threads.iter()).map(|(slot, thread)| CoreLoad {
            connections: slot.open_connections.load(Ordering::Relaxed),
            requests: slot.requests.load(Ordering::Relaxed),
            stalled: !thread.is_started()
                || thread.watchdog.check(now, slot.heartbeat.last_beat()) != CoreAction::Nothing,
        });
        let loads: Vec<_> = loads.collect();
        for overload in self.balancer.borrow_mut().rebalance(now, &loads) {
            let (core, connections) = (overload.core, overload.connections);
            tracing::info!(core, connections, "core overloaded; asking clients to reconnect");
            slots[core].request_closing(connections, overload.max_request_rate);
        }
    }

    /// Checks each core's heartbeat, acts on behalf of stalled cores and replaces lost ones.
    fn watch_cores(&self, now: f64) {
        for (core, thread) in self.core_threads.borrow_mut().iter_mut().enumerate() {
            if !self.shared_runtime.stopping.load(Ordering::Acquire)
                && let Some(panicked) = thread.take_finished()
            {
                tracing::error!(core, panicked, "core thread ended; answering its requests and replacing it");
                self.release_slot(core, thread, now);
            }
            let last_heartbeat = self.shared_runtime.core_slots[core].heartbeat.last_beat();
            match thread.watchdog.check(now, last_heartbeat) {
                CoreAction::Nothing => {}
                CoreAction::SendDueResponses => self.stalled_core(core).send_due_responses(),
                CoreAction::TakeOverMessages => self.stalled_core(core).take_over_messages(),
                CoreAction::Replace => {
                    tracing::error!(core, last_heartbeat, "core thread stalled for too long; replacing it");
                    thread.abandon();
                    self.release_slot(core, thread, now);
                }
            }
            if !thread.is_started() {
                self.stalled_core(core).take_over_messages();
                if thread.watchdog.may_restart(now) {
                    thread.restart(&self.shared_runtime, core, &self.accepting);
                }
            }
        }
    }

    fn stalled_core(&self, core: usize) -> StalledCore<'_> {
        StalledCore { core, context: &self.context, balancer: &self.balancer }
    }

    /// Ends a core's incarnation: its heartbeats are refused from now on, and its clients are answered.
    fn release_slot(&self, core: usize, thread: &mut CoreThread, now: f64) {
        let slot = &self.shared_runtime.core_slots[core];
        thread.incarnation =
            slot.heartbeat.begin_next_incarnation(thread.incarnation, now).unwrap_or(thread.incarnation);
        for CancelledRequest { channel, may_have_run } in self.shared_runtime.cancel_requests_of_core(core) {
            channel.respond_from_other_core(local_response(LocalResponse::interrupted(may_have_run)));
        }
        for channel in std::mem::take(&mut *slot.channels()).values() {
            channel.answer_unread_and_close(local_response(LocalResponse::interrupted(false)));
            // A response that was sent from this thread must still be read by the client. Any other connection was
            // interrupted while its own core was writing a response.
            if !channel.claim.is_taken_over() {
                channel.close();
            }
        }
        thread.watchdog.core_lost(now);
        self.shared_runtime.faults.cores_lost.fetch_add(1, Ordering::Relaxed);
    }

    /// Logs the totals of all cores since the start.
    pub fn log_totals(&self) {
        let value = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let shared_runtime = &self.shared_runtime;
        let slots = &shared_runtime.core_slots[..shared_runtime.cores()];
        let requests: Vec<_> = slots.iter().map(|slot| value(&slot.requests)).collect();
        let faults = &shared_runtime.faults;
        tracing::info!(
            ?requests,
            cores_lost = value(&faults.cores_lost),
            dispatcher_restarts = value(&faults.dispatcher_restarts),
            responses_for_stalled_cores = value(&faults.responses_for_stalled_cores),
            "totals of all cores"
        );
    }

    /// Waits until the cores' threads have ended, and ends those that still have connections after a grace period.
    pub async fn join_cores(&self) {
        let mut threads: Vec<_> =
            self.core_threads.borrow_mut().iter_mut().filter_map(CoreThread::take_thread).collect();
        self.wake_all();
        for heartbeat in 0..MAX_JOIN_HEARTBEATS {
            for finished in threads.extract_if(.., |thread| thread.is_finished()) {
                if finished.join().is_err() {
                    tracing::error!("a core thread panicked while the gateway stopped");
                }
            }
            if threads.is_empty() {
                return;
            }
            let connections_left = heartbeat == 0 && self.shared_runtime.client_connections.open_count() > 0;
            if heartbeat == GRACE_HEARTBEATS || connections_left {
                self.end_incarnations();
            }
            tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL)).await;
        }
        tracing::warn!(cores = threads.len(), "stopping with stalled core threads");
    }

    /// Makes all core threads end at their next heartbeat, regardless of open connections.
    fn end_incarnations(&self) {
        for slot in &self.shared_runtime.core_slots[..self.shared_runtime.cores()] {
            slot.heartbeat.begin_next_incarnation(slot.heartbeat.incarnation(), self.shared_runtime.now());
        }
    }
}

/// The supervisor's task, which is restarted if it panics. Dropping this aborts the task.
pub struct SupervisorTask {
    supervisor: Rc<Supervisor>,
    task: JoinHandle<()>,
}

impl SupervisorTask {
    /// Starts the task. Must run within a `LocalSet`.
    pub fn start(supervisor: Rc<Supervisor>) -> Self {
        Self { task: spawn_local(supervisor.clone().run()), supervisor }
    }

    /// Restarts the task whenever it panics; never completes.
    pub async fn keep_running(&mut self) {
        loop {
            let _ = (&mut self.task).await;
            tracing::error!("supervisor panicked; restarting it");
            self.task = spawn_local(self.supervisor.clone().run());
        }
    }
}

impl Drop for SupervisorTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}
