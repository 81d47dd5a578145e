//! Reads the files with the keys for sealing datagrams: one key shared by the gateways, and one shared by control
//! machines, gateways and authors of configuration changes.

use milletpath_config_log::message as config_log;
use milletpath_membership::datagram;
use std::io;
use std::path::{Path, PathBuf};

/// Minimum length of a secret; a shorter one could be guessed.
const MIN_SECRET_BYTES: usize = 32;

/// Why a key file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file is missing or not readable by this process.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path stated in the configuration.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The secret in the file is too short and could be guessed.
    #[error("{} has {bytes} bytes; a key has {MIN_SECRET_BYTES} or more", path.display())]
    TooShort {
        /// The path stated in the configuration.
        path: PathBuf,
        /// The length of the secret without surrounding whitespace.
        bytes: usize,
    },
}

/// Reads the key with which gateways seal datagrams to each other.
pub fn read_fleet_key(path: &Path) -> Result<datagram::Key, KeyFileError> {
    read_secret(path).map(|secret| datagram::Key::new(&secret))
}

/// Reads the key with which control machines, gateways and authors of configuration changes seal their datagrams.
pub fn read_control_key(path: &Path) -> Result<config_log::Key, KeyFileError> {
    read_secret(path).map(|secret| config_log::Key::new(&secret))
}

fn read_secret(path: &Path) -> Result<Vec<u8>, KeyFileError> {
    let file = std::fs::read(path).map_err(|source| KeyFileError::Read { path: path.to_owned(), source })?;
    let secret = file.trim_ascii();
    if secret.len() < MIN_SECRET_BYTES {
        return Err(KeyFileError::TooShort { path: path.to_owned(), bytes: secret.len() });
    }
    Ok(secret.to_vec())
}

#[cfg(test)]
mod tests;
