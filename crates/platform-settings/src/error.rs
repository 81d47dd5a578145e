//! The error for an invalid settings object.

/// Why the settings are invalid. The platform is shown the text of the error.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid JSON; the source error gives line and column.
    #[error("the settings are no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A required setting is missing, has the wrong type or is out of range.
    #[error("the setting {setting} is missing or senseless")]
    Invalid {
        /// The path of the setting, with keys separated by dots.
        setting: String,
    },
}

impl SettingsError {
    pub(crate) fn invalid(setting: impl Into<String>) -> Self {
        Self::Invalid { setting: setting.into() }
    }

    /// Prefixes the path of the setting with `path`, that of the object that should contain it.
    pub(crate) fn within(self, path: &str) -> Self {
        match self {
            Self::Invalid { setting } => Self::invalid(format!("{path}.{setting}")),
            other => other,
        }
    }
}
