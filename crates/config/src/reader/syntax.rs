//! Parses HCL text into a body of attributes and blocks.

use crate::document::ConfigError;
use hcl_edit::parser::parse_body;
use hcl_edit::structure::Body;

/// Parses a text. The error holds only the first syntax error, at which the parser stops.
pub fn parse(text: &str) -> Result<Body, Vec<ConfigError>> {
    parse_body(text).map_err(|error| {
        let (line, column) = (error.location().line(), error.location().column());
        let problem = format!("invalid HCL: {}", error.message());
        vec![ConfigError { line, column, problem, remedy: "correct the line and check again".into() }]
    })
}
