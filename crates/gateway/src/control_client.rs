//! A client of the control machines, for authors of configuration changes and for operators. It sends each request to
//! one or all of them over one UDP socket, and resends it until it is answered or times out. If several machines
//! answer, the answer with the latest log entry is used, not the first one.

use crate::key_file::{KeyFileError, read_control_key};
use crate::status_pages::PageCollector;
use milletpath_config::ConfigLogConfig;
use milletpath_config_log::message::{self, Key, MAX_DATAGRAM_BYTES, Message};
use milletpath_config_log::{Change, Outcome};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Interval between two transmissions of a request: several round trips between regions.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// How long to wait for the other control machines once the first one has answered a request to all.
const STRAGGLER_WAIT: Duration = Duration::from_millis(300);

/// Time limit for a request, including all retransmissions.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why the control machines can't be queried.
#[derive(Debug, thiserror::Error)]
pub enum ControlClientError {
    /// The key for sealing the datagrams can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// The socket can't be opened.
    #[error("no socket can be opened: {0}")]
    Socket(#[source] io::Error),
}

/// A client of the control machines of one fleet.
pub struct Client {
    socket: UdpSocket,
    key: Key,
    /// The control machines' addresses, ordered by machine number.
    pub control: Vec<SocketAddr>,
}

/// The value of a key according to one control machine.
#[derive(Clone, Debug)]
pub struct KeyState {
    /// The number of the entry that set it, 0 if there is none.
    pub number: u64,
    /// The text set for the key; `None` if it was never set or has been removed.
    pub text: Option<String>,
    /// The number of the latest entry known to the control machine.
    head: u64,
    /// The control machine that answered.
    pub from: SocketAddr,
}

/// The outcome of a proposed change.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// A control machine reported this outcome.
    Decided(Outcome),
    /// The control machine's configuration does not allow the change, for the given reason.
    Denied(String),
    /// No control machine answered; the change may still be committed.
    Unanswered,
}

/// Returns a random identifier that is never 0.
pub fn random_id() -> u64 {
    RandomState::new().hash_one(std::process::id()).max(1)
}

impl Client {
    /// Creates a client from the section `changes` of a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the key file can't be used or the socket can't be opened.
    pub fn new(settings: &ConfigLogConfig) -> Result<Self, ControlClientError> {
        let key = read_control_key(&settings.key_file)?;
        let any: IpAddr = match settings.control.first() {
            Some(SocketAddr::V6(_)) => Ipv6Addr::UNSPECIFIED.into(),
            _ => Ipv4Addr::UNSPECIFIED.into(),
        };
        let socket = UdpSocket::bind((any, 0)).map_err(ControlClientError::Socket)?;
        Ok(Self { socket, key, control: settings.control.clone() })
    }

    /// Returns the address on which answers are received.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket's address is not available.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let Ok(datagram) = message::seal(&self.key, message) {
            // A send error is equivalent to a lost datagram; the request is resent.
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// Waits until `until` for the next valid message.
    fn receive(&self, until: Instant) -> Option<(SocketAddr, Message)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.socket.set_read_timeout(Some(left)).ok()?;
            // The receive timed out, or the system reports that an earlier datagram was not delivered.
            let Ok((size, from)) = self.socket.recv_from(&mut buffer) else { continue };
            if let Ok(message) = message::open(&self.key, &buffer[..size]) {
                return Some((from, message));
            }
        }
    }

    /// Returns the value of a key, or `None` if no control machine answers within 3 s.
    pub fn get(&self, key: &str) -> Option<KeyState> {
        let mut answers: BTreeMap<SocketAddr, KeyState> = BTreeMap::new();
        let (began, mut end) = (Instant::now(), Instant::now() + REQUEST_TIMEOUT);
        let mut resend_at = began;
        while Instant::now() < end && answers.len() < self.control.len() {
            if Instant::now() >= resend_at {
                resend_at = Instant::now() + RESEND_INTERVAL;
                let unanswered = self.control.iter().filter(|to| !answers.contains_key(to));
                unanswered.for_each(|to| self.send(*to, &Message::Get { key: key.to_owned() }));
            }
            let Some((from, message)) = self.receive(resend_at.min(end)) else { continue };
            let Message::GetReply { key: reply_key, number, text, head, .. } = message else { continue };
            if reply_key == key && self.control.contains(&from) {
                if answers.is_empty() {
                    end = end.min(Instant::now() + STRAGGLER_WAIT);
                }
                answers.insert(from, KeyState { number, text, head, from });
            }
        }
        answers.into_values().max_by_key(|state| (state.head, state.number))
    }

    /// Proposes a change to the control machine `first`, and to the following ones if it does not answer or does not
    /// know the outcome. Takes at most 12 s. Proposing to several machines is safe, because a change is applied only
    /// once per id.
    pub fn propose(&self, change: &Change, first: SocketAddr) -> ProposalOutcome {
        /// How long to wait for one control machine before the next is asked as well; only over the longest links do a
        /// commit and its answer take longer. With 1.5 s, asking a machine that had just been killed and losing one
        /// more datagram exceeded the 3 s within which a change has to be applied.
        const REPLICA_TIMEOUT: Duration = Duration::from_millis(600);
        /// Time limit for all control machines together. Two of them may take long to report an unknown outcome.
        const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(12);
        let begin = self.control.iter().position(|to| *to == first).unwrap_or(0);
        let mut order = self.control.iter().cycle().skip(begin).take(2 * self.control.len());
        let (end, mut next) = (Instant::now() + PROPOSAL_TIMEOUT, Instant::now());
        let mut outcome_so_far = ProposalOutcome::Unanswered;
        while Instant::now() < end {
            if Instant::now() >= next {
                next = Instant::now() + REPLICA_TIMEOUT;
                match order.next() {
                    Some(to) => self.send(*to, &Message::Propose { change: change.clone() }),
                    None if outcome_so_far != ProposalOutcome::Unanswered => return outcome_so_far,
                    None => {}
                }
            }
            match self.receive(next.min(end)) {
                Some((_, Message::ProposalResult { id, outcome })) if id == change.id => match outcome {
                    Outcome::Unknown | Outcome::Busy => {
                        (outcome_so_far, next) = (ProposalOutcome::Decided(outcome), Instant::now());
                    }
                    decided => return ProposalOutcome::Decided(decided),
                },
                Some((_, Message::ChangeDenied { id, reason: why })) if id == change.id => {
                    return ProposalOutcome::Denied(why);
                }
                _ => {}
            }
        }
        outcome_so_far
    }

    /// Returns the status (JSON) of each process in the order of `targets`, `None` for those that do not answer
    /// completely.
    pub fn status_texts(&self, targets: &[SocketAddr]) -> Vec<Option<Vec<u8>>> {
        let request_id = random_id();
        let mut pages = vec![PageCollector::default(); targets.len()];
        let (mut end, mut resend_at) = (Instant::now() + REQUEST_TIMEOUT, Instant::now());
        let mut is_first = true;
        while Instant::now() < end && !pages.iter().all(PageCollector::is_complete) {
            if Instant::now() >= resend_at {
                resend_at = Instant::now() + RESEND_INTERVAL;
                pages.iter().zip(targets).for_each(|(pages, to)| self.request_pages(*to, request_id, pages));
            }
            let Some((from, message)) = self.receive(resend_at.min(end)) else { continue };
            let Message::StatusPage { query_id: reply_id, page, page_count: total, bytes } = message else {
                continue;
            };
            let target = targets.iter().position(|to| *to == from).filter(|_| reply_id == request_id);
            let Some(pages) = target.and_then(|target| pages.get_mut(target)) else { continue };
            if pages.insert(page as usize, total as usize, bytes) {
                self.request_pages(from, request_id, pages);
            }
            if std::mem::take(&mut is_first) || !pages.is_complete() {
                // Extends the deadline for processes that are still sending pages; those that have sent none have had
                // their time.
                end = (Instant::now() + 2 * STRAGGLER_WAIT).max(end.min(Instant::now() + STRAGGLER_WAIT));
            }
        }
        pages.into_iter().map(PageCollector::into_text).collect()
    }

    /// Requests missing pages, a limited number at a time.
    fn request_pages(&self, to: SocketAddr, request_id: u64, pages: &PageCollector) {
        /// Maximum number of pages requested at once; their datagrams fit into the receive buffer of any socket.
        const MAX_REQUESTS: usize = 64;
        let missing = pages.missing().take(MAX_REQUESTS);
        missing.for_each(|page| self.send(to, &Message::StatusRequest { query_id: request_id, page }));
    }

    /// Returns the status of each control machine, ordered by machine number, `None` for those that do not answer or
    /// whose status does not parse as `T`.
    pub fn control_status<T: DeserializeOwned>(&self) -> Vec<Option<T>> {
        let read = |text: Option<Vec<u8>>| serde_json::from_slice(&text?).ok();
        self.status_texts(&self.control).into_iter().map(read).collect()
    }
}
