//! A `milletpath serve` process on loopback, workers on threads of the test, and clients that see each byte.
#![allow(dead_code, reason = "each test file uses a part of it")]

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whatever should have happened is given up on after so long.
pub const LONGEST: Duration = Duration::from_secs(10);

/// When each call reached the workers, and its body.
pub type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
pub const FULL: &str = "HTTP/1.1 503 Full\r\nmilletpath-refused: full\r\ncontent-length: 0\r\n\r\n";

/// A worker that gives the same answer to each request, so much later.
pub fn worker(answer: &'static str, after: Duration) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, arrivals) = (listener.local_addr().expect("bound"), Arrivals::default());
    let all = arrivals.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let arrivals = all.clone();
            std::thread::spawn(move || work(stream, answer, after, &arrivals));
        }
    });
    (address, arrivals)
}

/// Answers the requests of one connection as a worker does.
pub fn work(stream: TcpStream, answer: &str, after: Duration, arrivals: &Arrivals) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = Message::read(&mut stream) {
        let body = String::from_utf8_lossy(&message.body).into_owned();
        arrivals.lock().expect("unbroken").push((Instant::now(), body));
        std::thread::sleep(after);
        let _ = stream.get_mut().write_all(answer.as_bytes());
    }
}

/// An HTTP/1.1 message with a stated length.
#[derive(Debug)]
pub struct Message {
    pub start: String,
    pub fields: Vec<String>,
    pub body: Vec<u8>,
}

impl Message {
    /// None where the connection ends before the message does.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut line = String::new();
            let read = from.read_line(&mut line).ok()?;
            (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
        };
        let (start, mut fields) = (line()?, Vec::new());
        loop {
            let field = line()?;
            if field.is_empty() {
                break;
            }
            fields.push(field.to_ascii_lowercase());
        }
        let length = fields.iter().find_map(|f| f.strip_prefix("content-length: ")?.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        from.read_exact(&mut body).ok()?;
        Some(Self { start, fields, body })
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn has(&self, field: &str) -> bool {
        self.fields.iter().any(|f| f.starts_with(field))
    }
}

/// The bytes of a call.
pub fn request(fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\n{fields}content-length: {length}\r\n\r\n{body}"
    )
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(LONGEST))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Whether the gateway has closed the connection, as far as this side knows.
    pub fn is_closed(&self) -> bool {
        self.stream().set_nonblocking(true).expect("a socket");
        let peeked = self.stream().peek(&mut [0]);
        self.stream().set_nonblocking(false).expect("a socket");
        !matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    /// Waits for an answer's first byte, and leaves it there.
    pub fn await_answer(&self) {
        self.stream().peek(&mut [0]).expect("an answer");
    }

    /// Takes so many bytes off, or fewer where no more come for a moment.
    pub fn take(&mut self, bytes: usize) -> Vec<u8> {
        const MOMENT: Duration = Duration::from_millis(100);
        let mut taken = vec![0; bytes];
        let mut filled = 0;
        self.stream().set_read_timeout(Some(MOMENT)).expect("a socket");
        while let Ok(read @ 1..) = self.0.read(&mut taken[filled..]) {
            filled += read;
        }
        self.stream().set_read_timeout(Some(LONGEST)).expect("a socket");
        taken.truncate(filled);
        taken
    }

    /// An answer of which the first bytes were taken before.
    pub fn answer_begun(&mut self, begun: Vec<u8>) -> Option<Message> {
        Message::read(&mut BufReader::new(begun.as_slice().chain(&mut self.0)))
    }
}

/// A gateway in a process of its own.
pub struct Served {
    child: Child,
    pub address: SocketAddr,
    charter: PathBuf,
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.charter);
    }
}

/// What differs from the usual charter and grants.
pub struct Setup {
    /// At the top of the charter, and in its section on workers.
    pub top: &'static str,
    pub of_workers: &'static str,
    /// Whether workers are ordered to load.
    pub orders: bool,
    /// Seconds that a call may take.
    pub cut_off: u32,
    /// That the system grants.
    pub descriptors: usize,
}

impl Default for Setup {
    fn default() -> Self {
        Self { top: "", of_workers: "", orders: false, cut_off: 3, descriptors: 1024 }
    }
}

impl Served {
    /// Starts one on a port of its own, with `top` in its charter.
    pub fn start(worker: SocketAddr, top: &'static str) -> Self {
        Self::start_with(worker, &Setup { top, ..Setup::default() })
    }

    pub fn start_with(worker: SocketAddr, setup: &Setup) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("served-{}-{number}.hcl", std::process::id());
        let charter = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let Setup { top, of_workers, orders, cut_off, descriptors } = setup;
        let text = format!(
            "seed = 3\nlisten = \"127.0.0.1:0\"\n{top}\n\
             profile \"pure\" {{\ndue = 1\ncut_off = {cut_off}\neffect = \"pure\"\n}}\n\
             workers {{\norders = {orders}\nprobes = false\n{of_workers}\n\
             worker \"w\" {{ address = \"{worker}\" }}\n}}\n"
        );
        std::fs::write(&charter, text).expect("a file");
        let run = format!("ulimit -n {descriptors}; exec \"$0\" serve --charter \"$1\"");
        let mut command = Command::new("sh");
        command.args(["-c", &run, env!("CARGO_BIN_EXE_milletpath")]).arg(&charter);
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("it starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let line = lines.by_ref().map_while(Result::ok).find_map(|line| {
            line.strip_prefix("listening on http://").and_then(|address| address.parse().ok())
        });
        Self { child, address: line.expect("it listens"), charter }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("it runs");
    }

    /// Stops the process as SIGSTOP does and comes back once it stands still.
    pub fn halt(&self) {
        self.signal(Signal::SIGSTOP);
        let path = format!("/proc/{}/stat", self.child.id());
        let begun = Instant::now();
        while begun.elapsed() < LONGEST {
            let state = std::fs::read_to_string(&path).expect("it runs");
            if state.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')) {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("it does not stand still");
    }

    /// How it ended, unless it has not within some seconds.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let begun = Instant::now();
        while begun.elapsed() < LONGEST {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}
