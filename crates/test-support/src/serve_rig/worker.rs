//! Workers that send the same response to every request.

use super::message::Message;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Response to a call that succeeded.
pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// Response of a worker that has no capacity left.
pub const FULL: &str = "HTTP/1.1 503 Full\r\nmilletpath-refused: full\r\ncontent-length: 0\r\n\r\n";

/// A request that a worker has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was read completely.
    pub at: Instant,
    /// Its body as text.
    pub body: String,
}

/// The requests that workers have received, in the order in which they arrived.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A worker on loopback that runs in its own threads.
pub struct Worker {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// The requests that it has received.
    pub arrivals: Arrivals,
}

impl Worker {
    /// Starts a worker that sends the given response to each request after the given delay.
    pub fn start(response: &'static str, delay: Duration) -> Self {
        let arrivals = Arrivals::default();
        let shared_arrivals = arrivals.clone();
        let address =
            Self::serve_with(move |stream| serve_connection(stream, response, delay, &shared_arrivals));
        Self { address, arrivals }
    }

    /// Starts a worker that runs `serve` for each connection, in a separate thread. Returns the address at which it
    /// listens.
    pub fn serve_with(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the socket is bound");
        accept_all(listener, serve);
        address
    }
}

/// Starts a thread that accepts connections and runs `serve` for each in a separate thread.
fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Records the requests of one connection and responds to each after the given delay.
pub fn serve_connection(stream: TcpStream, response: &str, delay: Duration, arrivals: &Arrivals) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = Message::read(&mut stream) {
        let body = String::from_utf8_lossy(&message.body).into_owned();
        arrivals.lock().expect("no test thread panicked").push(Arrival { at: Instant::now(), body });
        std::thread::sleep(delay);
        let _ = stream.get_mut().write_all(response.as_bytes());
    }
}

/// A worker whose listen backlog is full, so that the operating system completes no further connection.
pub struct FullBacklogWorker {
    listener: TcpListener,
    /// Address at which it listens.
    pub address: SocketAddr,
    backlog_filler: TcpStream,
}

impl FullBacklogWorker {
    /// Starts a worker and fills its backlog.
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a loopback port is free");
        socket.listen(0).expect("the socket can listen");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the socket is bound");
        let backlog_filler = TcpStream::connect(address).expect("the backlog has room for one");
        Self { listener, address, backlog_filler }
    }

    /// Starts to accept connections and runs `serve` for each. A client that has been connecting meanwhile gets its
    /// connection when its operating system retransmits the SYN, a second after the first. Returns the connection that
    /// filled the backlog.
    pub fn accept(self, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> TcpStream {
        accept_all(self.listener, serve);
        self.backlog_filler
    }
}
