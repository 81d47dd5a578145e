//! Stories of the router on the platform, played on loopback against workers, a bulletin and clients of our own.

#[path = "platform/connections.rs"]
mod connections;
#[path = "platform/crossings.rs"]
mod crossings;
#[path = "platform/crowded.rs"]
mod crowded;
#[path = "platform/deadlines.rs"]
mod deadlines;
#[path = "platform/gone_clients.rs"]
mod gone_clients;
#[path = "platform/gone_clients_of_serve.rs"]
mod gone_clients_of_serve;
#[path = "platform/held.rs"]
mod held;
mod served;
#[path = "platform/shutdown.rs"]
mod shutdown;
#[path = "platform/standing.rs"]
mod standing;
#[path = "platform/standstill.rs"]
mod standstill;
mod town;

use nix::sys::signal::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use test_case::test_case;
use town::{Client, DONE, Router, bulletin, call, event, frame, hangs, probe, wait, well, worker};

#[test]
fn a_calm_run_is_handled_and_bears_the_calls_own_ids() {
    let (at, seen) = worker(well);
    let router = Router::start(&[at], bulletin(vec![]).0, 256);
    let mut client = Client::new(&router);
    client.say(&probe(1));
    assert!(client.hear().contains("\"fit\":true"));
    for n in 2..40 {
        let heard = client.ask(n, 0xabc0 + n);
        assert!(heard.contains(DONE) && heard.contains(&format!("\"id\":{n},")), "{heard}");
    }
    let seen = seen.lock().unwrap();
    let shots: Vec<_> = seen.iter().filter(|(code, _)| *code == 2).map(|(_, id)| *id).collect();
    assert_eq!(shots, (2..40).map(|n| 0xabc0 + n).collect::<Vec<_>>());
}

fn garbles(before: usize, id: u64, to: &mut TcpStream) {
    if before > 0 {
        return well(before, id, to);
    }
    let mut spoilt = frame(200, id, "", b"spoilt");
    spoilt[18] ^= 1;
    let _ = to.write_all(&spoilt);
}

fn overclaims(before: usize, id: u64, to: &mut TcpStream) {
    if before > 0 {
        return well(before, id, to);
    }
    let mut head = frame(200, id, "", b"")[..16].to_vec();
    head[4..8].copy_from_slice(&3_000_000_000_u32.to_be_bytes());
    let _ = to.write_all(&head);
}

fn dies(before: usize, id: u64, to: &mut TcpStream) {
    if before > 0 {
        return well(before, id, to);
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

fn twice(before: usize, id: u64, to: &mut TcpStream) {
    let _ = to.write_all(&frame(200, !id, "", b"whose?"));
    well(before, id, to);
    well(before, id, to);
}

/// Whatever the first answer is, a pure call is handled with what a worker truly made, and its client hears once.
#[test_case(garbles; "a checksum that does not match")]
#[test_case(overclaims; "three gigabytes claimed")]
#[test_case(dies; "a connection that breaks")]
#[test_case(twice; "a second copy and an unknown id")]
fn spoilt_answers_are_not_passed_on(manner: town::Manner) {
    let workers = [manner, manner, well as town::Manner].map(|manner| worker(manner).0);
    let router = Router::start(&workers, bulletin(vec![]).0, 256);
    let mut client = Client::new(&router);
    for n in 1..4 {
        let heard = client.ask(n, n);
        assert!(heard.contains(DONE) && heard.contains(&format!("\"id\":{n},")), "{heard}");
    }
}

/// Bad lines get an error or a close, and nothing that came with them goes to a worker.
#[test_case(&[call(1, 5), call(1, 6)].concat(); "two under one number")]
#[test_case(&[call(1, 5), call(2, 5)].concat(); "two under one id")]
#[test_case(&(1..=33).map(|n| call(n, n)).collect::<String>(); "one open call too many")]
#[test_case(&[call(1, 5), "{\n".into()].concat(); "no json behind a call")]
#[test_case(&call(1, 5).replace("acme", "else"); "a client group that does not exist")]
#[test_case(&call(1, 5).replace("\"p\"", "\"q\""); "a profile that does not exist")]
#[test_case(&"x".repeat(1 << 20); "a line that does not end")]
fn what_can_not_be_used_goes_no_further(text: &str) {
    let (at, seen) = worker(well);
    let router = Router::start(&[at], bulletin(vec![]).0, 256);
    let mut bad = Client::new(&router);
    bad.say(text);
    let heard: Vec<_> = std::iter::from_fn(|| Some(bad.hear()).filter(|l| !l.is_empty())).collect();
    assert!(heard.iter().all(|line| line.contains("\"error\"")), "{heard:?}");
    assert!(Client::new(&router).ask(1, 77).contains(DONE));
    assert!(seen.lock().unwrap().iter().all(|(code, id)| *code != 2 || *id == 77));
}

/// More connections than there is room for: the silent ones go, and who calls is served.
#[test]
fn a_silent_crowd_at_the_descriptor_limit() {
    let (at, _) = worker(well);
    let router = Router::start(&[at], bulletin(vec![]).0, 80);
    let crowd: Vec<_> = (0..200).map(|_| Client::new(&router)).collect();
    let heard = wait(|| Some(Client::new(&router).ask(1, 9)).filter(|heard| heard.contains(DONE)));
    assert!(heard.is_some());
    let closed = |mut c: Client| c.hear().is_empty();
    assert!(crowd.into_iter().all(closed));
}

/// The bulletin breaks amid an event, tells old ones twice, and skips one: each is asked for again and taken once.
#[test]
fn a_bulletin_that_breaks() {
    let [(old, before), (new, after)] = [worker(well), worker(well)];
    let left = event(2, "w0", old, "left");
    let joined = event(3, "w1", new, "active");
    let tells = vec![left[..30].to_owned(), joined.clone(), [left.clone(), left, joined].concat()];
    let (board, asked) = bulletin(tells);
    let router = Router::start(&[old], board, 256);
    let mut client = Client::new(&router);
    assert!(wait(|| (asked.lock().unwrap().len() >= 3).then_some(())).is_some());
    let mut number = 0;
    let moved = wait(|| {
        number += 1;
        let came = client.ask(number, number).contains(DONE);
        (came && !after.lock().unwrap().is_empty()).then_some(())
    });
    assert!(moved.is_some());
    assert_eq!(asked.lock().unwrap()[..3], ["after 1", "after 1", "after 1"]);
    // Told that it left, nothing more goes to the old one.
    let count = before.lock().unwrap().len();
    assert!((100..110).all(|n| client.ask(n, n).contains(DONE)));
    assert_eq!(before.lock().unwrap().len(), count);
}

/// A bulletin that says nothing any more is asked again, from where it fell silent.
#[test]
fn a_bulletin_that_falls_silent() {
    let (at, _) = worker(well);
    let (board, asked) = bulletin(vec![event(2, "w1", at, "active")]);
    let _router = Router::start(&[at], board, 256);
    assert!(wait(|| (asked.lock().unwrap().len() >= 2).then_some(())).is_some());
    assert_eq!(asked.lock().unwrap()[1], "after 2");
}

/// SIGHUP with the file half-written, then whole: the new bulletin is asked for what comes next, calls go on.
#[test]
fn the_file_is_replaced_under_calls() {
    let (at, _) = worker(well);
    let (next, asked) = bulletin(vec![]);
    let router = Router::start(&[at], bulletin(vec![]).0, 256);
    let mut client = Client::new(&router);
    let whole = town::file(&[at], next, 256);
    std::fs::write(&router.file, &whole[..whole.len() / 2]).unwrap();
    router.signal(Signal::SIGHUP);
    assert!(client.ask(1, 1).contains(DONE));
    std::fs::write(&router.file, &whole).unwrap();
    assert!(wait(|| asked.lock().unwrap().first().cloned()).is_some_and(|line| line == "after 1"));
    assert!(client.ask(2, 2).contains(DONE));
}

/// A start that can't be: one clear line, and 2.
#[test_case(None, "LB_CONFIG is not set"; "no file named")]
#[test_case(Some("/nowhere/told"), "/nowhere/told"; "a file that is not there")]
fn a_bad_start_is_told(file: Option<&str>, why: &str) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_milletpath"));
    command.arg("platform").env_remove("LB_CONFIG").env_remove("LB_LISTEN");
    command.envs(file.map(|file| ("LB_CONFIG", file)));
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains(why));
}

/// Workers take calls and answer none: each call gets its one answer all the same, and no promise but to try again.
#[test]
fn workers_that_hang() {
    let (at, _) = worker(hangs);
    let router = Router::start(&[at], bulletin(vec![]).0, 256);
    let mut client = Client::new(&router);
    client.say(&[call(1, 1), call(2, 2)].concat());
    let mut heard = [client.hear(), client.hear()];
    heard.sort();
    for (line, number) in heard.iter().zip(1..) {
        assert!(line.contains(&format!("\"id\":{number},")) && line.contains("-32066"), "{line}");
    }
}

/// With all room for calls taken the next is bounced at once; it was told nothing of when to come back.
#[test]
fn a_call_past_the_bound_is_told_when_to_come_back() {
    let (at, _) = worker(hangs);
    let text = town::file(&[at], bulletin(vec![]).0, 256);
    let router = Router::by(&text.replace("\"MaxAttempts\"", "\"OpenCap\":1,\"MaxAttempts\""));
    let mut client = Client::new(&router);
    client.say(&[call(1, 1), call(2, 2)].concat());
    let heard = client.hear();
    assert!(
        heard.contains("\"id\":2,") && heard.contains("-32066") && heard.contains("\"w\":1000"),
        "{heard}"
    );
}

/// A crowd that is turned away comes again at once, with lines that can't be used; who calls properly is served.
#[test]
fn usual_clients_among_a_bad_crowd() {
    let (at, _) = worker(well);
    let router = Router::start(&[at], bulletin(vec![]).0, 256);
    std::thread::scope(|crowd| {
        for _ in 0..8 {
            crowd.spawn(|| {
                for _ in 0..50 {
                    let mut bad = Client::new(&router);
                    bad.say(&"{\"jsonrpc\":\"2.0\",\"id\":-1}\n".repeat(20));
                    assert!(!bad.hear().contains("result"));
                }
            });
        }
        let mut usual = Client::new(&router);
        assert!((1..100).all(|n| usual.ask(n, n).contains(DONE)));
    });
}

fn slowly(before: usize, id: u64, to: &mut TcpStream) {
    std::thread::sleep(Duration::from_millis(if before == 0 { 1500 } else { 1 }));
    well(before, id, to);
}

/// SIGTERM: what was taken is answered, what still comes too, and then it ends well.
#[test]
fn a_router_that_is_asked_to_end() {
    let (at, seen) = worker(slowly);
    let mut router = Router::start(&[at], bulletin(vec![]).0, 256);
    let (mut first, mut second) = (Client::new(&router), Client::new(&router));
    first.say(&call(1, 1));
    assert!(wait(|| seen.lock().unwrap().iter().find(|(code, _)| *code == 2).copied()).is_some());
    router.signal(Signal::SIGTERM);
    second.say(&probe(1));
    second.hear();
    let late = Client::new(&router).ask(1, 2);
    assert!(late.contains("\"id\":1,"), "{late}");
    assert!(first.hear().contains(DONE));
    assert!(router.ended().is_some_and(|status| status.success()));
}

/// The inodes of the sockets that a process holds.
fn sockets(process: &str) -> Vec<String> {
    let held = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().flatten();
    let links = held.filter_map(|fd| std::fs::read_link(fd.path()).ok());
    let inode = |link: std::path::PathBuf| {
        Some(link.to_str()?.strip_prefix("socket:[")?.trim_end_matches(']').into())
    };
    links.filter_map(inode).collect()
}

/// Where the platform plays hundreds of routers there are TCP and UDP sockets and no others; signals came over a pair
/// of Unix sockets.
#[test]
fn a_router_holds_no_unix_socket() {
    let (at, _) = worker(well);
    let mut router = Router::start(&[at], bulletin(vec![]).0, 256);
    assert!(Client::new(&router).ask(1, 1).contains(DONE));
    let own = sockets("self");
    let held = sockets(&router.child.id().to_string());
    let unix = std::fs::read_to_string("/proc/self/net/unix").unwrap();
    let unix: Vec<_> = unix.lines().filter_map(|line| line.split_whitespace().nth(6)).collect();
    assert!(held.len() >= 2, "a listener and a client at least: {held:?}");
    let bad: Vec<_> = held.iter().filter(|i| unix.contains(&i.as_str()) && !own.contains(i)).collect();
    assert!(bad.is_empty(), "{bad:?}");
    router.signal(Signal::SIGTERM);
    assert!(router.ended().is_some_and(|how| how.success()));
}
