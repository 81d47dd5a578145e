//! Follows the registry's stream of worker lists. Each line is taken whole or not at all; an edition that is not
//! newer than the last is passed over. After a gap between changes the list is asked for
//! anew, whole, and the stream is read on until then.

use crate::pool::{self, Way};
use crate::shell::Gateway;
use bytes::{Bytes, BytesMut};
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use milletpath_protocol::registry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Follows until the stream breaks, and tells the desk that it did.
pub async fn follow(gateway: Rc<Gateway>, address: SocketAddr) {
    let why = stream(&gateway, address).await;
    tracing::warn!(%address, "the registry's list is not followed any more: {why}");
    gateway.tell(|desk, now| desk.endpoint_list_failed(now));
}

async fn stream(gateway: &Rc<Gateway>, address: SocketAddr) -> String {
    let Some(place) = gateway.shared_runtime.room(address).reserve() else { return "no place".into() };
    let mut connection = match pool::connect(place, Way { address, process: 0 }, Duration::ZERO).await {
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
    let mut rest = BytesMut::new();
    // Known only from a whole list on; an edition counts within one stream.
    let mut last = None;
    let mut asked_anew = false;
    while let Some(frame) = body.frame().await {
        let Ok(Ok(data)) = frame.map(|f| f.into_data()) else { return "the stream broke".into() };
        rest.extend_from_slice(&data);
        while let Some(end) = rest.iter().position(|&b| b == b'\n') {
            let line = rest.split_to(end + 1);
            let (edition, whole, entries) = match registry::read(&line) {
                Ok(read) => read,
                Err(fault) => return format!("a line that can't be read, {fault}"),
            };
            let gap = match last {
                Some(last) if edition <= last => continue,
                Some(last) => !whole && edition != last + 1,
                None if !whole => return "it begins with changes".into(),
                None => false,
            };
            tracing::info!(edition, whole, lines = entries.len(), "worker list");
            // Also past a gap: what is said of these workers is true, and may be that one drains.
            if last.is_some() && !gap {
                // The stream stood since the edition before, and would have told of anybody who was listed earlier.
                gateway.tell(|desk, now| desk.endpoint_list_confirmed(now));
            }
            gateway.shared_runtime.update_endpoints(Some(gateway.seat), whole, &entries);
            gateway.collect();
            if gap && !asked_anew {
                tracing::warn!(edition, "changes before it are missing; the list is asked for anew");
                // This stream is read on until the next takes its place: it may say more that must be known.
                asked_anew = true;
                gateway.tell(|desk, now| desk.endpoint_list_failed(now));
            }
            last = Some(edition);
        }
        if rest.len() > registry::LONGEST {
            return "a line without end".into();
        }
    }
    "the stream ended".into()
}
