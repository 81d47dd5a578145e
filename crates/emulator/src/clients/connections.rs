//! Pooled client connections to the gateways; idle connections are reused.

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use milletpath_history_checker::AttemptOutcome;
use milletpath_protocol::invoke;
use std::cell::RefCell;
use std::net::SocketAddr;
use tokio::net::TcpStream;

type Sender = SendRequest<Full<Bytes>>;

/// Why a request was not sent, or got no response.
enum SendError {
    /// A reused connection was closed before the request was written; the request can be sent on another one.
    Unwritten(Box<Request<Full<Bytes>>>),
    /// The gateway can't be reached.
    Unreachable,
    /// The connection failed after the request was written.
    ConnectionLost,
}

/// Pool of connections to one gateway.
pub(super) struct ConnectionPool {
    gateway: SocketAddr,
    idle: RefCell<Vec<Sender>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(super) fn new(gateway: SocketAddr) -> Self {
        Self { gateway, idle: RefCell::default() }
    }

    /// Sends a request and reads the complete response.
    pub(super) async fn send(&self, mut request: Request<Full<Bytes>>) -> AttemptOutcome {
        loop {
            match self.try_send(request).await {
                Ok((sender, response)) => return self.finish(sender, response).await,
                Err(SendError::Unwritten(unwritten)) => request = *unwritten,
                Err(SendError::Unreachable) => return AttemptOutcome::Unreachable,
                Err(SendError::ConnectionLost) => return AttemptOutcome::ConnectionLost,
            }
        }
    }

    /// Sends a request on an idle connection, or on a new one if none is idle.
    async fn try_send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), SendError> {
        let idle = self.idle.borrow_mut().pop();
        let is_new = idle.is_none();
        let sender = match idle {
            Some(sender) => Some(sender),
            None => connect(self.gateway).await,
        };
        let mut sender = sender.ok_or(SendError::Unreachable)?;
        let unwritten =
            |request| if is_new { SendError::Unreachable } else { SendError::Unwritten(Box::new(request)) };
        if sender.ready().await.is_err() {
            return Err(unwritten(request));
        }
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, response)),
            Err(mut error) => Err(error.take_message().map_or(SendError::ConnectionLost, unwritten)),
        }
    }

    async fn finish(&self, sender: Sender, response: Response<Incoming>) -> AttemptOutcome {
        let outcome = match response.headers().get(&invoke::OUTCOME).map(HeaderValue::as_bytes) {
            Some(b"handled") => AttemptOutcome::Succeeded,
            Some(b"bounced") => AttemptOutcome::Rejected,
            Some(b"terminated") => AttemptOutcome::Failed,
            _ => AttemptOutcome::ConnectionLost,
        };
        if response.into_body().collect().await.is_err() {
            return AttemptOutcome::ConnectionLost;
        }
        self.idle.borrow_mut().push(sender);
        outcome
    }
}

async fn connect(gateway: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // Connection errors are reported by the request's sender.
        let _ = connection.await;
    });
    Some(sender)
}
