//! HCL text with its errors. A [`Section`] is one block; its values are asked for by name, each with the bounds
//! that make sense, and a key that nobody asked for is an error too. Reading goes on after an error, so that all of
//! them are reported at once.

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
