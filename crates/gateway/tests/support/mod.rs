//! A gateway on the loopback interface that runs on the test's own thread, workers with scripted behavior, and clients
//! that send raw bytes.
#![allow(dead_code, reason = "each test file uses only a part of it")]

use milletpath_config::GatewayConfig;
use milletpath_gateway::{Links, serve};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

/// Runs a test on one thread, with a time limit of half a minute.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(Duration::from_secs(30), test).await };
    runtime.block_on(LocalSet::new().run_until(bounded)).expect("the test took too long");
}

/// Returns a configuration for workers at these addresses, with `extra_config` inserted verbatim.
pub fn config_for(workers: &[SocketAddr], extra_config: &str) -> GatewayConfig {
    let workers_text: String = workers
        .iter()
        .enumerate()
        .map(|(n, a)| format!("worker \"w{n}\" {{ address = \"{a}\" }}\n"))
        .collect();
    let text = format!(
        "seed = 3\nlisten = \"127.0.0.1:0\"\n{extra_config}\nworkers {{\norders = false\nprobes = false\n{workers_text}}}\n"
    );
    let text = if extra_config.contains("profile") { text } else { format!("{IDEMPOTENT}{text}") };
    milletpath_config::read(&text).unwrap_or_else(|m| panic!("{m:#?}"))
}

/// Returns a configuration whose workers are those of a registry, with `extra_config` inserted verbatim.
pub fn config_with_registry(cores: usize, registry: SocketAddr, extra_config: &str) -> GatewayConfig {
    let text = format!(
        "cores = {cores}\nseed = 3\nlisten = \"127.0.0.1:0\"\n{extra_config}workers {{\norders = false\nregistry = \
         \"{registry}\"\ndrain_grace = 0.5\n}}\n"
    );
    milletpath_config::read(&text).unwrap()
}

pub const IDEMPOTENT: &str = "profile \"pure\" {\ndue = 1\ncut_off = 3\neffect = \"pure\"\n}\n";
pub const NON_IDEMPOTENT: &str = "profile \"once\" {\ndue = 1\ncut_off = 3\neffect = \"effectful\"\n}\n";
/// Idempotency keys are known within a zone. Workers in these tests have no configured zone, so a key is known only to
/// the worker that received it.
pub const KEY_KNOWN_BY_ZONE: &str =
    "profile \"zoned\" {\ndue = 1\ncut_off = 3\neffect = \"receipted\"\ngroup = \"zone\"\nmemory = 60\n}\n";
pub const IDEMPOTENT_WITH_KEY: &str =
    "profile \"marked\" {\ndue = 1\ncut_off = 3\neffect = \"receipted\"\nmemory = 0.4\n}\n";

/// Starts a gateway. It stops when a value is sent on the returned sender.
pub async fn start_gateway(
    config: GatewayConfig,
) -> (SocketAddr, oneshot::Sender<()>, tokio::task::JoinHandle<milletpath_dispatcher::dispatcher::Counters>) {
    let listener = TcpListener::bind(config.listen).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let served = spawn_local(serve(config, listener, async {
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    }));
    (address, stop, served)
}

pub type Served = tokio::task::JoinHandle<milletpath_dispatcher::dispatcher::Counters>;

/// Starts a gateway with a channel for injecting faults into its cores.
pub async fn start_with_faults(
    config: GatewayConfig,
) -> (SocketAddr, oneshot::Sender<()>, Served, UnboundedSender<(usize, milletpath_gateway::FaultInjection)>) {
    let listener = TcpListener::bind(config.listen).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let (faults, received_faults) = tokio::sync::mpsc::unbounded_channel();
    let stopped = async {
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    (
        address,
        stop,
        spawn_local(milletpath_gateway::serve_with_faults(
            config,
            listener,
            Links::default(),
            stopped,
            received_faults,
        )),
        faults,
    )
}

/// Starts a registry that sends the lines it receives through the returned channel.
pub async fn registry() -> (SocketAddr, UnboundedSender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (revisions, mut received) = unbounded_channel::<String>();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").await.unwrap();
        while let Some(line) = received.recv().await {
            stream.write_all(line.as_bytes()).await.unwrap();
        }
    });
    (address, revisions)
}

/// How a scripted worker handles one request.
#[derive(Clone, Copy)]
pub enum Behavior {
    /// Responds with these bytes.
    Responds(&'static str),
    /// Reads the request and never responds.
    NeverResponds,
    /// Reads the request and closes the connection.
    Closes,
    /// Responds with these bytes and closes the connection.
    RespondsAndCloses(&'static str),
    /// Responds with these bytes after a delay in milliseconds.
    RespondsAfter(u64, &'static str),
}

pub const OK: Behavior = Behavior::Responds("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone");
pub const FULL: Behavior =
    Behavior::Responds("HTTP/1.1 503 X\r\nmilletpath-refused: full\r\ncontent-length: 0\r\n\r\n");
pub const BARE_503: Behavior = Behavior::Responds("HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n");

pub type RequestHeads = tokio::sync::mpsc::UnboundedReceiver<String>;

/// Starts a worker that handles each request in the same way. Returns its address and the requests that it reads.
pub async fn start_worker(behavior: Behavior) -> (SocketAddr, RequestHeads) {
    let (addresses, heads) = start_workers(1, vec![behavior]).await;
    (addresses[0], heads)
}

/// Starts workers that share one script. Each request consumes one behavior of the script; the last one is repeated.
pub async fn start_workers(workers: usize, script: Vec<Behavior>) -> (Vec<SocketAddr>, RequestHeads) {
    let (sender, heads) = tokio::sync::mpsc::unbounded_channel();
    let script = Rc::new((script, Cell::new(0)));
    let mut addresses = Vec::new();
    for _ in 0..workers {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let (sender, script) = (sender.clone(), script.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_connection(stream, sender.clone(), script.clone()));
            }
        });
    }
    (addresses, heads)
}

async fn serve_connection(
    mut stream: TcpStream,
    sender: UnboundedSender<String>,
    script: Rc<(Vec<Behavior>, Cell<usize>)>,
) {
    while let Some(head) = read_request(&mut stream).await {
        let _ = sender.send(head);
        let (behaviors, next) = &*script;
        let behavior = behaviors[next.get().min(behaviors.len() - 1)];
        next.set(next.get() + 1);
        match behavior {
            Behavior::Responds(text) => stream.write_all(text.as_bytes()).await.unwrap_or(()),
            Behavior::RespondsAndCloses(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Behavior::RespondsAfter(wait, text) => {
                tokio::time::sleep(Duration::from_millis(wait)).await;
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Behavior::Closes => return,
            Behavior::NeverResponds => {}
        }
    }
}

/// Reads one request, whose body length is given by `Content-Length`. Returns its head followed by its body.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length =
                |l: &str| l.to_ascii_lowercase().strip_prefix("content-length: ").map(|n| n.parse::<usize>());
            let length = head.lines().find_map(length).and_then(Result::ok).unwrap_or(0);
            if body.len() >= length {
                return Some(text);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Sends one request on a new connection, and returns the whole response as text.
pub async fn send_request(address: SocketAddr, fields: &str, body: &str) -> String {
    send_bytes(address, &request_bytes(fields, body)).await
}

/// Builds a request that asks for the connection to be closed afterwards.
pub fn request_bytes(fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n{fields}content-length: \
         {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends bytes on a new connection, and reads until the peer closes it.
pub async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    send_bytes_on(TcpStream::connect(address).await.unwrap(), bytes).await
}

/// Sends bytes on an open connection, and reads until the peer closes it.
pub async fn send_bytes_on(mut stream: TcpStream, bytes: &[u8]) -> String {
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

pub fn outcome(answer: &str) -> &str {
    answer.lines().find_map(|l| l.strip_prefix("milletpath-outcome: ")).unwrap_or("none")
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}
