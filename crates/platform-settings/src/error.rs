//! Why a settings object can't be used.

/// What is wrong with the settings. The platform is shown this text.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON; the source names the place.
    #[error("the settings are no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A required setting is absent, of another type or out of bounds.
    #[error("the setting {setting} is missing or senseless")]
    Invalid {
        /// The path of the setting, its keys separated by dots.
        setting: String,
    },
}

impl SettingsError {
    pub(crate) fn invalid(setting: impl Into<String>) -> Self {
        Self::Invalid { setting: setting.into() }
    }

    /// The same error with the path of the object in which the setting was looked for.
    pub(crate) fn within(self, path: &str) -> Self {
        match self {
            Self::Invalid { setting } => Self::invalid(format!("{path}.{setting}")),
            other => other,
        }
    }
}
