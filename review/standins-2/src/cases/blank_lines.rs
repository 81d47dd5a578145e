//! Bad clients send nothing but line feeds, without an end. Usual clients connect and send one request each.

use super::Platform;
use crate::client::{Answer, Client};
use crate::record::Record;
use crate::router::{Router, Settings};
use crate::{CaseError, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Bad clients.
const FLOODS: usize = 150;
/// Usual clients, and the time between two of them.
const USUAL: usize = 16;
const INTERVAL: Duration = Duration::from_millis(500);
/// A request's time of 3 s, the half second in which an answer only earns nothing, and 50 ms for the clock.
const LIMIT: Duration = Duration::from_millis(3550);

/// Runs the case.
pub fn run(with_trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let platform = Platform::start(Duration::from_millis(50), record)?;
    let settings = Settings::default();
    let mut router = Router::start(&settings, platform.bulletin.address, &platform.workers, record)?;
    let (connected, ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    if with_trouble {
        record.line(&format!("{FLOODS} bad clients connect and send line feeds"));
        for _ in 0..FLOODS {
            let (address, connected, ended) = (router.address, connected.clone(), ended.clone());
            std::thread::spawn(move || {
                flood(address, &connected);
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut sent = Vec::new();
    for n in 0..USUAL {
        let mut client = Client::connect(&format!("usual client {n}"), router.address, record)?;
        let params = "\"d\":3000,\"t\":\"acme\",\"o\":\"00000000000000a1\",\
                      \"info\":\"memory_mb:512;lanes:2;load_ms:640\"";
        let request = client.request("refill-check", params);
        client.send(&request.line)?;
        sent.push((client, request, Instant::now()));
        std::thread::sleep(INTERVAL);
    }
    let mut lost = 0;
    for (n, (client, request, at)) in sent.iter().enumerate() {
        let answer = client.wait_for(request, LIMIT.saturating_sub(at.elapsed()));
        let fate = match &answer {
            Some(Answer::Served) => "served",
            Some(Answer::Refused) => "refused",
            Some(Answer::Failed(_)) => "failed",
            None => {
                lost += 1;
                "LOST: no answer"
            }
        };
        let ran = platform.runs.has_begun(request.id);
        record.line(&format!("usual client {n}: {fate}; run by a worker: {ran}"));
    }
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    record.line(&format!(
        "{lost} of {USUAL} usual requests were lost; bad clients connected: {}, ended by the router: {}",
        connected.load(Ordering::Relaxed),
        ended.load(Ordering::Relaxed)
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends line feeds at full speed and reads what it is sent, until the router ends the connection.
fn flood(address: SocketAddr, connected: &AtomicUsize) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    connected.fetch_add(1, Ordering::Relaxed);
    let mut reader = stream.try_clone().ok()?;
    std::thread::spawn(move || while reader.read(&mut [0; 4096]).is_ok_and(|length| length > 0) {});
    let lines = [b'\n'; 16 << 10];
    loop {
        stream.write_all(&lines).ok()?;
    }
}
