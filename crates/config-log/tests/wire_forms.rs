//! Compatibility of formats that other programs and releases read: each message kind, each record of a stored log, a
//! follower's saved state and the JSON for operators stay byte for byte as released. The fixture was written by the
//! release of 2026-12-02.

use milletpath_config_log::message::{ApplyError, Key, Progress, Vote, seal};
use milletpath_config_log::{
    Ballot, Change, Counters, Entry, Follower, FollowerConfig, FollowerStatus, FollowerView, LoggedEntry,
    Message, Outcome, Record, ReplicaStatus, ReplicaView, Timing,
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

fn logged() -> LoggedEntry {
    LoggedEntry { entry: entry(), digest: 11 }
}

fn vote() -> Vote {
    Vote { number: 5, ballot: Ballot(17), change: change() }
}

fn apply_error() -> ApplyError {
    ApplyError { number: 4, reason: "unknown key".into() }
}

fn progress() -> Progress {
    Progress { head: 5, digest: 11, highest_accepted: 6, ballot: Ballot(17), votes: true }
}

fn messages_of_authors() -> Vec<Message> {
    let outcomes = [
        Outcome::Committed(5),
        Outcome::Superseded(4),
        Outcome::Unknown,
        Outcome::TooLarge,
        Outcome::Full,
        Outcome::Busy,
        Outcome::EmptyKey,
    ];
    let mut messages = vec![Message::Propose { change: change() }];
    messages.extend(outcomes.map(|outcome| Message::ProposalResult { id: 7, outcome }));
    messages.extend([
        Message::Get { key: "function a".into() },
        Message::GetReply {
            key: "function a".into(),
            number: 5,
            text: Some("x".into()),
            head: 6,
            confirmed_age_ms: Some(20),
        },
        Message::StatusRequest { query_id: 9, page: 1 },
        Message::StatusPage { query_id: 9, page: 1, page_count: 2, bytes: b"{}".to_vec() },
        Message::ChangeDenied { id: 7, reason: "line 1: unknown key".into() },
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
        Message::Preempted { ballot: Ballot(17) },
        Message::Heartbeat { request_id: 10, progress: progress() },
        Message::HeartbeatReply { request_id: 10, progress: progress() },
        Message::Fetch { after: 4, pages: 8, snapshot: true },
        Message::LogEntries { entries: vec![logged()] },
        Message::SnapshotPage { after: 4, through: 5, entries: vec![entry()], head: 6, digest: 11 },
    ]
}

fn messages_of_followers() -> Vec<Message> {
    vec![
        Message::Poll {
            name: "gateway-1".into(),
            number: 5,
            digest: 11,
            queried_number: 4,
            request_id: 10,
            apply_error: Some(apply_error()),
        },
        Message::PollReply {
            request_id: 10,
            head: 5,
            digest: 11,
            confirmed_age_ms: Some(20),
            queried_digest: None,
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
        Record::SnapshotHead { head: 5, digest: 11 },
    ]
}

/// The saved state of a follower of one replica after two entries.
fn saved_state() -> Vec<u8> {
    let replica = SocketAddr::from(([10, 0, 0, 1], 7500));
    let mut follower = Follower::new(
        FollowerConfig {
            name: "gateway-1".into(),
            replicas: vec![replica],
            timing: Timing::default(),
            seed: 1,
        },
        0.0,
        None,
    );
    let mut state = milletpath_config_log::State::default();
    for (number, replaces) in [(1, 0), (2, 1)] {
        let entry = Entry { number, change: Change { id: number, replaces, ..change() } };
        state.apply(entry.clone());
        follower.receive(
            0.0,
            replica,
            Message::Push { logged: LoggedEntry { entry, digest: state.digest() } },
        );
    }
    follower.save()
}

fn counters() -> Counters {
    Counters {
        sent: 1,
        received: 2,
        unexpected: 3,
        dropped: 4,
        rejected_followers: 5,
        prepares: 6,
        preempted: 7,
        proposals: 8,
        expired_proposals: 9,
        conflicts: 10,
    }
}

fn replica_view() -> ReplicaView {
    ReplicaView {
        own_index: 1,
        replicas: 3,
        number: 5,
        digest: 11,
        votes: true,
        leads: false,
        ballot: 17,
        committed: 2,
        majority: true,
        confirmed_age: Some(0.5),
        reachable: vec![0, 1],
        followers: vec![FollowerStatus {
            name: "gateway-1".into(),
            number: 4,
            seconds_since_contact: 0.25,
            apply_error: Some(apply_error()),
        }],
        counters: counters(),
    }
}

fn follower_view() -> FollowerView {
    FollowerView {
        name: "gateway-1".into(),
        number: 5,
        digest: 11,
        follows: vec![0, 2],
        replicas: vec![ReplicaStatus {
            replica: 0,
            seconds_since_contact: Some(0.25),
            head: 6,
            conflicts: 1,
        }],
        confirmed_age: None,
        known: 6,
        behind: true,
        conflicts: 1,
        rebuilds: 2,
        apply_error: Some(apply_error()),
        counters: counters(),
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
        let datagram = seal(&key, &message).expect("the message fits into a datagram");
        writeln!(forms, "message {}", hex(&datagram)).expect("writing to a string cannot fail");
    }
    for record in records() {
        let bytes = minicbor::to_vec(&record).expect("writing to a vector cannot fail");
        writeln!(forms, "record {}", hex(&bytes)).expect("writing to a string cannot fail");
    }
    writeln!(forms, "saved {}", hex(&saved_state())).expect("writing to a string cannot fail");
    let replica_json = serde_json::to_string(&replica_view()).expect("the view is serializable");
    let follower_json = serde_json::to_string(&follower_view()).expect("the view is serializable");
    writeln!(forms, "replica {replica_json}\nfollower {follower_json}")
        .expect("writing to a string cannot fail");
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
