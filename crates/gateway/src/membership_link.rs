//! The link to the other gateways: runs the membership protocol of `milletpath-membership` on a thread with one UDP
//! socket. It provides the dispatcher with this gateway's fraction of shared quotas, and no request ever waits for it.
//! Each fraction has an expiry, which the dispatcher checks itself, so that the fraction lapses if the link stops.

mod event_log;
mod status;

pub use status::{MembershipQueryError, MembershipStatus, query_membership};

use crate::budget_sharing::{BudgetSharing, BudgetSharingView};
use crate::control_thread::{self, ControlLoop, ControlThreadError, bind};
use crate::datagram_receiver::is_power_of_ten;
use crate::key_file::read_fleet_key;
use crate::shared_runtime::SharedRuntime;
use crate::status_pages::PAGE_BYTES;
use milletpath_config::{GatewayConfig, MembershipConfig as MembershipSettings};
use milletpath_dispatcher::dispatcher::QuotaFraction as DispatcherQuota;
use milletpath_membership::datagram::{self, Datagram, Identity, Key, MAX_DATAGRAM_BYTES, Page, kind};
use milletpath_membership::{Membership, MembershipConfig, MembershipEvent, QuotaFraction};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A fault that tests inject to verify that the checks of a run detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Computes the quota fraction from the likely number of gateways instead of the safe bound, without an expiry.
    LikelyCount,
}

/// The socket and key of a membership link whose thread has not been started yet.
pub struct MembershipLink {
    socket: UdpSocket,
    key: Key,
    injected_fault: Option<InjectedFault>,
}

impl MembershipLink {
    /// Opens the configured socket and reads the fleet's key.
    ///
    /// # Errors
    ///
    /// Fails if the key file can't be used or the address can't be bound.
    pub fn open(
        settings: &MembershipSettings,
        injected_fault: Option<InjectedFault>,
    ) -> Result<Self, ControlThreadError> {
        let key = read_fleet_key(&settings.key_file)?;
        let socket = bind(settings.listen)?;
        Ok(Self { socket, key, injected_fault })
    }

    /// Returns the address on which datagrams are received.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket's address is not available.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

/// Observes a link on its own thread.
pub(crate) trait MembershipObserver: Send {
    /// Receives a membership event. With an observer, events are not logged.
    fn event(&mut self, event: MembershipEvent);
    /// Called after each iteration of the thread's loop. `now` is in seconds on the gateway's clock.
    fn after_turn(
        &mut self,
        now: f64,
        membership: &mut Membership,
        sharing: &mut BudgetSharing,
        quota: &QuotaFraction,
    );
    /// Whether the link must end as if its process had been killed, without announcing its departure.
    fn is_killed(&self) -> bool;
}

/// Starts the thread of a link. The thread ends once `shared_runtime` is stopping; the caller joins it.
///
/// # Errors
///
/// Fails if the configuration has no section `peers`, the socket's address is not available, or the thread can't be
/// started.
pub fn start(
    shared_runtime: Arc<SharedRuntime>,
    link: MembershipLink,
) -> Result<JoinHandle<()>, ControlThreadError> {
    start_observed(shared_runtime, link, None)
}

/// Like [`start`], with an observer.
pub(crate) fn start_observed(
    shared_runtime: Arc<SharedRuntime>,
    link: MembershipLink,
    observer: Option<Box<dyn MembershipObserver>>,
) -> Result<JoinHandle<()>, ControlThreadError> {
    let Some(settings) = shared_runtime.config.membership.clone() else {
        return Err(ControlThreadError::NotConfigured("peers"));
    };
    let address = if settings.advertise.port() == 0 {
        link.address().map_err(ControlThreadError::LocalAddress)?
    } else {
        settings.advertise
    };
    let identity = identity(&shared_runtime.config, &settings, address);
    let (instance_id, now) = (identity.instance_id, shared_runtime.now());
    let sharing = BudgetSharing::new(&shared_runtime.config, instance_id, settings.lease, now);
    let membership = Membership::new(
        identity,
        membership_config(&shared_runtime.config, &settings),
        settings.seeds,
        instance_id,
        now,
    );
    let mut thread = LinkThread {
        membership,
        sharing,
        shared_runtime: shared_runtime.clone(),
        link,
        published: None,
        budgets_updated_at: f64::NEG_INFINITY,
        queries_received: 0,
        second_began: 0.0,
        observer,
    };
    // Published before the first request is accepted, because quota on which an earlier process of this name may have
    // granted leases must not be used.
    thread.publish_quota();
    control_thread::spawn(thread, shared_runtime)
}

fn identity(config: &GatewayConfig, settings: &MembershipSettings, address: SocketAddr) -> Identity {
    // Random for each process even if the configuration sets the seed of the decisions, because two processes with the
    // same name must differ.
    let instance_id = RandomState::new().hash_one(std::process::id()).max(1);
    Identity {
        instance_id,
        name: settings.name.clone(),
        address,
        incarnation: 0,
        max_gateways: config.policy.routers as u32,
    }
}

fn membership_config(config: &GatewayConfig, settings: &MembershipSettings) -> MembershipConfig {
    // Quotas are counted per second, load requests per window.
    let window = config.policy.load_budget.map_or(1.0, |budget| budget.window.max(1.0));
    MembershipConfig {
        period: settings.period,
        lease: settings.lease,
        floor: settings.floor,
        budget_window: window,
    }
}

/// The quota fraction last published to the dispatcher.
struct PublishedQuota {
    /// When it was published, in seconds on the gateway's clock.
    at: f64,
    quota: DispatcherQuota,
}

impl PublishedQuota {
    /// Whether `current` must be published: its fractions differ, its validity was shortened, or its validity was
    /// extended and the last publication is not recent.
    fn is_outdated(&self, now: f64, current: &DispatcherQuota) -> bool {
        /// Seconds since the last publication after which a mere extension of the validity is published.
        const REPUBLISH_SECONDS: f64 = 0.2;
        let same_fractions =
            (self.quota.likely_gateways, self.quota.fraction, self.quota.fraction_after_expiry)
                == (current.likely_gateways, current.fraction, current.fraction_after_expiry);
        let same_validity = self.quota.valid_until == current.valid_until;
        let was_just_published = now - self.at < REPUBLISH_SECONDS;
        let is_extended = self.quota.valid_until <= current.valid_until;
        !(same_fractions && (same_validity || was_just_published && is_extended))
    }
}

struct LinkThread {
    membership: Membership,
    sharing: BudgetSharing,
    shared_runtime: Arc<SharedRuntime>,
    link: MembershipLink,
    /// The quota fraction last published to the dispatcher.
    published: Option<PublishedQuota>,
    /// When the shared budgets were last updated, in seconds on the gateway's clock.
    budgets_updated_at: f64,
    /// Number of status queries received since `second_began`.
    queries_received: u32,
    /// Start of the period for limiting status queries, in seconds on the gateway's clock.
    second_began: f64,
    observer: Option<Box<dyn MembershipObserver>>,
}

impl ControlLoop for LinkThread {
    const THREAD_NAME: &'static str = "peers";
    const MAX_DATAGRAM_BYTES: usize = MAX_DATAGRAM_BYTES;
    const READ_FAILED: &'static str = "datagrams of other gateways can't be received";

    fn socket(&self) -> &UdpSocket {
        &self.link.socket
    }

    fn wait_until(&self) -> f64 {
        self.membership.next_deadline().min(self.sharing.next_deadline())
    }

    fn next_tick(&self) -> f64 {
        self.membership.next_deadline()
    }

    fn receive(&mut self, sealed: &[u8], from: SocketAddr) {
        match datagram::open(&self.link.key, sealed) {
            Ok(datagram) if datagram.kind == kind::STATUS_QUERY => self.answer_query(&datagram, from),
            Ok(datagram) => self.membership.receive(self.shared_runtime.now(), datagram),
            Err(why) => {
                let counters = self.membership.counters_mut();
                counters.record_rejected(why);
                let rejected = counters.rejected();
                if is_power_of_ten(rejected) {
                    tracing::warn!(%from, rejected, "a datagram of another gateway is rejected: {why}");
                }
            }
        }
    }

    fn tick(&mut self, now: f64) {
        self.membership.tick(now);
    }

    fn process_output(&mut self, now: f64) {
        if now >= self.second_began + 1.0 {
            (self.second_began, self.queries_received) = (now, 0);
        }
        let quota = self.publish_quota();
        self.send_outgoing();
        self.log_events();
        if let Some(observer) = &mut self.observer {
            observer.after_turn(self.shared_runtime.now(), &mut self.membership, &mut self.sharing, &quota);
        }
    }

    fn is_killed(&self) -> bool {
        self.observer.as_ref().is_some_and(|observer| observer.is_killed())
    }

    fn finish(mut self) {
        self.membership.announce_departure(self.shared_runtime.now());
        self.publish_quota();
        self.send_outgoing();
    }
}

impl LinkThread {
    /// Answers an operator's query with the membership's status, in as many datagrams as needed.
    fn answer_query(&mut self, query: &Datagram, from: SocketAddr) {
        /// Limits the amplification that an attacker gains by replaying an old query, as each is answered with many
        /// datagrams.
        const MAX_QUERIES_PER_SECOND: u32 = 10;
        self.queries_received += 1;
        if self.queries_received > MAX_QUERIES_PER_SECOND {
            return;
        }
        let now = self.shared_runtime.now();
        let BudgetSharingView { budgets, counters } = self.sharing.view(now);
        let status = MembershipStatus { view: self.membership.view(now), budgets, sharing: counters };
        let Ok(text) = serde_json::to_vec(&status) else { return };
        let chunks: Vec<_> = text.chunks(PAGE_BYTES).collect();
        for (index, chunk) in chunks.iter().enumerate() {
            let mut reply = Datagram::new(query.sender.clone(), 0, kind::STATUS_REPLY, query.request_id);
            reply.page =
                Some(Page { index: index as u16, total: chunks.len() as u16, bytes: chunk.to_vec() });
            if let Ok(sealed) = datagram::seal(&self.link.key, &reply) {
                // If a page is lost, the operator's client queries again.
                let _ = self.link.socket.send_to(&sealed, from);
            }
        }
    }

    /// Sends all outgoing datagrams of the membership and the shared budgets.
    fn send_outgoing(&mut self) {
        while let Some(message) = self.sharing.next_message() {
            self.membership.send_payload(message.recipient, message.bytes);
        }
        while let Some(sent) = self.membership.next_outgoing() {
            let sealed = datagram::seal(&self.link.key, &sent.datagram);
            let counters = self.membership.counters_mut();
            match sealed.map(|sealed| self.link.socket.send_to(&sealed, sent.to)) {
                Ok(Ok(bytes)) => {
                    counters.sent += 1;
                    counters.bytes += bytes as u64;
                }
                // Equivalent to a lost datagram; the protocol resends what is needed.
                Ok(Err(_)) | Err(_) => counters.unsent += 1,
            }
        }
    }

    /// Publishes this gateway's quota fraction to the dispatcher if it has changed or its validity was extended.
    fn publish_quota(&mut self) -> QuotaFraction {
        let now = self.shared_runtime.now();
        let quota = self.membership.quota_fraction(now);
        let dispatcher_quota = self.dispatcher_quota(&quota);
        if self.published.as_ref().is_none_or(|published| published.is_outdated(now, &dispatcher_quota)) {
            self.published = Some(PublishedQuota { at: now, quota: dispatcher_quota });
            self.shared_runtime
                .with_dispatcher(None, |dispatcher, _| dispatcher.set_quota_fraction(dispatcher_quota));
        }
        self.update_budgets(quota);
        quota
    }

    /// Converts the quota fraction for the dispatcher, with the injected fault if there is one.
    fn dispatcher_quota(&self, quota: &QuotaFraction) -> DispatcherQuota {
        let likely_gateways = quota.likely_gateways;
        match self.link.injected_fault {
            None => DispatcherQuota {
                likely_gateways,
                fraction: quota.fraction,
                fraction_after_expiry: quota.floor_fraction,
                valid_until: quota.valid_until,
            },
            Some(InjectedFault::LikelyCount) => {
                let fraction = self.shared_runtime.config.policy.routers as f64 / likely_gateways;
                DispatcherQuota {
                    likely_gateways,
                    fraction,
                    fraction_after_expiry: fraction,
                    valid_until: f64::INFINITY,
                }
            }
        }
    }

    /// Passes messages of other gateways to the shared budgets and performs their due work, under the dispatcher's
    /// lock.
    fn update_budgets(&mut self, quota: QuotaFraction) {
        /// Interval between two samples of usage, in seconds. A budget that runs short is detected within this time.
        const UPDATE_SECONDS: f64 = 0.04;
        let others = self.membership.fresh_instances();
        let payloads: Vec<_> = std::iter::from_fn(|| self.membership.next_payload()).collect();
        let now = self.shared_runtime.now();
        if payloads.is_empty()
            && now < self.sharing.next_deadline().min(self.budgets_updated_at + UPDATE_SECONDS)
        {
            return;
        }
        self.budgets_updated_at = now;
        let sharing = &mut self.sharing;
        self.shared_runtime.with_dispatcher(None, |dispatcher, now| {
            payloads
                .iter()
                .for_each(|received| sharing.receive(dispatcher, now, received.sender, &received.payload));
            sharing.tick(dispatcher, now, &quota, others);
        });
    }

    fn log_events(&mut self) {
        for event in self.membership.take_events() {
            match &mut self.observer {
                Some(observer) => observer.event(event),
                None => event_log::log_event(&event, self.shared_runtime.config.policy.routers),
            }
        }
    }
}
