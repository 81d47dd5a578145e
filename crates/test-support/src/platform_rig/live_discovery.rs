//! Discovery as the platform runs it, with events and a heartbeat a second, and outages when the test wants them.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two heartbeats of a stream.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time between two looks at what is to be done: short against the times that tests tell apart.
const POLL: Duration = Duration::from_millis(2);

/// How discovery is out of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Streams end, and connections are refused.
    Refused,
    /// Streams stay open and silent, and new ones as well.
    Silent,
    /// Streams end, and connections are accepted and closed.
    Closed,
    /// Streams end amid a line, new ones as well.
    CutLine,
    /// Streams stay open and bring bytes, but no end of a line.
    EndlessLine,
}

impl Outage {
    /// All ways to be out of reach.
    pub const ALL: [Self; 5] = [Self::Refused, Self::Silent, Self::Closed, Self::CutLine, Self::EndlessLine];
}

struct State {
    /// The number of the last event that routers know from their configuration.
    first: u64,
    /// Events after it, as lines.
    events: Vec<String>,
    outage: Option<Outage>,
    /// Number of outages so far: a stream that lived through one brings nothing any more.
    outages: u64,
    stopped: bool,
}

/// Discovery on loopback; it stops when it is dropped.
pub struct LiveDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl LiveDiscovery {
    /// Starts it for routers whose configuration holds events up to this number.
    pub fn start(first: u64) -> Self {
        Self::with_events(first, Vec::new())
    }

    /// Starts it with events after that number, as lines, that no configuration holds.
    pub fn with_events(first: u64, events: Vec<String>) -> Self {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let state = Arc::new(Mutex::new(State { first, events, outage: None, outages: 0, stopped: false }));
        let shared = state.clone();
        std::thread::spawn(move || accept_streams(listener, address, &shared));
        Self { address, state }
    }

    /// Adds an event, which `line` gives for its number.
    pub fn publish(&self, line: impl FnOnce(u64) -> String) {
        let mut state = self.state.lock().expect("no test thread panicked");
        let number = state.first + state.events.len() as u64 + 1;
        let line = line(number);
        state.events.push(line);
    }

    /// The events so far, as lines.
    pub fn events(&self) -> Vec<String> {
        self.state.lock().expect("no test thread panicked").events.clone()
    }

    /// Is out of reach from now on.
    pub fn fail(&self, outage: Outage) {
        let mut state = self.state.lock().expect("no test thread panicked");
        state.outage = Some(outage);
        state.outages += 1;
    }

    /// Is back: new streams get all events, those of before stay as the outage left them.
    pub fn recover(&self) {
        self.state.lock().expect("no test thread panicked").outage = None;
    }
}

impl Drop for LiveDiscovery {
    fn drop(&mut self) {
        if let Ok(mut state) = self.state.lock() {
            state.stopped = true;
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts streams until discovery stops; while connections are refused there is no listener.
fn accept_streams(listener: TcpListener, address: SocketAddr, state: &Arc<Mutex<State>>) {
    let mut listener = Some(listener);
    loop {
        let outage = {
            let state = state.lock().expect("no test thread panicked");
            if state.stopped {
                return;
            }
            state.outage
        };
        if outage == Some(Outage::Refused) {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        while let Some((stream, _)) = listener.as_ref().and_then(|listener| listener.accept().ok()) {
            let state = state.clone();
            std::thread::spawn(move || serve_stream(stream, &state));
        }
        std::thread::sleep(POLL);
    }
}

/// What a stream does next.
enum Step {
    Write(String),
    Wait,
    End,
    WriteAndEnd(String),
}

/// The progress of one stream.
struct StreamProgress {
    sent: u64,
    last_line_at: Instant,
    outages_before: u64,
}

impl StreamProgress {
    fn next_step(&mut self, state: &State) -> Step {
        if state.stopped {
            return Step::End;
        }
        let last = state.first + state.events.len() as u64;
        let is_due = self.last_line_at.elapsed() >= HEARTBEAT;
        if state.outages > self.outages_before || state.outage.is_some() {
            return match state.outage {
                Some(Outage::Refused | Outage::Closed) => Step::End,
                Some(Outage::CutLine) => Step::WriteAndEnd("{\"no\":".to_owned()),
                Some(Outage::EndlessLine) if is_due => {
                    self.last_line_at = Instant::now();
                    Step::Write(" ".to_owned())
                }
                _ => Step::Wait,
            };
        }
        if self.sent < last {
            let next = self.sent.max(state.first);
            self.sent = last;
            self.last_line_at = Instant::now();
            return Step::Write(state.events[(next - state.first) as usize..].concat());
        }
        if is_due {
            self.last_line_at = Instant::now();
            return Step::Write(format!("{last}\n"));
        }
        Step::Wait
    }
}

/// Serves one stream: the events after the number that it asks for, then each as it comes.
fn serve_stream(mut stream: TcpStream, state: &Mutex<State>) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    let outages_before = state.lock().expect("no test thread panicked").outages;
    if state.lock().expect("no test thread panicked").outage == Some(Outage::Closed) {
        return None;
    }
    let mut request = String::new();
    BufReader::new(&stream).read_line(&mut request).ok()?;
    let sent = request.trim().strip_prefix("after ")?.parse().ok()?;
    let mut progress = StreamProgress { sent, last_line_at: Instant::now(), outages_before };
    loop {
        let step = progress.next_step(&state.lock().expect("no test thread panicked"));
        match step {
            Step::Write(text) => stream.write_all(text.as_bytes()).ok()?,
            Step::Wait => std::thread::sleep(POLL),
            Step::WriteAndEnd(text) => {
                stream.write_all(text.as_bytes()).ok()?;
                break;
            }
            Step::End => break,
        }
    }
    stream.shutdown(Shutdown::Both).ok()
}
