//! Case: in a fleet of 3,200 workers six in ten are replaced within 7 s. The router stops answering for many seconds.
//!
//! Usage: fleet_release FOLDER, with ROOT set to the repository.

use review_standins::children;
use review_standins::client::{Answer, Call, Client};
use review_standins::discovery::{Discovery, Member};
use review_standins::record::Record;
use review_standins::router::{Router, free_address};
use review_standins::{has_trouble, run_case, settings, unix_time};
use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The largest fleet, and the part of it that is replaced, by the standing test.
const WORKERS: usize = 3200;
const REPLACED: usize = WORKERS * 6 / 10;
const REPLACED_WITHIN: Duration = Duration::from_secs(7);
/// How long a worker drains before another takes its address.
const DRAINS: Duration = Duration::from_secs(1);
/// Routers that share the workers; one of them is started.
const ROUTERS: usize = 800;
const WORKER_PROCESSES: usize = 4;
/// Requests a second, and for how long they come; the release begins 3 s after the first.
const RATE: u32 = 30;
const LASTS: Duration = Duration::from_secs(30);
const RELEASE_AT: Duration = Duration::from_secs(3);
const DEADLINE_MS: u64 = 2900;
const CLASS: &str = r#"{"Name":"check","Effect":"free","Objective":1000000,"HardLimit":3000000,"Gain":1.0,"Streaming":false}"#;

/// The requests that ran at a worker.
type Ran = Arc<Mutex<BTreeSet<u64>>>;

/// A process with a part of the workers, which is killed when this is dropped.
struct WorkerProcess {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl WorkerProcess {
    fn start(count: usize, record: &Record, ran: &Ran) -> io::Result<Self> {
        let program = std::env::current_exe()?.with_file_name("fleet_workers");
        let mut command = Command::new(program);
        let mut child = children::spawn(command.arg(count.to_string()).stdin(Stdio::piped()).stdout(Stdio::piped()))?;
        let mut lines = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        let addresses: Vec<_> = lines.by_ref().take(count).map_while(Result::ok).filter_map(|line| line.parse().ok()).collect();
        let (record, ran, first) = (record.clone(), ran.clone(), addresses.first().copied());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let Some((worker, id)) = line.split_once(' ') else { continue };
                record.line(&format!("worker {worker} of the process of {first:?}: request {id} runs"));
                ran.lock().unwrap().extend(u64::from_str_radix(id, 16).ok());
            }
        });
        Ok(Self { child, addresses })
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn member(number: usize, address: SocketAddr, phase: &'static str, up_since_ms: u64) -> Member {
    Member { id: format!("s-{number:08x}"), address, zone: "room".into(), cell: 1, phase, size: 2, up_since_ms }
}

/// Replaces workers evenly over the time: each drains, and a second later it has left and a new one has its address.
fn release(discovery: &Discovery, record: &Record, addresses: &[SocketAddr]) {
    let began = Instant::now();
    let step = REPLACED_WITHIN.saturating_sub(DRAINS).div_f64(REPLACED as f64);
    let lag = (DRAINS.as_secs_f64() / step.as_secs_f64()) as usize;
    record.line(&format!("release: {REPLACED} of {WORKERS} workers begin to drain, one each {:.1} ms", step.as_secs_f64() * 1e3));
    for tick in 0..REPLACED + lag {
        std::thread::sleep((step * tick as u32).saturating_sub(began.elapsed()));
        if tick < REPLACED {
            discovery.publish(&[member(tick, addresses[tick], "leaving", 0)]);
        }
        if let Some(gone) = tick.checked_sub(lag) {
            let started = (unix_time() * 1e3) as u64;
            discovery.publish(&[member(gone, addresses[gone], "left", 0), member(WORKERS + gone, addresses[gone], "active", started)]);
        }
    }
    record.line(&format!("release: the last worker is replaced after {:.3} s", began.elapsed().as_secs_f64()));
}

/// One request on a connection of its own. Returns whether it was lost.
fn request(address: SocketAddr, record: &Record, id: u64) -> io::Result<bool> {
    let sent_at = record.seconds();
    let function = 0x51aa_0000_0000_0000 + id % 20;
    let call = Call { class: "check", id, deadline_ms: DEADLINE_MS, tenant: "clinic", function, key: None, is_retry: false };
    let answer = Client::connect(address)?.call(&call);
    let took = record.seconds() - sent_at;
    record.line(&format!("client: request {id:016x} sent at {sent_at:.3}: {answer:?} after {took:.3} s"));
    Ok(matches!(answer, Answer::Nothing | Answer::Ended))
}

fn play(folder: &Path, scratch: &Path) -> io::Result<ExitCode> {
    let record = Record::create(&folder.join("record.txt"))?;
    let ran = Ran::default();
    let processes = (0..WORKER_PROCESSES).map(|_| WorkerProcess::start(WORKERS / WORKER_PROCESSES, &record, &ran)).collect::<io::Result<Vec<_>>>()?;
    let addresses: Vec<_> = processes.iter().flat_map(|process| process.addresses.iter().copied()).collect();
    if addresses.len() != WORKERS {
        record.line("the workers did not start");
        return Ok(ExitCode::from(2));
    }
    let members: Vec<_> = addresses.iter().enumerate().map(|(number, address)| member(number, *address, "active", 0)).collect();
    let discovery = Discovery::start(&members);
    let address = free_address();
    let configuration = scratch.join("config.json");
    std::fs::write(&configuration, settings::configuration(address, &discovery, ROUTERS, CLASS))?;
    let mut router = Router::start("n0", address, &configuration, &scratch.join("router.log"))?;
    if !router.becomes_ready() {
        record.line("the router did not become ready");
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(Duration::from_millis(1500));
    let began = Instant::now();
    let results = Arc::new(Mutex::new((0_u64, 0_u64)));
    let releaser = has_trouble().then(|| {
        let (discovery, record, addresses) = (discovery.clone(), record.clone(), addresses.clone());
        std::thread::spawn(move || {
            std::thread::sleep(RELEASE_AT);
            release(&discovery, &record, &addresses);
        })
    });
    let mut requests = Vec::new();
    let sent = LASTS.as_secs() as u32 * RATE;
    for number in 0..sent {
        std::thread::sleep((Duration::from_secs(1) * number / RATE).saturating_sub(began.elapsed()));
        let (results, record) = (results.clone(), record.clone());
        requests.push(std::thread::spawn(move || {
            let result = request(address, &record, 0xf1ee_0000_0000_0000 + u64::from(number));
            let mut results = results.lock().unwrap();
            match result {
                Ok(is_lost) => results.0 += u64::from(is_lost),
                Err(_) => results.1 += 1,
            }
        }));
    }
    requests.into_iter().for_each(|request| drop(request.join()));
    releaser.into_iter().for_each(|releaser| drop(releaser.join()));
    let is_running = router.is_running();
    let (lost, unsent) = *results.lock().unwrap();
    record.line(&format!("{sent} requests, {unsent} could not connect, {lost} lost (no answer within their time and half a second), {} ran at a worker; router running: {is_running}", ran.lock().unwrap().len()));
    Ok(ExitCode::from(if lost > 0 || !is_running { 1 } else if unsent > 0 { 2 } else { 0 }))
}

fn main() -> ExitCode {
    run_case(play)
}
