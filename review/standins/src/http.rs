//! Stand-ins for `milletpath serve`: workers and clients that speak HTTP/1.1, and the gateway's process.

use crate::children;
use crate::router::root;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A head and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    fields: Vec<(String, String)>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if from.read_line(&mut message.first)? == 0 {
            return Ok(None);
        }
        message.first.truncate(message.first.trim_end().len());
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = message.field("content-length").parse().unwrap_or(0);
        from.read_exact(&mut vec![0; length])?;
        Ok(Some(message))
    }

    /// The value of a field, empty if it is absent.
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }
}

/// What a worker does with a request under a key. False: its answer never arrives.
pub type Run = Arc<dyn Fn(usize, &str) -> bool + Send + Sync>;

/// Starts the worker with this index and returns its address.
pub fn start_worker(index: usize, run: Run) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let run = run.clone();
            std::thread::spawn(move || serve(index, &stream, &run));
        }
    });
    address
}

fn serve(index: usize, stream: &TcpStream, run: &Run) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = (BufReader::new(stream), stream);
    while let Some(request) = Message::read(&mut reader)? {
        let is_call = request.first.contains("/infer ");
        if is_call && !run(index, request.field("idempotency-key")) {
            // The connection stays open and silent for as long as the gateway keeps it.
            let _ = reader.read(&mut [0]);
            return Ok(());
        }
        let copies = if request.first.contains("/load ") { "milletpath-copies: 1\r\n" } else { "" };
        writer.write_all(format!("HTTP/1.1 200 OK\r\n{copies}content-length: 4\r\n\r\ndone").as_bytes())?;
    }
    Ok(())
}

/// How a gateway answered.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// `Milletpath-Outcome`, or what was seen instead.
    pub outcome: String,
    /// `Retry-After` in seconds.
    pub retry_after: f64,
}

/// Sends a request with this key and waits for its answer, for half a second longer than its time.
pub fn call(gateway: SocketAddr, function: &str, key: &str, patience: f64, is_repeat: bool) -> io::Result<Answer> {
    let stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(patience + 0.5)))?;
    let repeat = if is_repeat { "milletpath-repeat: true\r\n" } else { "" };
    let text = format!(
        "POST /v1/functions/{function}/activations HTTP/1.1\r\nhost: gateway\r\nidempotency-key: {key}\r\nmilletpath-patience: {patience:.3}\r\n{repeat}content-length: 2\r\n\r\nhi"
    );
    (&stream).write_all(text.as_bytes())?;
    Ok(match Message::read(&mut BufReader::new(&stream)) {
        Ok(Some(message)) => Answer {
            outcome: message.field("milletpath-outcome").to_owned(),
            retry_after: message.field("retry-after").parse().unwrap_or(0.0),
        },
        other => Answer { outcome: format!("{other:?}"), retry_after: 0.0 },
    })
}

/// A gateway, which is killed when this is dropped.
pub struct Gateway {
    child: Child,
    address: SocketAddr,
}

impl Gateway {
    /// Starts a gateway that listens at `address` by its configuration file; its log goes to the file `log`.
    pub fn start(address: SocketAddr, configuration: &Path, log: &Path) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let mut command = Command::new(root().join("target/release/milletpath"));
        command
            .args(["serve", "--cores", "2", "--config"])
            .arg(configuration)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        Ok(Self { child: children::spawn(&mut command)?, address })
    }

    /// Waits until `/health/ready` answers 200; false after 30 s.
    pub fn becomes_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        (&stream).write_all(b"GET /health/ready HTTP/1.1\r\nhost: gateway\r\n\r\n")?;
        let message = Message::read(&mut BufReader::new(&stream))?;
        Ok(message.is_some_and(|message| message.first.contains(" 200 ")))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
