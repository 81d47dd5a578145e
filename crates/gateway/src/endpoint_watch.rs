//! Follows the registry's stream of worker lists. Each line is taken complete or not at all; a revision that is not
//! newer than the last is passed over. After a gap between changes the list is asked for
//! anew, complete, and the stream is read on until then.

use crate::connection_pool::{self, Endpoint};
use crate::core_context::CoreContext;
use bytes::{Bytes, BytesMut};
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use milletpath_protocol::registry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Follows until the stream breaks, and tells the desk that it did.
pub async fn watch(context: Rc<CoreContext>, address: SocketAddr) {
    let cause = stream(&context, address).await;
    tracing::warn!(%address, "the registry's list is not followed any more: {cause}");
    context.with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_failed(now));
}

async fn stream(context: &Rc<CoreContext>, address: SocketAddr) -> String {
    let Some(reservation) = context.shared_runtime.connection_limit(address).reserve() else {
        return "no place".into();
    };
    let mut connection =
        match connection_pool::connect(reservation, Endpoint { address, process: 0 }, Duration::ZERO).await {
            Ok(connection) => connection,
            Err(e) => return format!("no connection: {e}"),
        };
    let request =
        Request::get(registry::PATH).header(header::HOST, address.to_string()).body(Full::new(Bytes::new()));
    let Ok(request) = request else { return "no request".into() };
    let response = match connection.sender.send_request(request).await {
        Ok(response) if response.status().is_success() => response,
        Ok(response) => return format!("it answered {}", response.status()),
        Err(e) => return format!("no answer: {e}"),
    };
    let mut body = response.into_body();
    let mut unparsed = BytesMut::new();
    // Known only from a complete list on; a revision counts within one stream.
    let mut last_revision = None;
    let mut watch_restarted = false;
    while let Some(frame) = body.frame().await {
        let Ok(Ok(data)) = frame.map(|f| f.into_data()) else { return "the stream broke".into() };
        unparsed.extend_from_slice(&data);
        while let Some(end) = unparsed.iter().position(|&b| b == b'\n') {
            let line = unparsed.split_to(end + 1);
            let (revision, complete, entries) = match registry::read(&line) {
                Ok(read) => read,
                Err(fault) => return format!("a line that can't be read, {fault}"),
            };
            let is_gap = match last_revision {
                Some(last_revision) if revision <= last_revision => continue,
                Some(last_revision) => !complete && revision != last_revision + 1,
                None if !complete => return "it begins with changes".into(),
                None => false,
            };
            tracing::info!(revision, complete, endpoints = entries.len(), "worker list");
            // Also past a gap: what is said of these workers is true, and may be that one drains.
            if last_revision.is_some() && !is_gap {
                // The stream stood since the revision before, and would have told of anybody who was listed earlier.
                context.with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_confirmed(now));
            }
            context.shared_runtime.update_endpoints(Some(context.core), complete, &entries);
            context.process_messages();
            if is_gap && !watch_restarted {
                tracing::warn!(revision, "changes before it are missing; the list is asked for anew");
                // This stream is read on until the next takes its place: it may say more that must be known.
                watch_restarted = true;
                context.with_dispatcher(|dispatcher, now| dispatcher.endpoint_list_failed(now));
            }
            last_revision = Some(revision);
        }
        if unparsed.len() > registry::LONGEST {
            return "a line without end".into();
        }
    }
    "the stream ended".into()
}
