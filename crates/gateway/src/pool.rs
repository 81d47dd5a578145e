//! Kept connections to one worker. The last used is used again first, so that the rest grow idle and are closed.
//! A connection carries one exchange at a time; calling an exchange off closes it, as HTTP/1.1 has no other way.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

pub type Body = Full<Bytes>;

/// One connection. Dropped, it is closed at once, with whatever is under way on it.
pub struct Connection {
    pub sender: SendRequest<Body>,
    task: AbortHandle,
    /// The process that it leads to.
    process: u64,
    open: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.set(self.open.get() - 1);
    }
}

#[derive(Default)]
pub struct Pool {
    idle: Vec<(f64, Connection)>,
    open: Rc<Cell<usize>>,
}

impl Pool {
    /// An idle connection to that process which still stands as far as is known.
    pub fn take(&mut self, process: u64) -> Option<Connection> {
        while let Some((_, connection)) = self.idle.pop() {
            if connection.process == process && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a connection back once its exchange is over.
    pub fn give_back(&mut self, now: f64, connection: Connection) {
        if !connection.sender.is_closed() {
            self.idle.push((now, connection));
        }
    }

    /// Closes what was not used since a time.
    pub fn close_idle(&mut self, since: f64) {
        self.idle.retain(|(used, connection)| *used >= since && !connection.sender.is_closed());
    }

    /// A place for one more connection, none past `most`. The place is given back when dropped.
    pub fn reserve(&self, most: usize) -> Option<Place> {
        (self.open.get() < most).then(|| {
            self.open.set(self.open.get() + 1);
            Place(Some(self.open.clone()))
        })
    }
}

/// Room for a connection that is being made.
pub struct Place(Option<Rc<Cell<usize>>>);

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get() - 1);
        }
    }
}

/// Bytes that one answer's header fields may take; the body has its own bound.
const HEAD: usize = 64 << 10;

/// Makes a connection in its place.
pub async fn connect(mut place: Place, address: SocketAddr, process: u64) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let made = Builder::new().max_buf_size(HEAD).handshake::<_, Body>(TokioIo::new(stream)).await;
    let (sender, connection) = made.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // How it ended is told to whoever waits for an answer on it.
        let _ = connection.await;
    });
    let open = place.0.take().unwrap_or_default();
    Ok(Connection { sender, task: task.abort_handle(), process, open })
}
