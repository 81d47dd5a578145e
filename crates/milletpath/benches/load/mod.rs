//! What the benches share: instant workers, the gateway as a process, closed and open loops of calls.
#![allow(dead_code, reason = "each bench uses a part of it")]

use hdrhistogram::Histogram;
use milletpath_emulator::gateway_process::GatewayProcess;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

pub fn local<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(what))
}

/// Reads one message with a stated length; false at the end of the stream.
pub async fn message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
    loop {
        if let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
            let length =
                text.lines().find_map(|l| l.strip_prefix("content-length: ")?.trim().parse::<usize>().ok());
            let end = head + 4 + length.unwrap_or(0);
            if bytes.len() >= end {
                bytes.drain(..end);
                return true;
            }
        }
        match stream.read_buf(bytes).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
}

/// Instant workers on a thread of their own.
pub fn workers(count: usize) -> Vec<SocketAddr> {
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        local(async move {
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                tell.send(listener.local_addr().expect("an address")).expect("somebody asks");
                spawn_local(async move {
                    while let Ok((mut stream, _)) = listener.accept().await {
                        let _ = stream.set_nodelay(true);
                        spawn_local(async move {
                            let mut bytes = Vec::new();
                            while message(&mut stream, &mut bytes).await {
                                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
                                if stream.write_all(answer).await.is_err() {
                                    break;
                                }
                            }
                        });
                    }
                });
            }
            drop(tell);
            std::future::pending::<()>().await;
        });
    });
    told.iter().collect()
}

pub fn start(mut command: Command) -> GatewayProcess {
    command.stderr(Stdio::null());
    GatewayProcess::start(command).expect("it starts")
}

/// Seconds of CPU that a process used so far.
pub fn cpu(under: &GatewayProcess) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", under.child.id())).unwrap_or_default();
    let fields: Vec<_> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    // User and system time, in hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}

pub fn call() -> Vec<u8> {
    let body = "x".repeat(200);
    let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\nmilletpath-patience: 3\r\n";
    format!("{head}content-length: 200\r\n\r\n{body}").into_bytes()
}

/// A closed loop: calls answered a second.
pub fn closed(at: SocketAddr, connections: usize, seconds: f64) -> f64 {
    local(async {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let mut loops = tokio::task::JoinSet::new();
        for _ in 0..connections {
            loops.spawn_local(async move {
                let (mut stream, mut bytes, mut calls) =
                    (TcpStream::connect(at).await.expect("it"), Vec::new(), 0u64);
                let _ = stream.set_nodelay(true);
                let call = call();
                while Instant::now() < until {
                    if stream.write_all(&call).await.is_err() || !message(&mut stream, &mut bytes).await {
                        break;
                    }
                    calls += 1;
                }
                calls
            });
        }
        let mut calls = 0;
        while let Some(done) = loops.join_next().await {
            calls += done.unwrap_or(0);
        }
        calls as f64 / seconds
    })
}

/// 760 calls a second, turn about to each address; latencies in microseconds.
pub fn open_loop(addresses: &[SocketAddr], seconds: f64) -> Vec<Histogram<u64>> {
    const RATE: f64 = 760.0;
    local(async {
        let found: Vec<_> = addresses
            .iter()
            .map(|_| {
                Rc::new(RefCell::new(Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("bounds")))
            })
            .collect();
        let idle: Vec<_> = addresses.iter().map(|_| Rc::new(RefCell::new(Vec::<TcpStream>::new()))).collect();
        let began = Instant::now();
        let mut calls = tokio::task::JoinSet::new();
        for n in 0..(RATE * seconds) as usize {
            tokio::time::sleep_until((began + Duration::from_secs_f64(n as f64 / RATE)).into()).await;
            let which = n % addresses.len();
            let (found, idle, at) = (found[which].clone(), idle[which].clone(), addresses[which]);
            calls.spawn_local(async move {
                let kept = idle.borrow_mut().pop();
                let mut stream = match kept {
                    Some(stream) => stream,
                    None => TcpStream::connect(at).await.expect("it"),
                };
                let _ = stream.set_nodelay(true);
                let asked = Instant::now();
                let sent = stream.write_all(&call()).await.is_ok();
                if sent && message(&mut stream, &mut Vec::new()).await {
                    let _ = found.borrow_mut().record(asked.elapsed().as_micros() as u64);
                    idle.borrow_mut().push(stream);
                }
            });
        }
        while calls.join_next().await.is_some() {}
        found.iter().map(|h| h.borrow().clone()).collect()
    })
}

pub fn gateway(workers: &[SocketAddr], cores: usize) -> GatewayProcess {
    gateway_of(env!("CARGO_BIN_EXE_milletpath"), workers, &format!("cores = {cores}\n"))
}

/// Another build of the program, whose charter may know other keys.
pub fn gateway_of(program: &str, workers: &[SocketAddr], keys: &str) -> GatewayProcess {
    let name = format!("milletpath-bench-{}-{}.hcl", std::process::id(), keys.trim().replace([' ', '='], ""));
    let path = std::env::temp_dir().join(name);
    let lines: String = workers
        .iter()
        .enumerate()
        .map(|(n, a)| format!("  worker \"w{n}\" {{ address = \"{a}\" }}\n"))
        .collect();
    let text = format!(
        "listen = \"127.0.0.1:0\"\n{keys}profile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{ lanes = 64 }}\n\
         workers {{\n{lines}}}\n"
    );
    std::fs::write(&path, text).expect("a charter");
    let mut command = Command::new(program);
    command.arg("serve").arg("--charter").arg(&path);
    start(command)
}
