//! The real gateways that can be reached at present, for the threads that send them calls and queries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Where one real gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For clients.
    pub http: SocketAddr,
    /// For other gateways, if it has a membership link.
    pub membership: Option<SocketAddr>,
}

/// A handle on the real gateways that run. Clones share one table.
#[derive(Clone, Default)]
pub struct ReachableGateways(Arc<Mutex<BTreeMap<usize, GatewayAddresses>>>);

impl ReachableGateways {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<usize, GatewayAddresses>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A gateway started.
    pub fn insert(&self, gateway: usize, addresses: GatewayAddresses) {
        self.lock().insert(gateway, addresses);
    }

    /// A gateway stops.
    pub fn remove(&self, gateway: usize) {
        self.lock().remove(&gateway);
    }

    /// Where clients reach the gateways, in the order of their numbers.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().map(|addresses| addresses.http).collect()
    }

    /// Whether the gateway still runs in the process that has this membership address.
    pub fn has_membership_address(&self, gateway: usize, address: SocketAddr) -> bool {
        self.lock().get(&gateway).is_some_and(|addresses| addresses.membership == Some(address))
    }
}
