//! What a call costs: the gateway as its users run it, a plain relay on the same stack that copies requests to one
//! worker, and the worker asked directly. Processes of their own, instant workers, interleaved in one run.
//!
//! `cargo bench -p milletpath --bench calls` prints calls a second, CPU a call, and what the gateway adds at 760
//! calls a second.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Interleaved rounds, seconds of each, and connections of the closed loop.
const ROUNDS: usize = 5;
const SECONDS: f64 = 3.0;
const CONNECTIONS: usize = 32;

fn local<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(what))
}

/// Reads one message with a stated length; false at the end of the stream.
async fn message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
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
fn workers(count: usize) -> Vec<SocketAddr> {
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

/// The baseline: a relay on the same stack, with kept connections to one worker and nothing decided.
async fn relay(worker: SocketAddr) {
    type Idle = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;
    async fn pass(idle: Idle, worker: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.expect("a body").to_bytes();
        let kept = idle.borrow_mut().pop();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(worker).await.expect("the worker");
                let _ = stream.set_nodelay(true);
                let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("a connection");
                spawn_local(connection);
                sender
            }
        };
        sender.ready().await.expect("a kept connection");
        let response =
            sender.send_request(Request::from_parts(parts, Full::new(body))).await.expect("an answer");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("an answer's body").to_bytes();
        idle.borrow_mut().push(sender);
        Response::from_parts(parts, Full::new(body))
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    println!("listening on http://{}", listener.local_addr().expect("an address"));
    let idle = Idle::default();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let idle = idle.clone();
        let service = service_fn(move |request| {
            let idle = idle.clone();
            async move { Ok::<_, Infallible>(pass(idle, worker, request).await) }
        });
        spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// A process that tells where it listens.
struct Under(Child, SocketAddr);

impl Under {
    fn start(mut command: Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("it starts");
        let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let address =
            lines.map_while(Result::ok).find_map(|l| l.strip_prefix("listening on http://")?.parse().ok());
        Self(child, address.expect("it tells where it listens"))
    }

    /// Seconds of CPU used so far.
    fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let fields: Vec<_> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        // User and system time, in hundredths of a second.
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Under {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn call() -> Vec<u8> {
    let body = "x".repeat(200);
    let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\nmilletpath-patience: 3\r\n";
    format!("{head}content-length: 200\r\n\r\n{body}").into_bytes()
}

/// A closed loop: calls answered a second.
fn closed(at: SocketAddr) -> f64 {
    local(async {
        let until = Instant::now() + Duration::from_secs_f64(SECONDS);
        let mut loops = tokio::task::JoinSet::new();
        for _ in 0..CONNECTIONS {
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
        calls as f64 / SECONDS
    })
}

/// 760 calls a second, turn about to each address; latencies in microseconds.
fn open_loop(addresses: &[SocketAddr], seconds: f64) -> Vec<Histogram<u64>> {
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

fn gateway(workers: &[SocketAddr]) -> Under {
    let path = std::env::temp_dir().join(format!("milletpath-bench-{}.hcl", std::process::id()));
    let lines: String = workers
        .iter()
        .enumerate()
        .map(|(n, a)| format!("  worker \"w{n}\" {{ address = \"{a}\" }}\n"))
        .collect();
    let text = format!(
        "listen = \"127.0.0.1:0\"\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{ lanes = 64 }}\n\
         workers {{\n{lines}}}\n"
    );
    std::fs::write(&path, text).expect("a charter");
    let mut command = Command::new(env!("CARGO_BIN_EXE_milletpath"));
    command.arg("serve").arg("--charter").arg(&path);
    Under::start(command)
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let mut args = std::env::args().skip(1);
    if let Some("--relay") = args.next().as_deref() {
        let worker = args.next().and_then(|a| a.parse().ok()).expect("the worker's address");
        return local(relay(worker));
    }
    let workers = workers(4);
    let gateway = gateway(&workers);
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.arg("--relay").arg(workers[0].to_string());
    let relay = Under::start(command);
    let (mut rates, mut costs) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    for round in 0..ROUNDS {
        for (n, under) in [&gateway, &relay].into_iter().enumerate() {
            let before = under.cpu();
            let rate = closed(under.1);
            let cost = (under.cpu() - before) * 1e6 / (rate * SECONDS);
            let name = ["gateway", "relay"][n];
            println!("round {round} {name:<8} {rate:>8.0} calls/s {cost:>7.1} us CPU a call");
            rates[n].push(rate);
            costs[n].push(cost);
        }
    }
    let ratio = |pairs: &[Vec<f64>; 2]| middle(pairs[0].iter().zip(&pairs[1]).map(|(a, b)| a / b).collect());
    println!("calls/s, gateway / relay: {:.2} (median of {ROUNDS})", ratio(&rates));
    println!("CPU a call, relay / gateway: {:.2} (median of {ROUNDS})", 1.0 / ratio(&costs));
    let found = open_loop(&[workers[1], gateway.1, relay.1], 20.0);
    for (name, h) in ["direct", "gateway", "relay"].into_iter().zip(&found) {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!("760/s {name:<8} p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms", at(0.5), at(0.99), at(0.999));
    }
    let added = |q| (found[1].value_at_quantile(q) as f64 - found[0].value_at_quantile(q) as f64) / 1e3;
    println!("added by the gateway: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
}
