//! Reads what is to be changed: a file of statements, and statements to remove.

use crate::config_file::lines_of_file;
use milletpath_config::document::Position;
use milletpath_config::{ConfigError, GatewayConfig, Subject};
use milletpath_config_log::MAX_KEY_BYTES;
use std::io;
use std::path::{Path, PathBuf};

/// A change to propose.
pub struct ProposedChange {
    /// What it is about.
    pub key: String,
    /// The statement; none removes the one in force.
    pub text: Option<String>,
    /// Where the statement begins in the file, if it comes from one.
    pub position: Option<Position>,
}

/// Why there is nothing to propose.
#[derive(Debug, thiserror::Error)]
pub enum ProposalError {
    /// The file of statements can't be read.
    #[error("{}: can't be read: {source}; name a file of statements", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The file of statements is wrong; all its errors.
    #[error("{}", lines_of_file(path, errors))]
    Invalid { path: PathBuf, errors: Vec<ConfigError> },
    /// There is no statement of that name to remove.
    #[error(
        "--remove {0}: there is no such statement; write the function's name, or functions for what is stated of all"
    )]
    UnknownStatement(String),
    /// Neither a file nor a statement to remove is named.
    #[error("nothing to change; name a file of statements, or --remove NAME")]
    Empty,
}

/// The changes that set the statements of a file and remove those of these names, in this order.
///
/// # Errors
///
/// The file can't be read, the configuration does not allow a statement, or there is nothing to change.
pub fn read(
    config: &GatewayConfig,
    file: Option<&Path>,
    remove: &[String],
) -> Result<Vec<ProposedChange>, ProposalError> {
    let mut proposals = match file {
        Some(file) => read_file(config, file)?,
        None => Vec::new(),
    };
    for name in remove {
        proposals.push(removal(name)?);
    }
    if proposals.is_empty() { Err(ProposalError::Empty) } else { Ok(proposals) }
}

/// A change for each statement of a file.
fn read_file(config: &GatewayConfig, path: &Path) -> Result<Vec<ProposedChange>, ProposalError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ProposalError::Read { path: path.to_owned(), source })?;
    let statements = config
        .parse_changes(&text)
        .map_err(|errors| ProposalError::Invalid { path: path.to_owned(), errors })?;
    let proposals = statements.into_iter().map(|statement| ProposedChange {
        key: statement.subject.to_string(),
        text: Some(statement.text),
        position: Some(Position { line: statement.line, column: statement.column }),
    });
    Ok(proposals.collect())
}

/// The removal of the statement of a key, or of a function's name.
fn removal(name: &str) -> Result<ProposedChange, ProposalError> {
    let subject = Subject::from_key(name).or_else(|| Subject::from_key(&format!("function {name}")));
    let key = subject.map(|subject| subject.to_string()).filter(|key| key.len() <= MAX_KEY_BYTES);
    let key = key.ok_or_else(|| ProposalError::UnknownStatement(name.to_owned()))?;
    Ok(ProposedChange { key, text: None, position: None })
}
