//! The status of a membership link as operators ask for it: its content, and the query that fetches it from a running
//! gateway in pages.

use crate::key_file::read_fleet_key;
use crate::status_pages::PageCollector;
use milletpath_config::GatewayConfig;
use milletpath_membership::MembershipView;
use milletpath_membership::datagram::{self, Datagram, Identity, MAX_DATAGRAM_BYTES, kind};
use milletpath_shared_budgets::{BudgetView, Counters};
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// What a gateway tells an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipStatus {
    #[serde(flatten)]
    pub view: MembershipView,
    /// Budgets that it shares with the others, the most moved first.
    pub budgets: Vec<BudgetView>,
    pub sharing: Counters,
}

/// Asks the gateway of a charter what it knows of the others. Waits for some seconds at most.
pub fn query_membership(house: &GatewayConfig) -> io::Result<MembershipStatus> {
    /// Times that it is asked, and seconds for each.
    const ATTEMPTS: u64 = 4;
    const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
    let Some(settings) = &house.membership else { return Err(io::Error::other("the charter has no peers")) };
    let key = read_fleet_key(&settings.key_file)?;
    let mut to = settings.listen;
    if to.port() == 0 {
        return Err(io::Error::other("listen of peers has port 0: nobody can tell where it is; give it one"));
    }
    if to.ip().is_unspecified() {
        to.set_ip(IpAddr::V4(Ipv4Addr::LOCALHOST));
    }
    let any: SocketAddr = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" }.parse().expect("an address");
    let socket = UdpSocket::bind(any)?;
    let identity =
        Identity { instance_id: 0, name: "operator".into(), address: any, incarnation: 0, max_gateways: 0 };
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    for request_id in 1..=ATTEMPTS {
        let query = Datagram::new(identity.clone(), 0, kind::STATUS_QUERY, request_id);
        let sealed = datagram::seal(&key, &query).map_err(io::Error::other)?;
        socket.send_to(&sealed, to)?;
        let end = Instant::now() + ATTEMPT_TIMEOUT;
        let mut pages = PageCollector::default();
        while let Some(left) = end.checked_duration_since(Instant::now()).filter(|l| !l.is_zero()) {
            socket.set_read_timeout(Some(left))?;
            let Ok((size, _)) = socket.recv_from(&mut buffer) else { break };
            let Ok(reply) = datagram::open(&key, &buffer[..size]) else { continue };
            let Some(page) =
                reply.page.filter(|_| reply.kind == kind::STATUS_REPLY && reply.request_id == request_id)
            else {
                continue;
            };
            pages.insert(page.index.into(), page.total.into(), page.bytes);
            if pages.is_complete() {
                let text = pages.into_text().unwrap_or_default();
                return serde_json::from_slice(&text).map_err(io::Error::other);
            }
        }
    }
    let wrong = format!("the gateway does not answer on {to}: is it running, with this key?");
    Err(io::Error::new(ErrorKind::TimedOut, wrong))
}
