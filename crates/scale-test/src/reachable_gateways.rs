//! The running real gateways, for the threads that send them calls and queries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Addresses that one real gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Address for clients.
    pub http: SocketAddr,
    /// Address for other gateways, if it has a membership link.
    pub membership: Option<SocketAddr>,
}

/// A handle to the running real gateways. Clones share one table.
#[derive(Clone, Default)]
pub struct ReachableGateways(Arc<Mutex<BTreeMap<usize, GatewayAddresses>>>);

impl ReachableGateways {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<usize, GatewayAddresses>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a gateway that has started.
    pub fn insert(&self, gateway: usize, addresses: GatewayAddresses) {
        self.lock().insert(gateway, addresses);
    }

    /// Removes a gateway that is stopping.
    pub fn remove(&self, gateway: usize) {
        self.lock().remove(&gateway);
    }

    /// Addresses for clients, ordered by gateway number.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|addresses| addresses.http).collect()
    }

    /// Whether the gateway is still running as the process with this membership address.
    pub fn has_membership_address(&self, gateway: usize, address: SocketAddr) -> bool {
        self.lock().get(&gateway).is_some_and(|addresses| addresses.membership == Some(address))
    }
}
