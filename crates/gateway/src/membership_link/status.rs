//! The status of a membership link as operators ask for it: its content, and the query that fetches it from a running
//! gateway in pages.

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

/// Times that a gateway is asked.
const MAX_ATTEMPTS: u64 = 4;

/// The time in which all pages of an answer must come.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The status of one gateway's membership and shared budgets, as `milletpath peers` shows it. Operators read its JSON: the
/// names of its fields stay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipStatus {
    /// The other gateways as this one knows them.
    #[serde(flatten)]
    pub view: MembershipView,
    /// Budgets that it shares with the others; those with the highest demand or the largest leases come first.
    pub budgets: Vec<BudgetView>,
    /// Messages on budgets, requests and grants since the process began.
    pub sharing: Counters,
}

/// Why the status of a gateway's membership is not known.
#[derive(Debug, thiserror::Error)]
pub enum MembershipQueryError {
    /// The configuration has no section `peers`.
    #[error("the configuration has no section peers")]
    NotConfigured,
    /// The key of the fleet can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// The configured port is chosen by the system, so nobody can tell where the gateway listens.
    #[error("listen of peers has port 0: nobody can tell where the gateway is; give it a port")]
    PortNotFixed,
    /// A socket of this process failed.
    #[error("the query can't be sent: {0}")]
    Socket(#[from] io::Error),
    /// The query can't be sealed.
    #[error("the query can't be sealed: {0}")]
    Seal(#[from] datagram::SealError),
    /// The gateway answered something else than a status, as one of another version does.
    #[error("the answer can't be read: {0}; is the gateway of this version?")]
    Unreadable(#[from] serde_json::Error),
    /// The gateway did not answer in time.
    #[error("the gateway does not answer on {0}: is it running, with this key?")]
    Unanswered(SocketAddr),
}

/// Asks the running gateway of a configuration for its status, in 4 attempts of a second each.
///
/// # Errors
///
/// The configuration lacks what is needed to reach the gateway, the system fails, or no complete answer comes.
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

/// Where a gateway with that `listen` address is reached from its own machine.
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

/// The sender of a query, which is no gateway.
fn operator_identity(address: SocketAddr) -> Identity {
    Identity { instance_id: 0, name: "operator".into(), address, incarnation: 0, max_gateways: 0 }
}

/// Receives the pages of one answer; none where they were not complete within [`ATTEMPT_TIMEOUT`].
fn receive_status(socket: &UdpSocket, key: &Key, request_id: u64) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut pages = PageCollector::default();
    let end = Instant::now() + ATTEMPT_TIMEOUT;
    while let Some(left) = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
        socket.set_read_timeout(Some(left))?;
        // Time is over, or a datagram reached nobody: the query is sent again.
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
