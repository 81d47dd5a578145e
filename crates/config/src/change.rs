//! Configuration changes at run time: settings of functions, in the syntax of the configuration file.
//!
//! The text of a change is one block in the syntax of the file; its key names one function, or all functions. The block
//! replaces the block of the same key in the file entirely. When the change is removed, the file's block applies again.

mod apply;
mod parser;
mod subject;

pub use apply::ConfigChange;
pub use parser::ParsedChange;
pub use subject::Subject;
