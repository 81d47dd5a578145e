//! What other programs read stays byte for byte as it was released: each message kind, each record of a stored log, the
//! saved state of a follower and the JSON that operators read. The fixture was written by the release of 2026-12-02.

use milletpath_config_log::message::{Key, Refusal, Standing, Vote, seal};
use milletpath_config_log::{
    Ballot, Change, Entry, Followed, Follower, FollowerView, Logged, Message, Outcome, Record, ReplicaView,
    Seen, Tally, Terms,
};
use std::fmt::Write;
use std::net::SocketAddr;

const FIXTURE: &str = include_str!("fixtures/wire_forms.txt");

fn change() -> Change {
    Change { id: 7, key: "function a".into(), text: Some("lanes = 2".into()), replaces: 3 }
}

fn entry() -> Entry {
    Entry { number: 5, change: change() }
}

fn logged() -> Logged {
    Logged { entry: entry(), digest: 11 }
}

fn vote() -> Vote {
    Vote { number: 5, ballot: Ballot(17), change: change() }
}

fn refusal() -> Refusal {
    Refusal { number: 4, why: "unknown key".into() }
}

fn standing() -> Standing {
    Standing { head: 5, digest: 11, top: 6, ballot: Ballot(17), votes: true }
}

fn messages_of_authors() -> Vec<Message> {
    let outcomes = [
        Outcome::Committed(5),
        Outcome::Superseded(4),
        Outcome::Unknown,
        Outcome::TooLarge,
        Outcome::Full,
        Outcome::Busy,
        Outcome::NoKey,
    ];
    let mut messages = vec![Message::Propose { change: change() }];
    messages.extend(outcomes.map(|outcome| Message::Proposed { id: 7, outcome }));
    messages.extend([
        Message::Get { key: "function a".into() },
        Message::Got { key: "function a".into(), number: 5, text: Some("x".into()), head: 6, age: Some(20) },
        Message::Status { ask: 9, page: 1 },
        Message::StatusPage { ask: 9, page: 1, of: 2, bytes: b"{}".to_vec() },
        Message::Denied { id: 7, why: "line 1: unknown key".into() },
    ]);
    messages
}

fn messages_of_replicas() -> Vec<Message> {
    let promise = |vote| Message::Promise {
        ballot: Ballot(17),
        attempt: 8,
        votes: true,
        head: 4,
        slots: vec![5, 6],
        vote,
    };
    vec![
        Message::Prepare { ballot: Ballot(17), attempt: 8 },
        promise(Some(vote())),
        promise(None),
        Message::Accept { vote: vote() },
        Message::Accepted { ballot: Ballot(17), number: 5 },
        Message::Outvoted { ballot: Ballot(17) },
        Message::Ask { stamp: 10, standing: standing() },
        Message::Answer { stamp: 10, standing: standing() },
        Message::Fetch { after: 4, pages: 8, compacted: true },
        Message::Log { entries: vec![logged()] },
        Message::Page { after: 4, upto: 5, entries: vec![entry()], head: 6, digest: 11 },
    ]
}

fn messages_of_followers() -> Vec<Message> {
    vec![
        Message::Poll {
            name: "gateway-1".into(),
            number: 5,
            digest: 11,
            about: 4,
            stamp: 10,
            refused: Some(refusal()),
        },
        Message::Reply {
            stamp: 10,
            head: 5,
            digest: 11,
            age: Some(20),
            about: None,
            entries: vec![logged()],
        },
        Message::Push { logged: logged() },
    ]
}

fn records() -> Vec<Record> {
    vec![
        Record::Initialized,
        Record::Readmitted,
        Record::Promised(Ballot(17)),
        Record::Accepted(vote()),
        Record::Chosen(entry()),
        Record::SnapshotEntry(entry()),
        Record::SnapshotHead(5, 11),
    ]
}

/// The state that a follower of one replica saves after two entries.
fn saved_state() -> Vec<u8> {
    let replica = SocketAddr::from(([10, 0, 0, 1], 7500));
    let mut follower = Follower::new("gateway-1".into(), vec![replica], Terms::default(), 1, 0.0, None);
    let mut state = milletpath_config_log::State::default();
    for (number, replaces) in [(1, 0), (2, 1)] {
        let entry = Entry { number, change: Change { id: number, replaces, ..change() } };
        state.apply(entry.clone());
        follower.heard(0.0, replica, Message::Push { logged: Logged { entry, digest: state.digest() } });
    }
    follower.save()
}

fn tally() -> Tally {
    Tally {
        sent: 1,
        taken: 2,
        strange: 3,
        unsent: 4,
        crowded: 5,
        prepared: 6,
        outvoted: 7,
        proposals: 8,
        unknown: 9,
        conflicts: 10,
    }
}

fn replica_view() -> ReplicaView {
    ReplicaView {
        me: 1,
        replicas: 3,
        number: 5,
        digest: 11,
        votes: true,
        leads: false,
        ballot: 17,
        committed: 2,
        majority: true,
        sure_as_of: Some(0.5),
        heard: vec![0, 1],
        followers: vec![Seen {
            name: "gateway-1".into(),
            number: 4,
            heard: 0.25,
            refused: Some((4, "unknown key".into())),
        }],
        tally: tally(),
    }
}

fn follower_view() -> FollowerView {
    FollowerView {
        name: "gateway-1".into(),
        number: 5,
        digest: 11,
        follows: vec![0, 2],
        replicas: vec![Followed { replica: 0, heard: Some(0.25), head: 6, conflicts: 1 }],
        sure_as_of: None,
        known: 6,
        behind: true,
        conflicts: 1,
        anew: 2,
        refused: Some((4, "unknown key".into())),
        tally: tally(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn wire_forms() -> String {
    let key = Key::new(b"thirty-two bytes of chance or so");
    let mut forms = String::new();
    let messages = [messages_of_authors(), messages_of_replicas(), messages_of_followers()].concat();
    for message in messages {
        let datagram = seal(&key, &message).expect("a small message");
        writeln!(forms, "message {}", hex(&datagram)).expect("a string");
    }
    for record in records() {
        let bytes = minicbor::to_vec(&record).expect("a vector takes all");
        writeln!(forms, "record {}", hex(&bytes)).expect("a string");
    }
    writeln!(forms, "saved {}", hex(&saved_state())).expect("a string");
    let replica_json = serde_json::to_string(&replica_view()).expect("plain figures");
    let follower_json = serde_json::to_string(&follower_view()).expect("plain figures");
    writeln!(forms, "replica {replica_json}\nfollower {follower_json}").expect("a string");
    forms
}

#[test]
fn wire_and_stored_forms_are_those_of_the_release_byte_for_byte() {
    let forms = wire_forms();
    for (released, written) in FIXTURE.lines().zip(forms.lines()) {
        assert_eq!(written, released);
    }
    assert_eq!(forms.lines().count(), FIXTURE.lines().count());
}
