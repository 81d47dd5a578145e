//! Reads a configuration file, and checks that the key files it names are usable.

use crate::exit_status::{CommandError, ExitStatus};
use milletpath_config::{ConfigError, ConfigLogConfig, GatewayConfig};
use milletpath_gateway::KeyFileError;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file does not exist, or this process cannot read it.
    #[error("{}: can't be read: {source}; name a configuration file", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The file is not a valid configuration; holds all its errors.
    #[error("{}", lines_of_file(path, errors))]
    Invalid { path: PathBuf, errors: Vec<ConfigError> },
    /// The key file named in section `peers` cannot be used.
    #[error("{}: key of peers: {source}; write random bytes to it, the same for all gateways", path.display())]
    FleetKey { path: PathBuf, source: KeyFileError },
    /// The key file named in section `changes` cannot be used.
    #[error(
        "{}: key of changes: {source}; write random bytes to it, the same for all control machines, gateways and \
         authors of changes",
        path.display()
    )]
    ControlKey { path: PathBuf, source: KeyFileError },
    /// The file lacks a section that the sub-command needs.
    #[error("{}: has no {section}; add {section} {{ ... }} to the configuration", path.display())]
    MissingSection { path: PathBuf, section: &'static str },
}

impl CommandError for ConfigFileError {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::InvalidInput
    }
}

/// A configuration that has a section `changes`, together with that section.
pub struct ConfigWithLog {
    /// The complete configuration.
    pub config: GatewayConfig,
    /// Its section `changes`, the settings of the configuration log.
    pub config_log: ConfigLogConfig,
}

/// Reads a configuration file. Relative paths in it are resolved against its folder, not the working directory.
///
/// # Errors
///
/// The file cannot be read, has errors, or names a key file that cannot be used.
pub fn read(path: &Path) -> Result<GatewayConfig, ConfigFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigFileError::Read { path: path.to_owned(), source })?;
    let mut config = milletpath_config::read(&text)
        .map_err(|errors| ConfigFileError::Invalid { path: path.to_owned(), errors })?;
    resolve_paths(&mut config, path);
    check_keys(&config, path)?;
    Ok(config)
}

/// Reads a configuration file that has a section `changes`.
///
/// # Errors
///
/// Those of [`read`], or the section is missing.
pub fn read_with_log(path: &Path) -> Result<ConfigWithLog, ConfigFileError> {
    let config = read(path)?;
    match config.config_log.clone() {
        Some(config_log) => Ok(ConfigWithLog { config, config_log }),
        None => Err(ConfigFileError::MissingSection { path: path.to_owned(), section: "changes" }),
    }
}

/// Formats the errors of a file, each on a line that begins with the file's path.
pub fn lines_of_file(path: &Path, errors: &[impl Display]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("{}:{error}", path.display())).collect();
    lines.join("\n")
}

/// Resolves the relative paths in a configuration against the folder of its file.
fn resolve_paths(config: &mut GatewayConfig, path: &Path) {
    let Some(folder) = path.parent() else { return };
    if let Some(membership) = &mut config.membership {
        membership.key_file = folder.join(&membership.key_file);
    }
    if let Some(config_log) = &mut config.config_log {
        config_log.key_file = folder.join(&config_log.key_file);
        config_log.state_file = folder.join(&config_log.state_file);
    }
}

/// Reads the key files, so that an unusable one is reported at startup.
fn check_keys(config: &GatewayConfig, path: &Path) -> Result<(), ConfigFileError> {
    if let Some(membership) = &config.membership {
        milletpath_gateway::read_fleet_key(&membership.key_file)
            .map_err(|source| ConfigFileError::FleetKey { path: path.to_owned(), source })?;
    }
    if let Some(config_log) = &config.config_log {
        milletpath_gateway::read_control_key(&config_log.key_file)
            .map_err(|source| ConfigFileError::ControlKey { path: path.to_owned(), source })?;
    }
    Ok(())
}
