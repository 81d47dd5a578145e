//! Assertions on configuration errors.

use milletpath_config::ConfigError;

/// Asserts that there is an error at this line and column whose message contains this text.
#[track_caller]
pub fn assert_has_error(errors: &[ConfigError], line: usize, column: usize, expected_text: &str) {
    let at_position = |error: &&ConfigError| (error.line, error.column) == (line, column);
    let has_text = |error: &ConfigError| error.to_string().contains(expected_text);
    assert!(errors.iter().filter(at_position).any(has_text), "{errors:#?}");
}
