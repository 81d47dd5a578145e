//! Workers that give the same answer to every request.

use super::message::Message;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The answer that a call has succeeded.
pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// The answer of a worker that has no capacity left.
pub const FULL: &str = "HTTP/1.1 503 Full\r\nmilletpath-refused: full\r\ncontent-length: 0\r\n\r\n";

/// A request that has reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was read to its end.
    pub at: Instant,
    /// Its body, as text.
    pub body: String,
}

/// The requests that have reached the workers, in the order in which they came.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A worker on loopback, on threads of its own.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// What has reached it.
    pub arrivals: Arrivals,
}

impl Worker {
    /// Starts a worker that gives this answer to each request, after this delay.
    pub fn start(answer: &'static str, delay: Duration) -> Self {
        let arrivals = Arrivals::default();
        let all = arrivals.clone();
        let address = Self::serve_with(move |stream| serve_connection(stream, answer, delay, &all));
        Self { address, arrivals }
    }

    /// Starts a worker that serves each connection so, on a thread of its own; returns where it listens.
    pub fn serve_with(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        accept_all(listener, serve);
        address
    }
}

fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Answers the requests of one connection, each after this delay.
pub fn serve_connection(stream: TcpStream, answer: &str, delay: Duration, arrivals: &Arrivals) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = Message::read(&mut stream) {
        let body = String::from_utf8_lossy(&message.body).into_owned();
        arrivals.lock().expect("no test thread panicked").push(Arrival { at: Instant::now(), body });
        std::thread::sleep(delay);
        let _ = stream.get_mut().write_all(answer.as_bytes());
    }
}

/// A worker whose backlog is full, so that its system accepts no connection.
pub struct FullBacklogWorker {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
    backlog_filler: TcpStream,
}

impl FullBacklogWorker {
    /// Starts one.
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
        socket.listen(0).expect("a listening socket");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("a bound socket");
        let filler = TcpStream::connect(address).expect("the backlog has room for one");
        Self { listener, address, backlog_filler: filler }
    }

    /// Accepts from now on, and serves each connection so; who connected before comes up when the system repeats its
    /// SYN, a second after the first.
    pub fn accept(self, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> TcpStream {
        accept_all(self.listener, serve);
        self.backlog_filler
    }
}
