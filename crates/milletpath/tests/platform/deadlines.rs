//! The time limit that `milletpath platform` sends with an attempt: at the moment of its first byte at most what the
//! client has left by the client's own clock, with 0.15 s of slack.

use crate::held::{Frame, Held};
use crate::town::{Client, DONE as DELIVERED, Router, bulletin, call, file, probe, wait};
use std::time::{Duration, Instant};
use test_case::test_case;

/// How long the client of [`call`] waits.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// By how much the time limit may be over what the client has left.
const SLACK: Duration = Duration::from_millis(150);
/// For which the process stands still.
const STANDSTILL: Duration = Duration::from_millis(500);
/// Code of a frame with an attempt.
const ATTEMPT: u8 = 2;
/// Answers of workers.
const DONE: u8 = 200;
const ERROR: u8 = 204;

/// Workers load unasked, and a call may wait for long.
fn patient(held: &[&Held], connect_ms: u32) -> String {
    let workers: Vec<_> = held.iter().map(|held| held.address).collect();
    let text = file(&workers, bulletin(vec![]).0, 256);
    text.replace("\"Objective\":400000", "\"Objective\":60000000")
        .replace("\"PlacementCalls\":true", "\"PlacementCalls\":false")
        .replace("\"ConnectTimeout\":250000", &format!("\"ConnectTimeout\":{connect_ms}000"))
}

/// The time limit that an attempt states.
fn budget(attempt: &Frame) -> Duration {
    let stated = attempt.fields.split(',').find_map(|field| field.strip_prefix("budget="));
    Duration::from_millis(stated.and_then(|budget| budget.parse().ok()).expect("a time limit"))
}

/// An attempt whose first byte went no sooner than `earliest`, of a call that was written by `sent`.
fn assert_within(attempt: &Frame, sent: Instant, earliest: Instant) {
    let left = TIMEOUT.saturating_sub(earliest - sent);
    let budget = budget(attempt);
    assert!(budget <= left + SLACK, "{budget:?} where the client has {left:?} left at most");
}

/// The first attempt fails late: the second states what is left then.
#[test]
fn a_retry_states_what_is_left() {
    let workers = [Held::new(), Held::new()];
    let router = Router::by(&patient(&workers.each_ref(), 250));
    let mut client = Client::new(&router);
    client.say(&call(1, 1));
    let sent = Instant::now();
    let mut first = wait(|| workers.iter().find_map(Held::taken)).expect("a connection");
    assert_eq!(first.next(ATTEMPT).expect("the first attempt").id, 1);
    std::thread::sleep(Duration::from_millis(800));
    let failed = Instant::now();
    first.answer(ERROR, 1);
    let mut other = wait(|| workers.iter().find_map(Held::taken)).expect("another connection");
    assert_within(&other.next(ATTEMPT).expect("the retry"), sent, failed);
    other.answer(DONE, 1);
    assert!(client.hear().contains(DELIVERED));
}

/// The attempt is decided at once, and its connection comes up a second later.
#[test]
fn an_attempt_whose_connection_comes_up_late_states_what_is_left() {
    let (held, filler) = Held::crowded();
    let router = Router::by(&patient(&[&held], 3000));
    let mut client = Client::new(&router);
    client.say(&call(1, 1));
    let sent = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    let makes_room = Instant::now();
    let mut wire = held.makes_room(filler);
    assert_within(&wire.next(ATTEMPT).expect("an attempt"), sent, makes_room);
    wire.answer(DONE, 1);
    assert!(client.hear().contains(DELIVERED));
}

/// The first attempt's failure comes while the process stands still for half a second.
#[test]
fn a_retry_behind_a_standstill_states_what_is_left() {
    let workers = [Held::new(), Held::new()];
    let router = Router::by(&patient(&workers.each_ref(), 250));
    let mut client = Client::new(&router);
    client.say(&call(1, 1));
    let sent = Instant::now();
    let mut first = wait(|| workers.iter().find_map(Held::taken)).expect("a connection");
    assert_eq!(first.next(ATTEMPT).expect("the first attempt").id, 1);
    let mut moves_on = sent;
    router.halted(|| {
        first.answer(ERROR, 1);
        std::thread::sleep(STANDSTILL);
        moves_on = Instant::now();
    });
    let mut other = wait(|| workers.iter().find_map(Held::taken)).expect("another connection");
    assert_within(&other.next(ATTEMPT).expect("the retry"), sent, moves_on);
    other.answer(DONE, 1);
    assert!(client.hear().contains(DELIVERED));
}

#[derive(Clone, Copy)]
enum Lies {
    /// On a connection that was heard before.
    InASocket,
    /// On a connection that is not accepted.
    AtTheListener,
    /// All but its last part was read.
    HalfALine,
}

/// The process stands still for half a second with a call unread. The call's time counts from the beginning of the
/// standstill: it was counted from its end, and a worker was told that there was half a second more.
#[test_case(Lies::InASocket; "in a socket")]
#[test_case(Lies::AtTheListener; "at the listener")]
#[test_case(Lies::HalfALine; "half of it in a socket")]
fn a_call_that_lay_unread_in_a_standstill_states_what_is_left(lies: Lies) {
    let held = Held::new();
    let router = Router::by(&patient(&[&held], 250));
    let mut client = Client::new(&router);
    client.say(&probe(9));
    assert!(client.hear().contains("\"fit\":true"));
    let line = call(1, 1);
    let (head, tail) = line.split_at(40);
    if matches!(lies, Lies::HalfALine) {
        client.say(head);
    }
    let mut late = None;
    let (mut sent, mut moves_on) = (Instant::now(), Instant::now());
    router.halted(|| {
        match lies {
            Lies::InASocket => client.say(&line),
            Lies::AtTheListener => late.insert(Client::new(&router)).say(&line),
            Lies::HalfALine => client.say(tail),
        }
        sent = Instant::now();
        std::thread::sleep(STANDSTILL);
        moves_on = Instant::now();
    });
    let mut wire = held.connection();
    assert_within(&wire.next(ATTEMPT).expect("an attempt"), sent, moves_on);
    wire.answer(DONE, 1);
    assert!(late.as_mut().unwrap_or(&mut client).hear().contains(DELIVERED));
}

/// A call that comes once the process runs again has all of its time.
#[test]
fn a_call_behind_a_standstill_has_its_time() {
    let held = Held::new();
    let router = Router::by(&patient(&[&held], 250));
    let mut client = Client::new(&router);
    router.halted(|| std::thread::sleep(STANDSTILL));
    let moved_on = Instant::now();
    // Read first, it tells that nothing lies unread on this connection.
    client.say(&probe(9));
    assert!(client.hear().contains("\"fit\":true"));
    client.say(&call(1, 1));
    let attempt = held.connection().next(ATTEMPT).expect("an attempt");
    let (budget, since) = (budget(&attempt), moved_on.elapsed());
    assert!(budget + since > TIMEOUT - SLACK, "{budget:?}, {since:?} behind the standstill");
}
