//! A sound worker: it runs each request for a fixed time and answers it with the request's body after the word `ran`.
//! Orders to load are answered as standing, probes as ok.

use crate::cores::write;
use crate::record::Record;
use std::collections::BTreeSet;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the workers of a case have run, by request id.
#[derive(Clone, Default)]
pub struct Runs {
    begun: Arc<Mutex<BTreeSet<u64>>>,
    given_up: Arc<Mutex<BTreeSet<u64>>>,
}

impl Runs {
    /// Whether a worker has begun to run the request.
    pub fn has_begun(&self, id: u64) -> bool {
        self.begun.lock().is_ok_and(|ids| ids.contains(&id))
    }

    /// Number of requests that workers have begun.
    pub fn begun_count(&self) -> usize {
        self.begun.lock().map_or(0, |ids| ids.len())
    }

    /// Whether the router has told a worker that it gives the request up.
    pub fn is_given_up(&self, id: u64) -> bool {
        self.given_up.lock().is_ok_and(|ids| ids.contains(&id))
    }
}

/// Starts a worker that takes `work` for each request. Returns its address.
pub fn start(name: &str, work: Duration, runs: &Runs, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, runs, record) = (name.to_owned(), runs.clone(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (name, runs, record) = (name.clone(), runs.clone(), record.clone());
            std::thread::spawn(move || serve(stream, &name, work, &runs, &record));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, name: &str, work: Duration, runs: &Runs, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    loop {
        let mut head = [0; 16];
        stream.read_exact(&mut head).ok()?;
        let length = |bytes: &[u8]| bytes.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
        let (code, fields, body) = (head[1], length(&head[2..4]), length(&head[4..8]));
        let id = u64::from_be_bytes(head[8..].try_into().ok()?);
        let mut payload = vec![0; fields + body + 4];
        stream.read_exact(&mut payload).ok()?;
        payload.truncate(fields + body);
        let text = String::from_utf8_lossy(&payload[..fields]).into_owned();
        match code {
            2 => {
                record.line(&format!("{name} runs {id:016x} {text}"));
                runs.begun.lock().ok()?.insert(id);
                let (writer, answer) = (writer.clone(), [b"ran ", &payload[fields..]].concat());
                std::thread::spawn(move || {
                    std::thread::sleep(work);
                    write(&writer, 200, id, "use=q:0;x1:0;x0:0.1", &answer)
                });
            }
            3 => {
                record.line(&format!("{name} is told that {id:016x} is given up"));
                runs.given_up.lock().ok()?.insert(id);
            }
            4 | 5 => write(&writer, 206, id, "use=q:0;x1:0;x0:0.1", b"")?,
            6 => write(&writer, 200, id, text.rsplit(',').next().unwrap_or("n=1"), b"")?,
            _ => {}
        }
    }
}
