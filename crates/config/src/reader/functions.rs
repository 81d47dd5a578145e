//! Settings of functions: those for all functions, and those for single ones.

use super::bounds::MAX_SECONDS;
use crate::document::Section;
use crate::model::{FunctionConfigs, FunctionOverrides, ProfileConfig};

/// Reads the settings for all functions and those for each named function.
pub fn read(top: &Section<'_>, profiles: &[ProfileConfig]) -> FunctionConfigs {
    let defaults = top.block("functions").map(|section| overrides(&section, profiles)).unwrap_or_default();
    let named = top.blocks("function", true).into_iter();
    let by_name = named.map(|section| (section.label.clone(), overrides(&section, profiles))).collect();
    FunctionConfigs { defaults, by_name }
}

/// Reads one block of settings, in a configuration file or in a change.
pub fn overrides(section: &Section<'_>, profiles: &[ProfileConfig]) -> FunctionOverrides {
    let choices: Vec<_> = profiles.iter().enumerate().map(|(n, p)| (p.name.as_str(), n)).collect();
    FunctionOverrides {
        concurrency: section.number("concurrency", "requests", 1.0..=10_000.0),
        memory: section.number("memory", "MB", 0.0..=1e9),
        load_time: section.number("load", "seconds", 0.0..=MAX_SECONDS),
        profile: section.one_of("profile", &choices),
    }
}
