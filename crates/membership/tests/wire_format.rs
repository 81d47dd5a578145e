//! Datagrams and the operators' view, byte for byte as gateways of earlier versions write and read them.

mod net;

use milletpath_membership::letter::{self, Key, Letter, Page, Rumour, Saying, Who, matter};
use milletpath_membership::{Peers, Terms};
use net::{Net, lossy};
use std::fmt::Write;
use std::net::SocketAddr;

const FIXTURE: &str = include_str!("fixtures/datagrams.txt");
const VIEW: &str = include_str!("fixtures/view.json");

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7400))
}

fn who(life: u64) -> Who {
    Who { life, name: format!("gateway-{life}"), at: address(life as u8), incarnation: 3, most: 12 }
}

fn key() -> Key {
    Key::new(b"thirty-two bytes of a test's key")
}

/// One datagram of each kind, with the fields that the kind uses, and one with every field.
fn examples() -> Vec<(&'static str, Letter)> {
    let rumours = || {
        vec![
            Rumour {
                life: 7,
                state: 1,
                incarnation: 2,
                name: Some("gateway-7".into()),
                at: Some(address(7)),
            },
            Rumour {
                life: 8,
                state: 0,
                incarnation: 0,
                name: Some("gateway-8".into()),
                at: "[2001:db8::8]:7400".parse().ok(),
            },
            Rumour { life: u64::MAX, state: 2, incarnation: 5, name: None, at: None },
        ]
    };
    let sayings = || {
        vec![
            Saying { life: 1, age: 0, backed: Some(11), listed: Some(22) },
            Saying { life: 7, age: 1234, backed: None, listed: Some(33) },
        ]
    };
    let of = |matter: u8, number: u64, fill: &dyn Fn(&mut Letter)| {
        let mut letter = Letter::new(who(1), 2, matter, number);
        letter.serial = 40 + u64::from(matter);
        fill(&mut letter);
        letter
    };
    vec![
        ("ping", of(matter::PING, 9, &|l| l.rumours = rumours())),
        ("ack", of(matter::ACK, 9, &|l| (l.about, l.rumours, l.sayings) = (10, rumours(), sayings()))),
        ("seek", of(matter::SEEK, 11, &|l| l.about = 7)),
        ("found", of(matter::FOUND, 11, &|l| (l.about, l.sayings) = (7, sayings()))),
        ("exchange", of(matter::EXCHANGE, 1, &|l| l.digest = u64::MAX - 1)),
        ("table", of(matter::TABLE, 0, &|l| l.rumours = rumours())),
        ("leave", of(matter::LEAVE, 0, &|_| {})),
        ("tell", of(matter::TELL, 0, &|l| l.rumours = rumours())),
        ("ask", of(matter::ASK, 2, &|_| {})),
        ("told", of(matter::TOLD, 2, &|l| l.page = Some(Page { number: 1, of: 3, bytes: vec![0, 1, 255] }))),
        ("thanks", of(matter::THANKS, 10, &|l| l.sayings = sayings())),
        ("note", of(matter::NOTE, 0, &|l| l.note = Some(vec![1, 2, 3]))),
        (
            "every field",
            of(200, 5, &|l| {
                (l.about, l.digest, l.rumours, l.sayings) = (6, 7, rumours(), sayings());
                l.page = Some(Page { number: 0, of: 1, bytes: vec![9] });
                l.note = Some(vec![]);
            }),
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|n| u8::from_str_radix(&text[n..n + 2], 16).expect("hex")).collect()
}

fn fixture(name: &str) -> &'static str {
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("no line of {name} in the fixture"))
}

#[test]
fn a_datagram_of_each_kind_is_written_byte_for_byte_as_before() {
    for (name, letter) in examples() {
        let sealed = letter::seal(&key(), &letter).expect("it fits");
        assert_eq!(hex(&sealed), fixture(name), "{name}: {}", hex(&sealed));
    }
}

#[test]
fn a_datagram_of_each_kind_written_before_is_read() {
    for (name, letter) in examples() {
        assert_eq!(letter::open(&key(), &unhex(fixture(name))), Ok(letter), "{name}");
    }
}

/// A fleet with lost datagrams, killed and restarted processes: every datagram that any of them sends.
#[test]
fn a_simulated_fleet_sends_the_same_datagrams_as_before() {
    let mut net = Net::new(5, 1, Terms { floor: 0.5, ..Terms::default() }, 42);
    net.begin_all();
    net.play(6.0);
    net.rule = lossy(0.2);
    net.play(12.0);
    net.kill(1);
    net.play(18.0);
    net.begin(1);
    net.leave(2);
    net.play(24.0);
    assert_eq!(format!("{:016x}", net.transcript), fixture("transcript"));
}

#[test]
fn the_view_of_operators_keeps_its_json() {
    let mut peers = Peers::new(who(1), Terms::default(), vec![address(2)], 5, 100.0);
    let mut hello = Letter::new(who(2), 1, matter::PING, 4);
    hello.serial = 1;
    peers.heard(100.5, hello);
    while let Some(sent) = peers.out() {
        if sent.letter.matter == matter::ACK {
            let mut thanks = Letter::new(who(2), 1, matter::THANKS, sent.letter.about);
            thanks.serial = 2;
            thanks.sayings = vec![Saying { life: 2, age: 0, backed: Some(1), listed: Some(2) }];
            peers.heard(100.75, thanks);
        }
    }
    let view = serde_json::to_string(&peers.view(101.0)).expect("a view is JSON");
    assert_eq!(view, VIEW.trim_end());
}
