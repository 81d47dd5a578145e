//! All that the router on the platform has: the desk, the clients, the links to workers. Sockets are read and
//! written here without waiting; the tasks around it only wait until a socket or a time is ready.

use crate::door::{Client, Entrance};
use crate::keeping::Keeping;
use crate::link::Link;
use crate::room::{Holds, Room};
use crate::shutdown::{Liveness, Shutdown};
use crate::sockets::{Sockets, SystemSockets};
use milletpath_dispatcher::dispatcher::{Action, Dispatcher, RequestId};
use milletpath_platform_protocol::bootstrap::{self, Bootstrap};
use milletpath_platform_protocol::lines;
use milletpath_process_environment::signals::{SIGHUP, SIGTERM, SignalReceiver};
use milletpath_process_environment::wall_clock::unix_time;
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
pub const TURN: usize = 64 << 10;

/// Who asked for an activation.
pub struct Asker {
    /// The client's place and serial number, and the number of its line.
    pub client: (usize, u64),
    pub number: u64,
    pub id: u64,
    pub profile: usize,
    pub mark: String,
    pub body: Vec<u8>,
    /// What these take of the room for buffers.
    pub _holds: Holds,
    /// When it came in, and when its last shot was begun.
    pub came: f64,
    pub begun: f64,
    /// The links that its shots went to.
    pub at: Vec<usize>,
}

pub type Shared = Rc<RefCell<Station>>;

pub struct Station {
    pub me: Weak<RefCell<Station>>,
    pub desk: Dispatcher<Asker>,
    pub profiles: Vec<String>,
    pub groups: Vec<String>,
    pub clients: Slab<Client>,
    /// A connection that was accepted and waits for a place among them.
    pub parked: Option<TcpStream>,
    pub links: Slab<Link>,
    /// The links to each worker.
    pub reach: BTreeMap<usize, Vec<usize>>,
    /// Activations in hand, by their ids.
    pub ids: BTreeSet<u64>,
    pub keeping: Keeping,
    pub room: Rc<Room>,
    pub shutdown: Shutdown,
    liveness: Liveness,
    pub connect: f64,
    pub reports: bool,
    pub cancels: bool,
    /// The longest advice to come back, for what the desk has no room for.
    pub come_back: Option<f64>,
    pub scratch: Vec<u8>,
    /// Clients whose sockets are read before the link beside them is written on.
    pub unread: Vec<(usize, usize)>,
    pub serial: u64,
    /// The system calls on connections to workers.
    pub sockets: Rc<dyn Sockets>,
    begun: Instant,
    /// The time for which the time keeper is set, and how it hears of an earlier one.
    armed: f64,
    pub alarm: Rc<Notify>,
}

impl Station {
    fn new(told: &Bootstrap) -> Shared {
        let begun = Instant::now();
        let house = &told.config;
        let patience = house.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max);
        let mut desk = Dispatcher::new(house, unix_time());
        for bootstrap::WorkerList { complete: whole, entries } in &told.worker_lists {
            desk.update_endpoints(0.0, *whole, entries);
        }
        Rc::new_cyclic(|me| {
            RefCell::new(Self {
                me: me.clone(),
                desk,
                profiles: house.profiles.iter().map(|p| p.name.clone()).collect(),
                groups: house.clients.clone(),
                clients: Slab::new(),
                parked: None,
                links: Slab::new(),
                reach: BTreeMap::new(),
                ids: BTreeSet::new(),
                keeping: Keeping::new(
                    told.descriptors,
                    told.streams_per_connection,
                    house.limits.idle_timeout,
                    house.limits.connect_timeout,
                    patience,
                ),
                room: Room::new(told.memory_bytes),
                shutdown: Shutdown::new(patience),
                liveness: Liveness::default(),
                connect: house.limits.connect_timeout,
                reports: told.load_reports,
                cancels: house.policy.cancels,
                come_back: house.policy.come_back,
                scratch: vec![0; TURN],
                unread: Vec::new(),
                serial: 0,
                sockets: Rc::new(SystemSockets),
                begun,
                armed: f64::INFINITY,
                alarm: Rc::new(Notify::new()),
            })
        })
    }

    pub fn now(&self) -> f64 {
        let now = self.begun.elapsed().as_secs_f64();
        self.liveness.note(now);
        now
    }

    /// Does what the desk wants done, until it wants no more.
    pub fn carry_out(&mut self) {
        loop {
            self.carry_out_acts();
            let Some((client, link)) = self.unread.pop() else { break };
            self.look_into(client);
            self.carry_out_acts();
            self.link_writes(link);
        }
        if self.desk.next_deadline().is_some_and(|at| at < self.armed) {
            self.alarm.notify_one();
        }
    }

    fn carry_out_acts(&mut self) {
        while let Some(act) = self.desk.next_action() {
            match act {
                Action::SendAttempt { request: tag, attempt: shot, worker } => self.shoot(tag, shot, worker),
                Action::CancelAttempt { request: tag, attempt: shot } => self.drop_shot(tag, shot),
                Action::Reject { request: tag, retry_after: come_back } => {
                    self.answer(tag, |out, number| lines::write_rejected(out, number, come_back));
                }
                Action::Fail { request: tag, .. } => self.answer(tag, lines::write_failed),
                Action::LoadFunction { load_request: order, worker, function, instances: copies } => {
                    self.hold(order, worker, function, copies)
                }
                Action::UnloadFunction { worker, function } => self.unload(worker, &function),
                Action::HealthCheck { worker, serial } => self.probe(worker, serial),
                // The bulletin is followed in any case.
                Action::WatchEndpoints => {}
            }
        }
    }

    /// Gives the client its final answer.
    pub fn answer(&mut self, tag: RequestId, write: impl FnOnce(&mut Vec<u8>, u64)) {
        let Some(asker) = self.desk.context(tag) else { return };
        let ((key, serial), number) = (asker.client, asker.number);
        self.ids.remove(&asker.id);
        let Some(client) = self.clients.get_mut(key).filter(|c| c.serial == serial) else { return };
        client.open.retain(|&(n, _)| n != number);
        write(&mut client.out.bytes, number);
        self.client_writes(key);
    }

    /// Reads one fair turn from a socket and passes it on, or why there will be no more. Whoever calls has looked up
    /// whose socket it is, and carries out what comes of it: the room to read into is given back on every way out of
    /// here.
    pub fn read(&mut self, stream: &TcpStream, hear: impl FnOnce(&mut Self, Result<&[u8], String>)) {
        let mut scratch = std::mem::take(&mut self.scratch);
        match stream.try_read(&mut scratch) {
            Ok(0) => hear(self, Err("it was closed".into())),
            Ok(n) => hear(self, Ok(&scratch[..n])),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => hear(self, Err(e.to_string())),
        }
        self.scratch = scratch;
    }

    /// Time has passed.
    fn turn(&mut self) {
        let now = self.now();
        self.desk.advance(now);
        self.carry_out();
    }

    /// Closes what has been idle or silent for too long.
    fn tidy(&mut self) {
        let now = self.now();
        self.tidy_clients(now);
        self.tidy_links(now);
        self.carry_out();
    }
}

async fn keep_time(station: Shared) {
    loop {
        let (next, alarm) = {
            let mut s = station.borrow_mut();
            s.turn();
            let next = s.desk.next_deadline();
            s.armed = next.unwrap_or(f64::INFINITY);
            (next.map(|at| s.begun + Duration::from_secs_f64(at.max(0.0))), s.alarm.clone())
        };
        match next {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at) => {}
                () = alarm.notified() => {}
            },
            None => alarm.notified().await,
        }
    }
}

async fn keep_tidy(station: Shared) {
    /// Seconds between two looks: short against the times that are kept.
    const LOOK: Duration = Duration::from_millis(200);
    loop {
        tokio::time::sleep(LOOK).await;
        station.borrow_mut().tidy();
    }
}

/// Runs the router until it is asked to end. `file` is what it starts from, `address` where it listens instead of
/// where the file says.
pub async fn run(file: &Path, address: Option<SocketAddr>) -> ExitCode {
    // Before all else: a signal at any time after this ends nothing by itself.
    let signals = SignalReceiver::new(SIGHUP).and_then(|h| SignalReceiver::new(SIGTERM).map(|t| (h, t)));
    let (mut hangup, mut terminate) = match signals {
        Ok(signals) => signals,
        Err(e) => {
            tracing::error!("signals can't be heard: {e}");
            return ExitCode::FAILURE;
        }
    };
    let read = std::fs::read(file).map_err(|e| e.to_string());
    let read =
        read.and_then(|text| bootstrap::read(&text).map(|told| (told, text)).map_err(|e| e.to_string()));
    let (mut told, first) = match read {
        Ok((told, text)) => (told, Rc::<[u8]>::from(text)),
        Err(e) => {
            tracing::error!("{}: {e}; LB_CONFIG must name the platform's file", file.display());
            return ExitCode::from(2);
        }
    };
    if let Ok((granted, _)) = getrlimit(Resource::RLIMIT_NOFILE)
        && granted < told.descriptors as u64
    {
        tracing::warn!(
            granted,
            stated = told.descriptors,
            "the system grants fewer descriptors than the file states"
        );
        told.descriptors = granted as usize;
    }
    let address = address.unwrap_or(told.config.listen);
    let listener = match milletpath_process_environment::listener::listen(address) {
        Ok(listener) => listener,
        Err(e) => {
            tracing::error!("can't listen on {address}: {e}");
            return ExitCode::FAILURE;
        }
    };
    tracing::debug!(charter = ?told.config.policy, bounds = ?told.config.limits, "what the platform states");
    let address = listener.local_addr().unwrap_or(address);
    let station = Station::new(&told);
    station.borrow_mut().carry_out();
    tracing::info!(%address, descriptors = told.descriptors, last = told.last_event, "the router listens");
    let (moved, bulletin) = watch::channel(told.discovery);
    spawn_local(crate::bulletin::follow(station.clone(), bulletin, told.last_event));
    spawn_local(keep_time(station.clone()));
    spawn_local(keep_tidy(station.clone()));
    let mut entrance = Some(Entrance::open(station.clone(), listener));
    loop {
        /// Seconds between two steps of a shutdown.
        const STEP: Duration = Duration::from_millis(20);
        let begun = station.borrow().shutdown.begun();
        tokio::select! {
            () = hangup.next() => {
                spawn_local(read_again(file.to_owned(), first.clone(), moved.clone()));
            }
            () = terminate.next() => {
                tracing::info!("asked to end: what still comes is taken, what was taken is answered");
                let mut s = station.borrow_mut();
                let now = s.now();
                let earliest = s.liveness.earliest(now);
                s.shutdown.begin(now, earliest);
            }
            () = tokio::time::sleep(STEP), if begun => {
                if station.borrow_mut().step_shutdown(&mut entrance) {
                    tracing::info!("the router exits");
                    return ExitCode::SUCCESS;
                }
            }
        }
    }
}

/// Reads the file again, whole or not at all; one that is caught half-replaced is tried again shortly.
async fn read_again(file: std::path::PathBuf, first: Rc<[u8]>, moved: watch::Sender<SocketAddr>) {
    /// Tries soon, as the file may be caught half-replaced, and then for as long as that may take where descriptors or
    /// a disk are wanted for: 4 s after the signal what the new address tells counts as told.
    const TRIES: u32 = 60;
    const PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
    let [mut pause, longest] = PAUSES;
    for n in 0..TRIES {
        let read = std::fs::read(&file).map_err(|e| e.to_string());
        match read.and_then(|text| bootstrap::reread(&text, &first).map_err(|e| e.to_string())) {
            Ok(bootstrap::Reread { discovery: bulletin, ignored_changes: other }) => {
                tracing::info!(%bulletin, "the file was read again");
                if !other.is_empty() {
                    tracing::warn!(
                        "the file also says otherwise: {}; it holds from the next start",
                        other.join(", ")
                    );
                }
                // A stream that stands is not begun anew for the same address.
                moved.send_if_modified(|at| std::mem::replace(at, bulletin) != bulletin);
                return;
            }
            Err(e) => tracing::warn!("{}: {e}; what it said before stands", file.display()),
        }
        tokio::time::sleep(pause).await;
        pause = if n < TRIES / 3 { pause } else { (2 * pause).min(longest) };
    }
}

#[cfg(test)]
pub mod tests;
