use super::*;

/// A peer that has sent little is connected as of the read that emptied its socket.
#[test]
fn a_short_message_confirms_its_peer() {
    let mut presence = PeerPresence::new(0.0);
    presence.received(5.0, Some(1.0), 200, true);
    assert!(presence.is_recent(5.0) && !presence.is_recent(5.1));
}

/// A long message that comes to an empty socket and is read at once shows that its peer was there a moment ago.
#[test]
fn a_long_message_that_is_read_at_once_confirms_its_peer() {
    let mut presence = PeerPresence::new(0.0);
    presence.received(5.0, Some(5.0), HIDING_BYTES, true);
    assert_eq!(presence.on_empty(5.0, false), Presence::Confirmed);
}

/// After a backlog that was read late, an empty socket shows nothing until no byte has followed for a while.
#[test_case::test_case(Some(4.7); "after a pause of the process")]
#[test_case::test_case(None; "that was not read before")]
fn a_backlog_has_to_settle(arrived_at: Option<f64>) {
    let mut presence = PeerPresence::new(0.0);
    presence.received(5.0, arrived_at, HIDING_BYTES, false);
    presence.received(5.005, Some(5.005), 10, true);
    assert!(!presence.is_recent(5.005));
    assert_eq!(presence.on_empty(5.005, false), Presence::Unsettled);
    let settled = 5.005 + 2.0 * PeerPresence::settles_after();
    assert_eq!(presence.on_empty(settled, true), Presence::Unknown);
    assert_eq!(presence.on_empty(settled, false), Presence::Confirmed);
    assert!(presence.is_recent(5.05));
}
