//! A gateway on loopback in the test's own thread, workers that the test scripts, and clients that speak plain
//! bytes.
#![allow(dead_code, reason = "each file of stories uses a part of it")]

use milletpath_config::GatewayConfig;
use milletpath_gateway::{Links, serve};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

/// Runs a story on one thread. It ends by itself or fails: no story here takes half a minute.
pub fn story(what: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(Duration::from_secs(30), what).await };
    runtime.block_on(LocalSet::new().run_until(bounded)).expect("the story came to no end");
}

/// A charter for workers at these addresses; `more` goes in as it is.
pub fn charter(workers: &[SocketAddr], more: &str) -> GatewayConfig {
    let lines: String = workers
        .iter()
        .enumerate()
        .map(|(n, a)| format!("worker \"w{n}\" {{ address = \"{a}\" }}\n"))
        .collect();
    let text = format!(
        "seed = 3\nlisten = \"127.0.0.1:0\"\n{more}\nworkers {{\norders = false\nprobes = false\n{lines}}}\n"
    );
    let text = if more.contains("profile") { text } else { format!("{PURE}{text}") };
    milletpath_config::read(&text).unwrap_or_else(|m| panic!("{m:#?}"))
}

pub const PURE: &str = "profile \"pure\" {\ndue = 1\ncut_off = 3\neffect = \"pure\"\n}\n";
pub const EFFECTFUL: &str = "profile \"once\" {\ndue = 1\ncut_off = 3\neffect = \"effectful\"\n}\n";
/// Workers here have no stated zone: a mark is known to the one that saw it alone.
pub const ZONED: &str =
    "profile \"zoned\" {\ndue = 1\ncut_off = 3\neffect = \"receipted\"\ngroup = \"zone\"\nmemory = 60\n}\n";
pub const RECEIPTED: &str =
    "profile \"marked\" {\ndue = 1\ncut_off = 3\neffect = \"receipted\"\nmemory = 0.4\n}\n";

/// Starts a gateway; it stops when the sender is used.
pub async fn gateway(
    house: GatewayConfig,
) -> (SocketAddr, oneshot::Sender<()>, tokio::task::JoinHandle<milletpath_dispatcher::dispatcher::Counters>) {
    let listener = TcpListener::bind(house.listen).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let served = spawn_local(serve(house, listener, async {
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    }));
    (address, stop, served)
}

pub type Served = tokio::task::JoinHandle<milletpath_dispatcher::dispatcher::Counters>;

/// The same, with mischief for its cores.
pub async fn stirred(
    house: GatewayConfig,
) -> (SocketAddr, oneshot::Sender<()>, Served, UnboundedSender<(usize, milletpath_gateway::FaultInjection)>) {
    let listener = TcpListener::bind(house.listen).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let (stir, stirs) = tokio::sync::mpsc::unbounded_channel();
    let stopped = async {
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    (
        address,
        stop,
        spawn_local(milletpath_gateway::serve_with_faults(house, listener, Links::default(), stopped, stirs)),
        stir,
    )
}

/// What a scripted worker does with one request.
#[derive(Clone, Copy)]
pub enum Does {
    /// Answers these bytes.
    Says(&'static str),
    /// Reads the request and answers nothing.
    Nothing,
    /// Reads the request and closes.
    Closes,
    /// Answers these bytes and closes.
    SaysAndCloses(&'static str),
    /// Answers after so many milliseconds.
    Late(u64, &'static str),
}

pub const OK: Does = Does::Says("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone");
pub const FULL: Does = Does::Says("HTTP/1.1 503 X\r\nmilletpath-refused: full\r\ncontent-length: 0\r\n\r\n");
pub const BARE_503: Does = Does::Says("HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n");

pub type Heads = tokio::sync::mpsc::UnboundedReceiver<String>;

/// A worker that does the same with each request; tells the heads that it read.
pub async fn worker(does: Does) -> (SocketAddr, Heads) {
    let (addresses, heads) = team(1, vec![does]).await;
    (addresses[0], heads)
}

/// Workers that go through one script together, request by request, and repeat its last line.
pub async fn team(workers: usize, script: Vec<Does>) -> (Vec<SocketAddr>, Heads) {
    let (seen, heads) = tokio::sync::mpsc::unbounded_channel();
    let script = Rc::new((script, Cell::new(0)));
    let mut addresses = Vec::new();
    for _ in 0..workers {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let (seen, script) = (seen.clone(), script.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_one(stream, seen.clone(), script.clone()));
            }
        });
    }
    (addresses, heads)
}

async fn serve_one(
    mut stream: TcpStream,
    seen: UnboundedSender<String>,
    script: Rc<(Vec<Does>, Cell<usize>)>,
) {
    while let Some(head) = request(&mut stream).await {
        let _ = seen.send(head);
        let (lines, turn) = &*script;
        let does = lines[turn.get().min(lines.len() - 1)];
        turn.set(turn.get() + 1);
        match does {
            Does::Says(text) => stream.write_all(text.as_bytes()).await.unwrap_or(()),
            Does::SaysAndCloses(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Does::Late(wait, text) => {
                tokio::time::sleep(Duration::from_millis(wait)).await;
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Does::Closes => return,
            Does::Nothing => {}
        }
    }
}

/// Reads one message with a stated length: its head, and its body behind it.
async fn request(stream: &mut TcpStream) -> Option<String> {
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

/// One call on a connection of its own; the whole answer as text.
pub async fn call(gateway: SocketAddr, fields: &str, body: &str) -> String {
    say(gateway, &bytes_of_call(fields, body)).await
}

/// A call behind which the connection is closed.
pub fn bytes_of_call(fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n{fields}content-length: \
         {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends bytes and reads until the other side closes.
pub async fn say(gateway: SocketAddr, bytes: &[u8]) -> String {
    say_on(TcpStream::connect(gateway).await.unwrap(), bytes).await
}

/// The same on a connection that stands.
pub async fn say_on(mut stream: TcpStream, bytes: &[u8]) -> String {
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
