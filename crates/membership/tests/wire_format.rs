//! Wire compatibility: the encodings of datagrams and of the operators' view must equal, byte for byte, those of
//! earlier versions.

use milletpath_membership::datagram::{self, Assertion, Datagram, GossipUpdate, Identity, Key, Page, kind};
use milletpath_membership::{Membership, MembershipConfig};
use milletpath_test_support::simulated_network::SimulatedNetwork;
use milletpath_test_support::simulated_network::delivery::lossy;
use std::fmt::Write;
use std::net::SocketAddr;

const FIXTURE: &str = include_str!("fixtures/datagrams.txt");
const VIEW: &str = include_str!("fixtures/view.json");

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7400))
}

fn identity(instance_id: u64) -> Identity {
    Identity {
        instance_id,
        name: format!("gateway-{instance_id}"),
        address: address(instance_id as u8),
        incarnation: 3,
        max_gateways: 12,
    }
}

fn key() -> Key {
    Key::new(b"thirty-two bytes of a test's key")
}

/// One datagram of each kind, with the fields used by that kind, and one datagram with every field.
fn examples() -> Vec<(&'static str, Datagram)> {
    let updates = || {
        vec![
            GossipUpdate {
                instance_id: 7,
                state: 1,
                incarnation: 2,
                name: Some("gateway-7".into()),
                address: Some(address(7)),
            },
            GossipUpdate {
                instance_id: 8,
                state: 0,
                incarnation: 0,
                name: Some("gateway-8".into()),
                address: "[2001:db8::8]:7400".parse().ok(),
            },
            GossipUpdate { instance_id: u64::MAX, state: 2, incarnation: 5, name: None, address: None },
        ]
    };
    let assertions = || {
        vec![
            Assertion { instance_id: 1, age: 0, endorsed: Some(11), listed: Some(22) },
            Assertion { instance_id: 7, age: 1234, endorsed: None, listed: Some(33) },
        ]
    };
    let of = |kind: u8, request_id: u64, fill: &dyn Fn(&mut Datagram)| {
        let mut datagram = Datagram::new(identity(1), 2, kind, request_id);
        datagram.sequence = 40 + u64::from(kind);
        fill(&mut datagram);
        datagram
    };
    vec![
        ("ping", of(kind::PING, 9, &|d| d.updates = updates())),
        ("ack", of(kind::ACK, 9, &|d| (d.subject, d.updates, d.assertions) = (10, updates(), assertions()))),
        ("ping request", of(kind::PING_REQUEST, 11, &|d| d.subject = 7)),
        ("indirect ack", of(kind::INDIRECT_ACK, 11, &|d| (d.subject, d.assertions) = (7, assertions()))),
        ("digest", of(kind::DIGEST, 1, &|d| d.digest = u64::MAX - 1)),
        ("member table", of(kind::MEMBER_TABLE, 0, &|d| d.updates = updates())),
        ("departure", of(kind::DEPARTURE, 0, &|_| {})),
        ("announce", of(kind::ANNOUNCE, 0, &|d| d.updates = updates())),
        ("status query", of(kind::STATUS_QUERY, 2, &|_| {})),
        (
            "status reply",
            of(kind::STATUS_REPLY, 2, &|d| {
                d.page = Some(Page { index: 1, total: 3, bytes: vec![0, 1, 255] });
            }),
        ),
        ("final ack", of(kind::FINAL_ACK, 10, &|d| d.assertions = assertions())),
        ("payload", of(kind::PAYLOAD, 0, &|d| d.payload = Some(vec![1, 2, 3]))),
        (
            "every field",
            of(200, 5, &|d| {
                (d.subject, d.digest, d.updates, d.assertions) = (6, 7, updates(), assertions());
                d.page = Some(Page { index: 0, total: 1, bytes: vec![9] });
                d.payload = Some(vec![]);
            }),
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|n| u8::from_str_radix(&text[n..n + 2], 16).expect("valid hex")).collect()
}

fn fixture(name: &str) -> &'static str {
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("the fixture has no line for {name}"))
}

#[test]
fn each_kind_of_datagram_is_encoded_byte_for_byte_as_before() {
    for (name, datagram) in examples() {
        let sealed = datagram::seal(&key(), &datagram).expect("the datagram fits");
        assert_eq!(hex(&sealed), fixture(name), "{name}: {}", hex(&sealed));
    }
}

#[test]
fn each_kind_of_datagram_encoded_before_is_decoded() {
    for (name, datagram) in examples() {
        assert_eq!(datagram::open(&key(), &unhex(fixture(name))), Ok(datagram), "{name}");
    }
}

/// Compares a hash of every datagram sent in a cluster with lost datagrams and killed and restarted processes.
#[test]
fn a_simulated_cluster_sends_the_same_datagrams_as_before() {
    let mut network =
        SimulatedNetwork::new(5, 1, MembershipConfig { floor: 0.5, ..MembershipConfig::default() }, 42);
    network.start_all();
    network.run_until(6.0);
    network.delivery_rule = lossy(0.2);
    network.run_until(12.0);
    network.kill(1);
    network.run_until(18.0);
    network.start(1);
    network.depart(2);
    network.run_until(24.0);
    assert_eq!(format!("{:016x}", network.transcript_hash), fixture("transcript"));
}

#[test]
fn the_operator_view_keeps_its_json() {
    let mut membership =
        Membership::new(identity(1), MembershipConfig::default(), vec![address(2)], 5, 100.0);
    let mut ping = Datagram::new(identity(2), 1, kind::PING, 4);
    ping.sequence = 1;
    membership.receive(100.5, ping);
    while let Some(sent) = membership.next_outgoing() {
        if sent.datagram.kind == kind::ACK {
            let mut final_ack = Datagram::new(identity(2), 1, kind::FINAL_ACK, sent.datagram.subject);
            final_ack.sequence = 2;
            final_ack.assertions =
                vec![Assertion { instance_id: 2, age: 0, endorsed: Some(1), listed: Some(2) }];
            membership.receive(100.75, final_ack);
        }
    }
    let view = serde_json::to_string(&membership.view(101.0)).expect("the view can be serialized");
    assert_eq!(view, VIEW.trim_end());
}
