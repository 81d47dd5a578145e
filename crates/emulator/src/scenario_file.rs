//! Reads scenario files. They are written in HCL and read like a gateway's configuration, so that errors are reported
//! in the same way. A file may extend another one (`extends`), whose values apply where it gives none.

mod blocks;
mod faults;
mod model;

pub use faults::{FaultKind, ScheduledFault};
pub use model::{Group, Profile, RuleSettings, Scenario, Traffic};

use hcl_edit::parser::parse_body;
use hcl_edit::structure::Body;
use milletpath_config::document::{ConfigError, Document, Section, attribute};
use std::path::{Path, PathBuf};

/// The maximum length of a chain of files that extend each other; a longer one counts as a cycle.
const MAX_LAYERS: usize = 8;

/// An error in a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file, or one that it extends, can't be read.
    #[error("{}: can't be read: {source}; name a day's file", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file extends itself, possibly through others.
    #[error("{}: builds on itself; write a day that ends at one without {key}", file.display())]
    Cycle {
        /// The file that exceeds the maximum length of the chain.
        file: PathBuf,
        /// The key that names the extended file, as spelled in the first file.
        key: String,
    },
    /// The content of the file is invalid.
    #[error("{}:{error}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The problem, its position and a remedy.
        error: ConfigError,
    },
}

/// All errors in a scenario file, in the order of the file. Displayed with one line per error.
#[derive(Debug, thiserror::Error)]
#[error("{}", errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct InvalidScenario {
    /// The errors; at least one.
    pub errors: Vec<ScenarioFileError>,
}

impl From<ScenarioFileError> for InvalidScenario {
    fn from(error: ScenarioFileError) -> Self {
        Self { errors: vec![error] }
    }
}

/// The text of a file, and its syntax tree.
struct Layer {
    text: String,
    body: Body,
}

/// Reads a scenario file and those that it extends.
///
/// # Errors
/// All errors in the file, in its order, or the errors in a file that it extends.
pub fn open(file: &Path) -> Result<Scenario, InvalidScenario> {
    open_layer(file, 0)
}

/// Reads a file that a chain of `depth` others extends.
fn open_layer(file: &Path, depth: usize) -> Result<Scenario, InvalidScenario> {
    let layers = read_layers(file, depth)?;
    let name = file.file_stem().map_or("day".into(), |name| name.to_string_lossy().into_owned());
    let document = Document::new(&layers[0].text);
    let bodies = layers.iter().map(|layer| &layer.body).collect();
    let scenario = blocks::scenario(&name, &Section::layered(&document, bodies));
    let errors = document.into_errors();
    if errors.is_empty() { Ok(scenario) } else { Err(invalid(file, errors)) }
}

/// Reads the file and the chain of files that it extends.
fn read_layers(file: &Path, depth: usize) -> Result<Vec<Layer>, InvalidScenario> {
    let mut layers = vec![read_layer(file)?];
    let mut file = file.to_owned();
    while let Some(base) = base_file(&layers[layers.len() - 1].body) {
        if layers.len() + depth > MAX_LAYERS {
            let key =
                attribute(&layers[0].body, "extends").map_or("extends", |attribute| attribute.key.as_str());
            return Err(ScenarioFileError::Cycle { file, key: key.to_owned() }.into());
        }
        file = file.parent().unwrap_or(Path::new("")).join(base);
        if layers.len() == 1 {
            // The extended file must be valid by itself, so that all errors reported below are in the first file.
            open_layer(&file, depth + 1)?;
        }
        layers.push(read_layer(&file)?);
    }
    Ok(layers)
}

fn read_layer(file: &Path) -> Result<Layer, ScenarioFileError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| ScenarioFileError::Unreadable { file: file.to_owned(), source })?;
    let body = parse(&text).map_err(|error| ScenarioFileError::Invalid { file: file.to_owned(), error })?;
    Ok(Layer { text, body })
}

fn parse(text: &str) -> Result<Body, ConfigError> {
    parse_body(text).map_err(|error| {
        let (line, column) = (error.location().line(), error.location().column());
        let problem = error.message().to_owned();
        ConfigError { line, column, problem, remedy: "mend the line".into() }
    })
}

/// The file that a file extends.
fn base_file(body: &Body) -> Option<String> {
    attribute(body, "extends").and_then(|attribute| attribute.value.as_str()).map(str::to_owned)
}

fn invalid(file: &Path, errors: Vec<ConfigError>) -> InvalidScenario {
    let invalid = |error| ScenarioFileError::Invalid { file: file.to_owned(), error };
    InvalidScenario { errors: errors.into_iter().map(invalid).collect() }
}
