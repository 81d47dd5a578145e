//! The status of a membership link for operators: its content, and the query that fetches it from a running gateway in
//! pages.

use crate::key_file::{KeyFileError, read_fleet_key};
use crate::status_pages::PageCollector;
use milletpath_config::GatewayConfig;
use milletpath_membership::MembershipView;
use milletpath_membership::datagram::{self, Datagram, Identity, Key, MAX_DATAGRAM_BYTES, kind};
use milletpath_shared_budgets::{BudgetView, Counters};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Number of times that the query is sent.
const MAX_ATTEMPTS: u64 = 4;

/// Time within which all pages of an answer must arrive.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The status of one gateway's membership and shared budgets, as shown by `milletpath peers`. Operators read its JSON,
/// so the names of its fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipStatus {
    /// The other gateways as known to this one.
    #[serde(flatten)]
    pub view: MembershipView,
    /// The budgets shared with the other gateways; those with the highest demand or the largest leases come first.
    pub budgets: Vec<BudgetView>,
    /// Counts of budget messages, lease requests and grants since the process started.
    pub sharing: Counters,
}

/// Why the status of a gateway's membership can't be obtained.
#[derive(Debug, thiserror::Error)]
pub enum MembershipQueryError {
    /// The configuration has no section `peers`.
    #[error("the configuration has no section peers")]
    NotConfigured,
    /// The fleet's key can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// The configured port is 0, so the system chooses it and the gateway's address is not known.
    #[error("`listen` in section `peers` has port 0, so the gateway's port is unknown; set a fixed port")]
    PortNotFixed,
    /// An operation on the query's socket failed.
    #[error("the query can't be sent: {0}")]
    Socket(#[from] io::Error),
    /// The query can't be sealed.
    #[error("the query can't be sealed: {0}")]
    Seal(#[from] datagram::SealError),
    /// The answer is not a status of the expected format, for example because the gateway runs another version.
    #[error("the answer can't be read: {0}; is the gateway of this version?")]
    Unreadable(#[from] serde_json::Error),
    /// The gateway did not answer in time.
    #[error("the gateway does not answer on {0}: is it running, with this key?")]
    Unanswered(SocketAddr),
}

/// Queries the status of the running gateway that uses this configuration, in 4 attempts of one second each.
///
/// # Errors
///
/// Fails if the configuration lacks what is needed to reach the gateway, on system errors, or if no complete answer
/// arrives.
pub fn query_membership(config: &GatewayConfig) -> Result<MembershipStatus, MembershipQueryError> {
    let settings = config.membership.as_ref().ok_or(MembershipQueryError::NotConfigured)?;
    let key = read_fleet_key(&settings.key_file)?;
    let target = query_target(settings.listen)?;
    let local: SocketAddr = match target {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    for request_id in 1..=MAX_ATTEMPTS {
        let query = Datagram::new(operator_identity(local), 0, kind::STATUS_QUERY, request_id);
        socket.send_to(&datagram::seal(&key, &query)?, target)?;
        if let Some(text) = receive_status(&socket, &key, request_id)? {
            return Ok(serde_json::from_slice(&text)?);
        }
    }
    Err(MembershipQueryError::Unanswered(target))
}

/// Returns the address at which a gateway with this `listen` address is reached from its own machine.
fn query_target(listen: SocketAddr) -> Result<SocketAddr, MembershipQueryError> {
    if listen.port() == 0 {
        return Err(MembershipQueryError::PortNotFixed);
    }
    let mut target = listen;
    if target.ip().is_unspecified() {
        target.set_ip(IpAddr::V4(Ipv4Addr::LOCALHOST));
    }
    Ok(target)
}

/// The identity of a query's sender, which is not a gateway.
fn operator_identity(address: SocketAddr) -> Identity {
    Identity { instance_id: 0, name: "operator".into(), address, incarnation: 0, max_gateways: 0 }
}

/// Receives the pages of one answer. Returns `None` if they are not complete within [`ATTEMPT_TIMEOUT`].
fn receive_status(socket: &UdpSocket, key: &Key, request_id: u64) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut pages = PageCollector::default();
    let end = Instant::now() + ATTEMPT_TIMEOUT;
    while let Some(left) = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
        socket.set_read_timeout(Some(left))?;
        // The receive timed out, or a datagram was not delivered; the query is sent again.
        let Ok((size, _)) = socket.recv_from(&mut buffer) else { return Ok(None) };
        let Ok(reply) = datagram::open(key, &buffer[..size]) else { continue };
        if reply.kind != kind::STATUS_REPLY || reply.request_id != request_id {
            continue;
        }
        let Some(page) = reply.page else { continue };
        pages.insert(page.index.into(), page.total.into(), page.bytes);
        if pages.is_complete() {
            return Ok(pages.into_text());
        }
    }
    Ok(None)
}
