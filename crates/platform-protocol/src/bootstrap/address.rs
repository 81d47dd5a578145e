//! Parses socket addresses in the bootstrap file.

use milletpath_protocol::InputError;
use serde_json::Value;
use std::net::SocketAddr;

/// Returns the address under `key`, which is required.
pub fn address(file: &Value, key: &str) -> Result<SocketAddr, InputError> {
    let address = file[key].as_str().and_then(|address| address.parse().ok());
    address.ok_or_else(|| InputError::new(key, "is missing or not an address with a port"))
}
