//! Reloads the bootstrap file while the router runs. Only the address of the discovery service takes effect.

use super::address::address;
use super::differences::differences;
use milletpath_protocol::InputError;
use serde_json::Value;
use std::net::SocketAddr;

/// Keys that are expected to differ in every file and need no restart, so their changes are not reported as ignored.
const VOLATILE_KEYS: [&str; 3] = ["bulletin", "known", "seed"];

/// The result of reloading the bootstrap file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadedBootstrap {
    /// The current address of the discovery service.
    pub discovery: SocketAddr,
    /// Paths of the other values that differ from the file at startup; they take effect at the next start.
    pub ignored_changes: Vec<String>,
}

/// Parses `text`, the file's new content, and compares it with `original`, its content at startup.
pub fn reload(text: &[u8], original: &[u8]) -> Result<ReloadedBootstrap, InputError> {
    let parse = |text| {
        serde_json::from_slice::<Value>(text).map_err(|error| InputError::new("file", error.to_string()))
    };
    let (file, original) = (parse(text)?, parse(original)?);
    let discovery = address(&file, "bulletin")?;
    let mut ignored_changes = differences(&original, &file);
    ignored_changes.retain(|path| !VOLATILE_KEYS.contains(&path.split('.').next().unwrap_or_default()));
    Ok(ReloadedBootstrap { discovery, ignored_changes })
}
