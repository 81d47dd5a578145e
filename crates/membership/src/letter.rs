//! Letters between gateways: what stands in one datagram, how it is sealed and how it is opened.
//!
//! A datagram is a version, a seal of 16 bytes (a keyed hash over the rest) and a body with numbered fields. A field that
//! is not known is skipped, a number never changes its meaning: old and new gateways stand side by side.

use minicbor::{Decode, Encode};
use std::fmt;
use std::net::SocketAddr;

/// The version that is written. All from 1 on are read.
pub const VERSION: u8 = 1;

pub use milletpath_sealed_datagram::MAX_DATAGRAM_LEN as LARGEST;

/// Letters of a gateway's name.
pub const LONGEST_NAME: usize = 64;

/// What a letter is about. Numbers, so that one of a later version is passed over and not taken for garbage.
pub mod matter {
    /// Are you there? `number` comes back in the answer.
    pub const PING: u8 = 1;
    /// The answer to that, and a question in its turn: `about` comes back in the thanks.
    pub const ACK: u8 = 2;
    /// Ask the member `about` for me, as I don't hear it.
    pub const SEEK: u8 = 3;
    /// I asked, and it answered.
    pub const FOUND: u8 = 4;
    /// `digest` is over all that I take for alive. `number` 0 asks for the same in return where it differs.
    pub const EXCHANGE: u8 = 5;
    /// What I know, in rumours.
    pub const TABLE: u8 = 6;
    /// I go, and use no more of what is shared.
    pub const LEAVE: u8 = 7;
    /// Nothing but who I am, and rumours.
    pub const TELL: u8 = 8;
    /// The answer to an answer.
    pub const THANKS: u8 = 11;
    /// A note of what gateways share: `milletpath-shared-budgets` reads it.
    pub const NOTE: u8 = 12;
    /// An operator asks what is known here; answered by pages of text.
    pub const ASK: u8 = 9;
    pub const TOLD: u8 = 10;
}

/// A gateway process, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Who {
    /// Drawn by chance when the process began: another process under the same name has another.
    #[n(0)]
    pub life: u64,
    #[n(1)]
    pub name: String,
    /// Where it hears letters.
    #[cbor(n(2), with = "place")]
    pub at: SocketAddr,
    /// Grows with each word against what is wrongly said of it.
    #[n(3)]
    pub incarnation: u32,
    /// The most gateways that its charter allows for.
    #[n(4)]
    pub most: u32,
}

/// What is said of a member. Of two the one of the higher incarnation holds, then the one of the higher state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Rumour {
    #[n(0)]
    pub life: u64,
    /// 0 alive, 1 suspect, 2 dead, 3 left; others are of a later version.
    #[n(1)]
    pub state: u8,
    #[n(2)]
    pub incarnation: u32,
    #[n(3)]
    pub name: Option<String>,
    #[cbor(n(4), with = "some_place")]
    pub at: Option<SocketAddr>,
}

/// What a member said of whom it backs and whom it lists (see `backing.rs`), as sums; none is the same as the first
/// of the letter, which is the sender's own.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Saying {
    #[n(0)]
    pub life: u64,
    /// Milliseconds since it was said, at most.
    #[n(1)]
    pub age: u32,
    #[n(2)]
    pub backed: Option<u64>,
    #[n(3)]
    pub listed: Option<u64>,
}

/// A piece of a longer text.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Page {
    #[n(0)]
    pub number: u16,
    #[n(1)]
    pub of: u16,
    #[cbor(n(2), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Letter {
    #[n(0)]
    pub from: Who,
    /// Grows from letter to letter of one life: none is taken twice.
    #[n(1)]
    pub serial: u64,
    /// The life that is meant; 0 where it is not known.
    #[n(2)]
    pub to: u64,
    #[n(3)]
    pub matter: u8,
    #[n(4)]
    pub number: u64,
    #[n(5)]
    pub about: u64,
    #[n(6)]
    pub digest: u64,
    #[n(7)]
    pub rumours: Vec<Rumour>,
    #[n(8)]
    pub sayings: Vec<Saying>,
    #[n(9)]
    pub page: Option<Page>,
    #[cbor(n(10), with = "minicbor::bytes")]
    pub note: Option<Vec<u8>>,
}

impl Letter {
    pub fn new(from: Who, to: u64, matter: u8, number: u64) -> Self {
        let (rumours, sayings) = (Vec::new(), Vec::new());
        Self {
            from,
            serial: 0,
            to,
            matter,
            number,
            about: 0,
            digest: 0,
            rumours,
            sayings,
            page: None,
            note: None,
        }
    }
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Larger than [`LARGEST`], or too small for a seal.
    Size,
    /// Of a version that this program does not read.
    Version(u8),
    /// Sealed with another key, or changed on its way.
    Seal,
    /// Sealed rightly, but it can't be read.
    Body,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size => write!(f, "no letter has this size"),
            Self::Version(v) => write!(f, "its version {v} is not read here"),
            Self::Seal => write!(f, "its seal is of another key"),
            Self::Body => write!(f, "it can't be read"),
        }
    }
}

impl From<milletpath_sealed_datagram::OpenError> for Refused {
    fn from(why: milletpath_sealed_datagram::OpenError) -> Self {
        match why {
            milletpath_sealed_datagram::OpenError::InvalidSize => Self::Size,
            milletpath_sealed_datagram::OpenError::UnsupportedVersion(version) => Self::Version(version),
            milletpath_sealed_datagram::OpenError::InvalidTag => Self::Seal,
        }
    }
}

/// The key of a fleet, from the secret that its gateways share.
#[derive(Clone, Debug)]
pub struct Key(milletpath_sealed_datagram::Key);

impl Key {
    /// `secret` should have 32 bytes of chance or more.
    pub fn new(secret: &[u8]) -> Self {
        Self(milletpath_sealed_datagram::Key::new("milletpath 2026-12 letters between gateways", secret))
    }
}

/// Makes a datagram; none where it would be too large.
pub fn seal(key: &Key, letter: &Letter) -> Option<Vec<u8>> {
    key.0.seal(VERSION, &minicbor::to_vec(letter).ok()?).ok()
}

/// Reads a datagram.
pub fn open(key: &Key, datagram: &[u8]) -> Result<Letter, Refused> {
    read(key.0.open(datagram)?)
}

/// What stands in a datagram, whoever sealed it: for a relay or a witness that has no key.
pub fn glance(datagram: &[u8]) -> Option<Letter> {
    read(milletpath_sealed_datagram::body_unverified(datagram)?).ok()
}

fn read(body: &[u8]) -> Result<Letter, Refused> {
    let letter: Letter = minicbor::decode(body).map_err(|_| Refused::Body)?;
    let named = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
    let fits = letter.rumours.iter().all(|r| r.name.as_deref().is_none_or(named));
    if named(&letter.from.name) && fits { Ok(letter) } else { Err(Refused::Body) }
}

/// A socket's address as 6 or 18 bytes.
mod place {
    use minicbor::decode::{Decoder, Error as Unread};
    use minicbor::encode::{Encoder, Error as Unwritten, Write};
    use std::net::{IpAddr, SocketAddr};

    pub fn encode<C, W: Write>(
        at: &SocketAddr,
        e: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), Unwritten<W::Error>> {
        let mut bytes = match at.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        bytes.extend_from_slice(&at.port().to_be_bytes());
        e.bytes(&bytes)?.ok()
    }

    pub fn decode<C>(d: &mut Decoder<'_>, _: &mut C) -> Result<SocketAddr, Unread> {
        let bytes = d.bytes()?;
        let (ip, port) = bytes.split_at(bytes.len().saturating_sub(2));
        let port = <[u8; 2]>::try_from(port).map(u16::from_be_bytes);
        let ip = match ip.len() {
            4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
            16 => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
            _ => None,
        };
        match (ip, port) {
            (Some(ip), Ok(port)) => Ok(SocketAddr::new(ip, port)),
            _ => Err(Unread::message("no address")),
        }
    }
}

mod some_place {
    use super::place;
    use minicbor::data::Type;
    use minicbor::decode::{Decoder, Error as Unread};
    use minicbor::encode::{Encoder, Error as Unwritten, Write};
    use std::net::SocketAddr;

    pub fn encode<C, W: Write>(
        at: &Option<SocketAddr>,
        e: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), Unwritten<W::Error>> {
        match at {
            Some(at) => place::encode(at, e, context),
            None => e.null()?.ok(),
        }
    }

    pub fn decode<C>(d: &mut Decoder<'_>, context: &mut C) -> Result<Option<SocketAddr>, Unread> {
        if d.datatype()? == Type::Null {
            d.null()?;
            return Ok(None);
        }
        place::decode(d, context).map(Some)
    }
}
