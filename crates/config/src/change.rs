//! Changes of configuration made while gateways run: settings of functions, in the words of the configuration file.
//!
//! The text of a change is one block as it would stand in the file; its key says what it is about. A block takes the
//! place of the file's block of the same key as a whole; when it is removed, the file's own holds again.

mod apply;
mod parser;
mod subject;

pub use apply::ConfigChange;
pub use parser::ParsedChange;
pub use subject::Subject;
