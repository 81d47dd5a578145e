//! The name and the shared secret by which a gateway identifies and authenticates itself to other gateways and to the
//! control machines.

use crate::document::Section;
use milletpath_protocol::is_name;
use std::path::PathBuf;

/// Reads the name of this gateway, if configured. It may have up to `max_bytes` bytes.
pub fn gateway_name(section: &Section<'_>, max_bytes: usize) -> Option<String> {
    let parse = |text: &str| (is_name(text) && text.len() <= max_bytes).then(|| text.to_owned());
    section.parsed("name", "a name of up to 64 letters, digits and -._~:", parse)
}

/// Reads the path of the file with the shared secret, which is required. `example` is a file name for the error message.
pub fn key_file(section: &Section<'_>, example: &str) -> Option<PathBuf> {
    let key_file = section.text("key").map(PathBuf::from);
    if key_file.is_none() && !section.has("key") {
        section.report_missing("key", &format!("\"{example}\" (a file with 32 random bytes or more)"));
    }
    key_file
}
