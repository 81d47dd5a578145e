//! Case: a client has 32 requests open on its connection, the workers' answers of 16 KiB come together, and the client
//! reads all the time as fast as it can. The router closes the connection and leaves the rest unanswered.
//!
//! Usage: answers_at_once FOLDER, with ROOT set to the repository.

use review_standins::client::{Call, connect_with_segments};
use review_standins::discovery::{Discovery, Member};
use review_standins::frames::{self, Frame};
use review_standins::record::Record;
use review_standins::router::{Router, free_address};
use review_standins::{has_trouble, run_case, settings, worker};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WORKERS: usize = 4;
/// Requests that may be open on one connection, and the longest body, by the protocol page.
const OPEN: u64 = 32;
const LONGEST_BODY: usize = 16 << 10;
/// The body of an answer without the disruption.
const SHORT_BODY: usize = 200;
/// Connections, one after the other. With the pauses between them that is some 130 requests a second.
const CONNECTIONS: u64 = 160;
const PAUSE: Duration = Duration::from_millis(120);
/// Work of a request.
const WORK: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 2900;
/// Segment size of Ethernet.
const SEGMENT: i32 = 1460;
const CLASS: &str = r#"{"Name":"check","Effect":"free","Objective":1000000,"HardLimit":3000000,"Gain":1.0,"Streaming":false}"#;

/// What the client saw of one connection.
#[derive(Default)]
struct Seen {
    served: u64,
    errors: u64,
    /// Requests of which no byte of an answer came.
    unanswered: u64,
    /// The requests without a whole answer.
    missing: Vec<u64>,
    /// Bytes of a last line that is not whole.
    partial: usize,
    ended_after: Option<Duration>,
}

fn use_connection(address: SocketAddr, first_id: u64) -> io::Result<Seen> {
    let mut stream = connect_with_segments(address, SEGMENT)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)))?;
    let mut lines = String::new();
    for number in 1..=OPEN {
        let id = first_id + number;
        lines += &Call { class: "check", id, deadline_ms: DEADLINE_MS, tenant: "clinic", function: 0x51aa_7c02_93e1_0b44, key: None, is_retry: false }.line(number);
    }
    stream.write_all(lines.as_bytes())?;
    let sent_at = Instant::now();
    // Only read until everything is there; the lines are looked at afterwards.
    let (mut text, mut chunk, mut answers) = (Vec::with_capacity(1 << 20), vec![0; 1 << 16], 0);
    let mut seen = Seen::default();
    while answers < OPEN {
        match stream.read(&mut chunk) {
            Ok(length @ 1..) => {
                answers += chunk[..length].iter().filter(|byte| **byte == b'\n').count() as u64;
                text.extend_from_slice(&chunk[..length]);
            }
            _ => {
                seen.ended_after = Some(sent_at.elapsed());
                break;
            }
        }
    }
    let whole = text.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
    seen.partial = text.len() - whole;
    let mut answered = BTreeSet::new();
    for line in String::from_utf8_lossy(&text[..whole]).lines() {
        let number = line.split("\"id\":").nth(1).and_then(|rest| rest.split([',', '}']).next());
        answered.extend(number.and_then(|number| number.trim().parse::<u64>().ok()));
        if line.contains("\"result\"") { seen.served += 1 } else { seen.errors += 1 }
    }
    seen.missing = (1..=OPEN).filter(|number| !answered.contains(number)).map(|number| first_id + number).collect();
    seen.unanswered = (OPEN - answered.len() as u64).saturating_sub(u64::from(seen.partial > 0));
    Ok(seen)
}

fn play(folder: &Path, scratch: &Path) -> io::Result<ExitCode> {
    let record = Record::create(&folder.join("record.txt"))?;
    let body = if has_trouble() { LONGEST_BODY } else { SHORT_BODY };
    let ran = Arc::new(Mutex::new(BTreeSet::new()));
    let members: Vec<_> = (0..WORKERS)
        .map(|index| {
            let (record, ran) = (record.clone(), ran.clone());
            let run = move |index: usize, frame: &Frame| {
                std::thread::sleep(WORK);
                record.line(&format!("worker {index}: request {:016x} ran, answers {body} bytes", frame.id));
                ran.lock().unwrap().insert(frame.id);
                Some((frames::OK, vec![b'a'; body]))
            };
            let address = worker::start(index, Arc::new(run));
            Member { id: format!("s-{index}"), address, zone: "room".into(), cell: 1, phase: "active", size: 2, up_since_ms: 0 }
        })
        .collect();
    let discovery = Discovery::start(&members);
    let address = free_address();
    let configuration = scratch.join("config.json");
    std::fs::write(&configuration, settings::configuration(address, &discovery, 1, CLASS))?;
    let mut router = Router::start("n0", address, &configuration, &scratch.join("router.log"))?;
    if !router.becomes_ready() {
        record.line("the router did not become ready");
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(Duration::from_millis(1500));
    let mut missing = Vec::new();
    let (mut served, mut unanswered, mut ended, mut late) = (0, 0, 0, 0);
    for connection in 1..=CONNECTIONS {
        let seen = use_connection(address, connection << 8)?;
        let Seen { served: here, errors, unanswered: lost, missing: without, partial, ended_after } = seen;
        missing.extend(without);
        let end = match ended_after {
            Some(after) => format!("; the router ended it {:.3} s after the requests, {partial} bytes of an answer begun", after.as_secs_f64()),
            None => String::new(),
        };
        let first = (connection << 8) + 1;
        record.line(&format!("connection {connection}: {OPEN} sent from id {first:016x} on, {here} served, {errors} errors, {lost} with no byte of an answer{end}"));
        served += here;
        unanswered += lost;
        ended += u64::from(ended_after.is_some_and(|after| after < Duration::from_millis(DEADLINE_MS)));
        late += u64::from(ended_after.is_some_and(|after| after >= Duration::from_millis(DEADLINE_MS)));
        std::thread::sleep(PAUSE);
    }
    let had_run = missing.iter().filter(|id| ran.lock().unwrap().contains(id)).count();
    record.line(&format!("{} requests without a whole answer, {had_run} of them ran at a worker", missing.len()));
    let sent = CONNECTIONS * OPEN;
    record.line(&format!(
        "bodies of {body} bytes: {sent} requests sent, {served} served, {unanswered} lost; {ended} of {CONNECTIONS} connections ended by the router, {late} silent"
    ));
    if !router.is_running() {
        record.line("the router has ended");
        return Ok(ExitCode::from(1));
    }
    if served == 0 {
        return Ok(ExitCode::from(2));
    }
    Ok(ExitCode::from(u8::from(unanswered > 0)))
}

fn main() -> ExitCode {
    run_case(play)
}
