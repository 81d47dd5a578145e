//! Serves one client connection on its core, from assignment until it is closed. hyper implements HTTP/1.1; each
//! request is passed to the HTTP service.

use crate::connection_limit::ConnectionPermit;
use crate::core_context::CoreContext;
use crate::header_timer::HeaderTimer;
use crate::http_service::handle_request;
use crate::response::{LocalResponse, ResponseBody, local_response};
use crate::response_channel::{ChannelIo, ResponseChannel};
use crate::write_timeout::WriteTimeout;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Maximum size of a request's head, several times what browsers and tools send.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 128;

/// Interval between two checks whether a connection is idle while the gateway shuts down.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A client connection, which is counted in its core's slot while it is open.
struct ClientConnection {
    context: Rc<CoreContext>,
    id: u64,
    channel: Arc<ResponseChannel>,
    /// Whether the connection was served to its end. If not, it is being dropped together with its core.
    ended: Cell<bool>,
    _permit: ConnectionPermit,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let slot = self.context.slot();
        slot.channels().remove(&self.id);
        if !self.ended.get() {
            self.channel.answer_unread_and_close(local_response(LocalResponse::interrupted(false)));
        }
        let was_last = slot.open_connections.fetch_sub(1, Ordering::AcqRel) == 1;
        if was_last && self.context.shared_runtime.stopping.load(Ordering::Acquire) {
            slot.wake.notify_one();
        }
    }
}

/// Starts serving a connection that was assigned to this core. Must run within a `LocalSet`.
pub fn accept(context: &Rc<CoreContext>, stream: std::net::TcpStream, permit: ConnectionPermit) {
    let stream = match TcpStream::from_std(stream) {
        Ok(stream) => stream,
        Err(error) => {
            return tracing::warn!(%error, "a client connection can't be registered with the runtime");
        }
    };
    let _ = stream.set_nodelay(true);
    let channel = Arc::new(ResponseChannel::new(stream, context.now()));
    let id = context.shared_runtime.new_connection_id();
    let (ended, context) = (Cell::new(false), context.clone());
    context.slot().open_connections.fetch_add(1, Ordering::AcqRel);
    context.slot().channels().insert(id, channel.clone());
    let connection = ClientConnection { context, id, channel, ended, _permit: permit };
    spawn_local(serve_connection(connection));
}

/// Serves a connection until either side closes it or the gateway shuts down.
async fn serve_connection(client: ClientConnection) {
    let (context, channel) = (client.context.clone(), client.channel.clone());
    let mut stopping = context.stopping();
    let stall_timeout = Duration::from_secs_f64(context.limits().stall_timeout);
    let header_timeout = Duration::from_secs_f64(context.limits().header_timeout);
    let service_channel = channel.clone();
    let service = service_fn(move |request| {
        let (context, channel) = (context.clone(), service_channel.clone());
        async move { Ok::<_, Infallible>(handle_request(context, channel, request).await) }
    });
    let reading_context = client.context.clone();
    let io = WriteTimeout::new(
        ChannelIo::new(channel.clone(), move || reading_context.read_delay()),
        stall_timeout,
    );
    let mut connection = pin!(
        http1::Builder::new()
            .timer(HeaderTimer(channel.clone()))
            .header_read_timeout(header_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADER_FIELDS)
            .serve_connection(io, service)
    );
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // The guard that `wait_for` returns must be dropped: it holds the watch's lock, on which `stop` would deadlock,
        // as it runs on this same thread.
        () = async { drop(stopping.wait_for(|stopping| *stopping).await) } => {
            drain(connection.as_mut(), &channel).await
        }
    };
    client.ended.set(true);
    channel.linger().await;
    if let Err(error) = ended {
        tracing::debug!(%error, "client connection ended");
    }
}

/// Ends a connection at shutdown, once no request is open, partly read or unread on it, or after its next response.
async fn drain(
    mut connection: Pin<
        &mut http1::Connection<
            WriteTimeout<ChannelIo>,
            impl HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
        >,
    >,
    channel: &ResponseChannel,
) -> hyper::Result<()> {
    while !channel.is_idle() {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
