//! What a change of configuration may state, while gateways run: figures of functions, in the charter's own
//! words. The text of a change is one statement as it would stand in the charter; its key says what it is
//! about. A statement takes the place of the charter's statement of the same key as a whole; taken back, the
//! charter's own holds again.

use crate::document::{ConfigError, Document, Section};
use crate::read::{body, function_overrides};
use crate::{FunctionConfigs, FunctionOverrides, GatewayConfig};
use std::fmt;

/// What a statement is about, and so the key of its change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// All functions, where they state nothing of their own.
    AllFunctions,
    Function(String),
}

impl Subject {
    /// None where no change goes by that key.
    pub fn from_key(key: &str) -> Option<Self> {
        match key.split_once(' ') {
            None if key == "functions" => Some(Self::AllFunctions),
            Some(("function", name)) if milletpath_protocol::is_name(name) => {
                Some(Self::Function(name.into()))
            }
            _ => None,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AllFunctions => f.write_str("functions"),
            Self::Function(name) => write!(f, "function {name}"),
        }
    }
}

/// What a change does to the figures of functions; without a statement the charter's own holds again.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    pub subject: Subject,
    pub overrides: Option<FunctionOverrides>,
}

/// One statement of a file of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedChange {
    pub subject: Subject,
    pub overrides: FunctionOverrides,
    /// As it is written.
    pub text: String,
    /// Where it begins, from 1.
    pub line: usize,
    pub column: usize,
}

impl FunctionConfigs {
    /// Goes by an amendment from here on; `baseline` has what holds where none does.
    pub fn apply(&mut self, change: &ConfigChange, baseline: &FunctionConfigs) {
        match (&change.subject, change.overrides) {
            (Subject::AllFunctions, overrides) => self.defaults = overrides.unwrap_or(baseline.defaults),
            (Subject::Function(name), overrides) => {
                match overrides.or_else(|| baseline.by_name.get(name).copied()) {
                    Some(overrides) => self.by_name.insert(name.clone(), overrides),
                    None => self.by_name.remove(name),
                };
            }
        }
    }
}

/// What gateways share or hold connections by. To change it while they run needs a rule for the moment at
/// which some go by the old figure and some by the new one.
const FLEET_WIDE_KEYS: [&str; 7] = ["client", "gateways", "limits", "peers", "profile", "seed", "workers"];

/// What belongs to one gateway.
const PER_GATEWAY_KEYS: [&str; 4] = ["changes", "cores", "listen", "pin"];

impl GatewayConfig {
    /// The statements of a file of changes, in its order; the error holds every mistake of the text.
    pub fn parse_changes(&self, text: &str) -> Result<Vec<ParsedChange>, Vec<ConfigError>> {
        let document = Document::new(text);
        let body = body(text)?;
        let all = self.read_changes(&document, &Section::titled(&document, "a change", &body));
        let errors = document.into_errors();
        if errors.is_empty() { Ok(all) } else { Err(errors) }
    }

    fn read_changes(&self, document: &Document<'_>, top: &Section<'_>) -> Vec<ParsedChange> {
        for key in FLEET_WIDE_KEYS {
            let problem = format!("a change can't carry {key}, by which all gateways must go at once");
            top.refuse(key, &problem, "state it in the charter files and begin the gateways anew");
        }
        for key in PER_GATEWAY_KEYS {
            let problem = format!("a change can't carry {key}, which is each gateway's own");
            top.refuse(key, &problem, "state it in that gateway's charter file");
        }
        let mut all = Vec::new();
        let defaults = top.blocks("functions", false).into_iter().map(|s| (Subject::AllFunctions, s));
        let by_name = top.blocks("function", true).into_iter();
        let by_name = by_name.map(|s| (Subject::Function(s.label.clone()), s));
        for (subject, section) in defaults.chain(by_name) {
            let (key, text) = (subject.to_string(), section.source());
            if key.len() > milletpath_config_log::KEY {
                let longest = milletpath_config_log::KEY - "function ".len();
                let problem = format!("the name of {} is too long for a change", section.title);
                section.report(
                    section.offset,
                    problem,
                    format!("changes carry names of up to {longest} bytes"),
                );
            }
            if text.len() > milletpath_config_log::TEXT {
                let problem = format!("{} has {} bytes of text", section.title, text.len());
                let remedy = format!("keep it within {}; leave comments out", milletpath_config_log::TEXT);
                section.report(section.offset, problem, remedy);
            }
            let (line, column) = document.position(section.offset);
            let overrides = function_overrides(&section, &self.profiles);
            all.push((section.offset, ParsedChange { subject, overrides, text: text.into(), line, column }));
        }
        if all.is_empty() {
            top.report(
                0,
                "nothing is stated here",
                "add function \"name\" { lanes = 2 } or functions { ... }",
            );
        }
        all.sort_by_key(|(offset, _)| *offset);
        all.into_iter().map(|(_, parsed)| parsed).collect()
    }

    /// What one change does here; the error says why this charter can't take it.
    pub fn parse_change(&self, key: &str, text: Option<&str>) -> Result<ConfigChange, Vec<ConfigError>> {
        let report = |problem: String, remedy: &str| {
            Err(vec![ConfigError { line: 1, column: 1, problem, remedy: remedy.into() }])
        };
        let Some(subject) = Subject::from_key(key) else {
            return report(
                format!("no change goes by the key {key:?} here"),
                "write functions or function NAME, or run a program that knows it",
            );
        };
        let Some(text) = text else { return Ok(ConfigChange { subject, overrides: None }) };
        let mut parsed = self.parse_changes(text)?;
        match parsed.pop() {
            Some(one) if parsed.is_empty() && one.subject == subject => {
                Ok(ConfigChange { subject, overrides: Some(one.overrides) })
            }
            _ => report(format!("this states something else than {key}"), "one statement, that of its key"),
        }
    }
}
