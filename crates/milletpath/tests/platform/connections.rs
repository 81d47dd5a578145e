//! Clients that leave before their call goes out on a connection to a worker.

use crate::crossings::effectful;
use crate::held::Held;
use crate::town::{Client, DONE, Router, bulletin, call};
use std::net::Shutdown;
use std::time::Duration;
use test_case::test_case;

#[derive(Clone, Copy)]
enum Leaves {
    Closes,
    HalfCloses,
    Resets,
    Withdraws,
}

/// A connection to the worker is being made when the client leaves: the call never goes out on it. Held before.
#[test_case(Leaves::Closes; "closes")]
#[test_case(Leaves::HalfCloses; "half closes")]
#[test_case(Leaves::Resets; "resets")]
#[test_case(Leaves::Withdraws; "withdraws")]
fn a_client_leaves_while_a_connection_is_being_made(how: Leaves) {
    let (held, filler) = Held::crowded();
    let router = Router::by(&effectful(&[held.address], bulletin(vec![]).0, 3_000_000));
    let mut leaver = Client::new(&router);
    leaver.say(&call(1, 7));
    let mut stays = Client::new(&router);
    stays.say(&call(1, 8));
    std::thread::sleep(Duration::from_millis(100));
    match how {
        Leaves::Closes => leaver.close(Shutdown::Both),
        Leaves::HalfCloses => leaver.close(Shutdown::Write),
        Leaves::Resets => leaver.reset(),
        Leaves::Withdraws => {
            leaver.say("{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{\"id\":1}}\n");
        }
    }
    std::thread::sleep(Duration::from_millis(100));
    let mut late = held.makes_room(filler);
    assert_eq!(late.next(2).expect("the one that stays").id, 8);
    late.answer(200, 8);
    assert!(stays.hear().contains(DONE));
    drop(router);
    assert_eq!(late.next(2), None);
}
