//! Case: a keyed request that may have run longer ago than workers remember its key is answered "refused", which says
//! that trying again is harmless.
//!
//! Usage: refused-past-window FOLDER, with ROOT set to the repository.

use review_standins::client::{Answer, Call, Client};
use review_standins::discovery::{Discovery, Member};
use review_standins::frames::{self, Frame};
use review_standins::record::Record;
use review_standins::router::{Router, free_address};
use review_standins::{has_trouble, run_case, settings, worker};
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
/// Orders, one after the other; the answer of every tenth is lost.
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

fn run(group: &Mutex<Group>, record: &Record, index: usize, frame: &Frame) -> Option<(u8, Vec<u8>)> {
    let key = frame.field("uniq").to_owned();
    if key.is_empty() {
        std::thread::sleep(Duration::from_millis(20));
        return Some((frames::OK, b"done".to_vec()));
    }
    let (is_repeat, is_lost) = {
        let mut group = group.lock().unwrap();
        let is_repeat = group.seen.get(&key).is_some_and(|at| at.elapsed() < WINDOW);
        if !is_repeat {
            group.seen.insert(key.clone(), Instant::now());
            *group.effects.entry(key.clone()).or_default() += 1;
        }
        let place = group.lost.iter().position(|lost| *lost == key);
        (is_repeat, place.map(|place| group.lost.remove(place)).is_some())
    };
    let what = if is_repeat { "known, dropped" } else { "runs" };
    record.line(&format!("worker {index}: key {key} id {:016x} {what}{}", frame.id, if is_lost { "; its answer is lost" } else { "" }));
    std::thread::sleep(Duration::from_millis(20));
    (!is_lost).then(|| (frames::OK, b"done".to_vec()))
}

fn classes() -> String {
    let window = WINDOW.as_micros();
    format!(
        r#"{{"Name":"check","Effect":"free","Objective":1000000,"HardLimit":3000000,"Gain":1.0,"KeyScope":"all","DedupWindow":{window},"Streaming":false}},
{{"Name":"order","Effect":"guarded","Objective":1000000,"HardLimit":3000000,"Gain":1.0,"KeyScope":"all","DedupWindow":{window},"Streaming":false}}"#
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

fn play(folder: &Path, scratch: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(&folder.join("record.txt"))?;
    let group = Arc::new(Mutex::new(Group::default()));
    let members: Vec<_> = (0..WORKERS)
        .map(|index| {
            let (group, record) = (group.clone(), record.clone());
            let address = worker::start(index, Arc::new(move |index, frame| run(&group, &record, index, frame)));
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
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(Duration::from_millis(1500));
    let mut client = Client::connect(address)?;
    for number in 0..10 {
        let call = Call { class: "check", id: 0xc0_0000 + number, deadline_ms: 2000, tenant: "clinic", function: FUNCTION, key: None, is_retry: false };
        client.call(&call);
    }
    let mut disturbed = 0;
    for number in 1..=ORDERS {
        let key = format!("order-{number}");
        if number % LOST_EVERY == 0 {
            disturbed += 1;
            if has_trouble() {
                group.lock().unwrap().lost.push(key.clone());
            }
        }
        order(&record, &mut client, &key, number);
        std::thread::sleep(Duration::from_millis(100));
    }
    if !router.is_running() {
        record.line("the router has ended");
        return Ok(ExitCode::from(2));
    }
    let group = group.lock().unwrap();
    let ran = group.effects.len() as u64;
    let twice: Vec<_> = group.effects.iter().filter(|(_, times)| **times > 1).collect();
    record.line(&format!("{ORDERS} orders, {disturbed} chosen, {ran} ran, {} ran more than once: {twice:?}", twice.len()));
    if ran < ORDERS {
        return Ok(ExitCode::from(2));
    }
    Ok(ExitCode::from(u8::from(!twice.is_empty())))
}

fn main() -> ExitCode {
    run_case(play)
}
