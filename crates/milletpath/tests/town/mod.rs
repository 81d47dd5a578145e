//! A small platform on loopback for stories of the router: workers, a bulletin and clients of our own that speak its
//! protocol, each on threads that end with their sockets.

#[path = "../../../platform-protocol/tests/pen/mod.rs"]
mod pen;

pub use pen::frame;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a worker does with a request: gets the requests that it saw before, and its connection to answer on.
pub type Manner = fn(before: usize, id: u64, to: &mut TcpStream);

pub fn well(_: usize, id: u64, to: &mut TcpStream) {
    let _ = to.write_all(&frame(200, id, "use=q:0;x1:0;x0:0.1", b"done"));
}

/// Takes requests and answers none.
pub fn hangs(_: usize, _: u64, _: &mut TcpStream) {}

/// Codes and ids of the frames that a worker got.
pub type Seen = Arc<Mutex<Vec<(u8, u64)>>>;

/// A worker: its address, and what it got.
pub fn worker(manner: Manner) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, seen) = (listener.local_addr().expect("bound"), Seen::default());
    let all = seen.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let seen = all.clone();
            std::thread::spawn(move || serve(stream, manner, &seen));
        }
    });
    (address, seen)
}

fn serve(mut stream: TcpStream, manner: Manner, seen: &Seen) -> Option<()> {
    loop {
        let mut head = [0; 16];
        stream.read_exact(&mut head).ok()?;
        let long = |bytes: &[u8]| bytes.iter().fold(0, |n, &b| n << 8 | u64::from(b));
        let mut rest = vec![0; long(&head[2..4]) as usize + long(&head[4..8]) as usize + 4];
        stream.read_exact(&mut rest).ok()?;
        let (code, id) = (head[1], long(&head[8..]));
        let before = {
            let mut seen = seen.lock().expect("unbroken");
            seen.push((code, id));
            seen.iter().filter(|(code, _)| *code == 2).count()
        };
        match code {
            2 => manner(before - 1, id, &mut stream),
            4 | 5 => stream.write_all(&frame(206, id, "use=q:0;x1:0;x0:0.1", b"")).ok()?,
            6 => stream.write_all(&frame(200, id, "n=1", b"")).ok()?,
            _ => {}
        }
    }
}

/// A bulletin: what it was asked, and what it tells; each string is written as it is after the question.
pub fn bulletin(tells: Vec<String>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, asked) = (listener.local_addr().expect("bound"), Arc::default());
    let all: Arc<Mutex<Vec<String>>> = Arc::clone(&asked);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            let tell = {
                let mut asked = all.lock().expect("unbroken");
                asked.push(line.trim().to_owned());
                tells.get(asked.len() - 1).cloned()
            };
            match tell {
                // A text without an end of line breaks off there.
                Some(text) if !text.is_empty() => {
                    let _ = stream.write_all(text.as_bytes());
                    if text.ends_with('\n') {
                        open.push(stream);
                    }
                }
                _ => open.push(stream),
            }
        }
    });
    (address, asked)
}

pub fn event(number: u64, name: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"no":{number},"roster":{{"revision":{number},"complete":false,"members":[{{"id":"{name}","host_port":"{address}","locality":"z","flavor":"k","cell":0,"phase":"{state}","size":1,"up_since_ms":0}}]}}}}"#
    ) + "\n"
}

pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    pub file: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn file(workers: &[SocketAddr], bulletin: SocketAddr, sockets: usize) -> String {
    let all: Vec<_> = (0..).zip(workers).map(|(n, w)| event(n + 1, &format!("w{n}"), *w, "active")).collect();
    let items: Vec<_> = all.iter().map(|e| e.trim()).collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"0000000000000005","bulletin":"{bulletin}",
        "limits":{{"cores":1,"memory_mb":64,"sockets":{sockets}}},"known":{{"no":{},"items":[{}]}},
        "settings":{{"Balancers":1,"Classes":[{{"Name":"p","Effect":"free","Objective":400000,"HardLimit":3000000}}],
        "FamilyInfo":{{"PlacementCalls":true,"MissMode":"load","KeepAlive":5000000}},"Kinds":["k"],
        "Limits":{{"MaxAttempts":4,"Cancelling":true,"Probing":true,"RetryAfter":true,"MaxRetryAfter":1000000,
        "ConnectTimeout":250000,"Keepalive":30000000,"StreamsPerConn":32}},
        "Rules":{{"DrainGrace":500000,"StartCapacity":0.2,"WarmUp":1000000,"TipMultiple":2.5,"OverloadFor":1000000}},
        "Telemetry":{{"Names":["q"],"Via":"inline"}},"Tenants":[{{"Name":"acme"}}],"Tick":1000}}}}"#,
        workers.len(),
        items.join(","),
    )
}

impl Router {
    pub fn start(workers: &[SocketAddr], bulletin: SocketAddr, sockets: usize) -> Self {
        Self::by(&file(workers, bulletin, sockets))
    }

    /// One that starts from this file.
    pub fn by(text: &str) -> Self {
        let path = Self::path();
        std::fs::write(&path, text).expect("a file");
        Self::run(Command::new(env!("CARGO_BIN_EXE_milletpath")).arg("platform"), path)
    }

    /// One to which the system grants fewer descriptors than its file states.
    pub fn granted(descriptors: usize, text: &str) -> Self {
        let path = Self::path();
        std::fs::write(&path, text).expect("a file");
        let run = format!("ulimit -n {descriptors}; exec {} platform", env!("CARGO_BIN_EXE_milletpath"));
        Self::run(Command::new("sh").arg("-c").arg(run), path)
    }

    fn path() -> PathBuf {
        static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("told-{}-{count}", std::process::id()))
    }

    fn run(command: &mut Command, path: PathBuf) -> Self {
        command.env("LB_CONFIG", &path).env_remove("LB_LISTEN").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the router starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).expect("its log") > 0, "the router ended");
            let found = line.split("address=").nth(1).and_then(|a| a.split_whitespace().next());
            if let Some(address) = found.and_then(|a| a.parse().ok()) {
                break address;
            }
        };
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, address, file: path }
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("it runs");
    }

    /// Has it stand still until it is told to go on: what comes meanwhile lies there in the order in which it came.
    pub fn halted(&self, meanwhile: impl FnOnce()) {
        use nix::sys::signal::Signal::{SIGCONT, SIGSTOP};
        self.signal(SIGSTOP);
        let stands =
            || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let stands = || stands().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')).then_some(());
        wait(stands).expect("it stands still");
        meanwhile();
        self.signal(SIGCONT);
    }

    /// How it ended, within some seconds.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        wait(|| self.child.try_wait().expect("a child"))
    }
}

/// Looks until something is there, for ten seconds at most.
pub fn wait<T>(mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let begun = Instant::now();
    loop {
        let seen = look();
        if seen.is_some() || begun.elapsed() > Duration::from_secs(10) {
            return seen;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn new(router: &Router) -> Self {
        let stream = TcpStream::connect(router.address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a socket");
        Self { stream: BufReader::new(stream) }
    }

    pub fn say(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes());
    }

    pub fn close(&self, how: std::net::Shutdown) {
        self.stream.get_ref().shutdown(how).expect("it is open");
    }

    /// Whether something lies there to be heard.
    pub fn has_heard(&self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).expect("a socket");
        let there = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("a socket");
        there
    }

    /// The next line; empty where the connection ended.
    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        let _ = self.stream.read_line(&mut line);
        line
    }

    /// Whether the connection ends with nothing more, by a close and not by a reset.
    pub fn ended_well(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    pub fn ask(&mut self, number: u64, id: u64) -> String {
        self.say(&call(number, id));
        self.hear()
    }
}

pub fn call(number: u64, id: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{number},"method":"p","params":{{"i":"{id:016x}","d":2500,"t":"acme","o":"7f3a9c21e0b4d655","info":"memory_mb:5;lanes:64;load_ms:6","content":"aGk="}}}}"#
    ) + "\n"
}

/// Asks a router whether it is fit.
pub fn probe(number: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{number},"method":"probe","params":{{"deep":false}}}}"#) + "\n"
}

/// "done" in base64, as a worker that is well answers.
pub const DONE: &str = r#""result":{"content":"ZG9uZQ=="}"#;
