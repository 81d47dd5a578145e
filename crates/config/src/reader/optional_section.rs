//! Sections that may be left out: their settings have their defaults then.

use crate::document::Section;
use std::ops::RangeInclusive;

/// A section that may be left out; its settings have their defaults then.
#[derive(Clone, Copy)]
pub struct OptionalSection<'s, 'p>(pub Option<&'s Section<'p>>);

impl OptionalSection<'_, '_> {
    /// A number within bounds; `unit` is what it counts, for the error.
    pub fn number(self, key: &'static str, unit: &str, within: RangeInclusive<f64>, default: f64) -> f64 {
        self.0.and_then(|section| section.number(key, unit, within)).unwrap_or(default)
    }

    /// An integer within bounds; `unit` is what it counts, for the error.
    pub fn count(self, key: &'static str, unit: &str, within: RangeInclusive<u32>, default: usize) -> usize {
        self.0.and_then(|section| section.count(key, unit, within)).unwrap_or(default)
    }

    /// True or false.
    pub fn flag(self, key: &'static str, default: bool) -> bool {
        self.0.and_then(|section| section.flag(key)).unwrap_or(default)
    }
}
