//! The keeper: the thread that accepts and deals connections, follows the worker list, keeps the desk's time and
//! watches the cores. It carries no calls; for a core that stands still it gives the answers that fall due.

use crate::answer::{Own, answer_of};
use crate::changing::{self, Feed};
use crate::core;
use crate::errands;
use crate::io_fault::{AcceptFault, Backoff};
use crate::line::{Line, has_unread};
use crate::peering::{self, Link};
use crate::shared_runtime::{ConnectionPermit, CoreMessage, FaultInjection, SharedRuntime};
use crate::shell::{Gateway, PULSE};
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
const LAST_ANSWERS: f64 = 0.2;

/// Runs a gateway on a listener until `stop` comes, and finishes what it took. Must run within a `LocalSet`; the
/// calling thread is the keeper, and the cores are threads beside it.
pub async fn serve(house: GatewayConfig, listener: TcpListener, stop: impl Future<Output = ()>) -> Counters {
    let (_, quiet) = tokio::sync::mpsc::unbounded_channel();
    serve_with_faults(house, listener, Links::default(), stop, quiet).await
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
    house: GatewayConfig,
    listener: TcpListener,
    links: Links,
    stop: impl Future<Output = ()>,
    mut stirs: UnboundedReceiver<(usize, FaultInjection)>,
) -> Counters {
    let keeper = Rc::new(Supervisor::new(house));
    let shared_runtime = keeper.shared_runtime.clone();
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
    let mut time = spawn_local(keeper.clone().keep_time());
    let mut stop = pin!(stop);
    let mut stirred = true;
    let (mut backoff, mut rest, mut rests) = (Backoff::default(), tokio::time::Instant::now(), false);
    loop {
        let room = shared_runtime.guests.used() < shared_runtime.guests.most();
        tokio::select! {
            biased;
            () = &mut stop => break,
            // It ends by a panic alone, and nothing goes on without it.
            _ = &mut time => {
                tracing::error!("the keeper's round broke; it begins anew");
                time = spawn_local(keeper.clone().keep_time());
            }
            stir = stirs.recv(), if stirred => match stir {
                Some((seat, stir)) if seat <= shared_runtime.cores() => shared_runtime.send(seat, CoreMessage::FaultInjection(stir)),
                Some((seat, _)) => tracing::warn!(seat, "there is no such core to stir"),
                None => stirred = false,
            },
            accepted = listener.accept(), if room && !rests => {
                match accepted.and_then(|(stream, _)| stream.into_std()) {
                    Ok(stream) => {
                        backoff.succeeded();
                        keeper.deal(stream);
                    }
                    Err(e) => {
                        rest = tokio::time::Instant::now() + pause_after(&mut backoff, &e);
                        rests = true;
                    }
                }
            }
            () = tokio::time::sleep_until(rest), if rests => rests = false,
            () = shared_runtime.fewer.notified(), if !room => {}
        }
    }
    shared_runtime.stopping.store(true, Ordering::Release);
    shared_runtime.core_slots.iter().for_each(|seat| seat.bell.notify_one());
    tracing::info!(
        open = shared_runtime.query_dispatcher(|d| d.open_requests()),
        connections = shared_runtime.guests.used(),
        "stopping"
    );
    let longest =
        shared_runtime.config.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max) + LAST_ANSWERS;
    let _ = tokio::time::timeout(Duration::from_secs_f64(longest), async {
        tokio::select! {
            () = keeper.clone().wind_up(listener) => {}
            () = async { loop { let _ = (&mut time).await; time = spawn_local(keeper.clone().keep_time()); } } => {}
        }
    })
    .await;
    keeper.end().await;
    time.abort();
    // Each ends within a look of its own after the stop was told.
    if changing.is_some_and(|thread| thread.join().is_err()) {
        tracing::error!("following changes broke");
    }
    if peering.is_some_and(|thread| thread.join().is_err()) {
        tracing::error!("the link to the other gateways broke");
    }
    keeper.account();
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
struct Filled {
    thread: Option<JoinHandle<()>>,
    life: u32,
    watch: Watch,
}

struct Supervisor {
    shared_runtime: Arc<SharedRuntime>,
    gateway: Rc<Gateway>,
    filled: RefCell<Vec<Filled>>,
    deal: RefCell<Deal>,
    /// Whether connections may still be dealt to cores, which last until then.
    accepting: Arc<AtomicBool>,
}

impl Supervisor {
    fn new(house: GatewayConfig) -> Self {
        let shared_runtime = SharedRuntime::new(house);
        let gateway = Gateway::new(shared_runtime.clone(), shared_runtime.cores(), 0, errands::carry_out);
        match &shared_runtime.config.source {
            WorkerSource::List(entries) => shared_runtime.update_endpoints(Some(gateway.seat), true, entries),
            // Says what the desk had to say at its start: that the list is to be followed.
            WorkerSource::Registry(_) => shared_runtime.with_dispatcher(Some(gateway.seat), |_, _| ()),
        }
        gateway.collect();
        let now = shared_runtime.now();
        let accepting = Arc::new(AtomicBool::new(true));
        let filled = (0..shared_runtime.cores()).map(|seat| {
            let mut filled = Filled { thread: None, life: 0, watch: Watch::new(now) };
            filled.fill(&shared_runtime, seat, &accepting);
            filled
        });
        let filled = RefCell::new(filled.collect());
        let deal = RefCell::new(Deal::new(shared_runtime.cores(), now));
        Self { shared_runtime, gateway, filled, deal, accepting }
    }

    /// Gives a connection to a core.
    fn deal(&self, stream: std::net::TcpStream) {
        if self.shared_runtime.guests.take(1) {
            let seat = self.deal.borrow_mut().pick();
            self.shared_runtime
                .send(seat, CoreMessage::Guest(stream, ConnectionPermit(self.shared_runtime.clone())));
        }
    }

    /// Waits until the last connection has ended.
    async fn wind_up(self: Rc<Self>, listener: TcpListener) {
        self.deal_waiting(&listener).await;
        drop(listener);
        self.accepting.store(false, Ordering::Release);
        self.shared_runtime.core_slots.iter().for_each(|seat| seat.bell.notify_one());
        while self.shared_runtime.guests.used() > 0 {
            self.shared_runtime.fewer.notified().await;
        }
    }

    /// Deals the connections that wait to be accepted: the kernel would reset them with the listener, and the calls
    /// that lie on them unread. Asks the socket itself, as the runtime may not have heard of them.
    async fn deal_waiting(&self, listener: &TcpListener) {
        let mut backoff = Backoff::default();
        for _ in 0..ACCEPT_QUEUE_LENGTH {
            while self.shared_runtime.guests.used() >= self.shared_runtime.guests.most() {
                self.shared_runtime.fewer.notified().await;
            }
            let accepted = SockRef::from(listener).accept();
            match accepted.and_then(|(socket, _)| socket.set_nonblocking(true).map(|()| socket)) {
                Ok(socket) => {
                    backoff.succeeded();
                    self.deal(socket.into());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => tokio::time::sleep(pause_after(&mut backoff, &e)).await,
            }
        }
    }

    /// Lets the desk's timers fire and looks after the cores. Runs for as long as the gateway.
    async fn keep_time(self: Rc<Self>) {
        let shared_runtime = &self.shared_runtime;
        let mut look = 0.0;
        loop {
            let wait = (shared_runtime.arm(shared_runtime.now() + PULSE) - shared_runtime.now()).max(0.0);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_secs_f64(wait)) => {}
                () = shared_runtime.earlier.notified() => {}
                () = shared_runtime.keeper().bell.notified() => {}
            }
            let stood = self.gateway.stood();
            self.gateway.beat().await;
            // A standstill from here on is one that the next beat sees: nobody is judged by a time behind it.
            let now = self.gateway.seen();
            if self.gateway.stood() != stood {
                self.filled.borrow_mut().iter_mut().for_each(|f| f.watch.moved(now));
            }
            self.gateway.tell(|desk, now| desk.advance(now));
            self.watch(now);
            if now >= look {
                look = now + deal::LOOK;
                self.look(now);
            }
        }
    }

    /// Looks at how even the load is.
    fn look(&self, now: f64) {
        let filled = self.filled.borrow();
        let seen = |(seat, filled): (&crate::shared_runtime::CoreSlot, &Filled)| Seen {
            open: seat.open.load(Ordering::Relaxed),
            calls: seat.calls.load(Ordering::Relaxed),
            still: filled.thread.is_none() || filled.watch.look(now, seat.pulse.seen()) != Do::Nothing,
        };
        let seen: Vec<_> = self.shared_runtime.core_slots.iter().zip(filled.iter()).map(seen).collect();
        for away in self.deal.borrow_mut().look(now, &seen) {
            let seat = &self.shared_runtime.core_slots[away.core];
            let (connections, most) = (away.connections, away.most);
            tracing::info!(seat = away.core, connections, "crowded: clients are asked to connect anew");
            seat.away_most.store(most.to_bits(), Ordering::Relaxed);
            seat.away.store(connections, Ordering::Relaxed);
        }
        self.gateway.close_idle();
        self.shared_runtime.clear_rooms();
    }

    /// Looks at each core; does what must be done about it.
    fn watch(&self, now: f64) {
        let mut filled = self.filled.borrow_mut();
        for (seat, core) in filled.iter_mut().enumerate() {
            let pulse = &self.shared_runtime.core_slots[seat].pulse;
            if core.thread.as_ref().is_some_and(JoinHandle::is_finished)
                && !self.shared_runtime.stopping.load(Ordering::Acquire)
            {
                let panicked = core.thread.take().is_some_and(|t| t.join().is_err());
                tracing::error!(
                    seat,
                    panicked,
                    "a core has ended; its calls were answered, another takes its seat"
                );
                self.vacate(seat, core, now);
            }
            match core.watch.look(now, pulse.seen()) {
                Do::Nothing => {}
                Do::Answer => self.answer_for(seat),
                Do::StandIn => self.stand_in(seat),
                Do::Replace => {
                    tracing::error!(seat, seen = pulse.seen(), "a core stands still; another takes its seat");
                    core.thread = None;
                    self.vacate(seat, core, now);
                }
            }
            if core.thread.is_none() {
                self.stand_in(seat);
                if core.watch.due(now) {
                    core.fill(&self.shared_runtime, seat, &self.accepting);
                }
            }
        }
    }

    /// Empties a seat: what is left of its last life learns that it is over.
    fn vacate(&self, seat: usize, core: &mut Filled, now: f64) {
        let place = &self.shared_runtime.core_slots[seat];
        core.life = place.pulse.succeed(core.life, now).unwrap_or(core.life);
        for (line, begun) in self.shared_runtime.abandon(seat) {
            line.last_word(answer_of(Own::lost(begun)));
        }
        for line in std::mem::take(&mut *place.lines()).values() {
            line.farewell(answer_of(Own::lost(false)));
            // A last word is still read by its client; what is left was amid its answer.
            if !line.claim.spoken() {
                line.close();
            }
        }
        core.watch.lost(now);
        self.shared_runtime.lost.fetch_add(1, Ordering::Relaxed);
    }

    /// What the cores did, for the log.
    fn account(&self) {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let shared_runtime = &self.shared_runtime;
        let calls: Vec<_> =
            shared_runtime.core_slots[..shared_runtime.cores()].iter().map(|seat| of(&seat.calls)).collect();
        let (lost, broken, stood_in) =
            (of(&shared_runtime.lost), of(&shared_runtime.broken), of(&shared_runtime.stood_in));
        tracing::info!(
            ?calls,
            lost,
            broken,
            stood_in,
            "requests by core; cores lost; decisions broken; stood in for"
        );
    }

    /// Gives the final answers that fell due on a still core's connections; the rest waits for it.
    fn answer_for(&self, seat: usize) {
        for errand in self.shared_runtime.core_slots[seat].mail.take() {
            if let CoreMessage::Answer { own, line, .. } = errand {
                self.last_word(&line, own);
            } else {
                // Behind what came meanwhile: a shot whose call is over by then is kept back at the desk.
                self.shared_runtime.send(seat, errand);
            }
        }
    }

    fn last_word(&self, line: &Line, own: Own) {
        if line.last_word(answer_of(own)) {
            self.shared_runtime.stood_in.fetch_add(1, Ordering::Relaxed);
            tracing::info!(?own, "answered for a core that stands still");
        }
    }

    /// Does a still core's errands where they can be done by another: final answers are given on its clients'
    /// connections, its shots count as never sent, its orders and probes are sent from here.
    fn stand_in(&self, seat: usize) {
        // No more of them than connections may be open.
        let mut waiting = Vec::new();
        loop {
            let errands = self.shared_runtime.core_slots[seat].mail.take();
            if errands.is_empty() {
                waiting.into_iter().for_each(|guest| self.shared_runtime.send(seat, guest));
                return;
            }
            for errand in errands {
                match errand {
                    CoreMessage::Answer { own, line, .. } => self.last_word(&line, own),
                    CoreMessage::Shoot { tag, shot, .. } => {
                        self.gateway.tell(|desk, now| {
                            desk.attempt_ended(now, tag, shot, AttemptResult::from_outcome(Outcome::Unsent))
                        });
                    }
                    CoreMessage::Guest(stream, ticket) => {
                        let other = self.deal.borrow_mut().pick();
                        if other != seat {
                            self.shared_runtime.send(other, CoreMessage::Guest(stream, ticket));
                        } else if has_unread(&stream) {
                            self.reject(stream, ticket);
                        } else {
                            waiting.push(CoreMessage::Guest(stream, ticket));
                        }
                    }
                    errand @ (CoreMessage::Hold { .. }
                    | CoreMessage::Unload { .. }
                    | CoreMessage::Probe { .. }) => {
                        self.gateway.carry_out(errand);
                    }
                    // Its own tasks and idle connections, which nobody else can reach.
                    CoreMessage::Drop { .. }
                    | CoreMessage::Spare { .. }
                    | CoreMessage::Follow
                    | CoreMessage::FaultInjection(_) => {}
                }
            }
        }
    }

    /// Answers the call on a new connection that no core takes up.
    fn reject(&self, stream: std::net::TcpStream, ticket: ConnectionPermit) {
        match TcpStream::from_std(stream) {
            Ok(stream) => {
                let line = Line::new(stream, self.shared_runtime.now());
                line.farewell(answer_of(Own::lost(false)));
                spawn_local(async move {
                    line.linger().await;
                    drop(ticket);
                });
            }
            Err(e) => tracing::warn!("a client's connection can't be taken up: {e}"),
        }
    }

    /// Ends the cores: those that have nothing left end by themselves, the others let go of what they have.
    async fn end(&self) {
        /// Pulses within which a thread that runs has ended.
        const PULSES: u32 = 10;
        let mut threads: Vec<_> =
            self.filled.borrow_mut().iter_mut().filter_map(|f| f.thread.take()).collect();
        self.shared_runtime.core_slots.iter().for_each(|seat| seat.bell.notify_one());
        for n in 0..PULSES {
            threads.retain(|t| !t.is_finished());
            if threads.is_empty() {
                return;
            }
            // With connections left nobody waits for longer: their time is up.
            if n == 2 || n == 0 && self.shared_runtime.guests.used() > 0 {
                for seat in &self.shared_runtime.core_slots[..self.shared_runtime.cores()] {
                    seat.pulse.succeed(seat.pulse.life(), self.shared_runtime.now());
                }
            }
            tokio::time::sleep(Duration::from_secs_f64(PULSE)).await;
        }
        tracing::warn!(cores = threads.len(), "stopped with cores that stand still");
    }
}

impl Filled {
    fn fill(&mut self, shared_runtime: &Arc<SharedRuntime>, seat: usize, accepting: &Arc<AtomicBool>) {
        let now = shared_runtime.now();
        // Given time to be seen for the first time.
        shared_runtime.core_slots[seat].pulse.beat(self.life, now);
        match core::start(shared_runtime, seat, self.life, accepting) {
            Ok(thread) => {
                self.thread = Some(thread);
                self.watch.filled(now);
            }
            Err(e) => {
                tracing::error!(seat, "a core can't start: {e}");
                self.watch.lost(now);
            }
        }
    }
}
