//! Changes of configuration, as they come: a thread with one UDP socket around the follower of
//! `milletpath-config-log`. What is in force reaches the desk through the office, a batch at once, and no call
//! ever waits for the network. The last known state is kept in a file, and is in force from the first call on
//! after a restart, whoever is silent.

mod state_file;

use crate::datagram_receiver::{DatagramReceiver, is_power_of_ten};
use crate::shared_runtime::SharedRuntime;
use crate::telling::{Telling, cpu};
use milletpath_config::{ConfigChange, ConfigLogConfig, Subject};
use milletpath_config_log::message::{self, Key, LARGEST, LONGEST_WHY, Message};
use milletpath_config_log::{Entry, Follower, FollowerView, Terms};
use milletpath_storage::{DiskFolder, survive_file_size_limit};
use serde::{Deserialize, Serialize};
use state_file::{StateFile, StateId};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

/// A socket over which changes come, open and not yet read.
pub struct Feed {
    socket: UdpSocket,
    key: Key,
}

/// The key of control machines, gateways and authors, from the file that the charter names.
pub fn control_key(path: &Path) -> io::Result<Key> {
    crate::peering::secret_of(path).map(|secret| Key::new(&secret))
}

impl Feed {
    /// Opens the socket that the charter states, and reads the key.
    pub fn open(stated: &ConfigLogConfig) -> io::Result<Self> {
        let key = control_key(&stated.key_file)?;
        let socket = UdpSocket::bind(stated.listen)
            .map_err(|e| io::Error::new(e.kind(), format!("{} can't be listened on: {e}", stated.listen)))?;
        Ok(Self { socket, key })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

/// What a gateway tells an operator of changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Followed {
    #[serde(flatten)]
    pub view: FollowerView,
    /// Seconds of a processor that this took since the start.
    pub cpu: f64,
    /// Datagrams that were not taken: of another key or changed, and all others.
    pub seals: u64,
    pub unread: u64,
    /// Times that the last known state was kept, and that it could not be.
    pub kept: u64,
    pub not_kept: u64,
}

/// Looks on while changes are followed, in that thread.
pub(crate) trait Onlooker: Send {
    /// The desk has taken all up to this number.
    fn applied(&mut self, number: u64);
    /// Once in each turn of the thread, after all that was due.
    fn turn(&mut self, follower: &Follower);
    /// Whether it is to end as if its process had been killed: what was not kept by then is not.
    fn killed(&self) -> bool;
}

/// Starts the thread of a feed. What was in force when the last process of this gateway ended is so again
/// before this comes back.
pub fn start(shared_runtime: Arc<SharedRuntime>, feed: Feed) -> io::Result<JoinHandle<()>> {
    start_watched(shared_runtime, feed, None)
}

/// As [`start`], with somebody who looks on.
pub(crate) fn start_watched(
    shared_runtime: Arc<SharedRuntime>,
    feed: Feed,
    onlooker: Option<Box<dyn Onlooker>>,
) -> io::Result<JoinHandle<()>> {
    let Some(stated) = shared_runtime.config.config_log.clone() else {
        return Err(io::Error::other("the charter has no changes"));
    };
    let Some((folder, name)) = DiskFolder::of_file(&stated.state_file) else {
        return Err(io::Error::other("the state of changes is no file name"));
    };
    if let Err(e) = survive_file_size_limit() {
        tracing::warn!("a limit on the size of files will end this process: {e}");
    }
    let file = stated.state_file.display();
    let saved = match std::fs::read(&stated.state_file) {
        Ok(saved) => Some(saved),
        Err(e) if e.kind() == ErrorKind::NotFound => None,
        Err(e) => {
            tracing::error!(%file, "the last known state can't be read: {e}; the charter's figures hold");
            None
        }
    };
    let (there, now) = (saved.is_some(), shared_runtime.now());
    // Drawn anew by each process from the system's chance: gateways that begin together must not ask in step.
    let seed = RandomState::new().hash_one(std::process::id());
    let follower = Follower::new(stated.name, stated.control, Terms::default(), seed, now, saved);
    let head = follower.state().head();
    match (there, head) {
        (true, 0) => tracing::error!(
            %file,
            "the last known state is rotten or empty: the charter's figures hold until the control machines are heard"
        ),
        (true, _) => tracing::info!(number = head, "the last known state is in force"),
        (false, _) => tracing::info!("no state is known yet: the charter's figures hold"),
    }
    let state_file = StateFile::new(folder, name, state_id(&follower), now);
    let mut running = Running {
        follower,
        shared_runtime,
        feed,
        state_file,
        telling: Telling::default(),
        seals: 0,
        unread: 0,
        counts: (0, 0),
        heard: Heard::Unknown,
        look: now,
        onlooker,
    };
    running.apply();
    std::thread::Builder::new().name("changes".into()).spawn(move || running.run())
}

/// Whether the control machines were heard lately, as the log was told last.
#[derive(Clone, Copy, PartialEq)]
enum Heard {
    Unknown,
    Yes,
    No,
}

struct Running {
    follower: Follower,
    shared_runtime: Arc<SharedRuntime>,
    feed: Feed,
    state_file: StateFile<DiskFolder>,
    telling: Telling,
    seals: u64,
    unread: u64,
    /// Conflicts and states that were no state of the log, as the log was told last.
    counts: (u64, u64),
    heard: Heard,
    /// When it is looked at next what is worth a line in the log.
    look: f64,
    onlooker: Option<Box<dyn Onlooker>>,
}

impl Running {
    fn run(mut self) {
        let mut datagram_receiver = DatagramReceiver::new(LARGEST);
        while !self.shared_runtime.stopping.load(Ordering::Acquire) {
            let due_in = self.follower.next() - self.shared_runtime.now();
            if let Some((datagram, from)) =
                datagram_receiver.receive(&self.feed.socket, due_in, "changes can't be heard")
            {
                self.take(datagram, from);
            }
            let now = self.shared_runtime.now();
            if datagram_receiver.is_tick_due(now, self.follower.next()) {
                self.follower.turn(now);
            }
            self.apply();
            self.post();
            self.state_file.keep(state_id(&self.follower), now, || self.follower.save());
            self.log(now);
            if let Some(onlooker) = &mut self.onlooker {
                onlooker.turn(&self.follower);
            }
        }
        if self.onlooker.as_ref().is_some_and(|o| o.killed()) {
            return;
        }
        self.state_file
            .keep_last(state_id(&self.follower), self.shared_runtime.now(), || self.follower.save());
        let Followed { cpu, kept, not_kept, view, .. } = self.view();
        tracing::info!(number = view.number, cpu, kept, not_kept, "changes are followed no more");
    }

    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        match message::open(&self.feed.key, datagram) {
            Ok(Message::Status { ask, page }) => self.answer(ask, page, from),
            Ok(message) => self.follower.heard(self.shared_runtime.now(), from, message),
            Err(why) => {
                let seal = matches!(why, message::Refused::Seal);
                self.seals += u64::from(seal);
                self.unread += u64::from(!seal);
                let all = self.seals + self.unread;
                if is_power_of_ten(all) {
                    tracing::warn!(%from, all, "a message of a control machine is not taken: {why}");
                }
            }
        }
    }

    /// Passes what is new on to the desk, each batch at once. What this gateway's charter can't take is told
    /// to the control machines; what was in force under its key stays.
    fn apply(&mut self) {
        while let Some(batch) = self.follower.news() {
            let house = &self.shared_runtime.config;
            let mut amendments: Vec<ConfigChange> = Vec::with_capacity(batch.len());
            for Entry { number, change } in &batch {
                if change.text.is_none() && Subject::from_key(&change.key).is_none() {
                    // What was never in force here is easily taken back.
                    continue;
                }
                match house.parse_change(&change.key, change.text.as_deref()) {
                    Ok(amendment) => amendments.push(amendment),
                    Err(mistakes) => {
                        let why = mistakes.first().map(ToString::to_string).unwrap_or_default();
                        tracing::error!(number, key = change.key, "a change can't be applied here: {why}");
                        self.follower.refused(*number, shortened(why));
                    }
                }
            }
            let (number, entries) = (self.follower.state().head(), amendments.len());
            self.shared_runtime.with_dispatcher(None, |desk, _| {
                amendments.iter().for_each(|amendment| desk.apply_config_change(amendment, &house.functions));
            });
            tracing::info!(number, entries, "changes are in force");
            self.onlooker.iter_mut().for_each(|onlooker| onlooker.applied(number));
        }
    }

    fn post(&mut self) {
        while let Some((to, message)) = self.follower.out() {
            if let Some(datagram) = message::seal(&self.feed.key, &message) {
                // What can't be sent is as if lost on its way: that is what the core is built for.
                let _ = self.feed.socket.send_to(&datagram, to);
            }
        }
    }

    fn view(&self) -> Followed {
        let (seals, unread) = (self.seals, self.unread);
        let (kept, not_kept) = (self.state_file.written, self.state_file.failed);
        let view = self.follower.view(self.shared_runtime.now());
        Followed { view, cpu: cpu(), seals, unread, kept, not_kept }
    }

    /// Tells an operator what is known here.
    fn answer(&mut self, ask: u64, page: u32, from: SocketAddr) {
        let mut telling = std::mem::take(&mut self.telling);
        let told = telling.page(from, ask, page, || serde_json::to_vec(&self.view()).ok());
        self.telling = telling;
        if let Some(datagram) = told.and_then(|told| message::seal(&self.feed.key, &told)) {
            let _ = self.feed.socket.send_to(&datagram, from);
        }
    }

    /// Tells the log what an operator should know without asking.
    fn log(&mut self, now: f64) {
        /// Seconds between two looks.
        const AGAIN: f64 = 1.0;
        /// Seconds after which what is in force here may not be the latest: several polls, and a change of
        /// whom it follows.
        const SILENT: f64 = 5.0;
        if now < self.look {
            return;
        }
        self.look = now + AGAIN;
        let view = self.follower.view(now);
        let heard = match view.sure_as_of {
            Some(age) if age < SILENT => Heard::Yes,
            None if now < SILENT => Heard::Unknown,
            _ => Heard::No,
        };
        if heard != self.heard {
            let number = view.number;
            match heard {
                Heard::Yes => tracing::info!(number, "what is in force here is known to be the latest"),
                _ => tracing::warn!(
                    number,
                    "the control machines are silent, or no majority of them is: what is in force stays"
                ),
            }
            self.heard = heard;
        }
        let counts = (view.conflicts, view.anew);
        if counts.0 > self.counts.0 {
            let told: Vec<_> = view.replicas.iter().map(|r| (r.replica, r.conflicts)).collect();
            tracing::warn!(?told, "a control machine tells other than the others do, by number");
        }
        if counts.1 > self.counts.1 {
            tracing::warn!("what was in force here was no state of the log; it was gathered anew");
        }
        self.counts = counts;
    }
}

/// Which state is in force.
fn state_id(follower: &Follower) -> StateId {
    StateId { number: follower.state().head(), digest: follower.state().digest() }
}

/// A reason that fits into a message.
fn shortened(mut why: String) -> String {
    let end = (0..=LONGEST_WHY.min(why.len())).rev().find(|n| why.is_char_boundary(*n)).unwrap_or(0);
    why.truncate(end);
    why
}
