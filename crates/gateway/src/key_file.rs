//! Reads the files of the keys that seal datagrams: one key among gateways, and one among control machines, gateways and
//! authors of configuration changes.

use milletpath_config_log::message as config_log;
use milletpath_membership::datagram;
use std::io::{self, ErrorKind};
use std::path::Path;

/// The key of a fleet, from the file that the charter names.
pub fn read_fleet_key(path: &Path) -> io::Result<datagram::Key> {
    read_secret(path).map(|secret| datagram::Key::new(&secret))
}

/// What is read from the file of a key.
fn read_secret(path: &Path) -> io::Result<Vec<u8>> {
    /// Bytes below which a secret can be guessed.
    const MIN_SECRET_BYTES: usize = 32;
    let name = path.display();
    let secret = std::fs::read(path).map_err(|e| io::Error::new(e.kind(), format!("{name}: {e}")))?;
    let secret = secret.trim_ascii();
    if secret.len() < MIN_SECRET_BYTES {
        let wrong = format!("{name} has {} bytes; a key has {MIN_SECRET_BYTES} or more", secret.len());
        return Err(io::Error::new(ErrorKind::InvalidData, wrong));
    }
    Ok(secret.to_vec())
}

/// The key of control machines, gateways and authors, from the file that the charter names.
pub fn read_control_key(path: &Path) -> io::Result<config_log::Key> {
    read_secret(path).map(|secret| config_log::Key::new(&secret))
}
