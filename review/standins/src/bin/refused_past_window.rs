//! Case: a keyed request that ran longer ago than workers remember its key is answered `bounced` (`serve`) or refused
//! (`platform`), which says that trying again is harmless.
//!
//! Usage: refused-past-window FOLDER, with ROOT set to the repository.

use review_standins::client::{Answer, Call, Client};
use review_standins::discovery::{Discovery, Member};
use review_standins::frames::{self, Frame};
use review_standins::record::Record;
use review_standins::router::{Router, free_address};
use review_standins::{has_trouble, http, run_case, settings, worker};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WORKERS: usize = 4;
/// For how long the workers of the group remember a key (`DedupWindow`).
const WINDOW: Duration = Duration::from_millis(1000);
/// The time of a first try, half of the class deadline of 3 s, and the total time of the client.
const FIRST_TRY_MS: u64 = 1500;
const TOTAL_MS: u64 = 3000;
/// Orders, one after the other; the first answer of every tenth is lost.
const ORDERS: u64 = 30;
const LOST_EVERY: u64 = 10;
const FUNCTION: u64 = 0x51aa_7c02_93e1_0b44;

/// What the workers of the group know and did.
#[derive(Default)]
struct Group {
    /// When a key was last new.
    seen: BTreeMap<String, Instant>,
    /// How often the effect of a key was applied.
    effects: BTreeMap<String, usize>,
    /// Keys whose next answer is lost.
    lost: Vec<String>,
}

/// A worker gets a request. Returns whether its answer arrives.
fn receive(group: &Mutex<Group>, record: &Record, index: usize, key: &str) -> bool {
    let (is_repeat, is_lost) = {
        let mut group = group.lock().unwrap();
        let is_repeat = group.seen.get(key).is_some_and(|at| at.elapsed() < WINDOW);
        if !is_repeat {
            group.seen.insert(key.to_owned(), Instant::now());
            *group.effects.entry(key.to_owned()).or_default() += 1;
        }
        let place = group.lost.iter().position(|lost| lost == key);
        (is_repeat, place.map(|place| group.lost.remove(place)).is_some())
    };
    let what = if is_repeat { "is known and dropped" } else { "runs" };
    record.line(&format!("worker {index}: key {key} {what}{}", if is_lost { "; its answer is lost" } else { "" }));
    std::thread::sleep(Duration::from_millis(20));
    !is_lost
}

/// Evaluates the orders of one program: how many effects were applied more than once; `None` if not every order ran.
fn applied_twice(group: &Mutex<Group>, record: &Record, program: &str) -> Option<usize> {
    let group = group.lock().unwrap();
    let twice: Vec<_> = group.effects.iter().filter(|(_, times)| **times > 1).collect();
    let ran = group.effects.len() as u64;
    record.line(&format!("{program}: {ORDERS} orders, {ran} ran, {} ran more than once: {twice:?}", twice.len()));
    (ran == ORDERS).then_some(twice.len())
}

/// The key of an order; its first answer is lost if the order is one of those chosen and the disruption takes place.
fn prepare(group: &Mutex<Group>, number: u64) -> String {
    let key = format!("order-{number}");
    if number % LOST_EVERY == 0 && has_trouble() {
        group.lock().unwrap().lost.push(key.clone());
    }
    key
}

fn classes() -> String {
    let window = WINDOW.as_micros();
    format!(
        r#"{{"Name":"order","Effect":"guarded","Objective":1000000,"HardLimit":3000000,"Gain":1.0,"KeyScope":"all","DedupWindow":{window},"Streaming":false}}"#
    )
}

/// One order of a client: after a refusal, and only then, it is sent once more, as long as the client waits.
fn order(record: &Record, client: &mut Client, key: &str, number: u64) -> Option<()> {
    let began = Instant::now();
    let (mut id, mut deadline_ms, mut is_retry) = (0x0dd0_0000_0000_0000 + number * 16, FIRST_TRY_MS, false);
    loop {
        let call = Call { class: "order", id, deadline_ms, tenant: "clinic", function: FUNCTION, key: Some(key), is_retry };
        record.line(&format!("client: sends key {key} id {id:016x} d {deadline_ms}"));
        let answer = client.call(&call);
        record.line(&format!("client: key {key} id {id:016x} answer {answer:?}"));
        let Answer::Refused(wait_ms) = answer else { return Some(()) };
        std::thread::sleep(Duration::from_millis(wait_ms));
        let left = TOTAL_MS.saturating_sub(began.elapsed().as_millis() as u64);
        if left < 100 || is_retry {
            return Some(());
        }
        (id, deadline_ms, is_retry) = (id + 1, left, true);
    }
}

fn play_platform(record: &Record, scratch: &Path) -> std::io::Result<Option<usize>> {
    let group = Arc::new(Mutex::new(Group::default()));
    let members: Vec<_> = (0..WORKERS)
        .map(|index| {
            let (group, record) = (group.clone(), record.clone());
            let run = move |index: usize, frame: &Frame| {
                receive(&group, &record, index, frame.field("uniq")).then(|| (frames::OK, b"done".to_vec()))
            };
            let address = worker::start(index, Arc::new(run));
            Member { id: format!("s-{index}"), address, zone: "room".into(), cell: 1, phase: "active", size: 2, up_since_ms: 0 }
        })
        .collect();
    let discovery = Discovery::start(&members);
    let address = free_address();
    let configuration = scratch.join("config.json");
    std::fs::write(&configuration, settings::configuration(address, &discovery, 1, &classes()))?;
    let mut router = Router::start("n0", address, &configuration, &scratch.join("router.log"))?;
    if !router.becomes_ready() {
        record.line("the router did not become ready");
        return Ok(None);
    }
    std::thread::sleep(Duration::from_millis(1500));
    let mut client = Client::connect(address)?;
    for number in 1..=ORDERS {
        let key = prepare(&group, number);
        order(record, &mut client, &key, number);
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(applied_twice(&group, record, "platform").filter(|_| router.is_running()))
}

fn play_serve(record: &Record, scratch: &Path) -> std::io::Result<Option<usize>> {
    let group = Arc::new(Mutex::new(Group::default()));
    let mut workers = String::new();
    for index in 0..WORKERS {
        let (group, record) = (group.clone(), record.clone());
        let address = http::start_worker(index, Arc::new(move |index, key| receive(&group, &record, index, key)));
        workers += &format!("  worker \"w{index}\" {{ address = \"{address}\" }}\n");
    }
    let address = free_address();
    let configuration = scratch.join("gateway.hcl");
    let memory = WINDOW.as_secs_f64();
    let text = format!(
        "listen = \"{address}\"\nprofile \"order\" {{\n  latency_objective = 1.0\n  deadline = 3.0\n  idempotency = \"idempotent_with_key\"\n  group = \"all\"\n  memory = {memory}\n}}\nworkers {{\n{workers}}}\n"
    );
    std::fs::write(&configuration, text)?;
    let gateway = http::Gateway::start(address, &configuration, &scratch.join("gateway.log"))?;
    if !gateway.becomes_ready() {
        record.line("the gateway did not become ready");
        return Ok(None);
    }
    for number in 1..=ORDERS {
        let key = prepare(&group, number);
        let began = Instant::now();
        let (mut patience, mut is_repeat) = (FIRST_TRY_MS as f64 / 1e3, false);
        loop {
            record.line(&format!("client: sends key {key} patience {patience:.3}"));
            let answer = http::call(address, "packs-a", &key, patience, is_repeat)?;
            record.line(&format!("client: key {key} answer {answer:?}"));
            if answer.outcome != "bounced" || is_repeat {
                break;
            }
            std::thread::sleep(Duration::from_secs_f64(answer.retry_after));
            (patience, is_repeat) = (TOTAL_MS as f64 / 1e3 - began.elapsed().as_secs_f64(), true);
            if patience < 0.1 {
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(applied_twice(&group, record, "serve"))
}

fn play(folder: &Path, scratch: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(&folder.join("record.txt"))?;
    let (serve, platform) = (play_serve(&record, scratch)?, play_platform(&record, scratch)?);
    record.line(&format!("effects applied more than once: serve {serve:?}, platform {platform:?}"));
    Ok(ExitCode::from(match (serve, platform) {
        (Some(serve), Some(platform)) => u8::from(serve + platform > 0),
        _ => 2,
    }))
}

fn main() -> ExitCode {
    run_case(play)
}
