//! Discovery, as the platform offers it: a server that is asked for events after a number, and writes them as lines.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Discovery that answers by a script.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Starts discovery of which nothing changes: it writes a heartbeat at once and then one a second, on each stream.
    pub fn steady() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let all = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let all = all.clone();
                std::thread::spawn(move || write_heartbeats(stream, &all));
            }
        });
        Self { address, requests }
    }

    /// Starts discovery that writes each text to the connection of one request, and nothing to those that come after.
    /// It closes the connection behind a text that does not end with an end of line, and leaves others open.
    pub fn start(responses: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let all = requests.clone();
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut request = String::new();
                let _ = BufReader::new(&stream).read_line(&mut request);
                let number = {
                    let mut requests = all.lock().expect("no test thread panicked");
                    requests.push(request.trim().to_owned());
                    requests.len() - 1
                };
                let response = responses.get(number).map_or("", String::as_str);
                let _ = stream.write_all(response.as_bytes());
                if response.is_empty() || response.ends_with('\n') {
                    open.push(stream);
                }
            }
        });
        Self { address, requests }
    }

    /// The requests that came so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("no test thread panicked").clone()
    }
}

/// Answers a request with a heartbeat of the number that it names, and another each second.
fn write_heartbeats(mut stream: TcpStream, requests: &Mutex<Vec<String>>) -> Option<()> {
    let line = heartbeat_after(&stream)?;
    requests.lock().expect("no test thread panicked").push(format!("after {}", line.trim()));
    loop {
        stream.write_all(line.as_bytes()).ok()?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// The heartbeat that answers the request on a stream: nothing has changed since the event that it names.
fn heartbeat_after(stream: &TcpStream) -> Option<String> {
    let mut request = String::new();
    BufReader::new(stream).read_line(&mut request).ok()?;
    request.strip_prefix("after ").map(str::to_owned)
}

/// Discovery whose streams the test gets, to write on them when it wants. Each begins with a heartbeat.
pub struct DiscoveryStreams {
    /// Where it listens.
    pub address: SocketAddr,
    /// Each stream, once its request was read.
    pub streams: Receiver<TcpStream>,
}

impl DiscoveryStreams {
    /// Starts it.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let (sender, streams) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let Some(heartbeat) = heartbeat_after(&stream) else { return };
                if stream.write_all(heartbeat.as_bytes()).is_err() || sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Self { address, streams }
    }

    /// The next stream; panics where no request comes in time.
    pub fn next_stream(&self) -> TcpStream {
        self.streams.recv_timeout(crate::wait::TIMEOUT).expect("discovery is asked")
    }
}

/// An event that changes the state of one worker, as a line.
pub fn endpoint_event(number: u64, name: &str, address: SocketAddr, state: &str) -> String {
    event(number, false, &endpoint(name, address, state))
}

/// An event with the complete list of workers: name, address and state of each.
pub fn complete_list_event(number: u64, workers: &[(&str, SocketAddr, &str)]) -> String {
    let endpoints: Vec<_> =
        workers.iter().map(|(name, address, state)| endpoint(name, *address, state)).collect();
    event(number, true, &endpoints.join(","))
}

fn event(number: u64, complete: bool, members: &str) -> String {
    format!(
        r#"{{"no":{number},"roster":{{"revision":{number},"complete":{complete},"members":[{members}]}}}}"#
    ) + "\n"
}

fn endpoint(name: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{name}","host_port":"{address}","locality":"z","flavor":"k","cell":0,"phase":"{state}","size":1,"up_since_ms":0}}"#
    )
}
