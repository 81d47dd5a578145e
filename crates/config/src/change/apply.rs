//! Applies a change to the settings of functions, or reverts them to those of the configuration file.

use super::subject::Subject;
use crate::model::{FunctionConfigs, FunctionOverrides};

/// A configuration change, parsed and ready to be applied.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    /// The functions whose settings change.
    pub subject: Subject,
    /// The new settings; `None` reverts to those of the configuration file.
    pub overrides: Option<FunctionOverrides>,
}

impl FunctionConfigs {
    /// Applies a change. `baseline` holds the settings of the configuration file.
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
