//! Reads a configuration file, and checks that the key files it names can be used.

use crate::exit_status::{CommandError, ExitStatus};
use milletpath_config::{ConfigError, ConfigLogConfig, GatewayConfig};
use milletpath_gateway::KeyFileError;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};

/// Why a configuration file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file is missing or not readable by this process.
    #[error("{}: can't be read: {source}; name a configuration file", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The text of the file is wrong; all its errors.
    #[error("{}", lines_of_file(path, errors))]
    Invalid { path: PathBuf, errors: Vec<ConfigError> },
    /// The key that the section `peers` names can't be used.
    #[error("{}: key of peers: {source}; write random bytes to it, the same for all gateways", path.display())]
    FleetKey { path: PathBuf, source: KeyFileError },
    /// The key that the section `changes` names can't be used.
    #[error(
        "{}: key of changes: {source}; write random bytes to it, the same for all control machines, gateways and \
         authors of changes",
        path.display()
    )]
    ControlKey { path: PathBuf, source: KeyFileError },
    /// The sub-command needs a section that the file does not have.
    #[error("{}: has no {section}; add {section} {{ ... }} to the configuration", path.display())]
    MissingSection { path: PathBuf, section: &'static str },
}

impl CommandError for ConfigFileError {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::InvalidInput
    }
}

/// A configuration with a section `changes`, and that section.
pub struct ConfigWithLog {
    /// The complete configuration.
    pub config: GatewayConfig,
    /// Its section on the configuration log.
    pub config_log: ConfigLogConfig,
}

/// Reads a configuration file. Paths in it are relative to its folder, wherever the program was started.
///
/// # Errors
///
/// The file can't be read, its text has errors, or a key file that it names can't be used.
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
/// As [`read`], or the section is missing.
pub fn read_with_log(path: &Path) -> Result<ConfigWithLog, ConfigFileError> {
    let config = read(path)?;
    match config.config_log.clone() {
        Some(config_log) => Ok(ConfigWithLog { config, config_log }),
        None => Err(ConfigFileError::MissingSection { path: path.to_owned(), section: "changes" }),
    }
}

/// The lines that report several errors of one file.
pub fn lines_of_file(path: &Path, errors: &[impl Display]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("{}:{error}", path.display())).collect();
    lines.join("\n")
}

/// Makes the paths that a file names relative to its folder.
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

/// Reads the key files once, so that a wrong one is reported before anything runs.
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
