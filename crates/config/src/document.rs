//! HCL documents with error reporting. A [`Section`] is one block. Readers request its values by key, with the valid range
//! of each, and a key that no reader requested is reported as unknown. Reading continues after an error, so that all
//! errors are reported at once.

mod aliases;
mod blocks;
mod error;
mod section;
mod text;
mod unknown_keys;
mod values;

pub use aliases::{KEY_ALIASES, KeyAlias, VALUE_ALIASES, ValueAlias, attribute};
pub use error::ConfigError;
pub use section::Section;
pub use text::{Document, Position};
