//! Follows the registry's stream of worker endpoints. Each line is a revision, which is applied atomically and only if
//! it is newer than the previous one. If changes are missing, the dispatcher requests a new stream with the complete
//! list, and the old stream is read until the new one replaces it.

use crate::connection_pool::{Connection, Endpoint};
use crate::core_context::{ConnectError, CoreContext};
use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use milletpath_protocol::InputError;
use milletpath_protocol::registry::{self, EndpointListUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the list is confirmed as current while its stream is open.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(250);

/// Revisions after which other tasks of the thread run.
const MAX_REVISIONS_PER_TURN: usize = 32;

/// Why an endpoint stream ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connecting failed: {0}")]
    Connect(#[from] ConnectError),
    #[error("the request can't be built: {0}")]
    Request(#[from] http::Error),
    #[error("the registry answered {0}")]
    Status(StatusCode),
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper::Error),
    #[error("malformed revision: {0}")]
    Malformed(InputError),
    #[error("the first revision has changes only, not the complete list")]
    Incomplete,
    #[error("a line is longer than {} bytes", registry::MAX_LINE_BYTES)]
    TooLong,
    #[error("the registry closed the stream")]
    Ended,
}

/// Follows a registry until its stream ends, and reports the end to the dispatcher, which requests a new stream later.
pub async fn watch(context: Rc<CoreContext>, registry: SocketAddr) {
    let read_until = context.now();
    let mut stream =
        EndpointStream { context: context.clone(), last_revision: None, gap_reported: false, read_until };
    if let Err(error) = stream.follow(registry).await {
        tracing::warn!(%registry, %error, "the registry's endpoint stream ended");
    }
    context.with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_failed(now));
}

struct EndpointStream {
    context: Rc<CoreContext>,
    /// The last revision received; `None` before the first complete list. Revision numbers are specific to one stream.
    last_revision: Option<u64>,
    /// Whether missing changes have been reported.
    gap_reported: bool,
    /// The latest known time at which nothing sent by the registry was unread. Set before the stream is requested and
    /// at each confirmation.
    read_until: f64,
}

impl EndpointStream {
    async fn follow(&mut self, registry: SocketAddr) -> Result<(), WatchError> {
        let mut connection =
            self.context.connect_unpooled(Endpoint { address: registry, process: 0 }).await?;
        let mut body = open_stream(&mut connection, registry).await?;
        let mut unparsed = BytesMut::new();
        let mut confirmations = tokio::time::interval(CONFIRMATION_INTERVAL);
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                _ = confirmations.tick() => {
                    // Confirms only up to the previous tick, because the process may have been paused since.
                    self.confirm_list();
                    self.read_until = self.context.now();
                    continue;
                }
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else { return Err(WatchError::Ended) };
            unparsed.extend_from_slice(&data);
            let mut applied = 0;
            while let Some(end) = unparsed.iter().position(|&byte| byte == b'\n') {
                self.apply(&unparsed.split_to(end + 1))?;
                applied += 1;
                if applied % MAX_REVISIONS_PER_TURN == 0 {
                    tokio::task::yield_now().await;
                }
            }
            if unparsed.len() > registry::MAX_LINE_BYTES {
                return Err(WatchError::TooLong);
            }
        }
        Err(WatchError::Ended)
    }

    /// Confirms that the list is current: the stream is open, and the registry sends each change on it immediately.
    fn confirm_list(&self) {
        if self.last_revision.is_some() && !self.gap_reported {
            let stated_at = self.read_until;
            self.context
                .with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_confirmed(now, stated_at));
        }
    }

    /// Applies one line of the stream.
    fn apply(&mut self, line: &[u8]) -> Result<(), WatchError> {
        let update = registry::read(line).map_err(WatchError::Malformed)?;
        let EndpointListUpdate { revision, complete, endpoints } = update;
        let is_gap = match self.last_revision {
            Some(last_revision) if revision <= last_revision => return Ok(()),
            Some(last_revision) => !complete && revision != last_revision + 1,
            None if !complete => return Err(WatchError::Incomplete),
            None => false,
        };
        tracing::info!(revision, complete, endpoints = endpoints.len(), "endpoint list received");
        if self.last_revision.is_some() && !is_gap {
            // The stream has been open since the previous revision, so endpoints that it did not mention are unchanged.
            let stated_at = self.read_until;
            self.context
                .with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_confirmed(now, stated_at));
        }
        // Applied even after a gap, because its entries are still valid, for example that an endpoint is draining.
        self.context.shared_runtime.update_endpoints(Some(self.context.core), complete, &endpoints);
        self.context.process_messages();
        if is_gap && !self.gap_reported {
            tracing::warn!(
                revision,
                "changes before this revision are missing; requesting the complete list"
            );
            self.gap_reported = true;
            self.context.with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_failed(now));
        }
        self.last_revision = Some(revision);
        self.confirm_list();
        Ok(())
    }
}

async fn open_stream(connection: &mut Connection, registry: SocketAddr) -> Result<Incoming, WatchError> {
    let request = Request::get(registry::PATH)
        .header(header::HOST, registry.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = connection.sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    Ok(response.into_body())
}
