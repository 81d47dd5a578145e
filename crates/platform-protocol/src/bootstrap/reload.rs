//! The file read again while the router runs: of all that it holds, only the address of the discovery service is taken.

use super::address::address;
use super::differences::differences;
use milletpath_protocol::InputError;
use serde_json::Value;
use std::net::SocketAddr;

/// Keys that are new with each file, and mean nothing to a running router.
const ALWAYS_NEW: [&str; 3] = ["bulletin", "known", "seed"];

/// What a router takes from the file when it is read again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadedBootstrap {
    /// Where the discovery service is now.
    pub discovery: SocketAddr,
    /// Paths of what else differs from the file that the router started from; it takes effect at the next start.
    pub ignored_changes: Vec<String>,
}

/// Reads the file again; `first` is the text that the router started from.
pub fn reload(text: &[u8], first: &[u8]) -> Result<ReloadedBootstrap, InputError> {
    let parse = |text| {
        serde_json::from_slice::<Value>(text).map_err(|error| InputError::new("file", error.to_string()))
    };
    let (file, first) = (parse(text)?, parse(first)?);
    let discovery = address(&file, "bulletin")?;
    let mut ignored_changes = differences(&first, &file);
    ignored_changes.retain(|path| !ALWAYS_NEW.contains(&path.split('.').next().unwrap_or_default()));
    Ok(ReloadedBootstrap { discovery, ignored_changes })
}
