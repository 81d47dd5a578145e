//! Test servers for the platform's discovery service. A client requests the events after a number and receives them as
//! lines.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A discovery server with scripted responses.
pub struct Discovery {
    /// Address at which it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Starts a server that publishes no events. It writes a heartbeat to each stream at once and then every second.
    pub fn steady() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let shared_requests = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let requests = shared_requests.clone();
                std::thread::spawn(move || write_heartbeats(stream, &requests));
            }
        });
        Self { address, requests }
    }

    /// Starts a server that writes the n-th response to the n-th request, and nothing to requests after the last
    /// response. It closes a connection after a response that does not end with a newline, and leaves the others open.
    pub fn start(responses: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let requests = Arc::<Mutex<Vec<String>>>::default();
        let shared_requests = requests.clone();
        std::thread::spawn(move || {
            let mut open_streams = Vec::new();
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut request = String::new();
                let _ = BufReader::new(&stream).read_line(&mut request);
                let index = {
                    let mut requests = shared_requests.lock().expect("no test thread panicked");
                    requests.push(request.trim().to_owned());
                    requests.len() - 1
                };
                let response = responses.get(index).map_or("", String::as_str);
                let _ = stream.write_all(response.as_bytes());
                if response.is_empty() || response.ends_with('\n') {
                    open_streams.push(stream);
                }
            }
        });
        Self { address, requests }
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("no test thread panicked").clone()
    }
}

/// Responds to a request with a heartbeat of the event number that it names, and repeats the heartbeat every second.
fn write_heartbeats(mut stream: TcpStream, requests: &Mutex<Vec<String>>) -> Option<()> {
    let line = heartbeat_after(&stream)?;
    requests.lock().expect("no test thread panicked").push(format!("after {}", line.trim()));
    loop {
        stream.write_all(line.as_bytes()).ok()?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Reads the request on a stream and returns a heartbeat of the event number that it names, which reports no newer
/// event.
fn heartbeat_after(stream: &TcpStream) -> Option<String> {
    let mut request = String::new();
    BufReader::new(stream).read_line(&mut request).ok()?;
    request.strip_prefix("after ").map(str::to_owned)
}

/// A discovery server that hands its streams to the test, which writes events to them. It writes a first heartbeat to each
/// stream, or nothing.
pub struct DiscoveryStreams {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Receives each stream once its request has been read.
    pub streams: Receiver<TcpStream>,
}

impl DiscoveryStreams {
    /// Starts the server.
    pub fn start() -> Self {
        Self::with_first_message(|heartbeat| heartbeat)
    }

    /// Starts a server that writes nothing to its streams. The first heartbeat, too, is left to the test.
    pub fn without_heartbeat() -> Self {
        Self::with_first_message(|_| String::new())
    }

    /// Starts a server that writes to each stream what `message` makes of its heartbeat.
    fn with_first_message(message: impl Fn(String) -> String + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let (sender, streams) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let Some(heartbeat) = heartbeat_after(&stream) else { return };
                if stream.write_all(message(heartbeat).as_bytes()).is_err() || sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Self { address, streams }
    }

    /// Returns the next stream; panics if no request arrives in time.
    pub fn next_stream(&self) -> TcpStream {
        self.streams.recv_timeout(crate::wait::TIMEOUT).expect("the router requests events in time")
    }
}

/// Returns the line of an event that sets the state of one worker.
pub fn endpoint_event(number: u64, name: &str, address: SocketAddr, state: &str) -> String {
    event(number, false, &endpoint(name, address, state))
}

/// Returns the line of an event with the complete list of workers, each given by name, address and state.
pub fn complete_list_event(number: u64, workers: &[(&str, SocketAddr, &str)]) -> String {
    event(number, true, &endpoints(workers))
}

/// Returns the line of an event that sets the states of these workers and leaves the others as they are.
pub fn partial_list_event(number: u64, workers: &[(&str, SocketAddr, &str)]) -> String {
    event(number, false, &endpoints(workers))
}

fn endpoints(workers: &[(&str, SocketAddr, &str)]) -> String {
    let endpoints: Vec<_> =
        workers.iter().map(|(name, address, state)| endpoint(name, *address, state)).collect();
    endpoints.join(",")
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
