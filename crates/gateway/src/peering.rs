//! The link to the other gateways: a thread with one UDP socket around the core of `milletpath-membership`. It reaches the
//! desk through the office alone, and no call ever waits for it. What is told to the desk ends by itself: whoever acts
//! looks at the time at that moment.

use crate::datagram_receiver::{DatagramReceiver, is_power_of_ten};
use crate::shared_runtime::SharedRuntime;
use crate::sharing::Sharing;
use milletpath_config::{GatewayConfig, MembershipConfig as MembershipSettings};
use milletpath_dispatcher::dispatcher::QuotaFraction as DispatcherQuota;
use milletpath_membership::datagram::{self, Datagram, Identity, Key, MAX_DATAGRAM_BYTES, Page, kind};
use milletpath_membership::{Membership, MembershipConfig, MembershipEvent, MembershipView, QuotaFraction};
use milletpath_shared_budgets::{BudgetView, Counters};
use serde::{Deserialize, Serialize};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A fault of the program that tests ask for, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Budgets that bound harm take the likeliest count.
    LikelyCount,
}

/// A link that is open and not yet read.
pub struct Link {
    socket: UdpSocket,
    key: Key,
    plant: Option<Plant>,
}

/// The key of a fleet, from the file that the charter names.
pub fn key_of(path: &Path) -> io::Result<Key> {
    secret_of(path).map(|secret| Key::new(&secret))
}

/// What is read from the file of a key.
pub fn secret_of(path: &Path) -> io::Result<Vec<u8>> {
    /// Bytes below which a secret can be guessed.
    const LEAST: usize = 32;
    let name = path.display();
    let secret = std::fs::read(path).map_err(|e| io::Error::new(e.kind(), format!("{name}: {e}")))?;
    let secret = secret.trim_ascii();
    if secret.len() < LEAST {
        let wrong = format!("{name} has {} bytes; a key has {LEAST} or more", secret.len());
        return Err(io::Error::new(ErrorKind::InvalidData, wrong));
    }
    Ok(secret.to_vec())
}

impl Link {
    /// Opens the socket that the charter states, and reads the key.
    pub fn open(stated: &MembershipSettings, plant: Option<Plant>) -> io::Result<Self> {
        let key = key_of(&stated.key_file)?;
        let socket = UdpSocket::bind(stated.listen)
            .map_err(|e| io::Error::new(e.kind(), format!("{} can't be listened on: {e}", stated.listen)))?;
        Ok(Self { socket, key, plant })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

/// Looks on while a link runs, in its own thread.
pub(crate) trait Onlooker: Send {
    /// Takes an event in place of the log.
    fn event(&mut self, event: MembershipEvent);
    /// Once in each turn of the thread, after all that was due.
    fn turn(&mut self, now: f64, membership: &mut Membership, sharing: &mut Sharing, quota: &QuotaFraction);
    /// Whether the link is to end as if its process had been killed, without a word to the others.
    fn killed(&self) -> bool;
}

/// Starts the thread of a link.
pub fn start(shared_runtime: Arc<SharedRuntime>, link: Link) -> io::Result<JoinHandle<()>> {
    start_watched(shared_runtime, link, None)
}

/// As [`start`], with somebody who looks on.
pub(crate) fn start_watched(
    shared_runtime: Arc<SharedRuntime>,
    link: Link,
    onlooker: Option<Box<dyn Onlooker>>,
) -> io::Result<JoinHandle<()>> {
    let Some(stated) = shared_runtime.config.membership.clone() else {
        return Err(io::Error::other("the charter has no peers"));
    };
    let at = if stated.advertise.port() == 0 { link.address()? } else { stated.advertise };
    let identity = identity(&shared_runtime.config, &stated, at);
    let (instance_id, now) = (identity.instance_id, shared_runtime.now());
    let sharing = Sharing::new(&shared_runtime.config, instance_id, stated.lease, now);
    let membership =
        Membership::new(identity, config(&shared_runtime.config, &stated), stated.seeds, instance_id, now);
    let mut running = Running {
        membership,
        sharing,
        shared_runtime,
        link,
        told: None,
        shared: f64::NEG_INFINITY,
        asks: 0,
        onlooker,
    };
    // Before the first call is taken: what a former process of this name may have lent is not used.
    running.tell();
    std::thread::Builder::new().name("peers".into()).spawn(move || running.run())
}

/// What a gateway tells an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    #[serde(flatten)]
    pub view: MembershipView,
    /// Budgets that it shares with the others, the most moved first.
    pub budgets: Vec<BudgetView>,
    pub sharing: Counters,
}

fn identity(house: &GatewayConfig, stated: &MembershipSettings, at: SocketAddr) -> Identity {
    // Drawn anew by each process from the system's chance, also where the charter fixes the seed of its decisions.
    let instance_id = RandomState::new().hash_one(std::process::id()).max(1);
    Identity {
        instance_id,
        name: stated.name.clone(),
        address: at,
        incarnation: 0,
        max_gateways: house.policy.routers as u32,
    }
}

fn config(house: &GatewayConfig, stated: &MembershipSettings) -> MembershipConfig {
    // Quotas are counted by the second, orders within their window.
    let window = house.policy.load_budget.map_or(1.0, |(window, ..)| window.max(1.0));
    MembershipConfig {
        period: stated.period,
        lease: stated.lease,
        floor: stated.floor,
        budget_window: window,
    }
}

struct Running {
    membership: Membership,
    sharing: Sharing,
    shared_runtime: Arc<SharedRuntime>,
    link: Link,
    /// What the desk was told last, and when.
    told: Option<(f64, DispatcherQuota)>,
    /// When what is shared was last looked after.
    shared: f64,
    /// Questions of operators answered in this second.
    asks: u32,
    onlooker: Option<Box<dyn Onlooker>>,
}

impl Running {
    fn run(mut self) {
        let mut datagram_receiver = DatagramReceiver::new(MAX_DATAGRAM_BYTES);
        let mut second = 0.0;
        while !self.shared_runtime.stopping.load(Ordering::Acquire) {
            let now = self.shared_runtime.now();
            if now >= second + 1.0 {
                (second, self.asks) = (now, 0);
            }
            let due_in = self.membership.next_deadline().min(self.sharing.next()) - now;
            if let Some((sealed, from)) = datagram_receiver.receive(
                &self.link.socket,
                due_in,
                "letters of other gateways can't be read",
            ) {
                self.take(sealed, from);
            }
            let now = self.shared_runtime.now();
            if datagram_receiver.is_tick_due(now, self.membership.next_deadline()) {
                self.membership.tick(now);
            }
            let quota = self.tell();
            self.post();
            self.log();
            if let Some(onlooker) = &mut self.onlooker {
                onlooker.turn(self.shared_runtime.now(), &mut self.membership, &mut self.sharing, &quota);
            }
        }
        if self.onlooker.as_ref().is_some_and(|o| o.killed()) {
            return;
        }
        self.membership.announce_departure(self.shared_runtime.now());
        self.tell();
        self.post();
    }

    fn take(&mut self, sealed: &[u8], from: SocketAddr) {
        match datagram::open(&self.link.key, sealed) {
            Ok(datagram) if datagram.kind == kind::STATUS_QUERY => self.answer(&datagram, from),
            Ok(datagram) => self.membership.receive(self.shared_runtime.now(), datagram),
            Err(why) => {
                let counters = self.membership.counters_mut();
                counters.record_rejected(why);
                let all = counters.rejected();
                if is_power_of_ten(all) {
                    tracing::warn!(%from, all, "a letter of another gateway is not taken: {why}");
                }
            }
        }
    }

    /// Tells an operator what is known here.
    fn answer(&mut self, ask: &Datagram, from: SocketAddr) {
        /// Questions answered a second: an old one played again is no lever.
        const ASKS: u32 = 10;
        self.asks += 1;
        if self.asks > ASKS {
            return;
        }
        let now = self.shared_runtime.now();
        let (budgets, sharing) = self.sharing.view(now);
        let told = Told { view: self.membership.view(now), budgets, sharing };
        let Ok(text) = serde_json::to_vec(&told) else { return };
        let chunks: Vec<_> = text.chunks(PAGE).collect();
        for (number, chunk) in chunks.iter().enumerate() {
            let mut told = Datagram::new(ask.sender.clone(), 0, kind::STATUS_REPLY, ask.request_id);
            told.page =
                Some(Page { index: number as u16, total: chunks.len() as u16, bytes: chunk.to_vec() });
            if let Ok(sealed) = datagram::seal(&self.link.key, &told) {
                let _ = self.link.socket.send_to(&sealed, from);
            }
        }
    }

    fn post(&mut self) {
        while let Some((instance_id, payload)) = self.sharing.out() {
            self.membership.send_payload(instance_id, payload);
        }
        while let Some(sent) = self.membership.next_outgoing() {
            let sealed = datagram::seal(&self.link.key, &sent.datagram);
            let counters = self.membership.counters_mut();
            match sealed.map(|d| self.link.socket.send_to(&d, sent.to)) {
                Ok(Ok(bytes)) => {
                    counters.sent += 1;
                    counters.bytes += bytes as u64;
                }
                // As if lost on its way: that is what the core is built for.
                Ok(Err(_)) | Err(_) => counters.unsent += 1,
            }
        }
    }

    /// Tells the desk where it changes something, or before what it was told ends; gives what is one's own.
    fn tell(&mut self) -> QuotaFraction {
        /// Seconds after which it is told anew that all is as it was.
        const AGAIN: f64 = 0.2;
        let now = self.shared_runtime.now();
        let quota = self.membership.quota_fraction(now);
        let mut share = DispatcherQuota {
            likely_gateways: quota.likely_gateways,
            fraction: quota.fraction,
            fraction_after_expiry: quota.floor,
            valid_until: quota.valid_until,
        };
        if self.link.plant == Some(Plant::LikelyCount) {
            let part = self.shared_runtime.config.policy.routers as f64 / quota.likely_gateways;
            share = DispatcherQuota {
                likely_gateways: quota.likely_gateways,
                fraction: part,
                fraction_after_expiry: part,
                valid_until: f64::INFINITY,
            };
        }
        let same = |(at, told): (f64, DispatcherQuota)| {
            (told.likely_gateways, told.fraction, told.fraction_after_expiry)
                == (share.likely_gateways, share.fraction, share.fraction_after_expiry)
                && (told.valid_until == share.valid_until
                    || now - at < AGAIN && told.valid_until <= share.valid_until)
        };
        if !self.told.is_some_and(same) {
            self.told = Some((now, share));
            self.shared_runtime.with_dispatcher(None, |desk, _| desk.set_quota_fraction(share));
        }
        self.share(quota);
        quota
    }

    /// Takes what others say of budgets, and does what is due there; all of it inside the desk.
    fn share(&mut self, quota: QuotaFraction) {
        /// Seconds between two looks at what is wanted and lacked: asked for as soon as it is seen.
        const METERS: f64 = 0.04;
        let others = self.membership.fresh_instances();
        let payloads: Vec<_> = std::iter::from_fn(|| self.membership.next_payload()).collect();
        let now = self.shared_runtime.now();
        if payloads.is_empty() && now < self.sharing.next().min(self.shared + METERS) {
            return;
        }
        self.shared = now;
        let sharing = &mut self.sharing;
        self.shared_runtime.with_dispatcher(None, |desk, now| {
            payloads.iter().for_each(|received| sharing.heard(desk, now, received.sender, &received.payload));
            sharing.turn(desk, now, &quota, others);
        });
    }

    fn log(&mut self) {
        for event in self.membership.take_events() {
            if let Some(onlooker) = &mut self.onlooker {
                onlooker.event(event);
                continue;
            }
            match event {
                MembershipEvent::Joined { name, address } => {
                    tracing::info!(name, at = %address, "a gateway is there")
                }
                MembershipEvent::Suspected { name } => tracing::info!(name, "a gateway does not answer"),
                MembershipEvent::Died { name } => tracing::warn!(name, "a gateway counts as gone"),
                MembershipEvent::Left { name } => tracing::info!(name, "a gateway has left"),
                MembershipEvent::Returned { name } => {
                    tracing::info!(name, "a gateway that counted as gone is there")
                }
                MembershipEvent::DuplicateName { name } => tracing::error!(
                    name,
                    "two gateways go by one name: give each its own; until then neither has a say in shared budgets"
                ),
                MembershipEvent::MaxGatewaysMismatch { name, max_gateways } => tracing::error!(
                    name,
                    most = max_gateways,
                    own = self.shared_runtime.config.policy.routers,
                    "another gateway's charter states another number of gateways: make them alike; the larger one holds"
                ),
                MembershipEvent::ProcessPaused { seconds } => {
                    tracing::warn!(seconds, "the link to the other gateways stood still")
                }
            }
        }
    }
}

/// Bytes of text in one page of an answer.
const PAGE: usize = 1100;

/// Asks the gateway of a charter what it knows of the others. Waits for some seconds at most.
pub fn ask(house: &GatewayConfig) -> io::Result<Told> {
    /// Times that it is asked, and seconds for each.
    const TRIES: u64 = 4;
    const WAIT: Duration = Duration::from_secs(1);
    let Some(stated) = &house.membership else { return Err(io::Error::other("the charter has no peers")) };
    let key = key_of(&stated.key_file)?;
    let mut to = stated.listen;
    if to.port() == 0 {
        return Err(io::Error::other("listen of peers has port 0: nobody can tell where it is; give it one"));
    }
    if to.ip().is_unspecified() {
        to.set_ip(IpAddr::V4(Ipv4Addr::LOCALHOST));
    }
    let any: SocketAddr = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" }.parse().expect("an address");
    let socket = UdpSocket::bind(any)?;
    let identity =
        Identity { instance_id: 0, name: "operator".into(), address: any, incarnation: 0, max_gateways: 0 };
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    for number in 1..=TRIES {
        let ask = Datagram::new(identity.clone(), 0, kind::STATUS_QUERY, number);
        let sealed = datagram::seal(&key, &ask).map_err(io::Error::other)?;
        socket.send_to(&sealed, to)?;
        let end = Instant::now() + WAIT;
        let mut pages: Vec<Option<Vec<u8>>> = Vec::new();
        while let Some(left) = end.checked_duration_since(Instant::now()).filter(|l| !l.is_zero()) {
            socket.set_read_timeout(Some(left))?;
            let Ok((size, _)) = socket.recv_from(&mut buffer) else { break };
            let Ok(reply) = datagram::open(&key, &buffer[..size]) else { continue };
            let Some(page) =
                reply.page.filter(|_| reply.kind == kind::STATUS_REPLY && reply.request_id == number)
            else {
                continue;
            };
            pages.resize(usize::from(page.total), None);
            if let Some(slot) = pages.get_mut(usize::from(page.index)) {
                *slot = Some(page.bytes);
            }
            if pages.iter().all(Option::is_some) {
                let text: Vec<u8> = pages.into_iter().flatten().flatten().collect();
                return serde_json::from_slice(&text).map_err(io::Error::other);
            }
        }
    }
    let wrong = format!("the gateway does not answer on {to}: is it running, with this key?");
    Err(io::Error::new(ErrorKind::TimedOut, wrong))
}
