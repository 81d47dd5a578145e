//! How a gateway proves who it is to its peers and to the control machines: its name and the shared secret.

use crate::document::Section;
use milletpath_protocol::is_name;
use std::path::PathBuf;

/// The name of this gateway, where stated, of at most so many bytes.
pub fn gateway_name(section: &Section<'_>, max_bytes: usize) -> Option<String> {
    let parse = |text: &str| (is_name(text) && text.len() <= max_bytes).then(|| text.to_owned());
    section.parsed("name", "a name of up to 64 letters, digits and -._~:", parse)
}

/// The file with a shared secret, which must be stated; `example` names one.
pub fn key_file(section: &Section<'_>, example: &str) -> Option<PathBuf> {
    let key_file = section.text("key").map(PathBuf::from);
    if key_file.is_none() && !section.has("key") {
        section.report_missing("key", &format!("\"{example}\" (a file with 32 random bytes or more)"));
    }
    key_file
}
