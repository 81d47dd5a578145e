//! A discovery server that publishes events and a heartbeat every second, and simulates outages.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval of the heartbeats on a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Polling interval of the server's threads; short compared with the durations that tests distinguish.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A way in which the discovery server is unavailable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Streams end, and connections are refused.
    Refused,
    /// Open and new streams stay open and silent.
    Silent,
    /// Streams end, and connections are accepted and closed.
    Closed,
    /// Open and new streams end in the middle of a line.
    CutLine,
    /// Streams stay open and receive bytes, but never the end of a line.
    EndlessLine,
}

impl Outage {
    /// All kinds of outages.
    pub const ALL: [Self; 5] = [Self::Refused, Self::Silent, Self::Closed, Self::CutLine, Self::EndlessLine];
}

/// How fast a stream is written.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes per write.
    pub bytes: usize,
    /// Time between two writes.
    pub pause: Duration,
}

/// State that the server's threads share with the test.
struct State {
    /// Number of the last event that the routers' configuration includes.
    base_number: u64,
    /// Later events, as lines.
    events: Vec<String>,
    outage: Option<Outage>,
    /// Number of outages so far. A stream that was open during an outage receives no more events.
    outages: u64,
    /// `None` writes everything at once.
    pace: Option<Pace>,
    stopped: bool,
}

/// A discovery server on loopback, which is stopped on drop.
pub struct LiveDiscovery {
    /// Address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl LiveDiscovery {
    /// Starts a server for routers whose configuration includes the events up to `base_number`.
    pub fn start(base_number: u64) -> Self {
        Self::with_events(base_number, Vec::new())
    }

    /// Like [`start`](Self::start), with events after `base_number` that are already published, as lines.
    pub fn with_events(base_number: u64, events: Vec<String>) -> Self {
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a loopback port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let state = State { base_number, events, outage: None, outages: 0, pace: None, stopped: false };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        std::thread::spawn(move || accept_streams(listener, address, &shared));
        Self { address, state }
    }

    /// Publishes an event. `line` returns its line for a given event number.
    pub fn publish(&self, line: impl FnOnce(u64) -> String) {
        let mut state = self.state.lock().expect("no test thread panicked");
        let number = state.base_number + state.events.len() as u64 + 1;
        let line = line(number);
        state.events.push(line);
    }

    /// Has all streams written in pieces from now on.
    pub fn set_pace(&self, pace: Pace) {
        self.state.lock().expect("no test thread panicked").pace = Some(pace);
    }

    /// Returns the events published so far, as lines.
    pub fn events(&self) -> Vec<String> {
        self.state.lock().expect("no test thread panicked").events.clone()
    }

    /// Begins an outage.
    pub fn fail(&self, outage: Outage) {
        let mut state = self.state.lock().expect("no test thread panicked");
        state.outage = Some(outage);
        state.outages += 1;
    }

    /// Ends the outage. New streams receive all events; streams from before stay as the outage left them.
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

/// Accepts streams until the server is stopped. While connections are refused, there is no listener.
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
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The next action on a stream.
enum Step {
    Write(String),
    Wait,
    End,
    WriteAndEnd(String),
}

/// The state of one stream.
struct StreamProgress {
    /// Number of the last event that the client has.
    last_sent: u64,
    last_line_at: Instant,
    /// Number of outages before the stream was opened.
    outages_before: u64,
}

impl StreamProgress {
    fn next_step(&mut self, state: &State) -> Step {
        if state.stopped {
            return Step::End;
        }
        let last = state.base_number + state.events.len() as u64;
        let is_due = self.last_line_at.elapsed() >= HEARTBEAT_INTERVAL;
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
        if self.last_sent < last {
            let after = self.last_sent.max(state.base_number);
            self.last_sent = last;
            self.last_line_at = Instant::now();
            return Step::Write(state.events[(after - state.base_number) as usize..].concat());
        }
        if is_due {
            self.last_line_at = Instant::now();
            return Step::Write(format!("{last}\n"));
        }
        Step::Wait
    }
}

fn write_at_pace(stream: &mut TcpStream, bytes: &[u8], state: &Mutex<State>) -> Option<()> {
    let pace = state.lock().expect("no test thread panicked").pace;
    let Some(Pace { bytes: length, pause }) = pace else { return stream.write_all(bytes).ok() };
    for piece in bytes.chunks(length) {
        stream.write_all(piece).ok()?;
        std::thread::sleep(pause);
    }
    Some(())
}

/// Serves one stream: sends the events after the requested number, then each new event when it is published.
fn serve_stream(mut stream: TcpStream, state: &Mutex<State>) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    let outages_before = state.lock().expect("no test thread panicked").outages;
    if state.lock().expect("no test thread panicked").outage == Some(Outage::Closed) {
        return None;
    }
    let mut request = String::new();
    BufReader::new(&stream).read_line(&mut request).ok()?;
    let last_sent = request.trim().strip_prefix("after ")?.parse().ok()?;
    let mut progress = StreamProgress { last_sent, last_line_at: Instant::now(), outages_before };
    loop {
        let step = progress.next_step(&state.lock().expect("no test thread panicked"));
        match step {
            Step::Write(text) => write_at_pace(&mut stream, text.as_bytes(), state)?,
            Step::Wait => std::thread::sleep(POLL_INTERVAL),
            Step::WriteAndEnd(text) => {
                stream.write_all(text.as_bytes()).ok()?;
                break;
            }
            Step::End => break,
        }
    }
    stream.shutdown(Shutdown::Both).ok()
}
