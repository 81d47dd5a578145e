//! Crossings that the users' letter adds to the standing test, each forced by order: files read again while
//! workers drain, whole lists, kills behind an accept, calls in pieces, calls that nobody answers, routers
//! that sit idle.

use crate::crossings::{effectful, told_later};
use crate::held::{Held, Wire};
use crate::town::{Client, DONE, Router, bulletin, call, event, file, hangs, probe, wait, well, worker};
use nix::sys::signal::Signal;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Nobody is cold: where one worker alone is known there is no pace to go by.
fn warm(text: &str) -> String {
    let text = text.replace("\"WarmUp\":1000000", "\"WarmUp\":0");
    text.replace("\"OverloadFor\":1000000", "\"OverloadFor\":1000")
}

/// The whole list, as one event.
fn whole(number: u64, members: &[(&str, SocketAddr, &str)]) -> String {
    let member = |(name, address, state): &(&str, SocketAddr, &str)| {
        let line = event(number, name, *address, state);
        let (_, member) = line.trim().split_once('[').expect("a list");
        member.strip_suffix("]}}").expect("a list of one").to_owned()
    };
    let members: Vec<_> = members.iter().map(member).collect();
    let members = members.join(",");
    format!(r#"{{"no":{number},"roster":{{"revision":{number},"complete":true,"members":[{members}]}}}}"#)
        + "\n"
}

/// A call is out at a worker that drains, of which the old bulletin tells in its last breath; the file is
/// replaced, and the new bulletin is asked from there on. What it tells holds, the answer of the drained one
/// counts, and word to end that comes with a call in hand lets it be answered.
#[test]
fn the_file_is_replaced_while_a_worker_drains() {
    let [drains, joins] = [Held::new(), Held::new()];
    let (old, asked) = told_later();
    let next = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut router = Router::by(&warm(&effectful(&[drains.address], old, 250_000)));
    let mut client = Client::new(&router);
    client.say(&call(1, 1));
    let mut wire = drains.connection();
    assert_eq!(wire.next(2).expect("its shot").id, 1);
    let mut stream = asked.recv_timeout(Duration::from_secs(10)).expect("the bulletin is asked");
    let moved = warm(&effectful(&[drains.address], next.local_addr().unwrap(), 250_000));
    router.halted(|| {
        stream.write_all(event(2, "w0", drains.address, "leaving").as_bytes()).unwrap();
        std::fs::write(&router.file, &moved).unwrap();
        router.signal(Signal::SIGHUP);
    });
    let (mut told, _) = next.accept().unwrap();
    let mut line = String::new();
    BufReader::new(&told).read_line(&mut line).unwrap();
    assert_eq!(line, "after 2\n");
    told.write_all(event(3, "w1", joins.address, "active").as_bytes()).unwrap();
    client.say(&call(2, 2));
    let mut other = joins.connection();
    assert_eq!(other.next(2).expect("the second, elsewhere").id, 2);
    router.signal(Signal::SIGHUP);
    router.signal(Signal::SIGTERM);
    wire.answer(200, 1);
    assert!(client.hear().contains("\"id\":1,\"result\""));
    other.answer(200, 2);
    assert!(client.hear().contains("\"id\":2,\"result\""));
    assert!(router.ended().is_some_and(|status| status.success()));
    assert_eq!((wire.next(2), other.next(2)), (None, None));
}

#[derive(Clone, Copy)]
enum Whole {
    Without,
    Draining,
    Empty,
}

/// The whole list comes past a gap of numbers, while a worker has a shot out that is not on it, drains or
/// stands on no list at all: nothing more is sent there, its answer counts, and once it is listed again it is
/// the same process.
#[test_case(Whole::Without; "it is missing")]
#[test_case(Whole::Draining; "it drains, and the other is new")]
#[test_case(Whole::Empty; "nobody is on it")]
fn a_whole_list_comes_under_a_shot(list: Whole) {
    let [first, other] = [Held::new(), Held::new()];
    let (board, asked) = told_later();
    let router = Router::by(&warm(&effectful(&[first.address], board, 250_000)));
    let mut client = Client::new(&router);
    client.say(&call(1, 1));
    let mut wire = first.connection();
    assert_eq!(wire.next(2).expect("its shot").id, 1);
    let mut stream = asked.recv_timeout(Duration::from_secs(10)).expect("the bulletin is asked");
    let new = ("w1", other.address, "active");
    let members: &[_] = match list {
        Whole::Without => &[new],
        Whole::Draining => &[("w0", first.address, "leaving"), new],
        Whole::Empty => &[],
    };
    stream.write_all(whole(7, members).as_bytes()).unwrap();
    client.say(&call(2, 2));
    if members.is_empty() {
        // Nobody could be asked: trying again does no harm.
        let heard = client.hear();
        assert!(heard.contains("\"id\":2,") && heard.contains("-32066"), "{heard}");
    } else {
        let mut wire = other.connection();
        assert_eq!(wire.next(2).expect("the second, elsewhere").id, 2);
        wire.answer(200, 2);
        assert!(client.hear().contains("\"id\":2,\"result\""));
    }
    wire.answer(200, 1);
    assert!(client.hear().contains("\"id\":1,\"result\""));
    let back = [event(8, "w1", other.address, "left"), event(9, "w0", first.address, "active")];
    stream.write_all(back.concat().as_bytes()).unwrap();
    client.say(&call(3, 3));
    assert_eq!(wire.next(2).expect("the third, on the connection that stood").id, 3);
    wire.answer(200, 3);
    assert!(client.hear().contains("\"id\":3,\"result\""));
}

/// The connection that one of two workers gets first.
fn first_of(workers: &[Held; 2]) -> (Wire, &Held) {
    let taken = || {
        let [one, other] = workers;
        one.taken().map(|wire| (wire, other)).or_else(|| other.taken().map(|wire| (wire, one)))
    };
    wait(taken).expect("a connection")
}

/// A worker takes a connection and is killed before it reads the call that lies there whole. Nobody can tell
/// that from one that ran it: what may be repeated goes to the other, the rest is terminated and never sent
/// again.
#[test_case("\"free\"", true; "pure")]
#[test_case("\"guarded\",\"KeyScope\":\"all\",\"DedupWindow\":2500000", true; "receipted")]
#[test_case("\"single_shot\"", false; "effectful")]
fn a_worker_is_killed_behind_its_accept(effect: &str, again: bool) {
    let workers = [Held::new(), Held::new()];
    let addresses = [workers[0].address, workers[1].address];
    let text = effectful(&addresses, bulletin(vec![]).0, 250_000).replace("\"single_shot\"", effect);
    let router = Router::by(&text);
    let mut client = Client::new(&router);
    client.say(&call(1, 1).replace("\"t\":", "\"k\":\"mark-of-it\",\"t\":"));
    let (wire, other) = first_of(&workers);
    let lies = wait(|| {
        let mut head = [0; 16];
        (wire.stream.peek(&mut head).unwrap() == 16).then_some(head[1])
    });
    assert_eq!(lies, Some(2), "its shot");
    drop(wire);
    if again {
        let mut wire = other.connection();
        let shot = wire.next(2).expect("the repeat");
        assert_eq!((shot.id, shot.fields.contains(",uniq=mark-of-it")), (1, true));
        wire.answer(200, 1);
        assert!(client.hear().contains(DONE));
    } else {
        let heard = client.hear();
        assert!(heard.contains("\"error\"") && !heard.contains("-32066"), "{heard}");
        drop(router);
        let sent = |held: &Held| held.taken().is_some_and(|mut wire| wire.next(2).is_some());
        assert!(!workers.iter().any(sent));
    }
}

/// A router is killed with a call unread in a connection that it had taken in, and one at its listener. Both
/// clients see the end and no answer, and nothing went to a worker. The next process has the address at once,
/// owes nothing of that, and takes the client's retry under the same id.
#[test]
fn a_router_is_killed_behind_its_accept() {
    // An address of its own: between the two no other story's connection may get its port.
    const LISTEN: &str = "\"listen\":\"127.0.0.77:0\"";
    let (at, seen) = worker(well);
    let text = file(&[at], bulletin(vec![]).0, 256).replace("\"listen\":\"127.0.0.1:0\"", LISTEN);
    let mut router = Router::by(&text);
    let mut taken_in = Client::new(&router);
    taken_in.say(&probe(1));
    assert!(taken_in.hear().contains("\"fit\":true"));
    let mut at_the_listener = None;
    router.halted(|| {
        taken_in.say(&call(2, 2));
        at_the_listener.insert(Client::new(&router)).say(&call(1, 3));
        router.signal(Signal::SIGKILL);
    });
    assert!(router.ended().is_some_and(|status| !status.success()));
    assert_eq!((taken_in.hear(), at_the_listener.unwrap().hear()), (String::new(), String::new()));
    let listen = format!("\"listen\":\"{}\"", router.address);
    let next = Router::by(&text.replace(LISTEN, &listen));
    assert_eq!(next.address, router.address);
    let mut client = Client::new(&next);
    client.say(&call(1, 2).replace("\"t\":", "\"r\":1,\"t\":"));
    assert!(client.hear().contains(DONE));
    let shots = |id| seen.lock().unwrap().iter().filter(|&&frame| frame == (2, id)).count();
    assert_eq!((shots(2), shots(3)), (1, 0));
}

/// Many calls come at once, a byte at a time each: whoever sends a whole one between two bytes is served
/// meanwhile, and so are they with their last.
#[test]
fn calls_that_come_a_byte_at_a_time() {
    const MANY: u64 = 40;
    let (at, seen) = worker(well);
    let router = Router::start(&[at], bulletin(vec![]).0, 256);
    let mut pieces: Vec<_> = (1..=MANY)
        .map(|id| {
            let stream = TcpStream::connect(router.address).unwrap();
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            (stream, call(1, id))
        })
        .collect();
    let mut usual = Client::new(&router);
    for at in 0..call(1, 1).len() - 1 {
        for (stream, line) in &mut pieces {
            stream.write_all(&line.as_bytes()[at..=at]).unwrap();
        }
        if at % 8 == 0 {
            let number = at as u64 + 1;
            assert!(usual.ask(number, 1000 + number).contains(DONE));
        }
    }
    assert!(seen.lock().unwrap().iter().all(|(code, id)| *code != 2 || *id > MANY), "none is whole yet");
    for (stream, _) in &mut pieces {
        stream.write_all(b"\n").unwrap();
    }
    for (stream, _) in &mut pieces {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert!(line.contains(DONE), "{line}");
    }
}

/// Nobody ever answers: each call has its final answer in its own client's time, the shorter one first, and
/// no second one; the worker is told that neither is waited for.
#[test]
fn calls_that_nobody_answers() {
    let (at, seen) = worker(hangs);
    let router = Router::by(&effectful(&[at], bulletin(vec![]).0, 250_000));
    let mut client = Client::new(&router);
    client.say(&[call(1, 1), call(2, 2).replace("2500", "600")].concat());
    for number in [2, 1] {
        let heard = client.hear();
        assert!(heard.contains(&format!("\"id\":{number},")) && heard.contains("\"error\""), "{heard}");
    }
    let given_up = |id| seen.lock().unwrap().contains(&(3, id)).then_some(());
    assert!(wait(|| given_up(1).and(given_up(2))).is_some());
    client.say(&probe(3));
    assert!(client.hear().contains("\"fit\":true"));
}

/// How often a process waited so far, and its processor time in hundredths of a second.
fn work(process: u32) -> (u64, u64) {
    let read = |what: &str| std::fs::read_to_string(format!("/proc/{process}/{what}")).unwrap();
    let status = read("status");
    let waits = status.lines().find_map(|l| l.strip_prefix("voluntary_ctxt_switches:")).unwrap();
    let stat = read("stat");
    let figures: Vec<_> = stat.rsplit(") ").next().unwrap().split_whitespace().collect();
    let ticks = figures[11].parse::<u64>().unwrap() + figures[12].parse::<u64>().unwrap();
    (waits.trim().parse().unwrap(), ticks)
}

/// A router that was called and is not any more, with clients that stay connected and a bulletin that speaks:
/// it waits. It looks five times a second at what is idle, and its workers hear nothing from it.
#[test]
fn a_router_that_sits_idle() {
    const WAKES: f64 = 40.0;
    let (at, seen) = worker(well);
    let (board, asked) = told_later();
    let router = Router::by(&file(&[at], board, 256));
    let mut clients: Vec<_> = (0..50).map(|_| Client::new(&router)).collect();
    for (client, id) in clients.iter_mut().zip(1..) {
        assert!(client.ask(1, id).contains(DONE));
    }
    let mut stream = asked.recv_timeout(Duration::from_secs(10)).expect("the bulletin is asked");
    let (begun, before, frames) = (Instant::now(), work(router.child.id()), seen.lock().unwrap().len());
    for _ in 0..3 {
        stream.write_all(b"1\n").unwrap();
        std::thread::sleep(Duration::from_millis(400));
    }
    let after = work(router.child.id());
    let seconds = begun.elapsed().as_secs_f64();
    let wakes = (after.0 - before.0) as f64 / seconds;
    let busy = (after.1 - before.1) as f64 / 100.0 / seconds;
    assert!(wakes < WAKES && busy < 0.2, "{wakes} wakes a second, {busy} of a core");
    assert_eq!(seen.lock().unwrap().len(), frames);
    assert!(clients.iter().all(|client| !client.has_heard()), "none was closed");
}
