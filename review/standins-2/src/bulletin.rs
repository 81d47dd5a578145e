//! A bulletin: it tells the events that a router has not had yet, and the last number at once and then every second. Event
//! 1, the whole list, is in the router's configuration.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A running bulletin.
#[derive(Clone)]
pub struct Bulletin {
    /// Where it listens.
    pub address: SocketAddr,
    /// The events from number 2 on.
    events: Arc<Mutex<Vec<String>>>,
}

impl Bulletin {
    /// Starts a bulletin.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let bulletin = Self { address: listener.local_addr()?, events: Arc::default() };
        let shared = bulletin.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let bulletin = shared.clone();
                std::thread::spawn(move || bulletin.tell(stream));
            }
        });
        Ok(bulletin)
    }

    /// Adds an event with these members, each as JSON.
    pub fn add(&self, members: &[String]) {
        let Ok(mut events) = self.events.lock() else { return };
        let (number, members) = (events.len() + 2, members.join(","));
        events.push(format!(
            "{{\"no\":{number},\"roster\":{{\"revision\":{number},\"complete\":false,\"members\":[{members}]}}}}\n"
        ));
    }

    fn tell(&self, mut stream: TcpStream) -> Option<()> {
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).ok()?;
        let mut last: usize = line.strip_prefix("after ")?.trim().parse().ok()?;
        let mut beat_at = Instant::now();
        loop {
            let news: Vec<_> = self.events.lock().ok()?.iter().skip(last.max(1) - 1).cloned().collect();
            for event in news {
                stream.write_all(event.as_bytes()).ok()?;
                last += 1;
            }
            if Instant::now() >= beat_at {
                stream.write_all(format!("{last}\n").as_bytes()).ok()?;
                beat_at += Duration::from_secs(1);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
