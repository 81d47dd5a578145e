//! Applies a change to the settings of functions, or reverts it to those of the configuration file.

use super::subject::Subject;
use crate::model::{FunctionConfigs, FunctionOverrides};

/// What a change does to the settings of functions.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    /// What it is about.
    pub subject: Subject,
    /// The settings in force from here on; none to revert to those of the configuration file.
    pub overrides: Option<FunctionOverrides>,
}

impl FunctionConfigs {
    /// Puts a change into force; `baseline` holds the settings of the configuration file.
    pub fn apply(&mut self, change: &ConfigChange, baseline: &FunctionConfigs) {
        match &change.subject {
            Subject::AllFunctions => self.defaults = change.overrides.unwrap_or(baseline.defaults),
            Subject::Function(name) => {
                match change.overrides.or_else(|| baseline.by_name.get(name).copied()) {
                    Some(overrides) => self.by_name.insert(name.clone(), overrides),
                    None => self.by_name.remove(name),
                };
            }
        }
    }
}
