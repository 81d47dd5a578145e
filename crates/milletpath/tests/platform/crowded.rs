//! New connections where every other one is owed an answer: what is written on them is answered all the same.

use crate::town::{Client, Router, bulletin, call, file, hangs, wait, worker};

/// Descriptors of the router: enough for 17 clients.
const DESCRIPTORS: usize = 64;
/// Clients that the router holds within these.
const CLIENTS: usize = 17;
/// More than the router holds beside these at a time.
const NEWCOMERS: usize = 40;

/// Calls of every client that the router has room for are open at a worker that hangs; then others connect and call at
/// once. They were closed unread.
#[test]
fn a_call_on_a_new_connection_is_answered_where_all_others_are_owed_answers() {
    let (at, seen) = worker(hangs);
    let router = Router::by(&file(&[at], bulletin(vec![]).0, DESCRIPTORS));
    let mut waiting: Vec<_> = (0..CLIENTS).map(|_| Client::new(&router)).collect();
    for (client, id) in waiting.iter_mut().zip(1..) {
        client.say(&call(1, id));
    }
    let taken = || seen.lock().unwrap().iter().filter(|(code, _)| *code == 2).count();
    assert!(wait(|| (taken() >= 1).then_some(())).is_some());
    let mut newcomers: Vec<_> = (0..NEWCOMERS).map(|_| Client::new(&router)).collect();
    for (client, id) in newcomers.iter_mut().zip(1000..) {
        client.say(&call(1, id));
    }
    for client in &mut newcomers {
        let heard = client.hear();
        assert!(heard.contains("-32066") && heard.contains("\"w\":1000"), "{heard:?}");
        // Its connection ends with a close and not with a reset.
        assert!(client.ended_well());
    }
    for client in &mut waiting {
        let heard = client.hear();
        assert!(heard.contains("\"id\":1,"), "{heard:?}");
    }
}

/// Newcomers that say nothing don't keep one away that calls.
#[test]
fn silent_newcomers_make_room_for_a_call() {
    let (at, _) = worker(hangs);
    let router = Router::by(&file(&[at], bulletin(vec![]).0, DESCRIPTORS));
    let mut waiting: Vec<_> = (0..CLIENTS).map(|_| Client::new(&router)).collect();
    for (client, id) in waiting.iter_mut().zip(1..) {
        client.say(&call(1, id));
    }
    let silent: Vec<_> = (0..NEWCOMERS).map(|_| Client::new(&router)).collect();
    let heard = Client::new(&router).ask(1, 1000);
    assert!(heard.contains("-32066"), "{heard:?}");
    drop((waiting, silent));
}
