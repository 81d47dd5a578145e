//! Settings of functions: defaults for all functions, overrides for one, and the merged result.

use std::collections::BTreeMap;

/// The configured settings of all functions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionConfigs {
    /// Settings for all functions.
    pub defaults: FunctionOverrides,
    /// Settings for single functions, by name. They take precedence over `defaults`.
    pub by_name: BTreeMap<String, FunctionOverrides>,
}

impl FunctionConfigs {
    /// The settings of a function. Each comes from the function's own block, else from the block for all functions, else
    /// from the built-in defaults.
    #[must_use]
    pub fn resolve(&self, name: &str) -> FunctionConfig {
        let specific = self.by_name.get(name).copied().unwrap_or_default();
        let (defaults, built_in) = (self.defaults, FunctionConfig::default());
        FunctionConfig {
            concurrency: specific.concurrency.or(defaults.concurrency).unwrap_or(built_in.concurrency),
            memory: specific.memory.or(defaults.memory).unwrap_or(built_in.memory),
            load_time: specific.load_time.or(defaults.load_time),
            profile: specific.profile.or(defaults.profile),
        }
    }
}

/// The settings in one block, for one function or for all functions. `None` leaves a setting to the defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionOverrides {
    /// Maximum number of concurrent requests of one instance.
    pub concurrency: Option<f64>,
    /// Memory of one instance, in MB.
    pub memory: Option<f64>,
    /// Typical time to load the function, in seconds.
    pub load_time: Option<f64>,
    /// Index of the only profile under which the function may be called.
    pub profile: Option<usize>,
}

/// The resolved settings of one function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Maximum number of concurrent requests of one instance.
    pub concurrency: f64,
    /// Memory of one instance, in MB.
    pub memory: f64,
    /// Typical time to load the function, in seconds, if configured.
    pub load_time: Option<f64>,
    /// Index of the only profile under which the function may be called; `None` allows all profiles.
    pub profile: Option<usize>,
}

impl Default for FunctionConfig {
    fn default() -> Self {
        // A small function with one call at a time: the least that any worker can be expected to support.
        Self { concurrency: 1.0, memory: 128.0, load_time: None, profile: None }
    }
}
