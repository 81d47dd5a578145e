//! Settings of functions: what is stated of all, what is stated of one, and what holds for one when both are merged.

use std::collections::BTreeMap;

/// What is stated of functions: of those named, and of all others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionConfigs {
    /// What is stated of all functions.
    pub defaults: FunctionOverrides,
    /// What is stated of one function, by its name; it takes precedence.
    pub by_name: BTreeMap<String, FunctionOverrides>,
}

impl FunctionConfigs {
    /// The settings of a function: its own where they are stated, else those of all functions, else the built-in ones.
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

/// The settings that one block of functions states; none where it leaves them to the defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionOverrides {
    /// Requests that one instance runs at a time.
    pub concurrency: Option<f64>,
    /// Memory of one instance, in MB.
    pub memory: Option<f64>,
    /// Seconds that a load usually takes.
    pub load_time: Option<f64>,
    /// The only profile under which the function may be called, by its index.
    pub profile: Option<usize>,
}

/// The settings of one function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Memory of one instance, in MB.
    pub memory: f64,
    /// Seconds that a load usually takes, where stated.
    pub load_time: Option<f64>,
    /// The only profile under which the function may be called, by its index, where stated.
    pub profile: Option<usize>,
}

impl Default for FunctionConfig {
    fn default() -> Self {
        // A small function, one call at a time: the least that a worker can be expected to do.
        Self { concurrency: 1.0, memory: 128.0, load_time: None, profile: None }
    }
}
