//! What a change of configuration may state, while gateways run: figures of functions, in the charter's own
//! words. The text of a change is one statement as it would stand in the charter; its key says what it is
//! about. A statement takes the place of the charter's statement of the same key as a whole; taken back, the
//! charter's own holds again.

use crate::page::{ConfigError, Page, Section};
use crate::read::{body, statement};
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
    pub fn of(key: &str) -> Option<Self> {
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
    pub statement: Option<FunctionOverrides>,
}

/// One statement of a file of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedStatement {
    pub subject: Subject,
    pub statement: FunctionOverrides,
    /// As it is written.
    pub text: String,
    /// Where it begins, from 1.
    pub line: usize,
    pub column: usize,
}

impl FunctionConfigs {
    /// Goes by an amendment from here on; `charter` has what holds where none does.
    pub fn amend(&mut self, amendment: &ConfigChange, charter: &FunctionConfigs) {
        match (&amendment.subject, amendment.statement) {
            (Subject::AllFunctions, statement) => self.usual = statement.unwrap_or(charter.usual),
            (Subject::Function(name), statement) => {
                match statement.or_else(|| charter.named.get(name).copied()) {
                    Some(statement) => self.named.insert(name.clone(), statement),
                    None => self.named.remove(name),
                };
            }
        }
    }
}

/// What gateways share or hold connections by. To change it while they run needs a rule for the moment at
/// which some go by the old figure and some by the new one.
const SHARED: [&str; 7] = ["client", "gateways", "limits", "peers", "profile", "seed", "workers"];

/// What belongs to one gateway.
const OWN: [&str; 4] = ["changes", "cores", "listen", "pin"];

impl GatewayConfig {
    /// The statements of a file of changes, in its order; the error holds every mistake of the text.
    pub fn statements(&self, text: &str) -> Result<Vec<ParsedStatement>, Vec<ConfigError>> {
        let page = Page::new(text);
        let body = body(text)?;
        let all = self.section(&page, &Section::titled(&page, "a change", &body));
        let mistakes = page.mistakes();
        if mistakes.is_empty() { Ok(all) } else { Err(mistakes) }
    }

    fn section(&self, page: &Page<'_>, top: &Section<'_>) -> Vec<ParsedStatement> {
        for key in SHARED {
            let wrong = format!("a change can't carry {key}, by which all gateways must go at once");
            top.refuse(key, &wrong, "state it in the charter files and begin the gateways anew");
        }
        for key in OWN {
            let wrong = format!("a change can't carry {key}, which is each gateway's own");
            top.refuse(key, &wrong, "state it in that gateway's charter file");
        }
        let mut all = Vec::new();
        let usual = top.blocks("functions", false).into_iter().map(|s| (Subject::AllFunctions, s));
        let named = top.blocks("function", true).into_iter();
        let named = named.map(|s| (Subject::Function(s.label.clone()), s));
        for (subject, section) in usual.chain(named) {
            let (key, text) = (subject.to_string(), section.source());
            if key.len() > milletpath_config_log::KEY {
                let most = milletpath_config_log::KEY - "function ".len();
                let wrong = format!("the name of {} is too long for a change", section.title);
                section.mistake(section.at, wrong, format!("changes carry names of up to {most} bytes"));
            }
            if text.len() > milletpath_config_log::TEXT {
                let wrong = format!("{} has {} bytes of text", section.title, text.len());
                let remedy = format!("keep it within {}; leave comments out", milletpath_config_log::TEXT);
                section.mistake(section.at, wrong, remedy);
            }
            let (line, column) = page.place(section.at);
            let statement = statement(&section, &self.profiles);
            all.push((section.at, ParsedStatement { subject, statement, text: text.into(), line, column }));
        }
        if all.is_empty() {
            top.mistake(
                0,
                "nothing is stated here",
                "add function \"name\" { lanes = 2 } or functions { ... }",
            );
        }
        all.sort_by_key(|(at, _)| *at);
        all.into_iter().map(|(_, stated)| stated).collect()
    }

    /// What one change does here; the error says why this charter can't take it.
    pub fn amendment(&self, key: &str, text: Option<&str>) -> Result<ConfigChange, Vec<ConfigError>> {
        let mistake = |wrong: String, remedy: &str| {
            Err(vec![ConfigError { line: 1, column: 1, wrong, remedy: remedy.into() }])
        };
        let Some(subject) = Subject::of(key) else {
            return mistake(
                format!("no change goes by the key {key:?} here"),
                "write functions or function NAME, or run a program that knows it",
            );
        };
        let Some(text) = text else { return Ok(ConfigChange { subject, statement: None }) };
        let mut stated = self.statements(text)?;
        match stated.pop() {
            Some(one) if stated.is_empty() && one.subject == subject => {
                Ok(ConfigChange { subject, statement: Some(one.statement) })
            }
            _ => mistake(format!("this states something else than {key}"), "one statement, that of its key"),
        }
    }
}
