//! Clients of `milletpath platform` that leave while their call waits: no attempt begins for them over 0.1 s later. Each
//! story lets go of what the call waits for only when the client has left for longer than that, with the router running
//! all the while, or standing still so that it finds both at once.

use crate::held::{Frame, Held, Wire};
use crate::town::{Client, DONE as DELIVERED, Router, bulletin, call, file, frame, hangs, wait, worker};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;
use test_case::test_matrix;

/// An attempt may begin for 0.1 s after its client has left; this is longer.
const LONG_GONE: Duration = Duration::from_millis(150);
/// Code of a frame with an attempt, and of one with an order to load.
const ATTEMPT: u8 = 2;
const LOAD: u8 = 6;
/// Answers of workers.
const DONE: u8 = 200;
const MISS: u8 = 202;
const ERROR: u8 = 204;
/// Ids of the calls of the one that leaves and of the one that stays.
const GONE: u64 = 7;
const STAYS: u64 = 8;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
pub enum Leaves {
    Closes,
    HalfCloses,
    Resets,
    Cancels,
}

use Leaves::{Cancels, Closes, HalfCloses, Resets};

impl Leaves {
    fn leave(self, client: &mut Client) {
        match self {
            Closes => client.close(Shutdown::Both),
            HalfCloses => client.close(Shutdown::Write),
            Resets => client.reset(),
            Cancels => client.say(CANCEL),
        }
    }
}

const CANCEL: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{\"id\":1}}\n";

/// What the router does between the client's leaving and the end of what its call waits for.
#[derive(Clone, Copy, Debug)]
pub enum Meanwhile {
    Runs,
    StandsStill,
}

use Meanwhile::{Runs, StandsStill};

/// The client leaves, and `release` ends what its call waits for once it has long gone.
fn leaves(router: &Router, client: &mut Client, how: Leaves, meanwhile: Meanwhile, release: impl FnOnce()) {
    match meanwhile {
        Runs => {
            how.leave(client);
            std::thread::sleep(LONG_GONE);
            release();
        }
        StandsStill => router.halted(|| {
            release();
            how.leave(client);
            std::thread::sleep(LONG_GONE);
        }),
    }
}

/// Calls may wait for long: they are due late, and no worker loads unasked where `miss`.
fn patient(workers: &[SocketAddr], miss: bool) -> String {
    let text =
        file(workers, bulletin(vec![]).0, 256).replace("\"Objective\":400000", "\"Objective\":60000000");
    if miss {
        text.replace("\"MissMode\":\"load\"", "\"MissMode\":\"miss\"")
    } else {
        text.replace("\"PlacementCalls\":true", "\"PlacementCalls\":false")
    }
}

/// A call of a function of which an instance executes one at a time.
fn narrow_call(number: u64, id: u64) -> String {
    call(number, id).replace("lanes:64", "lanes:1")
}

fn next_attempt(wire: &mut Wire) -> Frame {
    wire.next(ATTEMPT).expect("an attempt")
}

/// Ids of the attempts that came to a worker, once its router has ended.
fn attempts(mut wire: Wire) -> Vec<u64> {
    std::iter::from_fn(|| wire.next(ATTEMPT)).map(|frame| frame.id).collect()
}

/// The connections to a worker that were not taken yet.
fn further_connections(held: &Held) -> impl Iterator<Item = Wire> {
    std::iter::from_fn(|| held.taken())
}

/// Its call comes and the client leaves before the router has read anything of it: the call was read, and its attempt
/// sent, before the end of the connection was seen.
#[test_matrix([Closes, HalfCloses, Resets, Cancels])]
fn no_attempt_for_a_client_that_came_and_left_unread(how: Leaves) {
    let held = Held::new();
    let router = Router::by(&patient(&[held.address], false));
    let mut stays = Client::new(&router);
    stays.say(&call(1, 1));
    let mut wire = held.connection();
    assert_eq!(next_attempt(&mut wire).id, 1);
    let mut leaver = Client::new(&router);
    router.halted(|| {
        leaver.say(&call(1, GONE));
        how.leave(&mut leaver);
        std::thread::sleep(LONG_GONE);
    });
    stays.say(&call(2, STAYS));
    assert_eq!(next_attempt(&mut wire).id, STAYS);
    drop((router, leaver));
    assert_eq!(attempts(wire), []);
}

/// The same where what the client wrote in between is more than is read at a time: its end lies behind it.
#[test_matrix([Closes, HalfCloses, Resets, Cancels])]
fn no_attempt_for_a_client_that_left_behind_many_unread_bytes(how: Leaves) {
    let (at, seen) = worker(hangs);
    let router = Router::by(&patient(&[at], false));
    let came = |id| seen.lock().expect("unbroken").contains(&(ATTEMPT, id));
    let mut stays = Client::new(&router);
    stays.say(&call(1, 1));
    assert!(wait(|| came(1).then_some(())).is_some());
    let mut leaver = Client::new(&router);
    let body = "A".repeat(20_000);
    let others = 102..107;
    router.halted(|| {
        leaver.say(&call(1, GONE));
        // These are not cancelled, where only one call is.
        let other = |id| call(id - 100, id).replace("aGk=", &body);
        leaver.say(&others.clone().map(other).collect::<String>());
        how.leave(&mut leaver);
        std::thread::sleep(LONG_GONE);
    });
    stays.say(&call(2, STAYS));
    assert!(wait(|| came(STAYS).then_some(())).is_some());
    if matches!(how, Cancels) {
        assert!(wait(|| others.clone().all(came).then_some(())).is_some());
    }
    drop((router, leaver));
    assert!(!came(GONE) && (matches!(how, Cancels) || !others.clone().any(came)), "{seen:?}");
}

/// Before the first attempt: the call waits for the answer to a health check.
#[test_matrix([Closes, HalfCloses, Resets, Cancels], [Runs, StandsStill])]
fn no_first_attempt_for_a_client_that_has_left(how: Leaves, meanwhile: Meanwhile) {
    const HEALTH_CHECK: u8 = 5;
    const HEALTHY: u8 = 206;
    let held = Held::new();
    let text = patient(&[held.address], false).replace("\"Balancers\":1", "\"Balancers\":2");
    let router = Router::by(&text);
    let mut leaver = Client::new(&router);
    leaver.say(&call(1, GONE));
    let mut wire = held.connection();
    let check = wire.next(HEALTH_CHECK).expect("a health check");
    leaves(&router, &mut leaver, how, meanwhile, || wire.answer(HEALTHY, check.id));
    let mut stays = Client::new(&router);
    stays.say(&call(1, STAYS));
    assert_eq!(next_attempt(&mut wire).id, STAYS);
    drop((router, leaver));
    assert_eq!(attempts(wire), []);
}

/// Between attempts: a worker answers with an error, and the retry would go to the other.
#[test_matrix([Closes, HalfCloses, Resets, Cancels], [Runs, StandsStill])]
fn no_retry_for_a_client_that_has_left(how: Leaves, meanwhile: Meanwhile) {
    let workers = [Held::new(), Held::new()];
    let router = Router::by(&patient(&workers.each_ref().map(|held| held.address), false));
    let mut leaver = Client::new(&router);
    leaver.say(&call(1, GONE));
    let mut wire = wait(|| workers.iter().find_map(Held::taken)).expect("a connection");
    assert_eq!(next_attempt(&mut wire).id, GONE);
    leaves(&router, &mut leaver, how, meanwhile, || wire.answer(ERROR, GONE));
    // A retry would have begun long before this one's time is up.
    let mut stays = Client::new(&router);
    stays.say(&call(1, STAYS).replace("2500", "400"));
    assert!(stays.hear().contains("\"error\""));
    drop((router, leaver));
    let late: Vec<u64> =
        workers.iter().flat_map(further_connections).chain([wire]).flat_map(attempts).collect();
    assert!(late.contains(&STAYS) && !late.contains(&GONE), "{late:?}");
}

/// A retry does begin there for a client that stays, or the story above shows nothing.
#[test]
fn a_retry_for_a_client_that_stays() {
    let workers = [Held::new(), Held::new()];
    let router = Router::by(&patient(&workers.each_ref().map(|held| held.address), false));
    let mut stays = Client::new(&router);
    stays.say(&call(1, STAYS));
    let mut first = wait(|| workers.iter().find_map(Held::taken)).expect("a connection");
    assert_eq!(next_attempt(&mut first).id, STAYS);
    first.answer(ERROR, STAYS);
    let mut other = wait(|| workers.iter().find_map(Held::taken)).expect("another");
    assert_eq!(next_attempt(&mut other).id, STAYS);
    other.answer(DONE, STAYS);
    assert!(stays.hear().contains(DELIVERED));
}

/// A load is awaited: the worker had no instance, was ordered to load one, and says that it stands.
#[test_matrix([Closes, HalfCloses, Resets, Cancels], [Runs, StandsStill])]
fn no_attempt_behind_a_load_for_a_client_that_has_left(how: Leaves, meanwhile: Meanwhile) {
    let held = Held::new();
    let router = Router::by(&patient(&[held.address], true));
    let mut leaver = Client::new(&router);
    leaver.say(&call(1, GONE));
    let mut wire = held.connection();
    assert_eq!(next_attempt(&mut wire).id, GONE);
    wire.answer(MISS, GONE);
    let order = wire.next(LOAD).expect("an order to load");
    let mut stays = Client::new(&router);
    stays.say(&call(1, STAYS));
    let loaded = frame(DONE, order.id, "n=1", b"");
    leaves(&router, &mut leaver, how, meanwhile, || wire.stream.write_all(&loaded).expect("it is open"));
    assert_eq!(next_attempt(&mut wire).id, STAYS);
    wire.answer(DONE, STAYS);
    assert!(stays.hear().contains(DELIVERED));
    // An attempt would have its own connection, as both bear the same id: that takes a moment.
    std::thread::sleep(LONG_GONE);
    drop((router, leaver));
    let late: Vec<u64> = further_connections(&held).chain([wire]).flat_map(attempts).collect();
    assert_eq!(late, []);
}

/// Where its client stays, the attempt does go out behind the load.
#[test]
fn an_attempt_behind_a_load_for_a_client_that_stays() {
    let held = Held::new();
    let router = Router::by(&patient(&[held.address], true));
    let mut stays = Client::new(&router);
    stays.say(&call(1, STAYS));
    let mut wire = held.connection();
    assert_eq!(next_attempt(&mut wire).id, STAYS);
    wire.answer(MISS, STAYS);
    let order = wire.next(LOAD).expect("an order to load");
    std::thread::sleep(LONG_GONE);
    wire.stream.write_all(&frame(DONE, order.id, "n=1", b"")).expect("it is open");
    // On a connection of its own, as both attempts bear the same id.
    let mut wire = held.connection();
    assert_eq!(next_attempt(&mut wire).id, STAYS);
    wire.answer(DONE, STAYS);
    assert!(stays.hear().contains(DELIVERED));
}

/// Behind a bounded queue: the worker's one instance executes one call at a time, and another's is there.
#[test_matrix([Closes, HalfCloses, Resets, Cancels], [Runs, StandsStill])]
fn no_attempt_behind_a_queue_for_a_client_that_has_left(how: Leaves, meanwhile: Meanwhile) {
    let held = Held::new();
    let router = Router::by(&patient(&[held.address], false));
    let mut other = Client::new(&router);
    other.say(&narrow_call(1, 1));
    let mut wire = held.connection();
    assert_eq!(next_attempt(&mut wire).id, 1);
    wire.answer(DONE, 1);
    assert!(other.hear().contains(DELIVERED));
    other.say(&narrow_call(2, 2));
    assert_eq!(next_attempt(&mut wire).id, 2);
    let [mut leaver, mut stays] = [(); 2].map(|()| Client::new(&router));
    leaver.say(&narrow_call(1, GONE));
    stays.say(&narrow_call(1, STAYS));
    std::thread::sleep(Duration::from_millis(50));
    leaves(&router, &mut leaver, how, meanwhile, || wire.answer(DONE, 2));
    assert_eq!(next_attempt(&mut wire).id, STAYS);
    wire.answer(DONE, STAYS);
    assert!(stays.hear().contains(DELIVERED));
    drop((router, leaver));
    assert_eq!(attempts(wire), []);
}
