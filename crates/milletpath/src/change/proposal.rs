//! Reads the requested changes: a file of statements, and the statements to remove.

use crate::config_file::lines_of_file;
use milletpath_config::document::Position;
use milletpath_config::{ConfigError, GatewayConfig, Subject};
use milletpath_config_log::MAX_KEY_BYTES;
use std::io;
use std::path::{Path, PathBuf};

/// A change to propose.
pub struct ProposedChange {
    /// Key of the statement in the configuration log.
    pub key: String,
    /// The statement; `None` removes the one in force.
    pub text: Option<String>,
    /// Where the statement begins in its file; `None` for a removal.
    pub position: Option<Position>,
}

/// Why no changes can be proposed.
#[derive(Debug, thiserror::Error)]
pub enum ProposalError {
    /// The file of statements cannot be read.
    #[error("{}: can't be read: {source}; name a file of statements", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The file of statements is invalid; holds all its errors.
    #[error("{}", lines_of_file(path, errors))]
    Invalid { path: PathBuf, errors: Vec<ConfigError> },
    /// The name to remove cannot be the key of a statement.
    #[error(
        "--remove {0}: there is no such statement; write a function's name, or functions for the settings of all"
    )]
    UnknownStatement(String),
    /// Neither a file nor a statement to remove was given, or the file has no statements.
    #[error("nothing to change; name a file of statements, or --remove NAME")]
    Empty,
}

/// Returns the changes that set the statements of a file, followed by those that remove the named statements.
///
/// # Errors
///
/// The file cannot be read, a statement is invalid under the configuration, a name to remove is invalid, or there is
/// nothing to change.
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

/// Returns a change for each statement of a file.
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

/// Returns the change that removes a statement, which is named by its key or by the name of its function.
fn removal(name: &str) -> Result<ProposedChange, ProposalError> {
    let subject = Subject::from_key(name).or_else(|| Subject::from_key(&format!("function {name}")));
    let key = subject.map(|subject| subject.to_string()).filter(|key| key.len() <= MAX_KEY_BYTES);
    let key = key.ok_or_else(|| ProposalError::UnknownStatement(name.to_owned()))?;
    Ok(ProposedChange { key, text: None, position: None })
}
