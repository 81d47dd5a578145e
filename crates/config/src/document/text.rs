//! The text of a document and the errors found in it so far. Converts byte offsets to lines and columns.

use super::error::ConfigError;
use std::cell::RefCell;

/// The line and column of a character, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters, not bytes.
    pub column: usize,
}

/// A text and the errors found in it so far.
pub struct Document<'t> {
    pub(super) text: &'t str,
    errors: RefCell<Vec<ConfigError>>,
}

impl<'t> Document<'t> {
    /// Creates a document without errors.
    #[must_use]
    pub fn new(text: &'t str) -> Self {
        Self { text, errors: RefCell::default() }
    }

    /// Records an error at a byte offset of the text.
    pub fn report(&self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        let Position { line, column } = self.position(offset);
        let error = ConfigError { line, column, problem: problem.into(), remedy: remedy.into() };
        self.errors.borrow_mut().push(error);
    }

    /// The position of a byte offset. An offset within a character has the position of that character, and one past the end
    /// has the position of the end.
    #[must_use]
    pub fn position(&self, offset: usize) -> Position {
        let clamped = offset.min(self.text.len());
        let start = (0..=clamped).rev().find(|&n| self.text.is_char_boundary(n)).unwrap_or(0);
        let before = &self.text[..start];
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Position { line: before.matches('\n').count() + 1, column }
    }

    /// All errors, in the order of the text. Drop all sections first: a section reports its unknown keys when dropped.
    #[must_use]
    pub fn into_errors(self) -> Vec<ConfigError> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| (error.line, error.column));
        errors
    }
}
