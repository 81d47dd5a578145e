//! How authors and operators talk with the control machines: one UDP socket, questions to one or all of them,
//! each sent again until it is answered or its time is over. Nobody is believed for being quick: of several
//! answers the one counts that knows of the latest entry.

use milletpath_config::ConfigLogConfig;
use milletpath_config_log::message::{self, Key, MAX_DATAGRAM_BYTES, Message};
use milletpath_config_log::{Change, Outcome};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Between two times that a question is sent: several times what a message and its answer take between
/// regions.
const AGAIN: Duration = Duration::from_millis(300);

/// For a question to all, once the first has answered it.
const OTHERS: Duration = Duration::from_millis(300);

/// For a question, at most.
const MOST: Duration = Duration::from_secs(3);

pub struct Client {
    socket: UdpSocket,
    key: Key,
    /// In the order of their numbers.
    pub control: Vec<SocketAddr>,
}

/// What stands under a key, by the control machine that knows of the latest entry.
#[derive(Clone, Debug)]
pub struct Got {
    pub number: u64,
    pub text: Option<String>,
    head: u64,
    /// Who answered.
    pub from: SocketAddr,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Outcome(Outcome),
    /// The control machine's charter can't take it.
    Denied(String),
    /// No control machine has said anything of it.
    Silence,
}

/// A number of chance, never 0.
pub fn chance() -> u64 {
    RandomState::new().hash_one(std::process::id()).max(1)
}

impl Client {
    pub fn new(stated: &ConfigLogConfig) -> io::Result<Self> {
        let key = crate::control_key(&stated.key_file)?;
        let any: IpAddr = match stated.control.first() {
            Some(SocketAddr::V6(_)) => Ipv6Addr::UNSPECIFIED.into(),
            _ => Ipv4Addr::UNSPECIFIED.into(),
        };
        Ok(Self { socket: UdpSocket::bind((any, 0))?, key, control: stated.control.clone() })
    }

    /// Where it hears answers.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let Ok(datagram) = message::seal(&self.key, message) {
            // As if lost on its way: it is sent again.
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// The next message until then.
    fn hear(&self, until: Instant) -> Option<(SocketAddr, Message)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.socket.set_read_timeout(Some(left)).ok()?;
            // An error is the word of a message that reached nobody, or that time is over.
            let Ok((size, from)) = self.socket.recv_from(&mut buffer) else { continue };
            if let Ok(message) = message::open(&self.key, &buffer[..size]) {
                return Some((from, message));
            }
        }
    }

    /// What stands under a key; none where nobody answers.
    pub fn get(&self, key: &str) -> Option<Got> {
        let mut answers: BTreeMap<SocketAddr, Got> = BTreeMap::new();
        let (began, mut end) = (Instant::now(), Instant::now() + MOST);
        let mut ask = began;
        while Instant::now() < end && answers.len() < self.control.len() {
            if Instant::now() >= ask {
                ask = Instant::now() + AGAIN;
                let silent = self.control.iter().filter(|to| !answers.contains_key(to));
                silent.for_each(|to| self.send(*to, &Message::Get { key: key.to_owned() }));
            }
            let Some((from, message)) = self.hear(ask.min(end)) else { continue };
            let Message::GetReply { key: about, number, text, head, .. } = message else { continue };
            if about == key && self.control.contains(&from) {
                if answers.is_empty() {
                    end = end.min(Instant::now() + OTHERS);
                }
                answers.insert(from, Got { number, text, head, from });
            }
        }
        answers.into_values().max_by_key(|got| (got.head, got.number))
    }

    /// Proposes a change to one control machine, and to the next where that one says nothing or doesn't know.
    pub fn propose(&self, change: &Change, first: SocketAddr) -> Told {
        /// For one to say something, before the next is asked too: an agreement and its answer take so long but over
        /// the farthest links, and asking twice does no harm. With 1.5 s the author who asked a machine that had just
        /// been killed, and lost one more letter, waited past the 3 s in which a change is to be in force.
        const EACH: Duration = Duration::from_millis(600);
        /// For all together: two of them may take their time until they say that they don't know.
        const ALL: Duration = Duration::from_secs(12);
        let begin = self.control.iter().position(|to| *to == first).unwrap_or(0);
        let mut order = self.control.iter().cycle().skip(begin).take(2 * self.control.len());
        let (end, mut next) = (Instant::now() + ALL, Instant::now());
        let mut told = Told::Silence;
        while Instant::now() < end {
            if Instant::now() >= next {
                next = Instant::now() + EACH;
                match order.next() {
                    Some(to) => self.send(*to, &Message::Propose { change: change.clone() }),
                    None if told != Told::Silence => return told,
                    None => {}
                }
            }
            match self.hear(next.min(end)) {
                Some((_, Message::ProposalResult { id, outcome })) if id == change.id => match outcome {
                    Outcome::Unknown | Outcome::Busy => {
                        (told, next) = (Told::Outcome(outcome), Instant::now());
                    }
                    known => return Told::Outcome(known),
                },
                Some((_, Message::ChangeDenied { id, reason: why })) if id == change.id => {
                    return Told::Denied(why);
                }
                _ => {}
            }
        }
        told
    }

    /// The texts that those tell of themselves; none for one that doesn't answer.
    pub fn told(&self, by: &[SocketAddr]) -> Vec<Option<Vec<u8>>> {
        let ask = chance();
        let mut pages: Vec<Vec<Option<Vec<u8>>>> = vec![vec![None]; by.len()];
        let whole = |pages: &[Option<Vec<u8>>]| pages.iter().all(Option::is_some);
        let (mut end, mut again) = (Instant::now() + MOST, Instant::now());
        let mut first = true;
        while Instant::now() < end && !pages.iter().all(|p| whole(p)) {
            if Instant::now() >= again {
                again = Instant::now() + AGAIN;
                pages.iter().zip(by).for_each(|(pages, to)| self.ask(*to, ask, pages));
            }
            let Some((from, message)) = self.hear(again.min(end)) else { continue };
            let Message::StatusPage { query_id: about, page, page_count: of, bytes } = message else {
                continue;
            };
            let Some(n) = by.iter().position(|to| *to == from).filter(|_| about == ask) else { continue };
            /// Far more than a control machine tells of all its gateways.
            const PAGES: u32 = 10_000;
            let before = pages[n].len();
            pages[n].resize(of.clamp(1, PAGES) as usize, None);
            if let Some(slot) = pages[n].get_mut(page as usize) {
                *slot = Some(bytes);
            }
            if pages[n].len() > before {
                self.ask(from, ask, &pages[n]);
            }
            if std::mem::take(&mut first) || !whole(&pages[n]) {
                // Whoever answers page by page is waited for; the others had their chance.
                end = (Instant::now() + 2 * OTHERS).max(end.min(Instant::now() + OTHERS));
            }
        }
        let text = |pages: Vec<Option<Vec<u8>>>| {
            let pages: Option<Vec<_>> = pages.into_iter().collect();
            pages.map(|pages| pages.concat())
        };
        pages.into_iter().map(text).collect()
    }

    /// Asks for the pages that are missing, a few at a time.
    fn ask(&self, to: SocketAddr, ask: u64, pages: &[Option<Vec<u8>>]) {
        /// Pages at once: what any socket holds until it is read.
        const ONCE: usize = 64;
        let missing = (0..).zip(pages).filter(|(_, page)| page.is_none());
        missing
            .take(ONCE)
            .for_each(|(page, _)| self.send(to, &Message::StatusRequest { query_id: ask, page }));
    }

    /// What each control machine knows, in the order of their numbers; none for one that doesn't answer.
    pub fn machines<T: DeserializeOwned>(&self) -> Vec<Option<T>> {
        let read = |text: Option<Vec<u8>>| serde_json::from_slice(&text?).ok();
        self.told(&self.control).into_iter().map(read).collect()
    }
}
