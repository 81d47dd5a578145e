//! One error of a configuration text: what is wrong, where, and what to do about it.

/// One thing that is wrong with a text, where, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {problem}; {remedy}")]
pub struct ConfigError {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}
