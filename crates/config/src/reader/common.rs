//! What several parts of the file have in common: the longest time, sections that may be left out, addresses, names and
//! key files.

use crate::document::Section;
use milletpath_protocol::is_name;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The longest time that a setting may give, in seconds: a day.
pub const MAX_SECONDS: f64 = 86_400.0;

/// A section that may be left out; its settings have their defaults then.
#[derive(Clone, Copy)]
pub struct OptionalSection<'s, 'p>(pub Option<&'s Section<'p>>);

impl OptionalSection<'_, '_> {
    /// A number within bounds; `unit` says what it counts.
    pub fn number(self, key: &'static str, unit: &str, within: RangeInclusive<f64>, default: f64) -> f64 {
        self.0.and_then(|section| section.number(key, unit, within)).unwrap_or(default)
    }

    /// A whole number within bounds; `unit` says what it counts.
    pub fn count(self, key: &'static str, unit: &str, within: RangeInclusive<u32>, default: usize) -> usize {
        self.0.and_then(|section| section.count(key, unit, within)).unwrap_or(default)
    }

    /// True or false.
    pub fn flag(self, key: &'static str, default: bool) -> bool {
        self.0.and_then(|section| section.flag(key)).unwrap_or(default)
    }
}

/// An IP address with a port; none where the text is anything else.
pub fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Whether others could reach an address: one of a machine, with a port.
pub fn is_reachable(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// An address as the name of a gateway, in which brackets may not stand.
pub fn name_of_address(address: SocketAddr) -> String {
    address.to_string().replace(['[', ']'], "")
}

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
