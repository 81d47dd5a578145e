//! The subject of a configuration change, which determines its key in the configuration log.

use std::fmt;

/// The functions that a change applies to. [`Display`](fmt::Display) gives the key of the change: `functions` or
/// `function NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// All functions, for settings that a function does not override.
    AllFunctions,
    /// The function with this name.
    Function(String),
}

impl Subject {
    /// Parses the key of a change; `None` if it is not a valid key.
    #[must_use]
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
