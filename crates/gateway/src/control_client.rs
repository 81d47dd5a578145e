//! A client of the control machines, for authors of configuration changes and for operators. It sends each request to one
//! or all of them over one UDP socket, and again until it is answered or its time is over. Of several answers the one that
//! knows the latest entry counts, not the first.

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

/// Between two transmissions of a request: several round trips between regions.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// How long the others may take once the first control machine answered a request to all.
const STRAGGLER_WAIT: Duration = Duration::from_millis(300);

/// For all transmissions of one request together.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why control machines can't be asked.
#[derive(Debug, thiserror::Error)]
pub enum ControlClientError {
    /// The key that seals the datagrams can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// The system gives no socket.
    #[error("no socket can be opened: {0}")]
    Socket(#[source] io::Error),
}

/// A client of the control machines of one fleet.
pub struct Client {
    socket: UdpSocket,
    key: Key,
    /// The control machines' addresses, in the order of their numbers.
    pub control: Vec<SocketAddr>,
}

/// The value of a key, by the control machine that knows the latest entry.
#[derive(Clone, Debug)]
pub struct KeyState {
    /// The number of the entry that set it, 0 for none.
    pub number: u64,
    /// The statement under the key; none where it was never set, or removed.
    pub text: Option<String>,
    /// The latest entry that the control machine knows.
    head: u64,
    /// The control machine that answered.
    pub from: SocketAddr,
}

/// What became of a proposed change.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// A control machine reported this outcome.
    Decided(Outcome),
    /// The control machine's configuration does not allow the change, for this reason.
    Denied(String),
    /// No control machine answered: the change may still be committed.
    Unanswered,
}

/// A random identifier, never 0.
pub fn random_id() -> u64 {
    RandomState::new().hash_one(std::process::id()).max(1)
}

impl Client {
    /// A client by the section `changes` of a configuration.
    ///
    /// # Errors
    ///
    /// The key file can't be used, or the system gives no socket.
    pub fn new(settings: &ConfigLogConfig) -> Result<Self, ControlClientError> {
        let key = read_control_key(&settings.key_file)?;
        let any: IpAddr = match settings.control.first() {
            Some(SocketAddr::V6(_)) => Ipv6Addr::UNSPECIFIED.into(),
            _ => Ipv4Addr::UNSPECIFIED.into(),
        };
        let socket = UdpSocket::bind((any, 0)).map_err(ControlClientError::Socket)?;
        Ok(Self { socket, key, control: settings.control.clone() })
    }

    /// The address on which answers are received.
    ///
    /// # Errors
    ///
    /// The error of the operating system where it does not know the socket's address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let Ok(datagram) = message::seal(&self.key, message) {
            // As if it were lost on its way: it is sent again.
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// The next valid message, waited for until `until`.
    fn receive(&self, until: Instant) -> Option<(SocketAddr, Message)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.socket.set_read_timeout(Some(left)).ok()?;
            // The timeout, or the report that an earlier datagram reached nobody.
            let Ok((size, from)) = self.socket.recv_from(&mut buffer) else { continue };
            if let Ok(message) = message::open(&self.key, &buffer[..size]) {
                return Some((from, message));
            }
        }
    }

    /// The value of a key; none where no control machine answers within 3 s.
    pub fn get(&self, key: &str) -> Option<KeyState> {
        let mut answers: BTreeMap<SocketAddr, KeyState> = BTreeMap::new();
        let (began, mut end) = (Instant::now(), Instant::now() + REQUEST_TIMEOUT);
        let mut resend_at = began;
        while Instant::now() < end && answers.len() < self.control.len() {
            if Instant::now() >= resend_at {
                resend_at = Instant::now() + RESEND_INTERVAL;
                let silent = self.control.iter().filter(|to| !answers.contains_key(to));
                silent.for_each(|to| self.send(*to, &Message::Get { key: key.to_owned() }));
            }
            let Some((from, message)) = self.receive(resend_at.min(end)) else { continue };
            let Message::GetReply { key: about, number, text, head, .. } = message else { continue };
            if about == key && self.control.contains(&from) {
                if answers.is_empty() {
                    end = end.min(Instant::now() + STRAGGLER_WAIT);
                }
                answers.insert(from, KeyState { number, text, head, from });
            }
        }
        answers.into_values().max_by_key(|state| (state.head, state.number))
    }

    /// Proposes a change to the control machine `first`, and to the next ones where it does not answer or does not know the
    /// outcome. Takes 12 s at most; asking several is harmless, as a change with one id is applied once.
    pub fn propose(&self, change: &Change, first: SocketAddr) -> ProposalOutcome {
        /// For one control machine before the next is asked too: a commit and its answer take longer only over the
        /// farthest links. With 1.5 s an author who asked a machine that had just been killed, and lost one more datagram,
        /// waited past the 3 s in which a change is to be applied.
        const REPLICA_TIMEOUT: Duration = Duration::from_millis(600);
        /// For all together: two of them may take long until they report that they do not know.
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

    /// The status texts (JSON) of processes, in the order of `targets`; none for one that does not answer completely.
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
            let Message::StatusPage { query_id: about, page, page_count: total, bytes } = message else {
                continue;
            };
            let target = targets.iter().position(|to| *to == from).filter(|_| about == request_id);
            let Some(pages) = target.and_then(|target| pages.get_mut(target)) else { continue };
            if pages.insert(page as usize, total as usize, bytes) {
                self.request_pages(from, request_id, pages);
            }
            if std::mem::take(&mut is_first) || !pages.is_complete() {
                // A process that sends page after page is waited for; those that sent none had their time.
                end = (Instant::now() + 2 * STRAGGLER_WAIT).max(end.min(Instant::now() + STRAGGLER_WAIT));
            }
        }
        pages.into_iter().map(PageCollector::into_text).collect()
    }

    /// Requests missing pages, a few at a time.
    fn request_pages(&self, to: SocketAddr, request_id: u64, pages: &PageCollector) {
        /// Pages requested at once: their datagrams fit into the receive buffer of any socket.
        const MAX_REQUESTS: usize = 64;
        let missing = pages.missing().take(MAX_REQUESTS);
        missing.for_each(|page| self.send(to, &Message::StatusRequest { query_id: request_id, page }));
    }

    /// The status of each control machine, in the order of their numbers; none for one that does not answer or whose status
    /// is not a `T`.
    pub fn control_status<T: DeserializeOwned>(&self) -> Vec<Option<T>> {
        let read = |text: Option<Vec<u8>>| serde_json::from_slice(&text?).ok();
        self.status_texts(&self.control).into_iter().map(read).collect()
    }
}
