//! The bulletin: numbered events, and each second the last number.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A worker in the list.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub phase: &'static str,
    pub size: u32,
    pub up_since_ms: u64,
}

impl Member {
    pub fn json(&self) -> String {
        let Self { id, address, zone, cell, phase, size, up_since_ms } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"std","cell":{cell},"phase":"{phase}","size":{size},"up_since_ms":{up_since_ms}}}"#
        )
    }
}

/// One event as a line without its end.
pub fn event(number: usize, complete: bool, members: &[Member]) -> String {
    let members: Vec<_> = members.iter().map(Member::json).collect();
    format!(r#"{{"no":{number},"roster":{{"revision":{number},"complete":{complete},"members":[{}]}}}}"#, members.join(","))
}

/// A bulletin that always answers.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// All events from number 1 on.
    events: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Starts a bulletin whose first event has the whole list.
    pub fn start(members: &[Member]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = Arc::new(Mutex::new(vec![event(1, true, members)]));
        let shared = events.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let events = shared.clone();
                std::thread::spawn(move || serve(stream, &events));
            }
        });
        Self { address, events }
    }

    /// Adds an event with these changes.
    pub fn publish(&self, members: &[Member]) {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 1;
        events.push(event(number, false, members));
    }

    /// The events so far, as the configuration file has them under `known`.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(r#"{{"no":{},"items":[{}]}}"#, events.len(), events.join(","))
    }
}

fn serve(mut stream: TcpStream, events: &Mutex<Vec<String>>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).ok()?;
    let mut sent: usize = line.trim().strip_prefix("after ")?.parse().ok()?;
    let mut heartbeat_at = Instant::now() + Duration::from_secs(1);
    loop {
        let next = events.lock().unwrap().get(sent..).unwrap_or_default().to_vec();
        for event in &next {
            stream.write_all(format!("{event}\n").as_bytes()).ok()?;
        }
        sent += next.len();
        if Instant::now() >= heartbeat_at {
            stream.write_all(format!("{sent}\n").as_bytes()).ok()?;
            heartbeat_at += Duration::from_secs(1);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
