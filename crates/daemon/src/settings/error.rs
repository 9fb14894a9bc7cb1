//! Errors in the settings.

use std::fmt;

/// An error in the settings. Each message includes a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        cause: String,
    },
    /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
    Syntax(String),
    /// A value is out of range or malformed.
    Value {
        /// Name of the setting.
        key: &'static str,
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
        /// How to correct the value.
        remedy: &'static str,
    },
    /// Values contradict each other.
    Relation(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, cause } => {
                write!(
                    formatter,
                    "{path}: {cause}; remedy: pass a readable file with --config"
                )
            }
            Self::Syntax(message) => write!(
                formatter,
                "{message}; remedy: correct the key; docs/OPERATIONS.md lists every setting"
            ),
            Self::Value {
                key,
                value,
                allowed,
                remedy,
            } => write!(
                formatter,
                "{key} = {value:?} is not allowed; allowed: {allowed}; remedy: {remedy}"
            ),
            Self::Relation(message) => formatter.write_str(message),
        }
    }
}

impl std::error::Error for SettingsError {}
