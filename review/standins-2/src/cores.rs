//! A worker with cores: each request takes a core for a fixed work and then waits for another system. A worker that has
//! just started is slow and becomes warm. It counts what it holds and when requests arrive.

use crate::encoding::crc32;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a worker is like.
#[derive(Clone, Copy)]
pub struct Kind {
    /// Its cores.
    pub cores: usize,
    /// Time that a request takes on a core of a warm worker.
    pub work: Duration,
    /// Time for which it waits on another system after that.
    pub wait: Duration,
    /// Capacity at the start, as a part of the whole.
    pub start_capacity: f64,
    /// Time until it has all its capacity.
    pub warm_up: Duration,
}

impl Kind {
    /// Requests per second that a worker can do `age` after its start; `None` is long ago.
    pub fn capacity(&self, age: Option<Duration>) -> f64 {
        self.cores as f64 / self.work.as_secs_f64() * self.speed(age)
    }

    fn speed(&self, age: Option<Duration>) -> f64 {
        let grown = age.map_or(1.0, |age| age.as_secs_f64() / self.warm_up.as_secs_f64());
        self.start_capacity + (1.0 - self.start_capacity) * grown.min(1.0)
    }
}

/// A request on a worker and the connection for its answer.
struct Job {
    id: u64,
    writer: Arc<Mutex<TcpStream>>,
}

#[derive(Default)]
struct Shared {
    jobs: Mutex<VecDeque<Job>>,
    job_added: Condvar,
    held: AtomicUsize,
    arrivals: Mutex<Vec<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
    is_dead: AtomicBool,
}

/// A running worker.
pub struct Worker {
    /// Its id in the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// When its process started; `None` is long ago.
    pub started: Option<Instant>,
    kind: Kind,
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a worker, warm unless it `is_cold`.
    pub fn start(name: String, kind: Kind, is_cold: bool) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, shared) = (listener.local_addr()?, Arc::<Shared>::default());
        let started = is_cold.then(Instant::now);
        let (answers, due) = std::sync::mpsc::channel::<(Instant, Job)>();
        for _ in 0..kind.cores {
            let (shared, answers) = (shared.clone(), answers.clone());
            std::thread::spawn(move || {
                while let Some(job) = next_job(&shared) {
                    let speed = kind.speed(started.map(|at| at.elapsed()));
                    std::thread::sleep(kind.work.div_f64(speed));
                    let _ = answers.send((Instant::now() + kind.wait, job));
                }
            });
        }
        let waiting = shared.clone();
        std::thread::spawn(move || {
            for (at, job) in due {
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let held = waiting.held.fetch_sub(1, Ordering::Relaxed) - 1;
                let queued = held.saturating_sub(kind.cores);
                let _ = write(&job.writer, 200, job.id, &format!("use=q:{queued};x1:0;x0:0.1"), b"ran");
            }
        });
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.is_dead.load(Ordering::Relaxed) {
                    return;
                }
                if let (Ok(copy), Ok(mut connections)) = (stream.try_clone(), accepting.connections.lock()) {
                    connections.push(copy);
                }
                let shared = accepting.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Self { name, address, started, kind, shared })
    }

    /// Ends the worker as if its process had died.
    pub fn die(&self) {
        self.shared.is_dead.store(true, Ordering::Relaxed);
        for connection in self.shared.connections.lock().iter().flat_map(|connections| connections.iter()) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.shared.job_added.notify_all();
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Requests that it holds for each core.
    pub fn held_per_core(&self) -> f64 {
        self.shared.held.load(Ordering::Relaxed) as f64 / self.kind.cores as f64
    }

    /// When requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.arrivals.lock().map_or_else(|_| Vec::new(), |arrivals| arrivals.clone())
    }
}

fn next_job(shared: &Shared) -> Option<Job> {
    let mut jobs = shared.jobs.lock().ok()?;
    loop {
        if shared.is_dead.load(Ordering::Relaxed) {
            return None;
        }
        if let Some(job) = jobs.pop_front() {
            return Some(job);
        }
        jobs = shared.job_added.wait(jobs).ok()?;
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) -> Option<()> {
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
        let text = String::from_utf8_lossy(&payload[..fields]).into_owned();
        match code {
            2 => {
                shared.arrivals.lock().ok()?.push(Instant::now());
                shared.held.fetch_add(1, Ordering::Relaxed);
                shared.jobs.lock().ok()?.push_back(Job { id, writer: writer.clone() });
                shared.job_added.notify_one();
            }
            4 | 5 => write(&writer, 206, id, "use=q:0;x1:0;x0:0.1", b"")?,
            6 => write(&writer, 200, id, text.rsplit(',').next().unwrap_or("n=1"), b"")?,
            _ => {}
        }
    }
}

/// Writes a frame of a worker.
pub fn write(writer: &Mutex<TcpStream>, code: u8, id: u64, fields: &str, body: &[u8]) -> Option<()> {
    let payload = [fields.as_bytes(), body].concat();
    let mut frame = vec![127, code];
    frame.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&id.to_be_bytes());
    frame.extend_from_slice(&payload);
    frame.extend_from_slice(&crc32(&payload).to_be_bytes());
    writer.lock().ok()?.write_all(&frame).ok()
}
