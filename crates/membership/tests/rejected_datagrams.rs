//! Datagrams that are rejected on opening, and datagrams that the protocol ignores.

use milletpath_membership::datagram::{
    self, Datagram, Identity, Key, MAX_DATAGRAM_BYTES, OpenError, SealError, kind,
};
use milletpath_membership::{Counters, Membership, MembershipConfig};
use std::net::SocketAddr;
use test_case::test_case;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7400))
}

fn identity(instance_id: u64) -> Identity {
    let name = format!("gateway-{instance_id}");
    Identity { instance_id, name, address: address(instance_id as u8), incarnation: 0, max_gateways: 3 }
}

fn key() -> Key {
    Key::new(b"thirty-two bytes of a test's key")
}

fn sealed_ping() -> Vec<u8> {
    datagram::seal(&key(), &Datagram::new(identity(2), 1, kind::PING, 1)).expect("the datagram fits")
}

#[test_case(&[]; "empty")]
#[test_case(&[1; 17]; "nothing but version and tag")]
#[test_case(&[1; MAX_DATAGRAM_BYTES + 1]; "too large")]
fn a_datagram_of_a_wrong_size_is_rejected(sealed: &[u8]) {
    assert_eq!(datagram::open(&key(), sealed), Err(OpenError::InvalidSize));
}

#[test]
fn a_datagram_of_version_zero_is_rejected() {
    let mut sealed = sealed_ping();
    sealed[0] = 0;
    assert_eq!(datagram::open(&key(), &sealed), Err(OpenError::UnsupportedVersion(0)));
}

#[test]
fn a_datagram_with_any_changed_byte_is_rejected() {
    let sealed = sealed_ping();
    for index in 1..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        assert_eq!(datagram::open(&key(), &changed), Err(OpenError::InvalidTag), "byte {index}");
    }
    assert_eq!(datagram::open(&Key::new(b"another secret"), &sealed), Err(OpenError::InvalidTag));
}

#[test_case(String::new(); "without a name")]
#[test_case("n".repeat(65); "with a name that is too long")]
fn an_authentic_datagram_is_rejected(name: String) {
    let sender = Identity { name, ..identity(2) };
    let sealed = datagram::seal(&key(), &Datagram::new(sender, 1, kind::PING, 1)).expect("the datagram fits");
    assert_eq!(datagram::open(&key(), &sealed), Err(OpenError::InvalidBody));
    assert_eq!(datagram::decode_unverified(&sealed), None);
}

#[test]
fn a_datagram_that_would_be_too_large_is_not_sealed() {
    let mut datagram = Datagram::new(identity(1), 2, kind::PAYLOAD, 0);
    datagram.payload = Some(vec![0; MAX_DATAGRAM_BYTES]);
    assert!(matches!(datagram::seal(&key(), &datagram), Err(SealError::TooLarge)));
}

#[test]
fn rejections_are_counted_by_cause() {
    let mut counters = Counters::default();
    for error in [
        OpenError::InvalidSize,
        OpenError::UnsupportedVersion(0),
        OpenError::InvalidTag,
        OpenError::InvalidTag,
        OpenError::InvalidBody,
    ] {
        counters.record_rejected(error);
    }
    assert_eq!((counters.rejected_size, counters.rejected_version), (1, 1));
    assert_eq!((counters.rejected_seal, counters.rejected_body), (2, 1));
    assert_eq!(counters.rejected(), 5);
}

#[test]
fn replayed_misaddressed_and_own_datagrams_are_ignored() {
    let mut membership = Membership::new(identity(1), MembershipConfig::default(), Vec::new(), 1, 0.0);
    let from = |instance_id: u64, recipient: u64, sequence: u64| {
        let mut ping = Datagram::new(identity(instance_id), recipient, kind::PING, sequence);
        ping.sequence = sequence;
        ping
    };
    membership.receive(0.1, from(2, 1, 5));
    membership.receive(0.1, from(2, 1, 5));
    membership.receive(0.1, from(2, 77, 6));
    membership.receive(0.1, from(1, 1, 7));
    let counters = *membership.counters_mut();
    assert_eq!((counters.accepted, counters.replayed), (1, 1));
    assert_eq!((counters.misaddressed, counters.echoes), (1, 1));
}
