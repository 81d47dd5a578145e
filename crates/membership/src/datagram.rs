//! Datagrams between gateways: their kinds, their fields, and how they are sealed and opened.
//!
//! On the wire a datagram is a version byte, a 16-byte seal (a keyed hash over the rest) and a CBOR body with numbered
//! fields. Unknown fields are skipped and a field number never changes its meaning, so that gateways of different
//! versions run side by side.

mod address_codec;
mod optional_address_codec;
mod sealing;

use minicbor::{Decode, Encode};
use std::net::SocketAddr;

pub use milletpath_sealed_datagram::MAX_DATAGRAM_LEN as MAX_DATAGRAM_BYTES;
pub use sealing::{Key, OpenError, SealError, decode_unverified, open, seal};

/// The version that is written. All versions from 1 on are read.
pub const VERSION: u8 = 1;

/// Longest name of a gateway, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Kinds of datagrams, as numbers: a kind of a later version is ignored instead of being rejected as unreadable.
pub mod kind {
    /// Direct probe. The answer repeats its `request_id`.
    pub const PING: u8 = 1;
    /// Answer to a ping, and a request in its turn: the final ack repeats its `subject` as `request_id`.
    pub const ACK: u8 = 2;
    /// Asks the receiver to probe the member `subject` on behalf of the sender (SWIM's ping-req).
    pub const PING_REQUEST: u8 = 3;
    /// Reports to the sender of a ping request that `subject` answered.
    pub const INDIRECT_ACK: u8 = 4;
    /// Carries the `digest` of all members believed present. A receiver with another digest sends its member table, and
    /// its own digest in return where `request_id` is 0.
    pub const DIGEST: u8 = 5;
    /// A page of the sender's member table, as gossip updates.
    pub const MEMBER_TABLE: u8 = 6;
    /// The sender shuts down and uses no more of the shared budgets.
    pub const DEPARTURE: u8 = 7;
    /// The sender's identity and gossip updates alone.
    pub const ANNOUNCE: u8 = 8;
    /// Answer to the request that an ack carries.
    pub const FINAL_ACK: u8 = 11;
    /// Bytes for the application; `milletpath-shared-budgets` reads them.
    pub const PAYLOAD: u8 = 12;
    /// An operator asks for the gateway's view.
    pub const STATUS_QUERY: u8 = 9;
    /// One page of the answer to a status query.
    pub const STATUS_REPLY: u8 = 10;
}

/// What a gateway process states about itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Identity {
    /// Random id that the process drew at its start; its successor under the same name has another.
    #[n(0)]
    pub instance_id: u64,
    /// Name of the gateway, at most [`MAX_NAME_BYTES`] long.
    #[n(1)]
    pub name: String,
    /// Address at which it receives datagrams.
    #[cbor(n(2), with = "address_codec")]
    pub address: SocketAddr,
    /// SWIM incarnation number: it grows whenever the process refutes a false update about itself.
    #[n(3)]
    pub incarnation: u32,
    /// Largest number of gateways that its configuration allows for.
    #[n(4)]
    pub max_gateways: u32,
}

/// Gossip about a member. The update of the higher incarnation prevails, then that of the higher state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct GossipUpdate {
    /// The member's instance id.
    #[n(0)]
    pub instance_id: u64,
    /// 0 alive, 1 suspect, 2 dead, 3 left; other values belong to a later version.
    #[n(1)]
    pub state: u8,
    /// Incarnation that the update is about.
    #[n(2)]
    pub incarnation: u32,
    /// The member's name; absent for a member that is gone.
    #[n(3)]
    pub name: Option<String>,
    /// The member's address; absent for a member that is gone.
    #[cbor(n(4), with = "optional_address_codec")]
    pub address: Option<SocketAddr>,
}

/// Which processes a member endorses and lists (see `quorum/endorsement.rs`), as sums of hashes. An absent sum equals
/// that of the first assertion in the datagram, which is the sender's own.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Assertion {
    /// Instance id of the member that made the assertion.
    #[n(0)]
    pub instance_id: u64,
    /// Upper bound on the assertion's age, in milliseconds.
    #[n(1)]
    pub age: u32,
    /// Sum of the hashes of the endorsed processes.
    #[n(2)]
    pub endorsed: Option<u64>,
    /// Sum of the hashes of the listed processes.
    #[n(3)]
    pub listed: Option<u64>,
}

/// One page of a text that is longer than a datagram.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Page {
    /// Position of the page, from 0.
    #[n(0)]
    pub index: u16,
    /// Number of pages of the text.
    #[n(1)]
    pub total: u16,
    /// The page's part of the text.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}

/// The body of a datagram. Which of the later fields are used depends on its kind.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Datagram {
    /// The sending process.
    #[n(0)]
    pub sender: Identity,
    /// Grows from datagram to datagram of one process; the receiver accepts each number once.
    #[n(1)]
    pub sequence: u64,
    /// Instance id of the intended receiver; 0 where it is unknown.
    #[n(2)]
    pub recipient: u64,
    /// One of [`kind`].
    #[n(3)]
    pub kind: u8,
    /// Matches an answer to its request.
    #[n(4)]
    pub request_id: u64,
    /// The member that the datagram is about, or the request id that the final ack is to repeat.
    #[n(5)]
    pub subject: u64,
    /// Sum of hashes over all members that the sender believes present.
    #[n(6)]
    pub digest: u64,
    /// Gossip about other members.
    #[n(7)]
    pub updates: Vec<GossipUpdate>,
    /// Assertions of members; the sender's own comes first.
    #[n(8)]
    pub assertions: Vec<Assertion>,
    /// A page of a status reply.
    #[n(9)]
    pub page: Option<Page>,
    /// Bytes of the application.
    #[cbor(n(10), with = "minicbor::bytes")]
    pub payload: Option<Vec<u8>>,
}

impl Datagram {
    /// A datagram with empty optional fields and sequence number 0; [`Membership`](crate::Membership) numbers its own.
    #[must_use]
    pub fn new(sender: Identity, recipient: u64, kind: u8, request_id: u64) -> Self {
        Self {
            sender,
            sequence: 0,
            recipient,
            kind,
            request_id,
            subject: 0,
            digest: 0,
            updates: Vec::new(),
            assertions: Vec::new(),
            page: None,
            payload: None,
        }
    }
}
