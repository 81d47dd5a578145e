//! Sealing and opening of messages: only a sealed message opens, and it opens unchanged.

use milletpath_config_log::message::{
    Key, MAX_DATAGRAM_BYTES, MAX_ENTRIES_BYTES, OpenError, VERSION, Vote, open, seal,
};
use milletpath_config_log::{Ballot, Change, Entry, LoggedEntry, MAX_KEY_BYTES, MAX_TEXT_BYTES, Message};
use proptest::prelude::*;

fn key() -> Key {
    Key::new(b"thirty-two bytes of chance or so")
}

fn change() -> impl Strategy<Value = Change> {
    let text = prop::option::of("[a-z=\\n ]{0,40}");
    (any::<u64>(), "[a-z]{0,20}", text, any::<u64>()).prop_map(|(id, key, text, replaces)| Change {
        id,
        key,
        text,
        replaces,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let logged = (any::<u64>(), change(), any::<u64>())
        .prop_map(|(number, change, digest)| LoggedEntry { entry: Entry { number, change }, digest })
        .boxed();
    let vote = (0..1u64 << 56, 0..1u64 << 56, change()).prop_map(|(number, ballot, change)| Vote {
        number,
        ballot: Ballot(ballot),
        change,
    });
    prop_oneof![
        change().prop_map(|change| Message::Propose { change }),
        vote.prop_map(|vote| Message::Accept { vote }),
        prop::collection::vec(logged.clone(), 0..5).prop_map(|entries| Message::LogEntries { entries }),
        logged.prop_map(|logged| Message::Push { logged }),
        (any::<u64>(), any::<u64>(), prop::option::of(any::<u64>())).prop_map(
            |(request_id, head, confirmed_age_ms)| {
                Message::PollReply {
                    request_id,
                    head,
                    digest: head,
                    confirmed_age_ms,
                    queried_digest: confirmed_age_ms,
                    entries: vec![],
                }
            }
        ),
    ]
}

fn sealed(message: &Message) -> Vec<u8> {
    seal(&key(), message).expect("the message fits into a datagram")
}

/// A datagram with an arbitrary body and a valid tag.
fn sealed_body(body: &[u8]) -> Vec<u8> {
    let key = blake3::derive_key(
        "milletpath 2026-12 changes of configuration",
        b"thirty-two bytes of chance or so",
    );
    let hash = blake3::Hasher::new_keyed(&key).update(&[VERSION]).update(body).finalize();
    [&[VERSION][..], &hash.as_bytes()[..16], body].concat()
}

proptest! {
    #[test]
    fn a_sealed_message_opens_unchanged(message in message()) {
        prop_assert_eq!(open(&key(), &sealed(&message)), Ok(message));
    }

    #[test]
    fn a_datagram_with_a_flipped_bit_is_rejected(message in message(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut datagram = sealed(&message);
        let at = at.index(datagram.len());
        datagram[at] ^= 1 << bit;
        prop_assert!(open(&key(), &datagram).is_err());
    }

    #[test]
    fn garbage_is_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(open(&key(), &bytes).is_err());
    }

    /// A program that has the key may still be faulty.
    #[test]
    fn any_authenticated_body_is_decoded_without_a_panic(
        message in message(),
        cut in any::<prop::sample::Index>(),
        with in any::<u8>(),
    ) {
        let mut body = sealed(&message)[17..].to_vec();
        let at = cut.index(body.len());
        body[at] = with;
        if let Ok(read) = open(&key(), &sealed_body(&body)) {
            prop_assert!(read.fits());
        }
        prop_assert!(open(&key(), &sealed_body(&body[..at.max(1)])).is_err());
    }
}

#[test]
fn a_datagram_sealed_with_another_key_is_rejected() {
    let datagram = sealed(&Message::Get { key: "a".into() });
    assert_eq!(open(&Key::new(b"another"), &datagram), Err(OpenError::InvalidTag));
}

#[test]
fn unsupported_versions_sizes_and_kinds_have_errors_of_their_own() {
    let mut datagram = sealed(&Message::Get { key: "a".into() });
    datagram[0] = 0;
    assert_eq!(open(&key(), &datagram), Err(OpenError::UnsupportedVersion(0)));
    assert_eq!(open(&key(), &datagram[..17]), Err(OpenError::InvalidSize));
    assert_eq!(open(&key(), &vec![1; MAX_DATAGRAM_BYTES + 1]), Err(OpenError::InvalidSize));
    // [200, {}]: a message kind of a later release.
    assert_eq!(open(&key(), &sealed_body(&[0x82, 0x18, 200, 0xa0])), Err(OpenError::UnknownKind(200)));
}

/// `Get` with an unknown field 9: [3, {0: "a", 9: 5}].
#[test]
fn an_unknown_field_is_skipped() {
    let body = [0x82, 3, 0xa2, 0, 0x61, b'a', 9, 5];
    assert_eq!(open(&key(), &sealed_body(&body)), Ok(Message::Get { key: "a".into() }));
}

#[test]
fn out_of_bounds_messages_are_rejected_except_proposals() {
    let change = |text: usize| Change {
        id: 1,
        key: "k".repeat(MAX_KEY_BYTES),
        text: Some("x".repeat(text)),
        replaces: 0,
    };
    let vote = |text| Vote { number: 1, ballot: Ballot(9), change: change(text) };
    assert_eq!(
        open(&key(), &sealed(&Message::Accept { vote: vote(MAX_TEXT_BYTES + 1) })),
        Err(OpenError::InvalidBody)
    );
    assert!(open(&key(), &sealed(&Message::Accept { vote: vote(MAX_TEXT_BYTES) })).is_ok());
    assert!(open(&key(), &sealed(&Message::Propose { change: change(MAX_TEXT_BYTES + 1) })).is_ok());
    let high = Message::Preempted { ballot: Ballot(u64::MAX) };
    assert_eq!(open(&key(), &sealed(&high)), Err(OpenError::InvalidBody));
}

/// The largest promise and the largest poll reply, with the largest numbers that occur.
#[test]
fn the_largest_messages_fit_into_one_datagram() {
    let change = Change {
        id: u64::MAX,
        key: "k".repeat(MAX_KEY_BYTES),
        text: Some("x".repeat(MAX_TEXT_BYTES)),
        replaces: 1 << 40,
    };
    let vote = Vote { number: 1 << 32, ballot: Ballot(1 << 40), change: change.clone() };
    let slots = (0..64).map(|n| (1 << 31) + n).collect();
    let promise = Message::Promise {
        ballot: Ballot(1 << 40),
        attempt: u64::MAX,
        votes: true,
        head: 1 << 31,
        slots,
        vote: Some(vote),
    };
    assert!(seal(&key(), &promise).is_ok());
    // As many small entries as the limit admits: each counts 65 bytes, one of key and 64 of overhead.
    let small = Change { id: u64::MAX, key: "k".into(), text: None, replaces: u64::MAX };
    let logged = LoggedEntry { entry: Entry { number: u64::MAX, change: small }, digest: u64::MAX };
    let entries = vec![logged; MAX_ENTRIES_BYTES / 65];
    let max = Some(u64::MAX);
    let reply = Message::PollReply {
        request_id: u64::MAX,
        head: u64::MAX,
        digest: u64::MAX,
        confirmed_age_ms: max,
        queried_digest: max,
        entries,
    };
    assert!(seal(&key(), &reply).is_ok());
}
