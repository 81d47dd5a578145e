//! Parses configuration changes: a file with several of them, or the text of a single change and its key.

use super::apply::ConfigChange;
use super::subject::Subject;
use crate::document::{ConfigError, Document, Position, Section};
use crate::model::{FunctionOverrides, GatewayConfig};
use crate::reader::{functions, syntax};

/// Keys of settings that all gateways must agree on, or that their connections depend on. Changing them at run time would
/// need a rule for the period in which some gateways use the old value and some the new one.
const FLEET_WIDE_KEYS: [&str; 7] = ["client", "gateways", "limits", "peers", "profile", "seed", "workers"];

/// Keys of settings that are specific to one gateway.
const PER_GATEWAY_KEYS: [&str; 4] = ["changes", "cores", "listen", "pin"];

/// One block of a change file.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedChange {
    /// The functions whose settings change.
    pub subject: Subject,
    /// The settings in the block.
    pub overrides: FunctionOverrides,
    /// The source text of the block.
    pub text: String,
    /// The line of the start of the block, from 1.
    pub line: usize,
    /// The column of the start of the block, in characters from 1.
    pub column: usize,
}

impl GatewayConfig {
    /// Parses a change file into its blocks, in the order of the file.
    ///
    /// # Errors
    /// All errors in the text, in its order, or the first syntax error.
    pub fn parse_changes(&self, text: &str) -> Result<Vec<ParsedChange>, Vec<ConfigError>> {
        let document = Document::new(text);
        let body = syntax::parse(text)?;
        let changes = self.read_changes(&document, &Section::titled(&document, "a change", &body));
        let errors = document.into_errors();
        if errors.is_empty() { Ok(changes) } else { Err(errors) }
    }

    /// Parses the change with this key. Without a text, the change reverts to the settings of the configuration file.
    ///
    /// # Errors
    /// All reasons why this gateway can't apply the change.
    pub fn parse_change(&self, key: &str, text: Option<&str>) -> Result<ConfigChange, Vec<ConfigError>> {
        let Some(subject) = Subject::from_key(key) else {
            let remedy = "write functions or function NAME, or run a program that knows it";
            return Err(error_at_start(format!("unknown key of a change: {key:?}"), remedy));
        };
        let Some(text) = text else { return Ok(ConfigChange { subject, overrides: None }) };
        let mut changes = self.parse_changes(text)?;
        match changes.pop() {
            Some(change) if changes.is_empty() && change.subject == subject => {
                Ok(ConfigChange { subject, overrides: Some(change.overrides) })
            }
            _ => {
                let remedy = "write one block, that of its key";
                Err(error_at_start(format!("the text is not about {key}"), remedy))
            }
        }
    }

    fn read_changes(&self, document: &Document<'_>, top: &Section<'_>) -> Vec<ParsedChange> {
        reject_forbidden_keys(top);
        let all = top.blocks("functions", false).into_iter().map(|s| (Subject::AllFunctions, s));
        let named = top.blocks("function", true).into_iter();
        let named = named.map(|s| (Subject::Function(s.label.clone()), s));
        let mut changes = Vec::new();
        for (subject, section) in all.chain(named) {
            check_size(&section, &subject);
            let Position { line, column } = document.position(section.offset);
            let overrides = functions::overrides(&section, &self.profiles);
            let text = section.source().into();
            changes.push((section.offset, ParsedChange { subject, overrides, text, line, column }));
        }
        if changes.is_empty() {
            let remedy = "add function \"name\" { concurrency = 2 } or functions { ... }";
            top.report(0, "the text holds no change", remedy);
        }
        changes.sort_by_key(|(offset, _)| *offset);
        changes.into_iter().map(|(_, change)| change).collect()
    }
}

fn error_at_start(problem: String, remedy: &str) -> Vec<ConfigError> {
    vec![ConfigError { line: 1, column: 1, problem, remedy: remedy.into() }]
}

/// Reports the keys of a configuration file that a change must not set.
fn reject_forbidden_keys(top: &Section<'_>) {
    for key in FLEET_WIDE_KEYS {
        let problem = format!("a change can't set {key}, which must be the same on all gateways");
        top.reject_key(key, &problem, "set it in the configuration files and restart the gateways");
    }
    for key in PER_GATEWAY_KEYS {
        let problem = format!("a change can't set {key}, which belongs to one gateway");
        top.reject_key(key, &problem, "set it in that gateway's configuration file");
    }
}

/// Checks that the key and the text of a change fit into an entry of the configuration log.
fn check_size(section: &Section<'_>, subject: &Subject) {
    if subject.to_string().len() > milletpath_config_log::MAX_KEY_BYTES {
        let max_name_bytes = milletpath_config_log::MAX_KEY_BYTES - "function ".len();
        let problem = format!("the name of {} is too long for a change", section.title);
        section.report(section.offset, problem, format!("use a name of up to {max_name_bytes} bytes"));
    }
    let bytes = section.source().len();
    if bytes > milletpath_config_log::MAX_TEXT_BYTES {
        let problem = format!("{} has {bytes} bytes of text", section.title);
        let remedy =
            format!("keep it within {} bytes; leave comments out", milletpath_config_log::MAX_TEXT_BYTES);
        section.report(section.offset, problem, remedy);
    }
}
