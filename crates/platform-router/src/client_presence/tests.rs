use super::*;

/// A client that has sent little is connected as of the read that emptied its socket.
#[test]
fn a_short_message_confirms_its_client() {
    let mut presence = ClientPresence::new(0.0);
    presence.received(5.0, 200, true);
    assert!(presence.is_recent(5.0) && !presence.is_recent(5.1));
}

/// After a backlog an empty socket shows nothing until no byte has followed for a while.
#[test]
fn a_backlog_has_to_settle() {
    let mut presence = ClientPresence::new(0.0);
    presence.received(5.0, HIDING_BYTES, false);
    presence.received(5.0, 10, true);
    assert!(!presence.is_recent(5.0));
    assert_eq!(presence.on_empty(5.0), Presence::Unsettled);
    assert_eq!(presence.on_empty(5.0 + 2.0 * ClientPresence::settles_after()), Presence::Confirmed);
    assert!(presence.is_recent(5.01));
}

/// A client that was confirmed right before a backlog can't have left long ago.
#[test]
fn a_backlog_right_after_a_confirmation_need_not_settle() {
    let mut presence = ClientPresence::new(0.0);
    presence.received(5.0, 200, true);
    presence.received(5.05, HIDING_BYTES, true);
    assert_eq!(presence.on_empty(5.05), Presence::Confirmed);
    assert_eq!(presence.on_empty(5.0511), Presence::Confirmed);
}
