//! Sections that may be omitted, with the defaults of their settings.

use crate::document::Section;
use std::ops::RangeInclusive;

/// A section that may be omitted. A setting that is absent or invalid has its default.
#[derive(Clone, Copy)]
pub struct OptionalSection<'s, 'p>(pub Option<&'s Section<'p>>);

impl OptionalSection<'_, '_> {
    /// A number in a range; see [`Section::number`].
    pub fn number(self, key: &'static str, unit: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.0.and_then(|section| section.number(key, unit, range)).unwrap_or(default)
    }

    /// An integer in a range; see [`Section::count`].
    pub fn count(self, key: &'static str, unit: &str, range: RangeInclusive<u32>, default: usize) -> usize {
        self.0.and_then(|section| section.count(key, unit, range)).unwrap_or(default)
    }

    /// A Boolean; see [`Section::flag`].
    pub fn flag(self, key: &'static str, default: bool) -> bool {
        self.0.and_then(|section| section.flag(key)).unwrap_or(default)
    }
}
