//! Changes of configuration made while gateways run: settings of functions, in the syntax of the configuration file.
//!
//! The text of a change is one block as it would stand in the file; its key names the function, or all functions. A block
//! replaces the file's block of the same key entirely; when it is removed, the file's block is in force again.

mod apply;
mod parser;
mod subject;

pub use apply::ConfigChange;
pub use parser::ParsedChange;
pub use subject::Subject;
