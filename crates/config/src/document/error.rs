//! An error in a configuration text: the problem, its position and the remedy.

/// An error in a configuration text, with its position and the remedy.
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
