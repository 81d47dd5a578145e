//! Three in ten workers are lost for 5 s and return cold, at a site whose lists hold live sizes. The rest was overloaded
//! meanwhile, so its sizes are small.

use crate::bulletin::Bulletin;
use crate::client::Client;
use crate::cores::{Kind, Worker};
use crate::record::Record;
use crate::router::{Router, Settings, member, member_name};
use crate::{CaseError, Verdict};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const KIND: Kind = Kind {
    cores: 8,
    work: Duration::from_millis(80),
    wait: Duration::from_millis(40),
    start_capacity: 0.17,
    warm_up: Duration::from_secs(16),
};
const WORKERS: usize = 10;
/// Three in ten.
const LOST: usize = 3;
const CLIENTS: usize = 40;
const FUNCTIONS: usize = 40;
/// Requests per second: nine tenths of what the ten workers can do.
const RATE: f64 = 900.0;
/// A worker falls when it gets more than this multiple of its capacity within this time.
const TIP_MULTIPLE: f64 = 2.5;
const OVERLOAD_FOR: Duration = Duration::from_secs(1);
/// Seconds from the beginning at which workers are lost and return, and at which the load ends.
const LOST_AT: f64 = 9.0;
const BACK_AT: f64 = 14.0;
const END_AT: f64 = 22.0;

/// Runs the case. With `WEIGHTS=nominal` in the environment the lists hold the registered sizes, for comparison.
pub fn run(with_trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let is_live = std::env::var("WEIGHTS").map_or(true, |weights| weights != "nominal");
    let weights = if is_live { "live" } else { "nominal" };
    record.line(&format!("sizes in the lists: {weights}"));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        workers.push(Worker::start(member_name(n), KIND, false)?);
    }
    let bulletin = Bulletin::start()?;
    let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
    let settings = Settings { weights, size: KIND.cores, ..Settings::default() };
    let mut router = Router::start(&settings, bulletin.address, &addresses, record)?;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(Client::connect_quietly(router.address)?);
    }
    let (began, mut sent, mut next_list) = (Instant::now(), 0, 1.0);
    let mut measured: Vec<(String, f64)> = Vec::new();
    let mut returned = Vec::new();
    let mut is_lost = false;
    loop {
        std::thread::sleep(Duration::from_millis(2));
        let now = began.elapsed().as_secs_f64();
        if now >= END_AT {
            break;
        }
        while (sent as f64) < now * RATE {
            let function = sent * 7 % FUNCTIONS + 1;
            let params = format!(
                "\"d\":3000,\"t\":\"acme\",\"o\":\"{function:016x}\",\
                 \"info\":\"memory_mb:256;lanes:8;load_ms:640\""
            );
            let client = &mut clients[sent % CLIENTS];
            let request = client.request("refill-check", &params);
            client.send(&request.line)?;
            sent += 1;
        }
        if with_trouble && !is_lost && now >= LOST_AT {
            is_lost = true;
            let lost = workers.split_off(WORKERS - LOST);
            lost.iter().for_each(Worker::die);
            let size = KIND.cores as f64;
            let left: Vec<_> = lost.iter().map(|w| member(&w.name, w.address, "left", size, 0)).collect();
            bulletin.add(&left);
            record.line(&format!("{LOST} of {WORKERS} workers die; the bulletin says so"));
        }
        if is_lost && returned.is_empty() && now >= BACK_AT {
            for n in 0..LOST {
                returned.push(Worker::start(format!("s-new{n}"), KIND, true)?);
            }
            let started = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
            let size = KIND.cores as f64;
            let new: Vec<_> =
                returned.iter().map(|w| member(&w.name, w.address, "active", size, started)).collect();
            bulletin.add(&new);
            record.line(&format!("{LOST} workers start, cold; the bulletin says so"));
        }
        if now >= next_list {
            next_list += 1.0;
            // A list holds what was measured a second earlier.
            if is_live && !measured.is_empty() {
                let members: Vec<_> = workers
                    .iter()
                    .filter_map(|worker| {
                        let (_, size) = measured.iter().find(|(name, _)| *name == worker.name)?;
                        Some(member(&worker.name, worker.address, "active", *size, 0))
                    })
                    .collect();
                bulletin.add(&members);
            }
            let size = |worker: &Worker| KIND.cores as f64 / (1.0 + worker.held_per_core());
            measured = workers.iter().map(|worker| (worker.name.clone(), size(worker))).collect();
            let sizes: Vec<_> = measured.iter().map(|(_, size)| format!("{size:.2}")).collect();
            let totals = totals(&clients);
            record
                .line(&format!("sent {sent}, served, refused, failed {totals:?}, sizes {}", sizes.join(" ")));
        }
    }
    std::thread::sleep(Duration::from_millis(3200));
    record.line(&format!("sent {sent}, served, refused, failed {:?}", totals(&clients)));
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    if totals(&clients)[0] * 2 < sent {
        return Err("less than half of the requests were served: the machine is too slow for the case".into());
    }
    let fallen = returned.iter().filter(|worker| falls(worker, record)).count();
    record.line(&format!("{fallen} of {} returned workers fall", returned.len()));
    Ok(if fallen > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Whether the router, the only one, has sent a cold worker so much that it falls.
fn falls(worker: &Worker, record: &Record) -> bool {
    let (Some(started), arrivals) = (worker.started, worker.arrivals()) else { return false };
    let mut worst = (0.0, String::new());
    for (at, arrival) in arrivals.iter().enumerate() {
        let count =
            arrivals[..=at].iter().filter(|earlier| **earlier + OVERLOAD_FOR > *arrival).count() as f64;
        let age = arrival.duration_since(started);
        let n = TIP_MULTIPLE * KIND.capacity(Some(age)) * OVERLOAD_FOR.as_secs_f64();
        let limit = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        if count / limit > worst.0 {
            let age = age.as_secs_f64();
            let text = format!(
                "{count} requests in the second before {age:.2} s of age; N {n:.1}, falls above {limit:.1}"
            );
            worst = (count / limit, text);
        }
    }
    let seconds: Vec<_> = (0..8)
        .map(|second| {
            let in_it = |at: &&Instant| at.duration_since(started).as_secs() == second;
            arrivals.iter().filter(in_it).count().to_string()
        })
        .collect();
    record.line(&format!("{}: requests in each second of its life: {}", worker.name, seconds.join(" ")));
    record.line(&format!("{}: at worst {}", worker.name, worst.1));
    worst.0 > 1.0
}

fn totals(clients: &[Client]) -> [usize; 3] {
    clients.iter().map(Client::totals).fold([0; 3], |sum, totals| std::array::from_fn(|n| sum[n] + totals[n]))
}
