//! What is wrong with the settings.

use std::fmt;

/// What is wrong with the settings; each message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// Why.
        cause: String,
    },
    /// Not TOML, or a key is unknown, missing or of the wrong type.
    Syntax(String),
    /// A value is not allowed.
    Value {
        /// The key.
        key: &'static str,
        /// The value found.
        value: String,
        /// What is allowed.
        allowed: &'static str,
        /// What to do.
        remedy: &'static str,
    },
    /// Values do not fit together.
    Relation(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, cause } => {
                write!(
                    formatter,
                    "{path}: {cause}; remedy: name a readable file with --config"
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
