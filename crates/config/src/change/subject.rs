//! What a change is about, and so the key under which the log keeps it.

use std::fmt;

/// What a change is about. Its text is the key of the change: `functions` or `function NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// All functions, where they state nothing of their own.
    AllFunctions,
    /// The function of this name.
    Function(String),
}

impl Subject {
    /// The subject of a key; none where no change goes by that key.
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
