//! Datagrams exchanged by gateways: kinds, fields, and authentication.
//!
//! The wire format is a version byte, a 16-byte authentication tag (a keyed hash over the rest) and a CBOR body with
//! numbered fields. Decoders skip unknown fields and a field number is never reused with another meaning, so gateways
//! of different versions can run in one cluster.

mod address_codec;
mod optional_address_codec;
mod sealing;

use minicbor::{Decode, Encode};
use std::net::SocketAddr;

pub use milletpath_sealed_datagram::MAX_DATAGRAM_LEN as MAX_DATAGRAM_BYTES;
pub use sealing::{Key, OpenError, SealError, decode_unverified, open, seal};

/// The version written to outgoing datagrams. Version 1 and all later versions are accepted.
pub const VERSION: u8 = 1;

/// Maximum length of a gateway name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Datagram kinds. They are plain numbers rather than an enum so that a kind added by a later version is ignored
/// instead of failing to decode.
pub mod kind {
    /// Direct probe. The ack repeats its `request_id`.
    pub const PING: u8 = 1;
    /// Response to a ping. It is also a request: the final ack repeats its `subject` as `request_id`.
    pub const ACK: u8 = 2;
    /// Asks the receiver to probe the member `subject` on behalf of the sender (SWIM's ping-req).
    pub const PING_REQUEST: u8 = 3;
    /// Tells the sender of a ping request that `subject` sent an ack.
    pub const INDIRECT_ACK: u8 = 4;
    /// Carries the `digest` of all members believed present. A receiver whose digest differs sends its member table,
    /// and also its own digest if `request_id` is 0.
    pub const DIGEST: u8 = 5;
    /// A page of the sender's member table, as gossip updates.
    pub const MEMBER_TABLE: u8 = 6;
    /// The sender is shutting down and no longer uses the shared budgets.
    pub const DEPARTURE: u8 = 7;
    /// Carries only the sender's identity and gossip updates.
    pub const ANNOUNCE: u8 = 8;
    /// Response to the request that an ack carries.
    pub const FINAL_ACK: u8 = 11;
    /// An opaque payload for the application, which `milletpath-shared-budgets` decodes.
    pub const PAYLOAD: u8 = 12;
    /// An operator's request for the gateway's view.
    pub const STATUS_QUERY: u8 = 9;
    /// One page of the response to a status query.
    pub const STATUS_REPLY: u8 = 10;
}

/// A gateway process as it describes itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Identity {
    /// Random id generated when the process starts; it differs after every restart.
    #[n(0)]
    pub instance_id: u64,
    /// Name of the gateway, at most [`MAX_NAME_BYTES`] bytes long.
    #[n(1)]
    pub name: String,
    /// Address on which it receives datagrams.
    #[cbor(n(2), with = "address_codec")]
    pub address: SocketAddr,
    /// SWIM incarnation number, incremented whenever the process refutes a false update about itself.
    #[n(3)]
    pub incarnation: u32,
    /// The `max_gateways` setting of its configuration: the largest number of gateways in the cluster.
    #[n(4)]
    pub max_gateways: u32,
}

/// A gossip update about a member. Updates are ordered by incarnation, then by state; the highest one wins.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct GossipUpdate {
    /// The member's instance id.
    #[n(0)]
    pub instance_id: u64,
    /// 0 alive, 1 suspect, 2 dead, 3 left; other values are reserved for later versions.
    #[n(1)]
    pub state: u8,
    /// Incarnation that the update refers to.
    #[n(2)]
    pub incarnation: u32,
    /// The member's name; absent if the member is dead or has left.
    #[n(3)]
    pub name: Option<String>,
    /// The member's address; absent if the member is dead or has left.
    #[cbor(n(4), with = "optional_address_codec")]
    pub address: Option<SocketAddr>,
}

/// Which processes a member endorses and lists (see `quorum/endorsement.rs`), as sums of hashes. An absent sum equals
/// that of the first assertion in the datagram, which is the one made by the sender.
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

/// One page of a text that is split over several datagrams.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Page {
    /// Zero-based index of the page.
    #[n(0)]
    pub index: u16,
    /// Number of pages of the text.
    #[n(1)]
    pub total: u16,
    /// The part of the text that this page holds.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}

/// The body of a datagram. Which fields after `kind` are used depends on the kind.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Datagram {
    /// The sending process.
    #[n(0)]
    pub sender: Identity,
    /// Sequence number, incremented with every datagram of a process; a receiver accepts each number once.
    #[n(1)]
    pub sequence: u64,
    /// Instance id of the intended receiver; 0 if it is unknown.
    #[n(2)]
    pub recipient: u64,
    /// One of [`kind`].
    #[n(3)]
    pub kind: u8,
    /// Matches a response to its request.
    #[n(4)]
    pub request_id: u64,
    /// The member that the datagram refers to; in an ack, the request id that the final ack repeats.
    #[n(5)]
    pub subject: u64,
    /// Sum of the hashes of all processes that the sender believes present, itself included.
    #[n(6)]
    pub digest: u64,
    /// Gossip updates.
    #[n(7)]
    pub updates: Vec<GossipUpdate>,
    /// Assertions made by members; the sender's own assertion is the first.
    #[n(8)]
    pub assertions: Vec<Assertion>,
    /// A page of a status reply.
    #[n(9)]
    pub page: Option<Page>,
    /// Opaque payload of the application.
    #[cbor(n(10), with = "minicbor::bytes")]
    pub payload: Option<Vec<u8>>,
}

impl Datagram {
    /// Creates a datagram with empty optional fields and sequence number 0. [`Membership`](crate::Membership) assigns
    /// the sequence numbers of the datagrams that it sends.
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
