//! Messages: what is sealed is read as it was, and nothing else is read.

use milletpath_config_log::message::{Key, LARGEST, ROOM, Refused, VERSION, Vote, open, seal};
use milletpath_config_log::{Ballot, Change, Entry, KEY, Logged, Message, TEXT};
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
        .prop_map(|(number, change, digest)| Logged { entry: Entry { number, change }, digest })
        .boxed();
    let vote = (0..1u64 << 56, 0..1u64 << 56, change()).prop_map(|(number, ballot, change)| Vote {
        number,
        ballot: Ballot(ballot),
        change,
    });
    prop_oneof![
        change().prop_map(|change| Message::Propose { change }),
        vote.prop_map(|vote| Message::Accept { vote }),
        prop::collection::vec(logged.clone(), 0..5).prop_map(|entries| Message::Log { entries }),
        logged.prop_map(|logged| Message::Push { logged }),
        (any::<u64>(), any::<u64>(), prop::option::of(any::<u64>())).prop_map(|(stamp, head, age)| {
            Message::Reply { stamp, head, digest: head, age, about: age, entries: vec![] }
        }),
    ]
}

fn sealed(message: &Message) -> Vec<u8> {
    seal(&key(), message).expect("it is small enough")
}

/// A body of any bytes, sealed rightly.
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
    fn what_is_sealed_is_read_as_it_was(message in message()) {
        prop_assert_eq!(open(&key(), &sealed(&message)), Ok(message));
    }

    #[test]
    fn what_is_changed_on_its_way_is_not_read(message in message(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut datagram = sealed(&message);
        let at = at.index(datagram.len());
        datagram[at] ^= 1 << bit;
        prop_assert!(open(&key(), &datagram).is_err());
    }

    #[test]
    fn garbage_is_refused_and_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(open(&key(), &bytes).is_err());
    }

    /// Whoever has the key may be wrong, too.
    #[test]
    fn a_sealed_body_of_any_bytes_does_not_panic(message in message(), cut in any::<prop::sample::Index>(), with in any::<u8>()) {
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
fn another_key_reads_nothing() {
    let datagram = sealed(&Message::Get { key: "a".into() });
    assert_eq!(open(&Key::new(b"another"), &datagram), Err(Refused::Seal));
}

#[test]
fn versions_kinds_and_sizes_are_told_apart() {
    let mut datagram = sealed(&Message::Get { key: "a".into() });
    datagram[0] = 0;
    assert_eq!(open(&key(), &datagram), Err(Refused::Version(0)));
    assert_eq!(open(&key(), &datagram[..17]), Err(Refused::Size));
    assert_eq!(open(&key(), &vec![1; LARGEST + 1]), Err(Refused::Size));
    // [200, {}]: a kind of a later version.
    assert_eq!(open(&key(), &sealed_body(&[0x82, 0x18, 200, 0xa0])), Err(Refused::Kind(200)));
}

/// `Get` with a field 9 that this program doesn't know: [3, {0: "a", 9: 5}].
#[test]
fn a_field_of_a_later_version_is_passed_over() {
    let body = [0x82, 3, 0xa2, 0, 0x61, b'a', 9, 5];
    assert_eq!(open(&key(), &sealed_body(&body)), Ok(Message::Get { key: "a".into() }));
}

#[test]
fn what_breaks_a_bound_is_not_read_but_for_a_proposal() {
    let change =
        |text: usize| Change { id: 1, key: "k".repeat(KEY), text: Some("x".repeat(text)), replaces: 0 };
    let vote = |text| Vote { number: 1, ballot: Ballot(9), change: change(text) };
    assert_eq!(open(&key(), &sealed(&Message::Accept { vote: vote(TEXT + 1) })), Err(Refused::Body));
    assert!(open(&key(), &sealed(&Message::Accept { vote: vote(TEXT) })).is_ok());
    assert!(open(&key(), &sealed(&Message::Propose { change: change(TEXT + 1) })).is_ok());
    let high = Message::Outvoted { ballot: Ballot(u64::MAX) };
    assert_eq!(open(&key(), &sealed(&high)), Err(Refused::Body));
}

/// The largest of each kind that carries entries, with the largest numbers that occur.
#[test]
fn the_largest_messages_pass_in_one_datagram() {
    let change =
        Change { id: u64::MAX, key: "k".repeat(KEY), text: Some("x".repeat(TEXT)), replaces: 1 << 40 };
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
    assert!(seal(&key(), &promise).is_some());
    // As many small ones as a page has room for, each counted with what stands around it at most.
    let small = Change { id: u64::MAX, key: "k".into(), text: None, replaces: u64::MAX };
    let logged = Logged { entry: Entry { number: u64::MAX, change: small }, digest: u64::MAX };
    let entries = vec![logged; ROOM / 65];
    let max = Some(u64::MAX);
    let reply =
        Message::Reply { stamp: u64::MAX, head: u64::MAX, digest: u64::MAX, age: max, about: max, entries };
    assert!(seal(&key(), &reply).is_some());
}
