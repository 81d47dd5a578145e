//! A client's connection to a router.

use crate::encoding::base64;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One request.
#[derive(Clone)]
pub struct Request {
    /// Its number on the connection.
    pub number: u64,
    /// Its id, 16 hex digits on the wire.
    pub id: u64,
    /// The line that asks for it.
    pub line: String,
}

/// What a router answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A result.
    Served,
    /// An error with the code -32066.
    Refused,
    /// Any other error; with the line.
    Failed(String),
}

/// The answers on one connection, by number, and whether it has ended.
#[derive(Default)]
struct Received {
    answers: BTreeMap<u64, Vec<Answer>>,
    lines: Vec<String>,
    ended: bool,
}

/// A connection.
pub struct Client {
    name: String,
    stream: TcpStream,
    received: Arc<Mutex<Received>>,
    next_number: u64,
    record: Option<Record>,
}

impl Client {
    /// Connects, and records each line.
    pub fn connect(name: &str, router: SocketAddr, record: &Record) -> io::Result<Self> {
        Self::open(name, router, Some(record.clone()))
    }

    /// Connects, and records nothing.
    pub fn connect_quietly(router: SocketAddr) -> io::Result<Self> {
        Self::open("", router, None)
    }

    fn open(name: &str, router: SocketAddr, record: Option<Record>) -> io::Result<Self> {
        let stream = TcpStream::connect(router)?;
        stream.set_nodelay(true)?;
        let received = Arc::<Mutex<Received>>::default();
        let (reader, shared) = (BufReader::new(stream.try_clone()?), received.clone());
        let (reader_name, reader_record) = (name.to_owned(), record.clone());
        std::thread::spawn(move || read(reader, &shared, &reader_name, reader_record.as_ref()));
        let name = name.to_owned();
        Ok(Self { name, stream, received, next_number: 1, record })
    }

    /// Makes a request with a new number and a new id. `params` are its members beside `i` and the body.
    pub fn request(&mut self, class: &str, params: &str) -> Request {
        let (number, id) = (self.next_number, new_id());
        self.next_number += 1;
        let body = base64(format!("body of {id:016x}").as_bytes());
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"{class}\",\
             \"params\":{{\"i\":\"{id:016x}\",{params},\"content\":\"{body}\"}}}}\n"
        );
        Request { number, id, line }
    }

    /// Asks whether the router is fit; waits for the answer.
    pub fn probe(&mut self) -> bool {
        let number = self.next_number;
        self.next_number += 1;
        let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"probe\",\"params\":{{}}}}\n");
        if self.stream.write_all(line.as_bytes()).is_err() {
            return false;
        }
        let fit = || self.received.lock().is_ok_and(|r| r.lines.iter().any(|l| l.contains("\"fit\":true")));
        wait_until(Duration::from_millis(500), fit)
    }

    /// The line that withdraws a request.
    pub fn give_up(request: &Request) -> String {
        format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{{\"i\":\"{:016x}\"}}}}\n",
            request.id
        )
    }

    /// Writes lines in one call.
    pub fn send(&mut self, lines: &str) -> io::Result<()> {
        for (record, line) in
            self.record.iter().flat_map(|record| lines.lines().map(move |line| (record, line)))
        {
            record.line(&format!("{} sends {line}", self.name));
        }
        self.stream.write_all(lines.as_bytes())
    }

    /// The answers to a request so far.
    pub fn answers(&self, request: &Request) -> Vec<Answer> {
        let received = self.received.lock();
        received.map_or_else(|_| Vec::new(), |r| r.answers.get(&request.number).cloned().unwrap_or_default())
    }

    /// Waits until a request is answered or the connection has ended.
    pub fn wait_for(&self, request: &Request, limit: Duration) -> Option<Answer> {
        wait_until(limit, || !self.answers(request).is_empty() || self.has_ended());
        self.answers(request).first().cloned()
    }

    /// Numbers of answers so far: served, refused, failed.
    pub fn totals(&self) -> [usize; 3] {
        let Ok(received) = self.received.lock() else { return [0; 3] };
        received.answers.values().flatten().fold([0; 3], |mut totals, answer| {
            totals[match answer {
                Answer::Served => 0,
                Answer::Refused => 1,
                Answer::Failed(_) => 2,
            }] += 1;
            totals
        })
    }

    /// Whether the router has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.received.lock().is_ok_and(|received| received.ended)
    }
}

fn read(reader: BufReader<TcpStream>, received: &Mutex<Received>, name: &str, record: Option<&Record>) {
    let note = |text: String| record.into_iter().for_each(|record| record.line(&text));
    for line in reader.lines().map_while(Result::ok) {
        note(format!("{name} gets {line}"));
        let number = line.split("\"id\":").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|digits| digits.parse().ok())
        });
        let answer = if line.contains("\"result\":") {
            Answer::Served
        } else if line.contains("\"code\":-32066,") {
            Answer::Refused
        } else {
            Answer::Failed(line.clone())
        };
        let Ok(mut received) = received.lock() else { return };
        if let Some(number) = number {
            received.answers.entry(number).or_default().push(answer);
        }
        received.lines.push(line);
    }
    note(format!("{name}: the router has ended the connection"));
    if let Ok(mut received) = received.lock() {
        received.ended = true;
    }
}

/// Waits until a condition holds; returns whether it does.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

/// An id that was not used before, by any process.
fn new_id() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(Instant::now())
}
